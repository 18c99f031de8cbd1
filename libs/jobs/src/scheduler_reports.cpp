#include "scheduler_core.hpp"
#include "stall.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

namespace
{

/// Most ends that one report can hold; with as many, more may follow.
constexpr std::size_t ends_in_report = 500;

/// A run that works for this long works as it should: a worker that fails what
/// it starts does so within 0.2 s.
constexpr base::duration sound_after = base::milliseconds(500);

/// A lasting task that fails later than this says nothing of its worker.
constexpr base::duration served_after = base::milliseconds(3000);

/// Wait between looks at a worker that does not answer.
constexpr base::duration silent_look_gap = base::milliseconds(300);
constexpr base::duration longest_silent_gap = base::milliseconds(1000);

/// Between looks at a worker that obeys another holder, doubled thrice.
constexpr base::duration fenced_look_gap = base::milliseconds(8000);

/// Wait before a task that was refused is ordered again.
constexpr base::duration refused_gap = base::milliseconds(200);

constexpr int at_work = 100; // percent

/// Follows how much of its work a run does in which time at full speed.
void measure_work(
    run_entry& run,
    reported_run const& reported,
    step const& step,
    base::instant now)
{
    if (run.first_percent < 0) {
        run.first_percent = reported.percent;
        run.first_percent_at = now;
    } else {
        double const speed =
            step.is_filling && step.need.processors > 0
                ? std::min(
                      1.0, static_cast<double>(reported.recent) /
                               static_cast<double>(step.need.processors))
                : 1;
        run.worked_ms +=
            speed * static_cast<double>((now - run.measured_at).ms);
    }
    run.measured_at = now;
}

} // namespace

void scheduler::implementation::on_look(
    std::size_t index,
    order_status status,
    worker_report const& report,
    base::instant sent_at,
    base::instant now,
    bool is_extra)
{
    auto& worker = this->workers[index];
    if (is_extra) {
        worker.is_extra_look_out = false;
        if (status != order_status::done && status != order_status::fenced) {
            return; // the usual look tells whether the worker is silent
        }
    } else {
        worker.is_look_out = false;
        worker.look_due = now;
        if (status == order_status::unknown && worker.heard_sent_at > sent_at) {
            worker.is_look_lost = true;
            this->note_lost_answer(index, now);
            return; // it has answered a later one
        }
    }
    if (status == order_status::done) {
        this->take_report(index, report, sent_at, now);
        return;
    }
    if (status == order_status::fenced) {
        this->note_fenced(index, now);
        return;
    }
    if (status == order_status::other_life && sent_at < worker.moved_at) {
        return; // who answers at a former address says nothing of this one
    }
    if (status == order_status::other_life) {
        worker.is_gone = true;
        this->lose_runs(index, run_release::other_worker, now);
        worker.look_due = now + longest_silent_gap;
        return;
    }
    // A refused connection is no more than silence: whatever stands between may
    // refuse it while the worker runs on.
    ++worker.silent_looks;
    if (worker.silent_looks == 1) {
        this->log(base::event_line{"worker_silent"}
                      .add("worker", worker.info.id)
                      .add("status", to_string(status))
                      .add("silent_ms", now - worker.heard_at)
                      .add("runs", worker.runs.size()));
    }
    worker.look_due = now + std::min(
                                longest_silent_gap,
                                silent_look_gap * (worker.silent_looks - 1));
}

/// Sets the worker aside. Its refusal need not mean that another host leads: it
/// may obey a holder of its own.
void scheduler::implementation::note_fenced(
    std::size_t index, base::instant now)
{
    auto& worker = this->workers[index];
    if (worker.refusals > 0 && now < worker.look_due) {
        return; // other orders that were out with the refused one
    }
    constexpr int longest_doubling = 3;
    worker.look_due =
        now +
        fenced_look_gap * (1 << std::min(worker.refusals, longest_doubling));
    ++worker.refusals;
    ++worker.silent_looks;
    this->log(base::event_line{"worker_fenced"}
                  .add("worker", worker.info.id)
                  .add("token", this->options.token)
                  .add("refusals", worker.refusals)
                  .add("runs", worker.runs.size()));
    // While it refuses, further refusals tell nothing new.
    if (worker.refusals == 1) {
        this->fenced_at = now;
    }
}

