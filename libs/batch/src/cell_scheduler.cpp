#include "foxtaillift/batch/cell_scheduler.hpp"

#include "cell_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::batch
{

namespace
{

constexpr base::duration timer_every = base::milliseconds(100);

} // namespace

cell_scheduler::cell_scheduler(scheduler_options options)
    : hidden(std::make_unique<cell_state>(std::move(options)))
{}

cell_scheduler::~cell_scheduler() = default;
cell_scheduler::cell_scheduler(cell_scheduler&&) noexcept = default;
cell_scheduler& cell_scheduler::operator=(cell_scheduler&&) noexcept = default;

void cell_scheduler::handle(
    event const& input, base::instant now, std::vector<action>& out)
{
    this->hidden->handle(input, now, out);
}

std::uint32_t name_table::number(
    std::string const& name, std::size_t limit, std::uint64_t& shared)
{
    if (auto const known = this->numbers.find(name);
        known != this->numbers.end()) {
        return known->second;
    }
    if (this->names.size() >= limit) {
        ++shared;
        return static_cast<std::uint32_t>(this->names.size() - 1);
    }
    auto const next = static_cast<std::uint32_t>(this->names.size());
    this->names.push_back(name);
    this->numbers.emplace(name, next);
    return next;
}

cell_state::cell_state(scheduler_options chosen)
    : options(std::move(chosen))
    , random(static_cast<std::uint32_t>(this->options.random_seed))
{}

void cell_state::handle(
    event const& input, base::instant at, std::vector<action>& to)
{
    this->now = std::max(this->now, at);
    this->out = &to;
    std::visit([this](auto const& typed) { this->on(typed); }, input);
    auto& own = this->owned;
    if (this->lost_reason.empty() && (own.phase == cell_phase::adopting ||
                                      own.phase == cell_phase::active)) {
        if (this->now >= own.next_timer) {
            own.next_timer = this->now + timer_every;
            this->run_timers();
        }
        this->open_if_ready();
        if (own.phase == cell_phase::active) {
            this->place_waiting();
        }
        this->keep_snapshot();
        this->send_commit();
    }
    if (!this->lost_reason.empty()) {
        this->give_up();
    }
    this->out = nullptr;
}

void cell_state::on(tick const&) {}

void cell_state::on(lease_changed const& input)
{
    this->owned.is_lease_confirmed = input.is_confirmed;
}

void cell_state::on(settings_changed const& input)
{
    this->options.settings = input.settings;
    auto& own = this->owned;
    for (team_index team = 0; team < own.queues.team_count(); ++team) {
        auto const found = input.settings.teams.find(own.queues.name(team));
        own.queues.set_quota(
            team, found == input.settings.teams.end()
                      ? input.settings.other_teams
                      : found->second);
    }
    for (worker_index index = 0; index < own.workers.size(); ++index) {
        if (own.workers[index].is_used) {
            this->update_limits(index);
        }
    }
    this->lift_to_floors();
    this->update_aging();
    this->evaluate_impossible();
    own.is_pass_needed = true;
}

void cell_state::on(cell_released const&)
{
    this->owned = ownership{};
}

void cell_state::lose_cell(std::string reason)
{
    // Callers hold references into the state, so that it is dropped later.
    if (this->lost_reason.empty()) {
        this->lost_reason = std::move(reason);
    }
}

void cell_state::give_up()
{
    this->log(base::event_line{"cell_lost"}
                  .add("cell", this->owned.cell)
                  .add("epoch", this->owned.epoch)
                  .add("reason", this->lost_reason));
    this->owned = ownership{};
    this->emit(cell_lost{std::exchange(this->lost_reason, {})});
}

void cell_state::log(base::event_line line)
{
    this->emit(log_line{std::move(line)});
}

} // namespace foxtaillift::batch
