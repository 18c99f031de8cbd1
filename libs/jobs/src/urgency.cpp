#include "urgency.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

namespace
{

/// What work on a late job is worth beside one that can be in time: callers
/// value a late job at 0.15.
constexpr double late_urgency = 0.3;
constexpr double worthless_urgency = 0.05;

/// Less progress says little of a run's speed.
constexpr int least_progress = 4; // percent

constexpr double all_work = 100; // percent

/// The time that all work of the run takes at full speed.
double duration_of(run_entry const& run, step const& step)
{
    auto const progress = run.percent - run.first_percent;
    if (run.first_percent < 0 || progress < least_progress) {
        return static_cast<double>(step.estimate.ms);
    }
    return run.worked_ms * all_work / progress;
}

} // namespace

base::duration objective_of(job_entry const& job, queue const& queue)
{
    return queue.target_latency +
           base::milliseconds(static_cast<std::int64_t>(
               queue.target_factor * static_cast<double>(job.chain.ms)));
}

job_timing
timing_of(job_entry const& job, queue const& queue, base::instant now)
{
    return {
        .age = now - job.seen_at,
        .objective = objective_of(job, queue),
        .chain_left = job.chain_left()};
}

base::duration time_left(run_entry const& run, step const& step)
{
    return base::milliseconds(static_cast<std::int64_t>(
        duration_of(run, step) * (1 - std::max(0, run.percent) / all_work)));
}

double urgency_of(
    job_entry const& job,
    queue const& queue,
    run_entry const& run,
    std::uint32_t step_number,
    base::instant now)
{
    auto const& step = job.spec.steps[step_number];
    double const duration = duration_of(run, step);
    double const before = static_cast<double>(job.chain_before[step_number].ms);
    double const after = static_cast<double>(job.chain_after[step_number].ms);
    double const chain =
        std::max(static_cast<double>(job.chain.ms), before + duration + after);
    double const objective = static_cast<double>(queue.target_latency.ms) +
                             queue.target_factor * chain;
    double const left =
        after + duration * (1 - std::max(0, run.percent) / all_work);
    auto const age = now - job.seen_at;
    auto const chance = prospect_of(
        {.age = age,
         .objective = base::milliseconds(static_cast<std::int64_t>(objective)),
         .chain_left = base::milliseconds(static_cast<std::int64_t>(left))});
    if (chance == prospect::in_time) {
        return 1;
    }
    // What is left of a chain is a rough estimate: as long as its time is not
    // over, a job may still end in it.
    return static_cast<double>(age.ms) <=
                   objective * static_cast<double>(worthless_factor)
               ? late_urgency
               : worthless_urgency;
}

} // namespace foxtaillift::jobs