void scheduler::implementation::take_report(
    std::size_t index,
    worker_report const& report,
    base::instant sent_at,
    base::instant now)
{
    auto& worker = this->workers[index];
    if (worker.former.contains(report.born_ms, now)) {
        return; // it answered before its end
    }
    if (worker.silent_looks > 0 || !worker.is_heard) {
        this->log(base::event_line{"worker_heard"}
                      .add("worker", worker.info.id)
                      .add("born_ms", report.born_ms)
                      .add("running", report.running.size())
                      .add("ended", report.ended.size()));
    }
    bool const is_born_again =
        worker.born_ms != 0 && worker.born_ms != report.born_ms;
    if (!is_born_again && worker.clock.is_overtaken(report.clock_ms)) {
        return; // an answer on another connection was faster
    }
    if (is_born_again) {
        // Which runs are lost shows below: a start that was sent after this
        // look may have reached the new life.
        this->log(base::event_line{"worker_restarted"}
                      .add("worker", worker.info.id)
                      .add("born_ms", report.born_ms)
                      .add("listed_born_ms", worker.info.born_ms)
                      .add("runs", worker.runs.size()));
        worker.former.add(worker.born_ms, now);
        worker.processed = 0;
        worker.acknowledged = 0;
        worker.unacknowledged.clear();
        worker.blocked.clear();
    }
    bool const is_first = is_born_again || !worker.is_heard;
    if (is_first) {
        // What runs there may have the longest lease of an earlier leader. An
        // order for the life before may give the next one the platform's.
        auto const longest =
            is_born_again ? this->options.longest_lease : this->inherited_lease;
        worker.leased_until_ms = report.clock_ms + longest.ms;
        worker.granted_at = now;
    }
    worker.born_ms = report.born_ms;
    worker.is_heard = true;
    worker.inherited_until.reset();
    worker.is_lease_unknown = false;
    worker.is_gone = false;
    worker.silent_looks = 0;
    worker.refusals = 0;
    worker.is_look_lost = false;
    worker.heard_at = now;
    worker.heard_sent_at = std::max(worker.heard_sent_at, sent_at);
    worker.clock.on_answer(report.clock_ms, now);

    for (auto const& end : report.ended) {
        if (end.number > worker.processed) {
            if (!this->is_end_readable(index, end, now)) {
                this->hold_unread_ends(index, report.ended, now);
                break;
            }
            worker.blocked.erase(end.number);
            worker.processed = end.number;
            worker.unacknowledged.emplace_back(end.number, end.run);
            this->on_end(index, end, now);
        }
    }
    bool const is_full = report.ended.size() >= ends_in_report;
    if (is_full && is_first) {
        this->log(base::event_line{"ends_unlisted"}
                      .add("worker", worker.info.id)
                      .add("listed_to", report.ended.back().number));
    }
    worker.has_unlisted_ends =
        is_full && (is_first || worker.has_unlisted_ends);
    bool const is_all_read =
        report.ended.empty() || report.ended.back().number <= worker.processed;
    if (is_all_read) {
        worker.blocked.clear();
    }
    auto const number = ++worker.reports;
    // A run whose end cannot be taken over yet is not lost.
    for (auto const& end : report.ended) {
        auto const found = end.number > worker.processed
                               ? worker.runs.find(end.run)
                               : worker.runs.end();
        if (found != worker.runs.end()) {
            found->second.report = number;
        }
    }
    std::vector<occupancy*> taken;
    taken.reserve(report.running.size());
    for (auto const& reported : report.running) {
        taken.push_back(this->on_running(index, reported, now));
        taken.back()->report = number;
    }
    if (!is_full) {
        std::vector<run_name> absent;
        for (auto const& [run, present] : worker.runs) {
            if (present.report != number) {
                absent.push_back(run);
            }
        }
        for (auto const& run : absent) {
            this->on_absent(index, run, sent_at, now);
        }
    }
    this->update_pace(index, locate(index, report.running, taken), now);
}

