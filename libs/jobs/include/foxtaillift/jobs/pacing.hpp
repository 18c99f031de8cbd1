/// How fast the filling tasks of a worker may work beside its serving tasks.
#pragma once

#include "foxtaillift/jobs/interference.hpp"

#include <cstdint>
#include <span>

#include <boost/container/small_vector.hpp>

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
    double use = 0;         ///< of the worker's processors, by its load
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
    /// Part of the worker's processors that other tasks leave unused. Filling
    /// tasks that are paced for more work no faster, but slow serving tasks
    /// down, whatever the images.
    double unused_processors = 1;
};

/// A worker has room for about ten serving tasks and as many filling ones.
template <class Value>
using few_values = boost::container::small_vector<Value, 16>;

/// What filling tasks take of the margins of the serving tasks beside them.
/// Valid while the model and the serving tasks of the scene exist.
class paced_worker
{
public:
    paced_worker(interference_model const& learned, pacing_scene const& scene);

    /// Adds a filling task at its pace.
    void add(filling_run const& run);
    /// Adds filling work on a part of the processors, by harms_of() its image.
    void add(few_values<double> const& harms, double share);

    /// Fall of each serving task's margin by a unit of share of the image.
    [[nodiscard]] few_values<double> harms_of(image_number image) const;
    /// No task that may not exceed its target is expected to.
    [[nodiscard]] bool is_allowed() const;
    /// All serving tasks keep their targets for certain.
    [[nodiscard]] bool is_harmless() const;
    /// What the users of serving tasks lose that are over their target because
    /// of filling tasks.
    [[nodiscard]] double loss() const;
    /// The least margin above 1 that a serving task has left.
    [[nodiscard]] double least_margin() const;
    /// Part of the worker's processors that nothing uses.
    [[nodiscard]] double unused() const { return this->processors; }
    /// The part of its speed at which one more filling task of this image and
    /// share may work without bringing a serving task over its target; 0 to 1.
    [[nodiscard]] double
    bearable_pace(image_number filling, double share) const;

private:
    [[nodiscard]] double find_pace(image_number filling, double share) const;

    /// A pace that was found; tasks of one step ask for the same.
    struct answer
    {
        image_number filling = 0;
        double share = 0;
        double pace = 0;
    };

    interference_model const* model;
    std::span<served_run const> served;
    double processors;        ///< unused, part of all
    few_values<double> falls; ///< of the margins, by serving task
    double own_loss = 0;      ///< without filling tasks, in reserved share
    mutable few_values<answer> answers{}; ///< until something is added
};

/// Sets the paces of the filling tasks of one worker so that their work is
/// worth most, less what the users of serving tasks over their target lose.
/// Returns the least margin above 1 that a serving task has left.
double set_paces(
    interference_model const& model,
    pacing_scene const& scene,
    std::span<filling_run> fillings);

} // namespace foxtaillift::jobs
