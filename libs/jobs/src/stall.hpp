/// When a run that works without progress counts as stuck.
#pragma once

#include "job_table.hpp"

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/job.hpp"

#include <cstdint>

namespace foxtaillift::jobs
{

/// How long a run may report the same percent: some times of what one percent
/// takes by the estimate of its step or by its own pace so far, whichever is
/// longer. A task whose runs were stuck before (`stalls` times) may simply take
/// longer than anybody has told, so that the limit doubles from the third run
/// on.
base::duration
stall_limit(run_entry const& run, step const& step, std::uint32_t stalls);

} // namespace foxtaillift::jobs
