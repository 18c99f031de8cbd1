/// Keeps workers free of serving tasks that few filling tasks can work beside.
/// As jobs come and go, single serving tasks are left on workers whose other
/// processors only some filling images can use, while workers with tasks of the
/// same image have room.
#include "placement.hpp"
#include "scheduler_core.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

namespace
{

/// Between two runs; the demand of filling tasks changes within seconds.
constexpr base::duration regrouping_interval = base::milliseconds(500);

/// Processors that filling tasks gain by each serving task that moves, in
/// thousandths of a core. A move takes some 2 s, in which the callers of a
/// serving task lose what two seconds of one filling core are worth; the place
/// stays free for several seconds.
constexpr double least_gain = 500;

/// Moves in one run: a part of the fleet, so that a job never loses many of its
/// tasks at once.
constexpr std::size_t least_moves = 4;
constexpr std::size_t workers_by_move = 16;

/// Candidates that are looked at in one run, best first.
constexpr std::size_t candidates_limit = 16;

/// A task that has just started, perhaps since it was moved, stays.
constexpr base::duration least_stay = base::seconds(4);

std::vector<image_number>
without(std::vector<image_number> images, image_number image)
{
    std::erase(images, image);
    return images;
}

bool has(std::vector<image_number> const& images, image_number image)
{
    return std::find(images.begin(), images.end(), image) != images.end();
}

double gain_by_task(regrouping const& wanted)
{
    return wanted.gain / static_cast<double>(wanted.runs.size());
}

} // namespace

filling_room
scheduler::implementation::room_of(worker_entry const& worker) const
{
    return {
        .serving = worker.serving_images(),
        .processors = std::max(0.0, scene_of(worker).unused_processors) *
                      static_cast<double>(worker.info.capacity.processors)};
}

void scheduler::implementation::regroup_serving(base::instant now)
{
    if (!this->is_recovered || now - this->regrouped_at < regrouping_interval) {
        return;
    }
    this->regrouped_at = now;
    std::vector<filling_room> rooms;
    double wanted = 0;
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto const& worker = this->workers[i];
        if (is_usable(worker, now)) {
            rooms.push_back(this->room_of(worker));
            wanted += static_cast<double>(worker.filling_processors);
        }
    }
    this->mix.update(this->interference, rooms, wanted);

    std::size_t moves =
        std::max(least_moves, this->workers.size() / workers_by_move);
    std::set<std::size_t> taken;
    for (auto const& candidate : this->find_regroupings(now)) {
        if (candidate.runs.size() > moves || taken.contains(candidate.worker)) {
            continue;
        }
        auto const targets = this->find_targets(candidate, taken, now);
        if (!targets) {
            continue;
        }
        moves -= candidate.runs.size();
        taken.insert(candidate.worker);
        taken.insert(targets->begin(), targets->end());
        for (std::size_t i = 0; i < candidate.runs.size(); ++i) {
            auto const& run = candidate.runs[i];
            auto const place = this->find_task(run.task);
            place.job->tasks[place.ordinal].avoided_worker = candidate.worker;
            this->log(
                base::event_line{"run_regrouped"}
                    .add("task", to_string(run.task))
                    .add("attempt", run.attempt)
                    .add("worker", this->workers[candidate.worker].info.id)
                    .add("target", this->workers[(*targets)[i]].info.id)
                    .add("tasks", candidate.runs.size())
                    .add(
                        "gained_processors",
                        static_cast<std::int64_t>(candidate.gain)));
            this->stop_run(candidate.worker, run);
        }
    }
}