std::vector<located_run> scheduler::implementation::locate(
    std::size_t index,
    std::span<reported_run const> running,
    std::span<occupancy* const> taken)
{
    std::vector<located_run> result;
    result.reserve(running.size());
    for (std::size_t i = 0; i < running.size(); ++i) {
        auto* const entry = find_run(index, running[i].run, *taken[i]);
        if (entry != nullptr) {
            result.push_back(
                {.reported = &running[i], .taken = taken[i], .entry = entry});
        }
    }
    return result;
}

void scheduler::implementation::hold_unread_ends(
    std::size_t index, std::span<reported_end const> ends, base::instant now)
{
    auto& worker = this->workers[index];
    for (auto const& end : ends) {
        if (end.number <= worker.processed) {
            continue;
        }
        worker.blocked.emplace(end.number, now);
        // Its task must not start while the end may still be acknowledged.
        if (!worker.runs.contains(end.run)) {
            this->adopt(
                index, {.run = end.run, .checkpoint = end.checkpoint}, now);
        }
    }
}

bool scheduler::implementation::is_end_readable(
    std::size_t index, reported_end const& end, base::instant now)
{
    if (this->find_job(end.run.task.job) != nullptr ||
        this->ended.contains(end.run.task.job)) {
        return true;
    }
    auto const& worker = this->workers[index];
    auto const listed = worker.blocked.find(end.number);
    if (listed == worker.blocked.end() ||
        !this->is_job_missing(listed->second, now)) {
        return false;
    }
    this->log(base::event_line{"end_unclaimed"}
                  .add("task", to_string(end.run.task))
                  .add("attempt", end.run.attempt)
                  .add("worker", worker.info.id)
                  .add("number", end.number)
                  .add("waited_ms", now - listed->second));
    return true;
}

bool scheduler::implementation::is_job_missing(
    base::instant seen_at, base::instant now) const
{
    return now - seen_at >= unknown_job_grace && this->jobs_read >= seen_at;
}

void scheduler::implementation::on_end(
    std::size_t index, reported_end const& end, base::instant now)
{
    auto& worker = this->workers[index];
    auto const place = this->find_task(end.run.task);
    auto const* const run = this->find_run(index, end.run);
    auto const began_at = run ? run->started_at : base::instant{};
    // A lasting task that has served may fail by itself at any time.
    bool const has_served = run != nullptr && run->percent >= at_work &&
                            now - began_at >= served_after;
    bool const is_trial = worker.trust.is_trial(end.run);
    this->log(
        base::event_line{"run_ended"}
            .add("task", to_string(end.run.task))
            .add("attempt", end.run.attempt)
            .add("worker", worker.info.id)
            .add("outcome", to_string(end.outcome))
            .add("number", end.number)
            .add("known", run != nullptr)
            .add("ran_ms", run ? now - run->started_at : base::duration{}));
    if (!place) {
        worker.release(end.run);
        this->stops.erase({index, end.run});
        this->forget_orphan(index, end.run);
        return;
    }
    this->close_run(
        *place.job, place.ordinal, index, end.run.attempt, run_release::ended);
    auto const& task = place.job->tasks[place.ordinal];
    if (!place.job->tasks.is_done(place.ordinal)) {
        this->note_attempt(*place.job, place.ordinal, end);
    }
    bool const is_lasting = place.job->spec.steps[end.run.task.step].is_lasting;
    if (end.outcome == run_outcome::done) {
        worker.trust.on_success(began_at);
        if (!is_lasting) {
            this->on_done(*place.job, place.ordinal, end.run);
        }
    } else if (end.outcome == run_outcome::failed) {
        // A task that failed before is more likely at fault than its workers:
        // some jobs can never be done.
        bool const is_task_at_fault =
            is_lasting ? has_served : !task.failed_attempts.empty();
        if (is_trial || !is_task_at_fault) {
            this->doubt_worker(
                index, *place.job, place.ordinal, "runs fail", began_at, now);
        }
        this->on_failed(*place.job, place.ordinal, index, end.run.attempt);
    }
}

