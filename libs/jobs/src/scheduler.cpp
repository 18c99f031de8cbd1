#include "foxtaillift/jobs/scheduler.hpp"

#include "scheduler_core.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

scheduler::scheduler(scheduler_options options)
    : impl(std::make_unique<implementation>(std::move(options)))
{}

scheduler::~scheduler() = default;

void scheduler::set_queues(std::vector<queue> queues)
{
    this->impl->set_queues(std::move(queues));
}

namespace
{

/// Since the worker wrote it; the list is followed with a pause, and an entry
/// may be used again later.
base::duration age_of_entry(worker_entry const& worker, base::instant now)
{
    if (!worker.clock.is_known() || worker.info.clock_ms <= 0) {
        return {};
    }
    return std::clamp(
        base::milliseconds(worker.clock.likely(now) - worker.info.clock_ms),
        base::duration{}, worker.info.remaining);
}

} // namespace

void scheduler::list_worker(worker_info const& worker, base::instant now)
{
    auto& entry = this->impl->workers[this->impl->workers.add(worker.id)];
    if (entry.former.contains(worker.born_ms, now)) {
        return;
    }
    if (entry.info.born_ms != worker.born_ms) {
        entry.former.add(entry.info.born_ms, now);
        entry.look_due = now;
    }
    if (entry.info.address != worker.address) {
        entry.is_gone = false;
        entry.look_due = now;
        entry.moved_at = now;
    }
    if (!entry.is_listed || entry.info.is_draining != worker.is_draining) {
        this->impl->log(base::event_line{"worker_listed"}
                            .add("worker", worker.id)
                            .add("address", worker.address)
                            .add("rack", worker.rack)
                            .add("draining", worker.is_draining)
                            .add("remaining_ms", worker.remaining)
                            .add("born_ms", worker.born_ms)
                            .add("processors", worker.capacity.processors));
    }
    entry.info = worker;
    this->impl->update_evacuated(entry);
    entry.is_listed = true;
    entry.leaves_at = now + worker.remaining - age_of_entry(entry, now);
}

void scheduler::recall_worker(worker_info const& worker, base::instant now)
{
    auto& entry = this->impl->workers[this->impl->workers.add(worker.id)];
    if (!entry.is_listed) {
        entry.info = worker;
        this->impl->update_evacuated(entry);
        entry.unlisted_at = now;
    }
}

void scheduler::unlist_worker(std::string_view worker, base::instant now)
{
    auto const index = this->impl->workers.find(worker);
    if (!index) {
        return;
    }
    auto& entry = this->impl->workers[*index];
    if (entry.is_listed) {
        this->impl->log(base::event_line{"worker_unlisted"}
                            .add("worker", worker)
                            .add("runs", entry.runs.size())
                            .add("silent_looks", entry.silent_looks));
        entry.is_listed = false;
        // Its runs stay: a worker that is cut off leaves the list as well.
        entry.unlisted_at = now;
    }
}

void scheduler::set_evacuated(
    std::string_view failure_domain, bool is_evacuated, base::instant now)
{
    this->impl->set_evacuated(failure_domain, is_evacuated, now);
}

void scheduler::take_longest_lease(base::duration recorded)
{
    this->impl->inherited_lease = recorded;
}

void scheduler::take_resignation(base::instant resigned_at, base::duration left)
{
    this->impl->resigned_leases_end =
        resigned_at + on_slow_clock(left) + lapse_margin;
}

void scheduler::begin_recovery(base::instant now)
{
    this->impl->is_recovered = false;
    this->impl->recovery_began = now;
    for (auto& [id, job] : this->impl->jobs) {
        job->is_inherited = true;
    }
}

std::vector<closed_worker> scheduler::close_workers(base::instant now)
{
    return this->impl->close_workers(now);
}

void scheduler::on_closed_recorded(std::span<closed_worker const> record)
{
    this->impl->on_closed_recorded(record);
}

void scheduler::take_closed(
    std::span<closed_worker const> record,
    base::instant now,
    base::duration age)
{
    this->impl->take_closed(record, now, age);
}

void scheduler::take_learned(std::string_view text)
{
    this->impl->interference.decode(text);
}

std::string scheduler::learned() const
{
    return this->impl->interference.encode();
}

void scheduler::add_job(
    job_spec job, std::optional<job_progress> progress, base::instant now)
{
    this->impl->add_job(std::move(job), std::move(progress), now);
}

void scheduler::on_jobs_read(base::instant stored_before)
{
    this->impl->jobs_read = std::max(this->impl->jobs_read, stored_before);
}

void scheduler::add_ended(std::string job, job_state state)
{
    this->impl->keep_ended(std::move(job), state);
}

admission_verdict
scheduler::decide_admission(job_spec const& job, base::instant now)
{
    return this->impl->decide_admission(job, now);
}

void scheduler::cancel_job(std::string_view job, base::instant now)
{
    this->impl->cancel_job(job, now);
}

void scheduler::on_look(
    std::string_view worker,
    order_status status,
    worker_report const& report,
    base::instant sent_at,
    base::instant now,
    bool is_extra)
{
    if (auto const index = this->impl->workers.find(worker)) {
        this->impl->on_look(*index, status, report, sent_at, now, is_extra);
    }
}

void scheduler::on_start(
    std::string_view worker,
    run_name const& run,
    order_status status,
    base::instant now)
{
    if (auto const index = this->impl->workers.find(worker)) {
        this->impl->on_start(*index, run, status, now);
    }
}

void scheduler::on_stop(
    std::string_view worker,
    run_name const& run,
    order_status status,
    base::instant now)
{
    if (auto const index = this->impl->workers.find(worker)) {
        this->impl->on_stop(*index, run, status, now);
    }
}