std::vector<regrouping>
scheduler::implementation::find_regroupings(base::instant now) const
{
    std::vector<regrouping> found;
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto const& worker = this->workers[i];
        if (!is_usable(worker, now)) {
            continue;
        }
        auto const room = this->room_of(worker);
        double const before = this->mix.usable(this->interference, room);
        for (auto const image : room.serving) {
            double const gain = this->mix.usable(
                                    this->interference,
                                    {.serving = without(room.serving, image),
                                     .processors = room.processors}) -
                                before;
            if (gain < least_gain) {
                continue;
            }
            regrouping candidate{
                .worker = i,
                .image = image,
                .runs = this->movable_serving(i, image, now),
                .gain = gain};
            if (!candidate.runs.empty() &&
                gain_by_task(candidate) >= least_gain) {
                found.push_back(std::move(candidate));
            }
        }
    }
    std::sort(
        found.begin(), found.end(),
        [](regrouping const& left, regrouping const& right) {
            return std::pair{gain_by_task(left), right.worker} >
                   std::pair{gain_by_task(right), left.worker};
        });
    if (found.size() > candidates_limit) {
        found.resize(candidates_limit);
    }
    return found;
}

std::vector<run_name> scheduler::implementation::movable_serving(
    std::size_t index, image_number image, base::instant now) const
{
    std::vector<run_name> result;
    for (auto const& [run, taken] : this->workers[index].runs) {
        if (!taken.is_serving || taken.image != image) {
            continue;
        }
        auto const* const job = this->find_job(run.task.job);
        if (job == nullptr || is_final(job->state) ||
            this->stops.contains({index, run})) {
            return {};
        }
        // Where unavailability is limited, a stop may be one too many.
        auto const& step = job->spec.steps[run.task.step];
        auto const& runs = job->tasks[*job->ordinal(run.task)].runs;
        bool const is_movable = !step.max_unavailable && !step.is_gang &&
                                runs.size() == 1 &&
                                runs.front().phase == run_phase::running &&
                                now - runs.front().started_at >= least_stay;
        if (!is_movable) {
            return {};
        }
        result.push_back(run);
    }
    return result;
}

std::optional<std::vector<std::size_t>> scheduler::implementation::find_targets(
    regrouping const& wanted,
    std::set<std::size_t> const& taken,
    base::instant now) const
{
    double left = wanted.gain;
    std::vector<std::size_t> targets;
    std::map<std::size_t, resources> claims;
    for (auto const& run : wanted.runs) {
        auto const* const job = this->find_job(run.task.job);
        auto const& step = job->spec.steps[run.task.step];
        auto const first = job->first_task(run.task.occurrence, run.task.step);
        auto const own = runs_by_worker(*job, first, step.count);
        std::optional<std::size_t> best;
        double best_loss = 0;
        double best_load = 0;
        for (std::size_t i = 0; i < this->workers.size(); ++i) {
            auto const& worker = this->workers[i];
            auto after = worker.used;
            after += step.need;
            after += claims[i];
            if (i == wanted.worker || !after.fits_in(worker.info.capacity) ||
                taken.contains(i) || !is_usable(worker, now) ||
                worker.is_slow) {
                continue;
            }
            auto const mine = own.find(i);
            placement_wish const wish{
                .wanted = &step,
                .image = wanted.image,
                .own_runs = mine == own.end() ? 0 : mine->second};
            auto room = this->room_of(worker);
            if (find_obstacle(worker, wish) != obstacle::none ||
                room.serving.empty()) {
                continue;
            }
            double loss = 0;
            if (!has(room.serving, wanted.image)) {
                loss = this->mix.usable(this->interference, room);
                room.serving.push_back(wanted.image);
                loss -= this->mix.usable(this->interference, room);
            }
            double const load =
                static_cast<double>(after.processors) /
                static_cast<double>(worker.info.capacity.processors);
            if (!best ||
                std::pair{-loss, load} > std::pair{-best_loss, best_load}) {
                best = i;
                best_loss = loss;
                best_load = load;
            }
        }
        left -= best_loss + least_gain;
        if (!best || left < 0) {
            return std::nullopt;
        }
        claims[*best] += step.need;
        targets.push_back(*best);
    }
    return targets;
}

} // namespace foxtaillift::jobs