void scheduler::implementation::note_attempt(
    job_entry& job, std::size_t ordinal, reported_end const& end)
{
    auto& task = job.tasks.edit(ordinal);
    task.attempt = std::max(task.attempt, end.run.attempt);
    if (!end.checkpoint.empty() && end.checkpoint != task.checkpoint) {
        task.checkpoint = end.checkpoint;
        this->mark_dirty(job);
    }
}

void scheduler::implementation::doubt_worker(
    std::size_t index,
    job_entry const& job,
    std::size_t ordinal,
    std::string_view reason,
    base::instant began_at,
    base::instant now)
{
    auto& worker = this->workers[index];
    auto const barred = worker.trust.on_failure(job.spec.id, began_at, now);
    if (barred) {
        this->log(base::event_line{"worker_barred"}
                      .add("worker", worker.info.id)
                      .add("reason", reason)
                      .add("task", to_string(job.name_of(ordinal)))
                      .add("for_ms", *barred));
    }
}

void scheduler::implementation::on_done(
    job_entry& job, std::size_t ordinal, run_name const& run)
{
    auto const slot = job.step_slot(run.task);
    auto const& step = job.spec.steps[run.task.step];
    auto const mark = [&](std::size_t each) {
        if (job.tasks.is_done(each)) {
            return;
        }
        auto const& task = job.tasks[each];
        auto& entry = job.steps.edit(slot);
        if (task.runs.empty()) {
            --job.idle;
            --entry.idle;
        }
        job.tasks.set_done(each);
        ++job.done;
        ++entry.done;
        this->note_work_done(job, step);
        for (auto const& copy : task.runs) {
            if (!step.is_gang) {
                this->stop_run(copy.worker, {job.name_of(each), copy.attempt});
            }
        }
        job.tasks.trim(each);
    };
    if (step.is_gang) {
        auto const first = job.first_task(run.task.occurrence, run.task.step);
        for (std::size_t i = 0; i < step.count; ++i) {
            mark(first + i);
        }
    } else {
        mark(ordinal);
    }
    if (job.steps.done(slot) == step.count) {
        job.steps.finish(slot);
    }
    this->mark_dirty(job);
    if (job.done == job.tasks.size() && !is_final(job.state)) {
        this->end_job(job, job_state::completed, "all tasks are done");
    }
}

void scheduler::implementation::on_failed(
    job_entry& job,
    std::size_t ordinal,
    std::size_t index,
    std::uint32_t attempt)
{
    if (job.tasks.is_done(ordinal)) {
        return;
    }
    auto& task = job.tasks.edit(ordinal);
    task.avoided_worker = index;
    auto const name = job.name_of(ordinal);
    if (job.spec.steps[name.step].is_lasting) {
        return;
    }
    auto& failed = task.failed_attempts;
    if (std::find(failed.begin(), failed.end(), attempt) != failed.end()) {
        return;
    }
    failed.push_back(attempt);
    this->mark_dirty(job);
    this->end_if_exhausted(job, ordinal);
}

void scheduler::implementation::end_if_exhausted(
    job_entry& job, std::size_t ordinal)
{
    auto const* const queue = this->queue_of(job);
    auto const& task = job.tasks[ordinal];
    auto const failures = task.failed_attempts.size();
    if (queue == nullptr || failures < queue->max_attempts ||
        job.tasks.is_done(ordinal) || is_final(job.state)) {
        return;
    }
    this->end_job(
        job, job_state::failed,
        "task " + to_string(job.name_of(ordinal)) + " failed " +
            std::to_string(failures) + " times");
}

