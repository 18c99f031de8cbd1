// Whose turn it is: impossible tasks, the placement pass, reservations.
#include "cell_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::batch
{

namespace
{

// So many tasks of one team's queue may overtake a head that does not fit.
constexpr std::size_t backfill_depth = 8;
// A pass that looked at many waiting tasks in vain is not repeated at each
// event: with 1,200 teams waiting, a pass at each ended run took 0.7 ms.
constexpr std::int64_t examined_each_ms = 100;

} // namespace

std::string cell_state::missing_resource(live_task const& task) const
{
    auto const& own = this->owned;
    auto const& size = task.durable->spec.size;
    bool const is_urgent = task.durable->spec.priority == task_priority::urgent;
    if (!own.has_list) {
        return {}; // the list of workers has not come yet
    }
    if (auto const* resource = own.queues.short_quota(task.team, size)) {
        return "quota of team " + task.durable->spec.team.str() +
               " is below the task's " + resource +
               " and the team may not borrow";
    }
    auto const& index = own.ledger.limit_index(is_urgent);
    std::vector<std::uint32_t> holders;
    index.find(size, 0, 1, holders);
    if (!holders.empty()) {
        return {};
    }
    auto const largest = index.largest();
    auto const compare = [](char const* name, std::int64_t wanted,
                            std::int64_t offered) {
        return std::string(name) + ": needs " + std::to_string(wanted) +
               ", the largest worker offers " +
               std::to_string(std::max<std::int64_t>(offered, 0));
    };
    if (size.processors > largest.processors) {
        return compare("processors", size.processors, largest.processors);
    }
    if (size.memory_mb > largest.memory_mb) {
        return compare("memory_mb", size.memory_mb, largest.memory_mb);
    }
    if (size.accelerators > largest.accelerators) {
        return compare("accelerators", size.accelerators, largest.accelerators);
    }
    return "no worker offers the processors, memory and accelerators together";
}

void cell_state::evaluate_impossible()
{
    auto& own = this->owned;
    if (own.phase != cell_phase::active && own.phase != cell_phase::adopting) {
        return;
    }
    own.are_limits_changed = false;
    auto const waiting = std::exchange(own.impossible, {});
    for (auto const index : waiting) {
        auto& task = own.tasks[index];
        if (!this->missing_resource(task).empty()) {
            own.impossible.insert(index);
            continue;
        }
        this->set_state(task, task_state::queued);
        this->enqueue(index);
    }
    // Queued tasks that fit no more: only the sizes decide, so that each
    // distinct one is evaluated once.
    std::vector<task_index> lost;
    std::vector<std::pair<formats::resources, bool>> fitting;
    for (task_index index = 0; index < own.tasks.size(); ++index) {
        auto& task = own.tasks[index];
        if (!task.is_in_queue) {
            continue;
        }
        auto const& spec = task.durable->spec;
        bool const is_urgent = spec.priority == task_priority::urgent;
        bool const is_covered =
            std::any_of(fitting.begin(), fitting.end(), [&](auto const& known) {
                return known.second == is_urgent &&
                       spec.size.fits_in(known.first);
            });
        if (is_covered && own.queues.could_use(task.team, spec.size)) {
            continue;
        }
        if (!this->missing_resource(task).empty()) {
            lost.push_back(index);
        } else if (fitting.size() < 64) {
            fitting.emplace_back(spec.size, is_urgent);
        }
    }
    for (auto const index : lost) {
        this->dequeue(index);
        this->enqueue(index);
    }
}

bool cell_state::may_run_long(live_task const& task) const
{
    auto const allowed =
        static_cast<double>(this->owned.ledger.whole_processors()) *
        this->options.settings.long_share;
    return task.kind != queue_kind::long_run ||
           static_cast<double>(
               this->owned.long_processors +
               task.durable->spec.size.processors) <= allowed;
}

void cell_state::place_waiting()
{
    auto& own = this->owned;
    if (!own.is_pass_needed) {
        return;
    }
    std::size_t budget = this->options.placements;
    this->place_kind(queue_kind::urgent, budget);
    if (this->now < own.next_pass) {
        return;
    }
    own.is_pass_needed = false;
    own.examined = 0;
    this->place_fair(budget);
    own.next_pass =
        this->now + base::milliseconds(own.examined / examined_each_ms);
    if (budget == 0) {
        own.is_pass_needed = true;
        ++this->counters.passes_cut;
    }
}

bool cell_state::place_kind(queue_kind kind, std::size_t& budget)
{
    auto& own = this->owned;
    std::pair<double, team_index> cursor{-1.0, 0};
    while (budget > 0) {
        auto const next = own.queues.turn(kind).upper_bound(cursor);
        if (next == own.queues.turn(kind).end()) {
            return false;
        }
        cursor = *next;
        this->place_team(cursor.second, kind, budget);
    }
    return true;
}

bool cell_state::place_fair(std::size_t& budget)
{
    auto& own = this->owned;
    // A placement only raises its team's share, so that teams before the
    // cursor need not be looked at again.
    std::pair<double, team_index> short_cursor{-1.0, 0};
    std::pair<double, team_index> long_cursor{-1.0, 0};
    auto const& shorts = own.queues.turn(queue_kind::short_run);
    auto const& longs = own.queues.turn(queue_kind::long_run);
    while (budget > 0) {
        auto const next_short = shorts.upper_bound(short_cursor);
        auto const next_long = longs.upper_bound(long_cursor);
        bool const has_short = next_short != shorts.end();
        bool const has_long = next_long != longs.end();
        if (!has_short && !has_long) {
            return false;
        }
        if (has_short && (!has_long || next_short->first <= next_long->first)) {
            short_cursor = *next_short;
            this->place_team(
                short_cursor.second, queue_kind::short_run, budget);
        } else {
            long_cursor = *next_long;
            this->place_team(long_cursor.second, queue_kind::long_run, budget);
        }
    }
    return true;
}

bool cell_state::place_team(
    team_index team, queue_kind kind, std::size_t& budget)
{
    auto& own = this->owned;
    auto const& waiting = own.queues.of(team, kind);
    auto const& index = own.ledger.index(kind == queue_kind::urgent);
    std::size_t depth = 0;
    for (auto next = waiting.begin();
         next != waiting.end() && depth < backfill_depth; ++depth) {
        auto const place = next->task;
        ++next; // a placement removes the entry
        ++own.examined;
        auto& task = own.tasks[place];
        auto const& size = task.durable->spec.size;
        if (this->now < task.not_before) {
            own.has_delayed = true;
            task.wait_reason = "waits a while after a failure";
            continue;
        }
        if (!own.queues.may_use(team, size)) {
            task.wait_reason = "its team's quota is in use";
            continue;
        }
        if (!this->may_run_long(task)) {
            task.wait_reason = "long tasks hold their share of the cell";
            return false;
        }
        if (!index.may_fit(size)) {
            task.wait_reason = "no worker has enough free resources";
        } else if (this->place(place)) {
            --budget;
            return true;
        }
        if (kind == queue_kind::urgent && task.reserved_on == no_index) {
            this->make_room(place);
        }
    }
    return false;
}

base::duration cell_state::expected_free(
    worker_index index, formats::resources const& size) const
{
    auto const& own = this->owned;
    std::vector<std::pair<base::duration, run const*>> ends;
    for (auto const serial : own.workers[index].runs) {
        auto const& value = own.runs.at(serial);
        if (value.phase == run_phase::ended) {
            continue;
        }
        auto const usual =
            this->run_times.quantile(value.task_class, 0.5, base::seconds(600));
        auto const elapsed = this->now - value.started;
        // A run that is over its usual time is likely to go on for long.
        ends.emplace_back(std::max(usual - elapsed, elapsed / 2), &value);
    }
    std::sort(ends.begin(), ends.end());
    auto room = own.ledger.free_normal(index);
    base::duration after{};
    for (auto const& [end, value] : ends) {
        if (size.fits_in(room)) {
            break;
        }
        room += value->size;
        after = end;
    }
    return after;
}

void cell_state::make_reservation(task_index index)
{
    auto& own = this->owned;
    auto& task = own.tasks[index];
    auto const allowed = std::max<std::size_t>(1, own.worker_by_id.size() / 16);
    if (task.reserved_on != no_index || own.reserved.size() >= allowed) {
        return;
    }
    auto const& size = task.durable->spec.size;
    std::vector<std::uint32_t> holders;
    own.ledger.limit_index(false).find(
        size, static_cast<std::uint32_t>(this->random()), 256, holders);
    worker_index best = no_index;
    base::duration soonest{};
    for (auto const candidate : holders) {
        auto const& on = own.workers[candidate];
        if (on.reserved_for != no_index || this->closed_reason(on) != nullptr) {
            continue;
        }
        auto const after = this->expected_free(candidate, size);
        if (best == no_index || after < soonest) {
            best = candidate;
            soonest = after;
        }
    }
    if (best == no_index) {
        return;
    }
    task.reserved_on = best;
    task.reserved = this->now;
    own.workers[best].reserved_for = index;
    own.reserved.insert(index);
    own.ledger.reserve(best, size);
    this->log(base::event_line{"reservation"}
                  .add("task", task.durable->task)
                  .add("worker", own.workers[best].id)
                  .add("expected_in", soonest)
                  .add("waited", this->now - task.queued));
}

void cell_state::drop_reservation(task_index index)
{
    auto& own = this->owned;
    auto& task = own.tasks[index];
    if (task.reserved_on == no_index) {
        return;
    }
    own.workers[task.reserved_on].reserved_for = no_index;
    own.ledger.reserve(task.reserved_on, {});
    task.reserved_on = no_index;
    own.reserved.erase(index);
    own.is_pass_needed = true;
}

void cell_state::serve_reservations()
{
    auto& own = this->owned;
    auto const held = own.reserved;
    for (auto const index : held) {
        auto& task = own.tasks[index];
        auto const on = task.reserved_on;
        if (on == no_index || task.kind == queue_kind::urgent) {
            continue;
        }
        auto const& size = task.durable->spec.size;
        auto const room = own.ledger.free_urgent(on) - own.ledger.hole(on);
        if (size.fits_in(room) && own.queues.may_use(task.team, size) &&
            this->may_run_long(task)) {
            this->start(index, on, {});
        } else if (
            this->now - task.reserved > this->limits_of(task).longest_wait) {
            this->make_room(index);
        }
    }
    // Aged tasks that found no reservation free get the next one.
    for (auto const kind : {queue_kind::short_run, queue_kind::long_run}) {
        for (auto const& [share, team] : own.queues.turn(kind)) {
            auto const& head = *own.queues.of(team, kind).begin();
            if (own.tasks[head.task].is_aged) {
                this->make_reservation(head.task);
            }
        }
    }
}

} // namespace foxtaillift::batch
