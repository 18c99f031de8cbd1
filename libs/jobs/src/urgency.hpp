/// What work on a task is worth now, by the objective of its job.
#pragma once

#include "job_table.hpp"

namespace foxtaillift::jobs
{

/// The time within which callers want the job to end.
base::duration objective_of(job_entry const& job, queue const& queue);

/// By the estimates of its tasks.
job_timing
timing_of(job_entry const& job, queue const& queue, base::instant now);

/// For how long the run still works at full speed, as far as is known.
base::duration time_left(run_entry const& run, step const& step);

/// What work on a filling run is worth beside work without which its job would
/// be late; 0 to 1. By the prospect of its job, as in the order of work, but
/// with the time that the run turned out to take.
double urgency_of(
    job_entry const& job,
    queue const& queue,
    run_entry const& run,
    std::uint32_t step,
    base::instant now);

} // namespace foxtaillift::jobs