occupancy* scheduler::implementation::on_running(
    std::size_t index, reported_run const& reported, base::instant now)
{
    auto& worker = this->workers[index];
    auto found = worker.runs.find(reported.run);
    auto* const run = found == worker.runs.end()
                          ? nullptr
                          : find_run(index, reported.run, found->second);
    if (run == nullptr) {
        this->adopt(index, reported, now);
        return &worker.runs.at(reported.run);
    }
    auto& taken = found->second;
    if (run->phase != run_phase::running) {
        run->phase = run_phase::running;
        run->settled_at = now;
        worker.unresolved.erase(reported.run);
    }
    if (run->percent != reported.percent) {
        run->percent = reported.percent;
        run->progressed_at = now;
    }
    auto& job = *taken.job;
    measure_work(*run, reported, job.spec.steps[reported.run.task.step], now);
    if (!reported.checkpoint.empty()) {
        job.tasks.edit(taken.ordinal).checkpoint = reported.checkpoint;
    }
    bool const has_progressed = run->progressed_at > run->started_at;
    if (has_progressed && now - run->started_at >= sound_after) {
        worker.trust.on_progress(reported.run, run->started_at);
    }
    this->check_progress(index, reported.run, taken, now);
    return &taken;
}

void scheduler::implementation::adopt(
    std::size_t index, reported_run const& reported, base::instant now)
{
    auto& worker = this->workers[index];
    auto const place = this->find_task(reported.run.task);
    bool const is_known = worker.runs.contains(reported.run);
    if (!is_known) {
        this->log(base::event_line{"run_adopted"}
                      .add("task", to_string(reported.run.task))
                      .add("attempt", reported.run.attempt)
                      .add("worker", worker.info.id)
                      .add("job_known", static_cast<bool>(place)));
    }
    if (!place) {
        // The row of its job may still come; without it the run is stopped.
        worker.occupy(reported.run, {.is_unsized = true});
        if (this->ended.contains(reported.run.task.job)) {
            this->stop_run(index, reported.run);
        }
        auto& known = this->orphans[reported.run.task.job];
        auto const found = std::find_if(
            known.begin(), known.end(), [&](orphan_run const& each) {
                return each.worker == index && each.run == reported.run;
            });
        if (found == known.end()) {
            known.push_back({index, reported.run, now, reported.percent});
        } else if (this->is_job_missing(found->seen_at, now)) {
            this->stop_run(index, reported.run);
        }
        return;
    }
    auto& task = place.job->tasks.edit(place.ordinal);
    auto const& step = place.job->spec.steps[reported.run.task.step];
    bool const is_wanted = !is_final(place.job->state) &&
                           !place.job->tasks.is_done(place.ordinal) &&
                           (task.runs.empty() || step.may_race);
    this->open_run(
        *place.job, place.ordinal,
        {.worker = index,
         .attempt = reported.run.attempt,
         .phase = run_phase::running,
         .settled_at = now,
         .percent = reported.percent,
         .pace = -1},
        now);
    if (!reported.checkpoint.empty()) {
        task.checkpoint = reported.checkpoint;
    }
    if (!is_wanted) {
        this->stop_run(index, reported.run);
    }
}

void scheduler::implementation::on_absent(
    std::size_t index,
    run_name const& run,
    base::instant sent_at,
    base::instant now)
{
    auto& worker = this->workers[index];
    auto* const entry = this->find_run(index, run);
    if (entry == nullptr) {
        worker.release(run); // an unknown job's run that has ended
        this->stops.erase({index, run});
        this->forget_orphan(index, run);
        return;
    }
    if (entry->settled_at >= sent_at ||
        (entry->phase == run_phase::starting &&
         sent_at - entry->started_at < this->answers.overdue())) {
        return; // the report may be older than the run
    }
    if (entry->phase == run_phase::starting) {
        entry->phase = run_phase::unknown;
        this->note_lost_answer(index, now);
    }
    if (entry->phase == run_phase::unknown) {
        // The start may still be carried out; a stop rules that out.
        if (!entry->stop_confirmed_at) {
            this->stop_run(index, run);
            return;
        }
    }
    if (entry->stop_confirmed_at && *entry->stop_confirmed_at >= sent_at) {
        return;
    }
    auto* const job = this->find_job(run.task.job);
    this->log(base::event_line{"run_absent"}
                  .add("task", to_string(run.task))
                  .add("attempt", run.attempt)
                  .add("worker", worker.info.id)
                  .add("stop_confirmed", entry->stop_confirmed_at.has_value())
                  .add("since_start_ms", now - entry->started_at));
    this->close_run(
        *job, *job->ordinal(run.task), index, run.attempt, run_release::absent);
}

