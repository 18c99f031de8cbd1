#include "placement.hpp"
#include "scheduler_core.hpp"
#include "urgency.hpp"

#include <algorithm>
#include <cstdlib>

namespace foxtaillift::jobs
{

namespace
{

constexpr int at_work = 100; // percent

/// Smaller changes of a pace are not worth an order.
constexpr int least_pace_change = 8; // percent

/// Until the next report (500 ms) has led to new paces, which take effect after
/// 100 ms.
constexpr base::duration pace_period = base::milliseconds(600);

/// Callers bear a serving task over its target for 4 s on end. Up to 1 s passes
/// until a report shows it, 0.15 s until paces take effect, and 0.9 s until a
/// tail of five times the target has fallen (time constant 0.55 s); the rest is
/// kept for a late look.
constexpr base::duration longest_exceeding = base::milliseconds(1500);

/// Reported tails are rough by a twentieth. Above this part of the target a
/// task that was over it may still be.
constexpr double certainly_met = 0.92;

/// A worker is slow if all its serving tasks have less than this part of the
/// margin that is expected of them; at least so many, with such a margin.
constexpr double slow_share = 0.1;
constexpr std::size_t judged_tasks = 2;
constexpr double judgeable_margin = 0.7;

/// A worker whose serving tasks have less margin left is looked at often: the
/// load takes up to this much until a usual look (1 s) returns.
constexpr double watched_margin = 0.6;

/// At a slower pace a filling task hardly works.
constexpr int slowed_pace = 45; // percent

/// An order of a pace may be due for one of the filling runs.
bool is_any_pace_due(
    std::span<occupancy* const> taken,
    std::span<run_entry* const> runs,
    base::instant now)
{
    for (std::size_t i = 0; i < runs.size(); ++i) {
        if (runs[i]->pace != taken[i]->percent ||
            now < runs[i]->pace_doubtful_until) {
            return true;
        }
    }
    return false;
}

void note_pace(run_entry& run, int percent, base::instant now)
{
    if (percent >= slowed_pace) {
        run.slowed_since.reset();
    } else if (!run.slowed_since) {
        run.slowed_since = now;
    }
}

} // namespace

void scheduler::implementation::update_pace(
    std::size_t index, std::span<located_run const> running, base::instant now)
{
    auto& worker = this->workers[index];
    worker.paced.reset();
    worker.served.clear();
    worker.fillings.clear();
    worker.is_tight = false;
    worker.filling_used = 0;
    auto const capacity = static_cast<double>(
        std::max<std::int64_t>(1, worker.info.capacity.processors));
    std::map<image_number, double> shares;
    std::vector<occupancy*> filling_entries;
    std::vector<run_entry*> filling_runs;
    for (auto const& [reported, taken, entry] : running) {
        if (!taken->is_filling) {
            continue;
        }
        worker.filling_used += reported->recent;
        shares[taken->image] +=
            static_cast<double>(reported->recent) / capacity;
        auto const* const queue = this->queue_of(*taken->job);
        worker.fillings.push_back(
            {.image = taken->image,
             .full_share =
                 static_cast<double>(taken->need.processors) / capacity,
             .percent = taken->percent,
             .urgency = queue == nullptr ? 1
                                         : urgency_of(
                                               *taken->job, *queue, *entry,
                                               reported->run.task.step, now)});
        filling_entries.push_back(taken);
        filling_runs.push_back(entry);
    }
    this->update_served(index, running, shares, now);
    worker.versatility =
        this->mix.versatility(this->interference, worker.serving_images());
    if (worker.served.empty() || worker.fillings.empty()) {
        for (std::size_t i = 0; i < filling_entries.size(); ++i) {
            filling_entries[i]->percent = at_work;
            note_pace(*filling_runs[i], at_work, now);
        }
        for (auto& run : worker.fillings) {
            run.percent = at_work;
        }
        worker.is_pace_due |=
            is_any_pace_due(filling_entries, filling_runs, now);
        return;
    }
    double const margin_left =
        set_paces(this->interference, scene_of(worker), worker.fillings);
    int slowed = 0;
    for (std::size_t i = 0; i < filling_entries.size(); ++i) {
        auto const percent = worker.fillings[i].percent;
        auto& current = filling_entries[i]->percent;
        slowed += percent < at_work ? 1 : 0;
        bool const is_stop_or_full = percent == 0 || percent == at_work;
        if (std::abs(percent - current) >= least_pace_change ||
            (is_stop_or_full && percent != current)) {
            current = percent;
        }
        note_pace(*filling_runs[i], current, now);
    }
    worker.is_pace_due |= is_any_pace_due(filling_entries, filling_runs, now);
    worker.is_tight = slowed > 0 || margin_left < watched_margin;
}

void scheduler::implementation::update_served(
    std::size_t index,
    std::span<located_run const> running,
    std::map<image_number, double> const& shares,
    base::instant now)
{
    auto& worker = this->workers[index];
    std::vector<image_use> uses;
    uses.reserve(shares.size());
    for (auto const& [image, share] : shares) {
        uses.push_back({.image = image, .share = share});
    }
    std::vector<serving_reading> readings;
    for (auto const& [reported, taken, entry] : running) {
        if (!taken->is_serving || reported->percent < at_work ||
            reported->recent <= 0) {
            continue;
        }
        auto& job = *taken->job;
        readings.push_back(
            {.run = &reported->run,
             .taken = taken,
             .headroom =
                 &job.steps.edit(job.step_slot(reported->run.task)).headroom,
             .tail_over_target = static_cast<double>(reported->recent) /
                                 static_cast<double>(taken->tail_target_ms)});
    }
    this->update_slowness(index, readings, uses);
    auto const capacity = static_cast<double>(
        std::max<std::int64_t>(1, worker.info.capacity.processors));
    for (auto const& reading : readings) {
        auto& history = worker.histories[*reading.run];
        if (worker.is_slow) {
            history = {}; // its tails say nothing of load or harm
        } else {
            history.on_report(
                this->interference, *reading.headroom, reading.taken->image,
                reading.tail_over_target, uses, now);
        }
        if (reading.tail_over_target > 1) {
            worker.exceeding_since.emplace(*reading.run, now);
        } else if (reading.tail_over_target < certainly_met) {
            worker.exceeding_since.erase(*reading.run);
        }
        auto const exceeding = worker.exceeding_since.find(*reading.run);
        bool const may_exceed = exceeding == worker.exceeding_since.end() ||
                                now - exceeding->second < longest_exceeding;
        // Whatever the model says, a task over its target for long gets rid of
        // everything that may disturb it.
        auto const next = now + pace_period;
        double const headroom = may_exceed ? std::min(
                                                 reading.headroom->at(now),
                                                 reading.headroom->at(next))
                                           : 0;
        double const load = std::max(
            reading.headroom->load_at(now), reading.headroom->load_at(next));
        double const share =
            static_cast<double>(reading.taken->need.processors) / capacity;
        worker.served.push_back(
            {.image = reading.taken->image,
             .headroom = headroom,
             .deviation = reading.headroom->deviation_at(next),
             .share = share,
             .use = share * load,
             .may_exceed = may_exceed && !worker.is_slow});
    }
}

void scheduler::implementation::update_slowness(
    std::size_t index,
    std::span<serving_reading const> readings,
    std::span<image_use const> uses)
{
    std::size_t judged = 0;
    std::size_t slow = 0;
    for (auto const& reading : readings) {
        double const expected =
            reading.headroom->last() -
            this->interference.harm(reading.taken->image, uses);
        if (reading.headroom->is_followed() && expected > judgeable_margin) {
            ++judged;
            slow += 1 / reading.tail_over_target < slow_share * expected;
        }
    }
    auto& worker = this->workers[index];
    if (judged < judged_tasks) {
        return;
    }
    bool const is_slow = slow == judged;
    if (is_slow != worker.is_slow) {
        this->log(base::event_line{is_slow ? "worker_slow" : "worker_speed"}
                      .add("worker", worker.info.id)
                      .add("judged_tasks", judged)
                      .add("slow_tasks", slow));
        worker.is_slow = is_slow;
    }
}

} // namespace foxtaillift::jobs
