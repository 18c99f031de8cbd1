/// Moves runs away from workers that are about to leave. Whatever still runs
/// there ends with the worker, and its tasks could start elsewhere only when
/// the worker's leases have run out.
#include "scheduler_core.hpp"
#include "urgency.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

namespace
{

/// Searches compare many workers: between two runs of them.
constexpr base::duration leaving_interval = base::milliseconds(100);

/// For the answer of the stop and its report, which come within a round trip
/// and the wait of a look (100 ms).
constexpr base::duration report_reserve = base::milliseconds(400);

/// Tasks that may be unavailable only some at a time start to leave this many
/// times earlier.
constexpr std::int64_t early_factor = 2;

/// On a worker that leaves soon, a task that hardly works elsewhere is better
/// off there.
constexpr double least_speed_elsewhere = 0.2;

constexpr int at_work = 100; // percent

/// Tasks of the step that serve nobody now.
std::uint32_t unavailable_tasks(
    job_entry const& job, task_name const& name, stop_table const& stops)
{
    auto const first = job.first_task(name.occurrence, name.step);
    std::uint32_t count = 0;
    for (std::size_t i = 0; i < job.spec.steps[name.step].count; ++i) {
        auto const& runs = job.tasks[first + i].runs;
        bool const is_at_work =
            std::any_of(runs.begin(), runs.end(), [&](run_entry const& run) {
                return run.percent >= at_work &&
                       !stops.contains(
                           {run.worker, {job.name_of(first + i), run.attempt}});
            });
        count += is_at_work ? 0 : 1;
    }
    return count;
}

} // namespace

void scheduler::implementation::leave_draining_workers(base::instant now)
{
    if (now - this->left_at < leaving_interval) {
        return;
    }
    this->left_at = now;
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto const& worker = this->workers[i];
        if (worker.info.is_draining && worker.is_listed &&
            worker.silent_looks == 0 && worker.is_heard) {
            this->leave_worker(i, now);
        }
    }
}

bool scheduler::implementation::is_to_leave(
    std::size_t index,
    run_name const& run,
    occupancy const& taken,
    base::instant now) const
{
    auto const* const job = this->find_job(run.task.job);
    if (job == nullptr || is_final(job->state) ||
        this->stops.contains({index, run})) {
        return false;
    }
    auto const& step = job->spec.steps[run.task.step];
    auto const& runs = job->tasks[*job->ordinal(run.task)].runs;
    auto const entry =
        std::find_if(runs.begin(), runs.end(), [&](run_entry const& each) {
            return each.worker == index && each.attempt == run.attempt;
        });
    if (entry == runs.end() || entry->phase != run_phase::running ||
        runs.size() > 1) {
        return false; // another copy goes on
    }
    // Until then the worker's processors are used: in a full fleet, whoever
    // leaves takes the place of others.
    auto const left = this->workers[index].leaves_at - now;
    auto const needed_to_leave = this->options.stop_timeout + report_reserve;
    if (step.is_lasting && step.max_unavailable && left >= needed_to_leave) {
        return left < needed_to_leave * early_factor &&
               unavailable_tasks(*job, run.task, this->stops) <
                   *step.max_unavailable;
    }
    if (left >= needed_to_leave) {
        return false;
    }
    constexpr int least_pace = 5; // percent; a slower run hardly ends at all
    auto const pace =
        taken.is_filling ? std::max(least_pace, taken.percent) : at_work;
    return step.is_lasting ||
           time_left(*entry, step) * at_work / pace > std::max(left, {});
}

void scheduler::implementation::leave_worker(
    std::size_t index, base::instant now)
{
    auto const& worker = this->workers[index];
    for (auto const& [run, taken] : worker.runs) {
        if (!this->is_to_leave(index, run, taken, now)) {
            continue;
        }
        auto const* const job = this->find_job(run.task.job);
        auto const& step = job->spec.steps[run.task.step];
        std::map<std::size_t, std::size_t> const own_runs;
        auto const found = this->find_worker(
            *job, {.wanted = &step,
                   .image = taken.image,
                   .own_runs = own_runs,
                   .avoided = index,
                   .least_speed = least_speed_elsewhere,
                   .advice = this->advice_on(*job, run.task)});
        // Also without room elsewhere: the end of a run that ends with its
        // worker is never read, and its task waits for the lease.
        this->log(base::event_line{"run_leaves"}
                      .add("task", to_string(run.task))
                      .add("attempt", run.attempt)
                      .add("worker", worker.info.id)
                      .add("remaining_ms", worker.leaves_at - now)
                      .add("has_room_elsewhere", found.worker.has_value())
                      .add(
                          "checkpoint",
                          job->tasks[*job->ordinal(run.task)].checkpoint));
        this->stop_run(index, run);
    }
}

} // namespace foxtaillift::jobs
