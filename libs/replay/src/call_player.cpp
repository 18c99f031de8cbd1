#include "call_player.hpp"

#include <algorithm>

namespace foxtaillift::replay
{

using routing::testing::behaviour;

call_player::call_player(trace const& from)
    : source(from)
    , input{.configuration_version = 1, .home = base::failure_domain_id{"entry"}}
    , simulated(
          {.input = input,
           .seed = from.seed,
           .slowdown =
               [this](base::worker_id const& worker, double) {
                   return this->conditions[worker].slowdown;
               },
           .behave =
               [this](base::worker_id const& worker, double, auto&) {
                   return this->behave(worker);
               }})
{}

void call_player::run()
{
    for (auto const& next : this->source.events) {
        std::visit(
            [&](auto const& body) {
                this->schedule(static_cast<double>(next.at_ms), body);
            },
            next.body);
    }
    this->simulated.run();
}

std::uint32_t call_player::slots_of(base::worker_id const& worker) const
{
    auto const found = std::find_if(
        this->input.workers.begin(), this->input.workers.end(),
        [&](auto const& one) { return one.worker == worker; });
    return found == this->input.workers.end() ? 0 : found->slots;
}

behaviour call_player::behave(base::worker_id const& worker)
{
    auto const& condition = this->conditions[worker];
    if (!condition.is_up || !condition.is_reachable) {
        return behaviour::drop_before_sending;
    }
    if (condition.fails_everything) {
        return behaviour::error_answer;
    }
    return condition.loses_answers ? behaviour::lose_answer : behaviour::answer;
}

void call_player::schedule(double when, workers_change const& change)
{
    this->simulated.at(when, [this, change] {
        for (auto const& entry : change.workers) {
            this->list(entry);
        }
        this->simulated.publish(this->input);
    });
}

void call_player::list(formats::worker_entry const& entry)
{
    base::cell_id const cell{entry.rack.str()};
    auto& cells = this->input.cells;
    bool const is_known =
        std::any_of(cells.begin(), cells.end(), [&](auto const& one) {
            return one.cell == cell;
        });
    if (!is_known) {
        cells.push_back(
            {.cell = cell,
             .epoch = 1,
             .owner = base::host_id{"entry"},
             .failure_domain = entry.failure_domain,
             .is_local = true});
    }
    auto& workers = this->input.workers;
    std::erase_if(
        workers, [&](auto const& one) { return one.worker == entry.worker; });
    workers.push_back(
        {.worker = entry.worker,
         .cell = cell,
         .services = entry.services,
         .slots = static_cast<std::uint32_t>(entry.slots),
         .is_leaving = entry.state == formats::worker_state::leaving});
}

void call_player::schedule(double when, worker_change const& change)
{
    this->simulated.at(when, [this, change] {
        auto& on = this->conditions[change.worker];
        on.is_up = change.is_up.value_or(on.is_up);
        on.is_reachable = change.is_reachable.value_or(on.is_reachable);
        on.fails_everything =
            change.fails_everything.value_or(on.fails_everything);
        on.loses_answers = change.loses_answers.value_or(on.loses_answers);
        on.slowdown = change.call_slowdown.value_or(on.slowdown);
    });
}

void call_player::schedule(double when, call_event const& call)
{
    this->simulated.submit(
        when, call.run_ms, call.attributes, call.deadline_ms);
}

} // namespace foxtaillift::replay
