#include "placement.hpp"

#include "serving_load.hpp"

#include <algorithm>
#include <cmath>

namespace foxtaillift::jobs
{

namespace
{

// Weights of the cost. A full worker costs 1, so that a weight of 1 outweighs
// any difference in load.

/// A task far from its data takes 1.5 to 2 times as long.
constexpr double other_rack_cost = 0.8;
/// A worker that failed the last run may fail the next.
constexpr double doubt_cost = 2.0;
constexpr double avoided_cost = 4.0;
/// On a slow worker a task takes several times as long.
constexpr double slow_cost = 4.0;
/// Spreads a step, so that a lost worker takes the least with it.
constexpr double own_run_cost = 0.1;
/// Of the processors of a worker that filling tasks cannot use any more since
/// a serving task disturbed by them is there. Outweighs any difference in load.
constexpr double lost_room_cost = 20.0;
/// Of a worker that suits every filling image, to one that suits few: what
/// disturbs only some services leaves the others to the rest.
constexpr double versatility_cost = 0.6;
/// Of each unit by which the margin of a serving task falls.
constexpr double disturbance_cost = 1.0;

double capacity_of(worker_entry const& worker)
{
    return static_cast<double>(
        std::max<std::int64_t>(1, worker.info.capacity.processors));
}

double share_of(worker_entry const& worker, step const& wanted)
{
    return static_cast<double>(wanted.need.processors) / capacity_of(worker);
}

bool has_label(worker_entry const& worker, std::string const& label)
{
    auto const& labels = worker.info.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool is_allowed(worker_entry const& worker, placement_wish const& wish)
{
    auto const& wanted = *wish.wanted;
    if (!wanted.required_label.empty() &&
        !has_label(worker, wanted.required_label)) {
        return false;
    }
    return wanted.tasks_per_worker == 0 ||
           wish.own_runs < wanted.tasks_per_worker;
}

obstacle missing_room(worker_entry const& worker, step const& wanted)
{
    resources after = worker.used;
    after += worker.kept;
    after += wanted.need;
    auto const& capacity = worker.info.capacity;
    if (!wanted.is_filling && after.processors > capacity.processors) {
        return obstacle::processors;
    }
    return after.memory_mb > capacity.memory_mb         ? obstacle::memory
           : after.accelerators > capacity.accelerators ? obstacle::accelerators
                                                        : obstacle::none;
}

double processor_load(worker_entry const& worker, step const& wanted)
{
    return static_cast<double>(
               worker.used.processors + wanted.need.processors) /
           capacity_of(worker);
}

/// The part of its speed that the processors left over allow to one more
/// filling task.
double speed_by_processors(
    worker_entry const& worker, pacing_scene const& scene, step const& wanted)
{
    auto const wished =
        static_cast<double>(worker.filling_processors + wanted.need.processors);
    return std::clamp(
        scene.unused_processors * capacity_of(worker) / std::max(1.0, wished),
        0.0, 1.0);
}

double disturbance(
    worker_entry const& worker,
    interference_model const& model,
    placement_wish const& wish)
{
    double harm = 0;
    for (auto const& each : worker.served) {
        harm = std::max(harm, model.harm(each.image, wish.image));
    }
    return disturbance_cost * harm * share_of(worker, *wish.wanted);
}

} // namespace

pacing_scene scene_of(worker_entry const& worker)
{
    double const capacity = capacity_of(worker);
    double const serving =
        static_cast<double>(worker.serving_processors) / capacity;
    double unused =
        1 - static_cast<double>(worker.used.processors) / capacity + serving;
    double reported = 0;
    for (auto const& each : worker.served) {
        unused -= each.use;
        reported += each.share;
    }
    // The others have just started.
    unused -= mean_serving_load * std::max(0.0, serving - reported);
    return {.served = worker.served, .unused_processors = unused};
}

paced_worker const&
paces_of(worker_entry const& worker, interference_model const& model)
{
    if (!worker.paced) {
        worker.paced.emplace(model, scene_of(worker));
        for (auto const& run : worker.fillings) {
            worker.paced->add(run);
        }
    }
    return *worker.paced;
}

double filling_speed(
    worker_entry const& worker,
    interference_model const& model,
    placement_wish const& wish)
{
    auto const& wanted = *wish.wanted;
    double const by_processors =
        speed_by_processors(worker, scene_of(worker), wanted);
    if (by_processors < wish.least_speed) {
        return by_processors; // saves the search for the pace
    }
    return std::min(
        by_processors,
        paces_of(worker, model)
            .bearable_pace(wish.image, share_of(worker, wanted)));
}

obstacle find_obstacle(worker_entry const& worker, placement_wish const& wish)
{
    return worker.trust.is_trial_out() ? obstacle::unusable
           : is_allowed(worker, wish)  ? missing_room(worker, *wish.wanted)
                                       : obstacle::not_allowed;
}

placement_verdict judge_placement(
    worker_entry const& worker,
    interference_model const& model,
    placement_wish const& wish)
{
    auto const& wanted = *wish.wanted;
    bool const is_serving = wanted.is_lasting && wanted.tail_target_ms > 0;
    double cost = processor_load(worker, wanted);
    if (is_serving) {
        // Serving tasks are packed, so that some workers stay without any:
        // there filling tasks disturb nobody.
        cost = 1 - cost +
               lost_room_cost * wish.lost_versatility *
                   std::max(0.0, scene_of(worker).unused_processors);
    } else if (wanted.is_filling) {
        double const speed = filling_speed(worker, model, wish);
        if (speed < wish.least_speed) {
            return {.why = obstacle::speed};
        }
        cost = 1 - speed + disturbance(worker, model, wish) +
               versatility_cost * worker.versatility;
    }
    cost += own_run_cost * static_cast<double>(wish.own_runs);
    cost += worker.trust.is_doubtful() ? doubt_cost : 0;
    cost += wish.is_avoided ? avoided_cost : 0;
    cost += worker.is_slow ? slow_cost : 0;
    if (!wanted.preferred_rack.empty() &&
        !has_label(worker, wanted.preferred_rack)) {
        cost += other_rack_cost;
    }
    if (wanted.is_rack_bound && !wish.own_rack.empty() &&
        wish.own_rack != worker.info.rack) {
        cost += other_rack_cost;
    }
    return {.cost = cost};
}

} // namespace foxtaillift::jobs
