#include "foxtaillift/jobs/progress.hpp"
#include "foxtaillift/jobs/rows.hpp"

#include "scheduler_core.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::jobs
{

namespace
{

/// Over the 120 s for which callers may ask for a job's state, at the highest
/// rate of jobs expected in two years (97,000 a day, tens a second at a peak).
constexpr std::size_t ended_limit = 20'000;

} // namespace

occupancy scheduler::implementation::occupancy_of(step const& step)
{
    return {
        .need = step.need,
        .is_filling = step.is_filling,
        .is_serving = step.is_lasting && step.tail_target_ms > 0,
        .is_lasting = step.is_lasting,
        .tail_target_ms = step.tail_target_ms,
        .image = this->interference.number_of(step.image)};
}

scheduler::implementation::implementation(scheduler_options settings)
    : options(std::move(settings))
    , inherited_lease(options.longest_lease)
{}

void scheduler::implementation::log(base::event_line const& line) const
{
    if (this->options.log) {
        this->options.log(line);
    }
}

void scheduler::implementation::set_queues(std::vector<queue> list)
{
    this->queues.clear();
    for (auto& entry : list) {
        auto name = entry.name;
        this->queues.emplace(std::move(name), std::move(entry));
    }
    this->is_configured = true;
    this->log_dropped_queues();
    // Ends may be reported before the first configuration is known.
    for (auto& [id, job] : this->jobs) {
        for (auto const& [ordinal, task] : job->tasks.entries()) {
            this->end_if_exhausted(*job, ordinal);
        }
    }
}

void scheduler::implementation::log_dropped_queues() const
{
    struct job_counts
    {
        std::size_t unfinished = 0;
        std::size_t without_terms = 0;
    };
    std::map<std::string_view, job_counts> dropped;
    for (auto const& [id, job] : this->jobs) {
        if (!is_final(job->state) && !this->queues.contains(job->spec.queue)) {
            auto& counts = dropped[job->spec.queue];
            ++counts.unfinished;
            counts.without_terms += job->spec.terms ? 0 : 1;
        }
    }
    for (auto const& [name, counts] : dropped) {
        this->log(base::event_line{"queue_dropped"}
                      .add("queue", name)
                      .add("unfinished_jobs", counts.unfinished)
                      .add("without_terms", counts.without_terms));
    }
}

queue const* scheduler::implementation::queue_of(job_entry const& job) const
{
    auto const found = this->queues.find(job.spec.queue);
    if (found != this->queues.end()) {
        return &found->second;
    }
    // Before a configuration is known, the queue may still be there.
    return this->is_configured && job.spec.terms ? &*job.spec.terms : nullptr;
}

bool scheduler::implementation::is_asked_for(
    job_entry const& job, std::string_view queue) const
{
    if (job.spec.queue == queue) {
        return true;
    }
    auto const asked = this->queues.find(queue);
    return job.spec.terms && asked != this->queues.end() &&
           !this->queues.contains(job.spec.queue) &&
           job.spec.terms->address == asked->second.address;
}

job_entry* scheduler::implementation::find_job(std::string_view id)
{
    auto const found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : found->second.get();
}

job_entry const* scheduler::implementation::find_job(std::string_view id) const
{
    auto const found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : found->second.get();
}

task_place scheduler::implementation::find_task(task_name const& task)
{
    auto* const job = this->find_job(task.job);
    if (job == nullptr) {
        return {};
    }
    auto const ordinal = job->ordinal(task);
    return ordinal ? task_place{job, *ordinal} : task_place{};
}

run_entry*
scheduler::implementation::find_run(std::size_t worker, run_name const& run)
{
    auto& runs = this->workers[worker].runs;
    auto const found = runs.find(run);
    return found == runs.end() ? nullptr : find_run(worker, run, found->second);
}

run_entry* scheduler::implementation::find_run(
    std::size_t worker, run_name const& run, occupancy const& taken)
{
    if (taken.job == nullptr) {
        return nullptr;
    }
    auto* const task = taken.job->tasks.find(taken.ordinal);
    if (task == nullptr) {
        return nullptr;
    }
    for (auto& entry : task->runs) {
        if (entry.worker == worker && entry.attempt == run.attempt) {
            return &entry;
        }
    }
    return nullptr;
}

void scheduler::implementation::mark_dirty(job_entry& job)
{
    if (!job.is_dirty) {
        job.is_dirty = true;
        this->dirty.push_back(job.spec.id);
    }
}

void scheduler::implementation::add_job(
    job_spec spec, std::optional<job_progress> progress, base::instant now)
{
    if (this->jobs.contains(spec.id) || this->ended.contains(spec.id)) {
        return;
    }
    auto id = spec.id;
    auto job = std::make_unique<job_entry>(
        make_entry(std::move(spec), std::move(progress), now));
    // A deposed leader may have started what was stored before it stopped
    // granting leases, however late its row comes here.
    job->is_inherited =
        !this->is_recovered &&
        !(this->majority_at &&
          this->jobs_read > *this->majority_at + majority_window);
    this->prefer_returned(*job);
    this->log(base::event_line{"job_added"}
                  .add("job", id)
                  .add("queue", job->spec.queue)
                  .add("steps", job->spec.steps.size())
                  .add("tasks", job->tasks.size())
                  .add("done", job->done)
                  .add("state", to_string(job->state)));
    if (is_final(job->state)) {
        this->mark_dirty(*job); // its rows are still to be removed
    } else if (job->done == job->tasks.size()) {
        this->end_job(*job, job_state::completed, "all tasks are done");
    }
    auto& added =
        *this->jobs.emplace(std::move(id), std::move(job)).first->second;
    this->adopt_orphans(added, now);
    this->update_memory(added);
    for (auto const& [ordinal, task] : added.tasks.entries()) {
        this->end_if_exhausted(added, ordinal);
    }
}

void scheduler::implementation::adopt_orphans(job_entry& job, base::instant now)
{
    auto const found = this->orphans.find(job.spec.id);
    if (found == this->orphans.end()) {
        return;
    }
    auto const runs = std::move(found->second);
    this->orphans.erase(found);
    for (auto const& orphan : runs) {
        auto const ordinal = job.ordinal(orphan.run.task);
        if (!ordinal) {
            this->stop_run(orphan.worker, orphan.run);
            continue;
        }
        this->workers[orphan.worker].release(orphan.run); // without a size
        this->open_run(
            job, *ordinal,
            {.worker = orphan.worker,
             .attempt = orphan.run.attempt,
             .phase = run_phase::running,
             .settled_at = now,
             .percent = orphan.percent,
             .pace = -1},
            now);
        if (is_final(job.state) || job.tasks.is_done(*ordinal)) {
            this->stop_run(orphan.worker, orphan.run);
        }
    }
}

void scheduler::implementation::forget_orphan(
    std::size_t worker, run_name const& run)
{
    auto const found = this->orphans.find(run.task.job);
    if (found == this->orphans.end()) {
        return;
    }
    std::erase_if(found->second, [&](orphan_run const& each) {
        return each.worker == worker && each.run == run;
    });
    if (found->second.empty()) {
        this->orphans.erase(found);
    }
}

void scheduler::implementation::keep_ended(std::string id, job_state state)
{
    if (!this->ended.emplace(id, state).second) {
        return;
    }
    this->ended_order.push_back(std::move(id));
    if (this->ended_order.size() > ended_limit) {
        this->ended.erase(this->ended_order.front());
        this->ended_order.pop_front();
    }
}

void scheduler::implementation::cancel_job(std::string_view id, base::instant)
{
    auto* const job = this->find_job(id);
    if (job != nullptr && !is_final(job->state)) {
        this->end_job(*job, job_state::cancelled, "cancelled by its caller");
    }
}

void scheduler::implementation::end_job(
    job_entry& job, job_state state, std::string_view reason)
{
    job.state = state;
    this->log(base::event_line{"job_ended"}
                  .add("job", job.spec.id)
                  .add("state", to_string(state))
                  .add("reason", reason)
                  .add("open_runs", job.open_runs));
    this->stop_all(job);
    this->mark_dirty(job);
}

void scheduler::implementation::stop_all(job_entry& job)
{
    if (job.open_runs == 0) {
        return;
    }
    for (auto const& [ordinal, task] : job.tasks.entries()) {
        for (auto const& run : task.runs) {
            this->stop_run(run.worker, {job.name_of(ordinal), run.attempt});
        }
    }
}

void scheduler::implementation::stop_run(
    std::size_t worker, run_name const& run)
{
    this->stops.try_emplace({worker, run});
}

void scheduler::implementation::open_run(
    job_entry& job, std::size_t ordinal, run_entry run, base::instant now)
{
    auto& task = job.tasks.edit(ordinal);
    auto const name = job.name_of(ordinal);
    if (task.runs.empty() && !job.tasks.is_done(ordinal)) {
        --job.idle;
        --job.steps.edit(job.step_slot(name)).idle;
    }
    task.attempt = std::max(task.attempt, run.attempt);
    auto& worker = this->workers[run.worker];
    worker.occupy(
        {name, run.attempt}, this->occupancy_of(job.spec.steps[name.step]));
    auto& taken = worker.runs.at({name, run.attempt});
    taken.job = &job;
    taken.ordinal = ordinal;
    auto const& step = job.spec.steps[name.step];
    if (step.is_filling) {
        this->mix.add(
            this->interference.number_of(step.image), step.need.processors);
    }
    run.started_at = now;
    run.progressed_at = now;
    task.runs.push_back(run);
    ++job.open_runs;
    this->update_memory(job);
    if (!job.is_started) {
        job.is_started = true;
        if (job.state == job_state::queued) {
            job.state = job_state::running;
            this->mark_dirty(job);
        }
    }
}

void scheduler::implementation::close_run(
    job_entry& job,
    std::size_t ordinal,
    std::size_t worker,
    std::uint32_t attempt,
    run_release reason)
{
    auto* const begun = job.tasks.find(ordinal);
    if (begun == nullptr) {
        return;
    }
    auto& task = *begun;
    auto const found = std::find_if(
        task.runs.begin(), task.runs.end(), [&](run_entry const& run) {
            return run.worker == worker && run.attempt == attempt;
        });
    if (found == task.runs.end()) {
        return;
    }
    auto const name = job.name_of(ordinal);
    task.runs.erase(found);
    task.released_by = reason;
    if (reason != run_release::not_started) {
        // Under a lease that is over, it may have ended just after that report.
        task.last_present =
            std::max(task.last_present, this->workers[worker].heard_at);
    }
    this->workers[worker].release({name, attempt});
    this->stops.erase({worker, {name, attempt}});
    --job.open_runs;
    if (task.runs.empty() && !job.tasks.is_done(ordinal)) {
        ++job.idle;
        ++job.steps.edit(job.step_slot(name)).idle;
    }
    job.tasks.trim(ordinal);
    if (is_final(job.state) && job.open_runs == 0) {
        this->mark_dirty(job); // its rows can be removed now
    }
}

void scheduler::implementation::lose_runs(
    std::size_t worker, run_release reason, base::instant now)
{
    auto& lost = this->workers[worker];
    // Ends that were listed before the lease ran out bind nobody.
    lost.blocked.clear();
    lost.has_unlisted_ends = false;
    auto const runs = lost.runs;
    if (runs.empty()) {
        return;
    }
    this->log(base::event_line{"runs_lost"}
                  .add("worker", lost.info.id)
                  .add("runs", runs.size())
                  .add("reason", to_string(reason))
                  .add("heard", lost.is_heard)
                  .add("silent_ms", now - lost.heard_at)
                  .add("lease_age_ms", now - lost.granted_at));
    for (auto const& [run, taken] : runs) {
        this->log(base::event_line{"run_lost"}
                      .add("task", to_string(run.task))
                      .add("attempt", run.attempt)
                      .add("worker", lost.info.id)
                      .add("reason", to_string(reason)));
        if (auto const place = this->find_task(run.task)) {
            this->close_run(
                *place.job, place.ordinal, worker, run.attempt, reason);
        } else {
            this->workers[worker].release(run);
            this->stops.erase({worker, run});
            this->forget_orphan(worker, run);
        }
    }
}

bool scheduler::implementation::is_removable(job_entry const& job) const
{
    // Workers that have not reported yet may have runs of an inherited job.
    return is_final(job.state) && job.open_runs == 0 &&
           (this->is_recovered || !job.is_inherited);
}

commit_batch scheduler::implementation::take_commit(std::size_t row_limit)
{
    commit_batch batch;
    if (this->is_commit_out) {
        return batch;
    }
    std::size_t taken = 0;
    std::size_t rows = 0;
    std::size_t bytes = 0;
    for (; taken < this->dirty.size(); ++taken) {
        auto* const job = this->find_job(this->dirty[taken]);
        if (job == nullptr) {
            continue;
        }
        bool const is_removal = this->is_removable(*job);
        auto progress = job->progress();
        rows += is_removal ? commit_batch::rows_of_removal : 1;
        bytes += is_removal ? 0 : size_bound(progress);
        if ((rows > row_limit || bytes > longest_values) &&
            !batch.items.empty()) {
            break; // but one job is always written
        }
        job->is_dirty = false;
        job->is_committing = true;
        batch.items.push_back(
            {.job = job->spec.id,
             .progress = std::move(progress),
             .is_removal = is_removal});
    }
    this->dirty.erase(
        this->dirty.begin(),
        this->dirty.begin() + static_cast<std::ptrdiff_t>(taken));
    this->add_durable_ends(batch);
    this->is_commit_out = !batch.items.empty();
    return batch;
}

void scheduler::implementation::add_durable_ends(commit_batch& batch)
{
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto& worker = this->workers[i];
        auto durable = worker.acknowledged;
        for (auto const& [number, run] : worker.unacknowledged) {
            auto const* const job = this->find_job(run.task.job);
            if (job != nullptr && job->is_dirty) {
                break; // its changes stay out of this batch
            }
            durable = number;
        }
        if (durable <= worker.acknowledged) {
            continue;
        }
        if (batch.items.empty()) {
            this->acknowledge(worker, durable);
        } else {
            batch.ends.push_back({i, worker.born_ms, durable});
        }
    }
}

