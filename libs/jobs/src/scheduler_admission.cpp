/// What a new job would wait for.
#include "admission_control.hpp"
#include "scheduler_core.hpp"
#include "urgency.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

namespace
{

constexpr double thousandths = 1000;

/// Of one task, in core-milliseconds, by its estimate.
double work_of(step const& step)
{
    return static_cast<double>(step.estimate.ms) *
           static_cast<double>(step.need.processors) / thousandths;
}

void add_work(work_amounts& sum, step const& step, std::uint32_t tasks)
{
    auto& amount = step.is_filling ? sum.filling : sum.ordinary;
    amount += work_of(step) * tasks;
}

/// Its end can be predicted, and there is a time by which it is worth nothing.
bool is_predictable(job_spec const& spec)
{
    return spec.repeats == 0 &&
           std::all_of(
               spec.steps.begin(), spec.steps.end(), [](step const& each) {
                   return !each.is_lasting && each.estimate.ms > 0;
               });
}

char const* name_of(work_kind kind)
{
    return kind == work_kind::ordinary ? "ordinary" : "filling";
}

} // namespace

admission_verdict scheduler::implementation::decide_admission(
    job_spec const& spec, base::instant now)
{
    auto const found = this->queues.find(spec.queue);
    if (found == this->queues.end() || !this->is_recovered ||
        !is_predictable(spec)) {
        return {};
    }
    auto const& queue = found->second;
    auto& control = this->admissions[queue.service];
    if (control.is_stale(now)) {
        control.take_backlog(
            this->waiting_work_of(queue.service, now),
            this->capacity_of(queue.service, now), now);
    }
    bool const is_calm = std::none_of(
        all_work_kinds.begin(), all_work_kinds.end(),
        [&](work_kind kind) { return control.is_overloaded(kind, now); });
    if (is_calm || !this->are_all_heard(queue.service)) {
        return {};
    }
    auto const job = make_entry(spec, std::nullopt, now);
    new_job wanted{
        .id = spec.id,
        .priority = queue.priority,
        .objective = objective_of(job, queue),
        .chain = job.chain};
    for (auto const& step : spec.steps) {
        add_work(wanted.work, step, step.count);
    }
    auto verdict = control.decide(wanted, now);
    this->rejections[queue.name] += verdict.is_rejected ? 1 : 0;
    return verdict;
}

std::vector<waiting_work> scheduler::implementation::waiting_work_of(
    std::string_view service, base::instant now) const
{
    std::vector<waiting_work> result;
    for (auto const& [id, job] : this->jobs) {
        auto const& spec = job->spec;
        if (is_final(job->state) || job->idle == 0 || spec.repeats > 0) {
            continue;
        }
        auto const* const queue = this->queue_of(*job);
        if (queue == nullptr || queue->service != service) {
            continue;
        }
        auto const objective = objective_of(*job, *queue);
        auto const age = now - job->seen_at;
        if (age > objective * worthless_factor) {
            continue;
        }
        waiting_work waiting{
            .priority = queue->priority,
            .arrived_at = job->seen_at,
            .is_in_time = age <= objective};
        for (std::size_t i = 0; i < spec.steps.size(); ++i) {
            if (!spec.steps[i].is_lasting) {
                add_work(waiting.work, spec.steps[i], job->steps.idle(i));
            }
        }
        if (waiting.work.total() > 0) {
            result.push_back(waiting);
        }
    }
    return result;
}

fleet_rate scheduler::implementation::capacity_of(
    std::string_view service, base::instant now) const
{
    fleet_rate result;
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto const& worker = this->workers[i];
        if (worker.info.service != service || !is_usable(worker, now)) {
            continue;
        }
        auto const capacity =
            static_cast<double>(worker.info.capacity.processors) / thousandths;
        double served = 0;
        for (auto const& each : worker.served) {
            served += each.use;
        }
        result.ordinary +=
            capacity -
            static_cast<double>(worker.serving_processors) / thousandths;
        result.filling += capacity * std::max(0.0, 1 - served);
    }
    return result;
}

bool scheduler::implementation::are_all_heard(std::string_view service) const
{
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto const& worker = this->workers[i];
        if (worker.info.service == service && worker.is_listed &&
            !worker.is_heard && !worker.is_gone) {
            return false;
        }
    }
    return true;
}

void scheduler::implementation::note_work_done(
    job_entry const& job, step const& done)
{
    auto const* const queue = this->queue_of(job);
    if (queue == nullptr || done.is_lasting) {
        return;
    }
    auto const found = this->admissions.find(queue->service);
    if (found != this->admissions.end()) {
        found->second.on_done(
            done.is_filling ? work_kind::filling : work_kind::ordinary,
            work_of(done));
    }
}

void scheduler::implementation::prefer_returned(job_entry& job) const
{
    auto const* const queue = this->queue_of(job);
    if (queue == nullptr) {
        return;
    }
    auto const control = this->admissions.find(queue->service);
    if (control == this->admissions.end()) {
        return;
    }
    if (auto const first = control->second.first_arrival(job.spec.id)) {
        // It must not count as late, which its caller's last request is not.
        auto const half = objective_of(job, *queue) / 2;
        job.seen_at = std::max(*first, job.seen_at - half);
    }
}

std::vector<admission_load>
scheduler::implementation::admission(base::instant now) const
{
    std::vector<admission_load> result;
    for (auto const& [service, control] : this->admissions) {
        for (auto const kind : all_work_kinds) {
            auto const since = control.overloaded_since(kind, now);
            result.push_back(
                {.service = service,
                 .kind = name_of(kind),
                 .is_overloaded = control.is_overloaded(kind, now),
                 .overloaded = since ? now - *since : base::duration{},
                 .waiting_ms = control.waiting(kind),
                 .processors = control.rate(kind, now),
                 .rejected = control.rejected(),
                 .returned = control.returned()});
        }
    }
    return result;
}

} // namespace foxtaillift::jobs
