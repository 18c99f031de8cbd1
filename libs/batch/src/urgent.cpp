// Room for urgent tasks and for reservations that waited too long: which runs
// are evicted.
#include "cell_state.hpp"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

namespace foxtaillift::batch
{

namespace
{

// An urgent task starts within 1.1 s of its submission: the last victim is
// stopped after 700 ms, which leaves 400 ms for the stop and the start.
constexpr base::duration urgent_stop_after = base::milliseconds(700);
// If the room is not there by then, other victims are chosen.
constexpr base::duration room_expected = base::milliseconds(1'000);
constexpr std::size_t workers_weighed = 64;
constexpr std::size_t urgent_at_once = 64;
// A checkpoint and a restart cost about this much work.
constexpr double restart_cost_ms = 5'000;
constexpr base::duration budget_window = base::seconds(60);
constexpr base::duration eviction_window = base::seconds(3'600);
// No class allows more of them; bounds the memory of a task.
constexpr std::size_t most_evictions = 1'000;

} // namespace

double cell_state::victim_cost(run const& value) const
{
    auto const& task = this->owned.tasks[value.task];
    auto const lost = static_cast<double>(
        std::max<std::int64_t>((this->now - value.checkpointed).ms, 0));
    auto const cores = static_cast<double>(value.size.processors) / 1000;
    // Each eviction doubles the cost of the next one of the same task.
    return (lost + restart_cost_ms) * cores *
           std::exp2(std::min<std::uint32_t>(task.durable->evictions, 20));
}

bool cell_state::may_disrupt(run const& value, bool is_forced) const
{
    bool const is_normal = value.phase == run_phase::running &&
                           value.task != no_index && !value.is_urgent;
    if (!is_normal || is_forced) {
        return is_normal;
    }
    auto const& own = this->owned;
    auto const& settings = this->options.settings;
    if (this->recent_evictions(own.tasks[value.task]) >=
        this->limits_of(value).evictions_per_hour) {
        return false;
    }
    auto const known = own.disruptions.find(value.team);
    if (known == own.disruptions.end()) {
        return true;
    }
    auto const recent = std::count_if(
        known->second.begin(), known->second.end(),
        [&](base::instant at) { return this->now - at < budget_window; });
    return static_cast<std::uint32_t>(recent) < settings.team_evictions;
}

std::uint32_t cell_state::recent_evictions(live_task const& task) const
{
    return static_cast<std::uint32_t>(std::count_if(
        task.evictions.begin(), task.evictions.end(),
        [&](base::instant at) { return this->now - at < eviction_window; }));
}

void cell_state::note_eviction(live_task& task) const
{
    std::erase_if(task.evictions, [&](base::instant at) {
        return this->now - at >= eviction_window;
    });
    if (task.evictions.size() < most_evictions) {
        task.evictions.push_back(this->now);
    }
}

/// The records tell how often a task was evicted, but not when, as clocks of
/// hosts differ. A new owner takes it that all was within the last hour, so
/// that a takeover never exceeds the budget.
void cell_state::assume_recent_evictions(live_task& task) const
{
    task.evictions.assign(
        std::min<std::size_t>(task.durable->evictions, most_evictions),
        this->now);
}

void cell_state::note_disruption(run const& value)
{
    auto& recent = this->owned.disruptions[value.team];
    recent.push_back(this->now);
    while (recent.size() > this->options.settings.team_evictions ||
           this->now - recent.front() >= budget_window) {
        recent.pop_front();
        if (recent.empty()) {
            break;
        }
    }
}

bool cell_state::choose_victims(
    worker_index index,
    formats::resources const& size,
    bool is_urgent,
    std::vector<run_serial>& victims,
    double& cost) const
{
    auto const& own = this->owned;
    auto const& on = own.workers[index];
    auto room = own.ledger.free_urgent(index);
    if (!is_urgent) {
        room -= own.ledger.hole(index);
    }
    std::vector<std::pair<double, run const*>> possible;
    for (auto const serial : on.runs) {
        auto const& value = own.runs.at(serial);
        if (value.phase == run_phase::checkpointing ||
            value.phase == run_phase::stopping) {
            room += value.size; // on its way out already
        } else if (this->may_disrupt(value, true)) {
            possible.emplace_back(this->victim_cost(value), &value);
        }
    }
    std::sort(possible.begin(), possible.end());
    std::vector<std::pair<double, run const*>> taken;
    for (auto const& one : possible) {
        if (size.fits_in(room)) {
            break;
        }
        room += one.second->size;
        taken.push_back(one);
    }
    if (!size.fits_in(room)) {
        return false;
    }
    // Cheap ones that later and larger ones made superfluous are spared.
    cost = 0;
    for (auto const& [one_cost, value] : std::views::reverse(taken)) {
        if (size.fits_in(room - value->size)) {
            room -= value->size;
            continue;
        }
        victims.push_back(value->serial);
        cost += one_cost;
    }
    return true;
}

bool cell_state::make_room(task_index index)
{
    auto& own = this->owned;
    auto& task = own.tasks[index];
    bool const is_urgent = task.kind == queue_kind::urgent;
    auto const& size = task.durable->spec.size;
    std::vector<std::uint32_t> holders;
    if (task.reserved_on != no_index) {
        holders.push_back(task.reserved_on);
    } else {
        own.ledger.limit_index(is_urgent).find(
            size, static_cast<std::uint32_t>(this->random()), workers_weighed,
            holders);
    }
    worker_index best = no_index;
    std::vector<run_serial> best_victims;
    double best_cost = 0;
    for (auto const candidate : holders) {
        auto const& on = own.workers[candidate];
        if (this->closed_reason(on) != nullptr ||
            (on.reserved_for != no_index && on.reserved_for != index)) {
            continue;
        }
        std::vector<run_serial> victims;
        double cost = 0;
        bool const is_possible =
            this->choose_victims(candidate, size, is_urgent, victims, cost);
        if (is_possible && (best == no_index || cost < best_cost)) {
            best = candidate;
            best_cost = cost;
            best_victims = std::move(victims);
        }
    }
    if (best == no_index) {
        return false;
    }
    if (task.reserved_on == no_index) {
        task.reserved_on = best;
        own.workers[best].reserved_for = index;
        own.reserved.insert(index);
        own.ledger.reserve(best, size);
        task.reserved = this->now;
    }
    auto patience = this->options.checkpoint_limit;
    if (is_urgent) {
        patience = std::min(
            this->options.urgent_checkpoint_limit,
            task.submitted + urgent_stop_after - this->now);
    }
    for (auto const serial : best_victims) {
        auto& value = own.runs.at(serial);
        this->log(base::event_line{"eviction"}
                      .add("task", value.task_name)
                      .add("worker", own.workers[best].id)
                      .add("for", task.durable->task)
                      .add("reason", is_urgent ? "urgent" : "reserved")
                      .add("patience", patience));
        this->evict(
            value, is_urgent ? end_reason::urgent : end_reason::reserved,
            patience);
    }
    return true;
}

void cell_state::make_room_for_urgent()
{
    auto& own = this->owned;
    std::size_t budget = urgent_at_once;
    std::vector<task_index> waiting;
    for (auto const& [share, team] : own.queues.turn(queue_kind::urgent)) {
        for (auto const& entry : own.queues.of(team, queue_kind::urgent)) {
            if (budget == 0) {
                break;
            }
            --budget;
            waiting.push_back(entry.task);
        }
    }
    for (auto const index : waiting) {
        auto& task = own.tasks[index];
        if (task.reserved_on != no_index) {
            auto const on = task.reserved_on;
            if (task.durable->spec.size.fits_in(own.ledger.free_urgent(on)) &&
                own.queues.may_use(task.team, task.durable->spec.size)) {
                this->start(index, on, {});
                continue;
            }
            if (this->now - task.reserved > room_expected) {
                this->drop_reservation(index);
            }
        }
        // With a reservation, this evicts only what is still missing there.
        if (own.queues.may_use(task.team, task.durable->spec.size)) {
            this->make_room(index);
        }
    }
}

} // namespace foxtaillift::batch
