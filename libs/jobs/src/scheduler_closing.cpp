/// The record of workers that do not answer or leave. A successor cannot ask
/// them what runs there, and without a record no task of an earlier leader
/// could start until every lease that this leader may have granted has run out.
#include "foxtaillift/jobs/rows.hpp"

#include "scheduler_core.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace foxtaillift::jobs
{

namespace
{

/// Workers and runs in a record, some 30 bytes each and 40 at most. Workers
/// beyond it are left out, and a successor waits for them.
constexpr std::size_t recorded_limit = longest_value / 40;

/// A run whose end is not durable counts too: a successor that did not know of
/// it would start the task again while the worker still lists it as done.
std::vector<run_name> possible_runs(worker_entry const& worker)
{
    std::set<run_name> runs;
    for (auto const& [run, taken] : worker.runs) {
        runs.insert(run);
    }
    for (auto const& [number, run] : worker.unacknowledged) {
        runs.insert(run);
    }
    return {runs.begin(), runs.end()};
}

/// Its leases may still grow while a record names it.
bool is_leaving(worker_entry const& worker)
{
    return worker.is_heard ? worker.silent_looks == 0 && worker.info.is_draining
                           : worker.is_lease_unknown;
}

} // namespace

std::vector<closed_worker>
scheduler::implementation::close_workers(base::instant now)
{
    std::vector<closed_worker> record;
    std::size_t recorded = 0;
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto& worker = this->workers[i];
        bool const is_silent = worker.silent_looks > 0 || !worker.is_heard;
        // As long as the roster names it: what a successor reads there and not
        // here, it waits for.
        bool const is_known = worker.is_listed || this->is_in_use(worker, now);
        // What never answered has nothing of this leader, and nothing of
        // earlier ones once their leases are over.
        bool const is_accounted =
            worker.is_accounted() ||
            (!worker.is_heard && worker.silent_looks > 0 &&
             this->are_earlier_leases_over(now));
        if ((!is_silent && !is_leaving(worker)) || !is_known || !is_accounted) {
            continue;
        }
        auto runs = possible_runs(worker);
        if (recorded + 1 + runs.size() > recorded_limit) {
            continue;
        }
        recorded += 1 + runs.size();
        if (!std::exchange(worker.is_closed, true)) {
            this->log(base::event_line{"worker_closed"}
                          .add("worker", worker.info.id)
                          .add("leaving", is_leaving(worker))
                          .add("runs", runs.size())
                          .add("lease_age_ms", now - worker.granted_at));
        }
        closed_worker entry{.id = worker.info.id, .runs = std::move(runs)};
        if (!is_leaving(worker)) {
            worker.is_lease_closed = true;
            entry.lease_age = now - worker.granted_at;
        }
        record.push_back(std::move(entry));
    }
    return record;
}

void scheduler::implementation::on_closed_recorded(
    std::span<closed_worker const> record)
{
    std::map<std::string_view, bool> names_age;
    for (auto const& worker : record) {
        names_age.emplace(worker.id, worker.lease_age.has_value());
    }
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto& worker = this->workers[i];
        if (!worker.is_closed || worker.silent_looks > 0 || !worker.is_heard) {
            continue;
        }
        auto const named = names_age.find(worker.info.id);
        bool const is_named = named != names_age.end();
        worker.is_lease_closed &= is_named && named->second;
        if (is_named) {
            continue;
        }
        worker.is_closed = false;
        this->log(
            base::event_line{"worker_opened"}.add("worker", worker.info.id));
    }
}

void scheduler::implementation::take_closed(
    std::span<closed_worker const> record,
    base::instant now,
    base::duration age)
{
    for (auto const& each : record) {
        auto const index = this->workers.find(each.id);
        if (!index) {
            continue; // not in use any more
        }
        auto& worker = this->workers[*index];
        worker.is_closed = true;
        base::event_line line{"worker_inherited_closed"};
        line.add("worker", each.id).add("runs", each.runs.size());
        if (each.lease_age) {
            line.add("lease_age_ms", *each.lease_age);
        }
        this->log(line);
        if (each.lease_age) {
            worker.is_lease_closed = true;
            worker.granted_at = now - age - *each.lease_age;
            worker.inherited_until = worker.granted_at +
                                     on_slow_clock(this->inherited_lease) +
                                     lapse_margin;
        } else {
            worker.is_lease_unknown = true;
            worker.inherited_until = this->earlier_leases_end();
        }
        for (auto const& run : each.runs) {
            worker.occupy(run, {.is_unsized = true});
            this->orphans[run.task.job].push_back(
                {.worker = *index, .run = run, .seen_at = now, .percent = -1});
        }
    }
}

} // namespace foxtaillift::jobs
