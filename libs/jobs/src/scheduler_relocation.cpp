/// Moves filling tasks from workers whose serving tasks leave them no room.
#include "scheduler_core.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

namespace
{

/// A task that hardly works for this long is moved. A move takes up to a
/// second until the stop is reported and the checkpoint restored, while the
/// load of a service swings within 10 to 14 s.
constexpr base::duration slowed_patience = base::milliseconds(800);

/// The task is to have at least this part of its speed after the move.
constexpr double speed_worth_moving = 0.6;

/// Without a checkpoint the work done so far is lost.
constexpr int expendable_work = 10; // percent

/// Searches compare many workers: between two runs of them, and in one run.
constexpr base::duration relocation_interval = base::milliseconds(100);
constexpr std::size_t relocations_in_run = 8;

} // namespace

void scheduler::implementation::relocate_slowed(base::instant now)
{
    if (now - this->relocated_at < relocation_interval) {
        return;
    }
    this->relocated_at = now;
    this->relocations_left = relocations_in_run;
    for (std::size_t i = 0;
         i < this->workers.size() && this->relocations_left > 0; ++i) {
        auto const index = this->next_relocated++ % this->workers.size();
        if (this->workers[index].is_tight &&
            this->workers[index].silent_looks == 0) {
            this->relocate_from(index, now);
        }
    }
}

bool scheduler::implementation::is_relocatable(
    std::size_t worker,
    run_name const& run,
    run_entry const& entry,
    base::instant now) const
{
    if (entry.phase != run_phase::running || !entry.slowed_since ||
        now - *entry.slowed_since < slowed_patience ||
        this->stops.contains({worker, run})) {
        return false;
    }
    auto const* const job = this->find_job(run.task.job);
    auto const& step = job->spec.steps[run.task.step];
    return !is_final(job->state) && !step.is_gang && !step.is_lasting &&
           (step.has_checkpoints || entry.percent <= expendable_work);
}

void scheduler::implementation::relocate_from(
    std::size_t index, base::instant now)
{
    auto const& worker = this->workers[index];
    for (auto const& [run, taken] : worker.runs) {
        auto const* const entry =
            taken.is_filling ? this->find_run(index, run) : nullptr;
        if (entry == nullptr ||
            !this->is_relocatable(index, run, *entry, now)) {
            continue;
        }
        if (this->relocations_left == 0) {
            return;
        }
        --this->relocations_left;
        auto const* const job = this->find_job(run.task.job);
        std::map<std::size_t, std::size_t> const own_runs;
        auto const found = this->find_worker(
            *job, {.wanted = &job->spec.steps[run.task.step],
                   .image = taken.image,
                   .own_runs = own_runs,
                   .avoided = index,
                   .least_speed = speed_worth_moving,
                   .advice = this->advice_on(*job, run.task)});
        if (!found.worker || *found.worker == index) {
            continue;
        }
        auto& target = this->workers[*found.worker];
        // Until its next report other tasks are not moved to the same room.
        target.add_filling(
            {.image = taken.image,
             .full_share = static_cast<double>(taken.need.processors) /
                           static_cast<double>(std::max<std::int64_t>(
                               1, target.info.capacity.processors))});
        this->log(base::event_line{"run_relocated"}
                      .add("task", to_string(run.task))
                      .add("attempt", run.attempt)
                      .add("worker", worker.info.id)
                      .add("target", target.info.id)
                      .add("percent", entry->percent)
                      .add("pace", taken.percent)
                      .add("slowed_ms", now - *entry->slowed_since));
        this->stop_run(index, run);
    }
}

} // namespace foxtaillift::jobs
