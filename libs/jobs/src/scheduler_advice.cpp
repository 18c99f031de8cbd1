/// Queues whose adviser decides which workers may run a step: tickets are asked
/// for before a start and used while they hold.
#include "placement.hpp"
#include "scheduler_core.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::jobs
{

namespace
{

/// An adviser takes its time for each worker that is named; with so many, a
/// step of usual width finds room among those that are allowed.
constexpr std::size_t workers_in_call = 30;

/// The adviser answers one call of a host after the other. A second one waits
/// there, so that it is never idle; more would delay urgent steps.
constexpr std::size_t calls_at_once = 2;

/// Before a step is asked for again without a usable answer.
constexpr base::duration ask_gap = base::milliseconds(200);

/// Before workers to ask about are looked for again, which goes through all
/// that have room.
constexpr base::duration search_gap = base::milliseconds(50);

/// A ticket is not used in the last moments before it expires, for the way of
/// the start.
constexpr base::duration ticket_reserve = base::milliseconds(100);

/// For the way of a call, beside the adviser's own time.
constexpr base::duration call_reserve = base::milliseconds(500);

bool is_current(
    step_advice::verdict const& verdict,
    std::int64_t born_ms,
    base::instant now)
{
    return verdict.born_ms == born_ms &&
           (verdict.ticket.empty() || now < verdict.valid_until);
}

} // namespace

bool has_ticket(
    step_advice const& advice,
    std::size_t worker,
    std::int64_t born_ms,
    base::instant now)
{
    auto const found = advice.verdicts.find(worker);
    return found != advice.verdicts.end() && !found->second.ticket.empty() &&
           is_current(found->second, born_ms, now);
}

step_advice const* scheduler::implementation::advice_on(
    job_entry const& job, task_name const& task) const
{
    auto const* const queue = this->queue_of(job);
    return queue != nullptr && queue->adviser
               ? &job.steps[job.step_slot(task)].advice
               : nullptr;
}

std::vector<std::string> scheduler::implementation::workers_to_ask(
    job_entry const& job, task_name const& task)
{
    auto const& known = job.steps[job.step_slot(task)].advice.verdicts;
    auto const& wanted = job.spec.steps[task.step];
    placement_wish const wish{
        .wanted = &wanted, .image = this->interference.number_of(wanted.image)};
    auto const list = this->vacancies.find(this->queue_of(job)->service);
    if (list == this->vacancies.end()) {
        return {};
    }
    std::vector<std::pair<double, std::string>> choices;
    for (auto const& choice : list->second) {
        auto const& worker = this->workers[choice.worker];
        auto const found = known.find(choice.worker);
        bool const is_known =
            found != known.end() &&
            is_current(found->second, worker.born_ms, this->searched_at);
        if (is_known || find_obstacle(worker, wish) != obstacle::none) {
            continue;
        }
        auto const verdict = judge_placement(worker, this->interference, wish);
        if (verdict.why == obstacle::none) {
            choices.emplace_back(verdict.cost, worker.info.id);
        }
    }
    auto const count = std::min(workers_in_call, choices.size());
    std::partial_sort(
        choices.begin(), choices.begin() + static_cast<std::ptrdiff_t>(count),
        choices.end());
    std::vector<std::string> ids;
    ids.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        ids.push_back(std::move(choices[i].second));
    }
    return ids;
}

void scheduler::implementation::ask_adviser(
    job_entry& job,
    task_name const& task,
    std::vector<worker_order>& orders,
    base::instant now)
{
    auto const* const queue = this->queue_of(job);
    if (!queue->adviser) {
        return;
    }
    auto& known = job.steps.edit(job.step_slot(task)).advice;
    if (known.is_asked || now < known.ask_after ||
        this->advice_calls >= calls_at_once) {
        return;
    }
    auto ids = this->workers_to_ask(job, task);
    if (ids.empty()) {
        known.ask_after = now + search_gap;
        return;
    }
    auto const call =
        queue->adviser->decision +
        queue->adviser->by_worker * static_cast<std::int64_t>(ids.size());
    known.is_asked = true;
    ++this->advice_calls;
    advice_order order{
        .step = {task.job, task.occurrence, task.step},
        .workers = std::move(ids),
        .time_limit =
            call * static_cast<std::int64_t>(calls_at_once) + call_reserve};
    this->log(base::event_line{"advice_asked"}
                  .add("step", to_string(order.step))
                  .add("workers", order.workers.size()));
    orders.emplace_back(std::move(order));
}

void scheduler::implementation::on_advice(
    advice_order const& asked,
    std::optional<advice> const& answer,
    base::instant now)
{
    --this->advice_calls;
    this->log(base::event_line{"advice"}
                  .add("step", to_string(asked.step))
                  .add("asked", asked.workers.size())
                  .add("answered", answer.has_value())
                  .add("allowed", answer ? answer->allowed.size() : 0));
    task_name const first{
        asked.step.job, asked.step.occurrence, asked.step.step, 0};
    auto const place = this->find_task(first);
    if (!place) {
        return; // the job is over
    }
    auto& known = place.job->steps.edit(place.job->step_slot(first)).advice;
    known.is_asked = false;
    if (!answer) {
        known.ask_after = now + ask_gap;
        return;
    }
    for (auto const& id : asked.workers) {
        if (auto const index = this->workers.find(id)) {
            known.verdicts[*index] = {.born_ms = this->workers[*index].born_ms};
        }
    }
    for (auto const& ticket : answer->allowed) {
        auto const index = this->workers.find(ticket.worker);
        if (index && known.verdicts.contains(*index)) {
            auto& verdict = known.verdicts[*index];
            verdict.ticket = ticket.value;
            verdict.valid_until = now + answer->validity - ticket_reserve;
        }
    }
}

} // namespace foxtaillift::jobs