void scheduler::implementation::check_progress(
    std::size_t index,
    run_name const& run,
    occupancy const& taken,
    base::instant now)
{
    auto* const entry = find_run(index, run, taken);
    auto* const job = taken.job;
    auto const& step = job->spec.steps[run.task.step];
    if (step.is_gang || is_final(job->state) ||
        this->stops.contains({index, run})) {
        return;
    }
    if (step.is_lasting && entry->percent >= at_work) {
        return;
    }
    if (step.is_filling && entry->pace != at_work) {
        entry->progressed_at = now;
        return;
    }
    auto& task = job->tasks.edit(taken.ordinal);
    auto const limit = stall_limit(*entry, step, task.stalls);
    if (now - entry->progressed_at < limit) {
        return;
    }
    auto& worker = this->workers[index];
    this->log(base::event_line{"run_stuck"}
                  .add("task", to_string(run.task))
                  .add("attempt", run.attempt)
                  .add("worker", worker.info.id)
                  .add("percent", entry->percent)
                  .add("for_ms", now - entry->progressed_at)
                  .add("limit_ms", limit));
    this->doubt_worker(
        index, *job, taken.ordinal, "runs are stuck", entry->started_at, now);
    ++task.stalls;
    task.avoided_worker = index;
    this->stop_run(index, run);
}

void scheduler::implementation::on_start(
    std::size_t index,
    run_name const& run,
    order_status status,
    base::instant now)
{
    if (status == order_status::fenced) {
        this->note_fenced(index, now);
    }
    auto* const entry = this->find_run(index, run);
    auto* const job = this->find_job(run.task.job);
    bool const is_open =
        entry != nullptr && (entry->phase == run_phase::starting ||
                             entry->phase == run_phase::unknown);
    if (!is_open) {
        return; // a report was faster
    }
    if (entry->phase == run_phase::unknown &&
        (status == order_status::done || status == order_status::unknown)) {
        return; // it is being stopped
    }
    if (status == order_status::done) {
        this->answers.observe(now - entry->started_at);
        entry->phase = run_phase::running;
        entry->settled_at = now;
        return;
    }
    this->log(base::event_line{"start_failed"}
                  .add("task", to_string(run.task))
                  .add("attempt", run.attempt)
                  .add("worker", this->workers[index].info.id)
                  .add("status", to_string(status)));
    if (status == order_status::unknown) {
        entry->phase = run_phase::unknown;
        entry->settled_at = now;
        this->workers[index].unresolved.insert(run);
        this->note_unanswered(index, entry->started_at, now);
        return;
    }
    auto const ordinal = *job->ordinal(run.task);
    this->close_run(
        *job, ordinal, index, run.attempt, run_release::not_started);
    bool const is_done = job->tasks.is_done(ordinal); // by a copy
    if (!is_done) {
        job->tasks.edit(ordinal).not_before = now + refused_gap;
    }
    if (status == order_status::no_ticket) {
        job->steps.edit(job->step_slot(run.task)).advice.verdicts.erase(index);
        return; // the adviser is asked again
    }
    if (!is_done) {
        job->tasks.edit(ordinal).avoided_worker = index;
    }
    this->workers[index].look_due = now;
}

void scheduler::implementation::on_stop(
    std::size_t index,
    run_name const& run,
    order_status status,
    base::instant now)
{
    if (status == order_status::fenced) {
        this->note_fenced(index, now);
    }
    auto* const entry = this->find_run(index, run);
    if (entry == nullptr) {
        return;
    }
    if (status == order_status::done || status == order_status::outdated) {
        entry->stop_confirmed_at = now;
    }
}

} // namespace foxtaillift::jobs
