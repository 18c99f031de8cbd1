/// How well a worker suits a task.
#pragma once

#include "obstacle.hpp"
#include "worker_table.hpp"

#include "foxtaillift/jobs/job.hpp"

#include <cstddef>
#include <string_view>

namespace foxtaillift::jobs
{

struct placement_wish
{
    step const* wanted = nullptr;
    image_number image = 0;
    std::size_t own_runs = 0;    ///< runs of the same step on that worker
    std::string_view own_rack{}; ///< of the step's other tasks; may be empty
    /// A filling task waits rather than work more slowly; 0 to 1.
    double least_speed = 0;
    /// Part of the filling work that cannot use the worker's unused processors
    /// any more once a serving task is there; 0 to 1.
    double lost_versatility = 0;
    bool is_avoided = false; ///< the task failed there before
};

/// What bounds the paces of the worker's filling tasks.
pacing_scene scene_of(worker_entry const& worker);

/// The worker with its filling tasks at their paces.
paced_worker const&
paces_of(worker_entry const& worker, interference_model const& model);

/// The part of its full speed at which the filling task is expected to work,
/// with regard to processors and to the serving tasks beside it.
double filling_speed(
    worker_entry const& worker,
    interference_model const& model,
    placement_wish const& wish);

/// How well a worker suits a task.
struct placement_verdict
{
    obstacle why = obstacle::none;
    double cost = 0; ///< the lower the better; without an obstacle only
};

/// What keeps the task from the worker by its room, its labels and the limit of
/// tasks on one worker.
obstacle find_obstacle(worker_entry const& worker, placement_wish const& wish);

/// For a worker without such an obstacle.
placement_verdict judge_placement(
    worker_entry const& worker,
    interference_model const& model,
    placement_wish const& wish);

} // namespace foxtaillift::jobs
