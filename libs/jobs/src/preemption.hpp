/// Which runs make room for a step that would otherwise start too late.
#pragma once

#include "foxtaillift/jobs/job.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace foxtaillift::jobs
{

/// A run that may be stopped.
struct preemptible_run
{
    std::size_t number = 0; ///< for the caller
    resources frees{};
    double loss = 0; ///< what its users lose, in processor milliseconds
};

/// A worker that may get tasks of the step.
struct preemptible_worker
{
    resources room{};           ///< free, or about to be
    std::size_t task_limit = 0; ///< tasks of the step that it may get
    std::vector<preemptible_run> runs{};
};

/// The tasks that need room, all of them: a job is in time only if its last
/// task is.
struct room_demand
{
    resources need{}; ///< of each task
    std::size_t tasks = 0;
    double worth = 0; ///< of the job in time, in processor milliseconds
};

/// The numbers of the runs to be stopped: none if what is about to be free is
/// enough; nothing if there is no choice that is worth its loss. At most one
/// run of a worker is chosen. Takes what the tasks will use from the room of
/// the workers, so that the next demand does not count on it.
std::optional<std::vector<std::size_t>> choose_preempted(
    room_demand const& demand, std::span<preemptible_worker> workers);

} // namespace foxtaillift::jobs