void scheduler::implementation::acknowledge(
    worker_entry& worker, std::int64_t number)
{
    worker.acknowledged = std::max(worker.acknowledged, number);
    while (!worker.unacknowledged.empty() &&
           worker.unacknowledged.front().first <= worker.acknowledged) {
        worker.unacknowledged.pop_front();
    }
}

void scheduler::implementation::on_committed(commit_batch const& batch)
{
    this->is_commit_out = false;
    for (auto const& ends : batch.ends) {
        auto& worker = this->workers[ends.worker];
        // A worker that was born again meanwhile counts from 1 anew.
        if (ends.born_ms == worker.born_ms) {
            this->acknowledge(worker, ends.number);
        }
    }
    for (auto const& item : batch.items) {
        auto* const job = this->find_job(item.job);
        if (job == nullptr) {
            continue;
        }
        job->is_committing = false;
        job->durable_state = item.progress.state;
        this->update_memory(*job);
        if (!item.is_removal) {
            continue;
        }
        this->keep_ended(item.job, item.progress.state);
        this->forget_job(*job);
    }
}

void scheduler::implementation::update_memory(job_entry& job)
{
    auto const bytes = job.bytes();
    this->job_memory += bytes - std::exchange(job.counted_bytes, bytes);
}

void scheduler::implementation::forget_job(job_entry& job)
{
    this->job_memory -= job.counted_bytes;
    // A run that a worker reported while its job was being removed is over
    // when the worker says so.
    for (auto const& [ordinal, task] : job.tasks.entries()) {
        for (auto const& run : task.runs) {
            auto& runs = this->workers[run.worker].runs;
            auto const found = runs.find({job.name_of(ordinal), run.attempt});
            if (found != runs.end()) {
                found->second.job = nullptr;
            }
        }
    }
    this->jobs.erase(this->jobs.find(job.spec.id));
}

void scheduler::implementation::on_commit_failed(commit_batch const& batch)
{
    this->is_commit_out = false;
    for (auto const& item : batch.items) {
        if (auto* const job = this->find_job(item.job)) {
            job->is_committing = false;
            this->mark_dirty(*job);
        }
    }
}

} // namespace foxtaillift::jobs