void scheduler::on_pace(
    std::string_view worker,
    run_name const& run,
    order_status status,
    base::instant now)
{
    if (auto const index = this->impl->workers.find(worker)) {
        this->impl->on_pace(*index, run, status, now);
    }
}

void scheduler::on_advice(
    advice_order const& asked,
    std::optional<advice> const& answer,
    base::instant now)
{
    this->impl->on_advice(asked, answer, now);
}

std::vector<worker_order>
scheduler::take_orders(base::instant now, std::int64_t wall_ms, bool may_grant)
{
    return this->impl->take_orders(now, wall_ms, may_grant);
}

commit_batch scheduler::take_commit(std::size_t limit)
{
    return this->impl->take_commit(limit);
}

void scheduler::on_committed(commit_batch const& batch)
{
    this->impl->on_committed(batch);
}

void scheduler::on_commit_failed(commit_batch const& batch)
{
    this->impl->on_commit_failed(batch);
}

bool scheduler::is_present(std::string_view job) const
{
    return this->impl->find_job(job) != nullptr;
}

std::optional<job_state> scheduler::state_of(std::string_view job) const
{
    if (auto const* const entry = this->impl->find_job(job)) {
        return entry->durable_state;
    }
    auto const found = this->impl->ended.find(job);
    if (found == this->impl->ended.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::size_t scheduler::pending(std::string_view queue) const
{
    std::size_t count = 0;
    for (auto const& [id, job] : this->impl->jobs) {
        bool const is_waiting =
            !job->is_started && job->spec.repeats == 0 && !is_final(job->state);
        count += is_waiting && this->impl->is_asked_for(*job, queue) ? 1 : 0;
    }
    return count;
}

bool scheduler::is_majority_heard(base::instant since, base::instant now) const
{
    return this->impl->is_majority_heard(since, now);
}

base::duration scheduler::usual_answer_time() const
{
    return this->impl->answers.usual();
}

bool scheduler::is_recovered(base::instant now) const
{
    return this->impl->update_recovery(now);
}

base::duration scheduler::longest_lease_held(base::instant now) const
{
    return this->impl->longest_lease_held(now);
}

std::optional<base::duration> scheduler::leases_left(base::instant now) const
{
    return this->impl->leases_left(now);
}

std::vector<worker_info const*>
scheduler::workers_in_use(base::instant now) const
{
    std::vector<worker_info const*> result;
    for (std::size_t i = 0; i < this->impl->workers.size(); ++i) {
        auto const& worker = this->impl->workers[i];
        if (this->impl->is_in_use(worker, now)) {
            result.push_back(&worker.info);
        }
    }
    return result;
}

std::optional<base::instant> scheduler::fenced_at() const
{
    return this->impl->fenced_at;
}

void scheduler::on_confirmed(base::instant asked_at)
{
    if (this->impl->fenced_at && asked_at > *this->impl->fenced_at) {
        this->impl->fenced_at.reset();
    }
}

std::size_t scheduler::running_count() const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->impl->workers.size(); ++i) {
        count += this->impl->workers[i].runs.size();
    }
    return count;
}

namespace
{

void add_prospect(fleet_load::queue_load& load, std::optional<prospect> found)
{
    load.in_time += found == prospect::in_time ? 1 : 0;
    load.late += found == prospect::late ? 1 : 0;
    load.worthless += found == prospect::worthless ? 1 : 0;
}

} // namespace

fleet_load scheduler::load(base::instant now) const
{
    fleet_load result;
    for (std::size_t i = 0; i < this->impl->workers.size(); ++i) {
        auto const& worker = this->impl->workers[i];
        if (worker.is_gone || !worker.is_listed) {
            continue;
        }
        ++result.workers;
        result.barred_workers += worker.trust.is_barred(now) ? 1 : 0;
        result.fenced_workers += worker.refusals > 0 ? 1 : 0;
        result.evacuated_workers += worker.is_evacuated ? 1 : 0;
        if (!implementation::is_usable(worker, now)) {
            continue;
        }
        ++result.usable_workers;
        result.capacity += worker.info.capacity;
        result.used += worker.used;
        result.serving_processors += worker.serving_processors;
        result.filling_processors += worker.filling_processors;
        result.filling_used += worker.filling_used;
        result.exceeding_runs += worker.exceeding_since.size();
        double const capacity =
            static_cast<double>(worker.info.capacity.processors);
        for (auto const& each : worker.served) {
            result.serving_used +=
                static_cast<std::int64_t>(each.use * capacity);
        }
        for (auto const& each : worker.fillings) {
            constexpr double full_speed = 100; // percent
            result.filling_paced += static_cast<std::int64_t>(
                each.full_share * capacity * each.percent / full_speed);
        }
    }
    for (auto const& [id, job] : this->impl->jobs) {
        result.job_memory += job->bytes();
        if (is_final(job->state)) {
            continue;
        }
        auto& queue = result.queues[job->spec.queue];
        ++queue.jobs;
        queue.running_tasks += job->open_runs;
        queue.waiting_tasks += job->waiting_tasks();
        add_prospect(queue, this->impl->prospect_of_job(*job, now));
        this->impl->add_lasting_waits(result, *job, now);
    }
    return result;
}

std::vector<admission_load> scheduler::admission(base::instant now) const
{
    return this->impl->admission(now);
}

std::map<std::string, std::size_t> const& scheduler::rejections() const
{
    return this->impl->rejections;
}

std::size_t scheduler::job_count() const
{
    return this->impl->jobs.size();
}

bool scheduler::has_memory_for(std::size_t size, bool is_scheduled) const
{
    auto const limit = this->impl->options.job_memory;
    auto const part = is_scheduled ? limit / 2 : limit;
    return limit == 0 || this->impl->job_memory + size <= part;
}

} // namespace foxtaillift::jobs
