/// How fast the filling tasks of a worker may work beside its serving tasks.
#pragma once

#include "foxtaillift/jobs/interference.hpp"

#include <cstdint>
#include <span>

namespace foxtaillift::jobs
{

/// A serving task and the margin (see interference.hpp) that it is expected to
/// have until the next report without filling tasks.
struct served_run
{
    image_number image = 0;
    double headroom = 0;
    double deviation = 0.3; ///< standard deviation of that forecast
    double share = 0;       ///< of the worker's processors, as reserved
    /// Filling tasks may bring it over its target for a moment.
    bool may_exceed = true;
};

/// A filling task with the pace that it has and is to have.
struct filling_run
{
    image_number image = 0;
    double full_share = 0; ///< of the worker's processors, at full speed
    int percent = 100;
    /// What its work is worth now, beside a task that can be in time; 0 to 1.
    double urgency = 1;
};

/// What else runs on a worker whose filling tasks are paced.
struct pacing_scene
{
    std::span<served_run const> served{};
    /// Part of the worker's processors that other tasks leave unused.
    double unused_processors = 1;
};

/// The part of a worker's processors that its serving and other tasks leave
/// unused on average. Filling tasks that ask for more slow serving tasks down,
/// whatever the images.
double unused_processors(
    std::int64_t capacity,
    std::int64_t serving_processors,
    std::int64_t other_processors);

/// Sets the paces of the filling tasks of one worker so that their work is
/// worth most, less what the users of serving tasks over their target lose.
/// Returns the least margin above 1 that a serving task has left.
double set_paces(
    interference_model const& model,
    pacing_scene const& scene,
    std::span<filling_run> fillings);

/// The part of its speed at which a filling task of this image and share may be
/// added beside `others` without bringing a serving task over its target; 0 to
/// 1.
double bearable_pace(
    interference_model const& model,
    pacing_scene const& scene,
    std::span<filling_run const> others,
    image_number filling,
    double share);

} // namespace foxtaillift::jobs
