#include "job_table.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

std::string_view to_string(run_release reason)
{
    switch (reason) {
    case run_release::none:
        return "none";
    case run_release::ended:
        return "ended";
    case run_release::absent:
        return "absent";
    case run_release::not_started:
        return "not_started";
    case run_release::lease_over:
        return "lease_over";
    case run_release::other_worker:
        return "other_worker";
    }
    return "none";
}

namespace
{

/// The longest chains of estimates that end before and begin after each step.
void find_chains(job_entry& job)
{
    auto const& steps = job.spec.steps;
    job.chain_before.assign(steps.size(), {});
    job.chain_after.assign(steps.size(), {});
    for (std::size_t i = 0; i < steps.size(); ++i) {
        for (auto const dependency : steps[i].depends_on) {
            job.chain_before[i] = std::max(
                job.chain_before[i],
                job.chain_before[dependency] + steps[dependency].estimate);
        }
    }
    for (std::size_t i = steps.size(); i-- > 0;) {
        for (auto const dependency : steps[i].depends_on) {
            job.chain_after[dependency] = std::max(
                job.chain_after[dependency],
                job.chain_after[i] + steps[i].estimate);
        }
        job.chain =
            std::max(job.chain, job.chain_before[i] + steps[i].estimate);
    }
}

/// Of one task, by its estimate [core-ms].
double work_of_task(step const& step)
{
    constexpr double core = 1000;
    return static_cast<double>(step.estimate.ms) *
           static_cast<double>(step.need.processors) / core;
}

void apply(job_entry& job, job_progress const& progress)
{
    job.state = progress.state;
    job.durable_state = progress.state;
    job.is_started = progress.state != job_state::queued;
    auto const count = std::min(progress.done.size(), job.tasks.size());
    for (std::size_t i = 0; i < count; ++i) {
        job.tasks[i].is_done = progress.done[i];
    }
    for (auto const& record : progress.tasks) {
        if (record.ordinal < job.tasks.size()) {
            auto& task = job.tasks[record.ordinal];
            task.attempt = record.attempt;
            task.failed_attempts = record.failed_attempts;
            task.checkpoint = record.checkpoint;
        }
    }
}

void count_tasks(job_entry& job)
{
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        auto& step = job.steps[job.step_slot(job.name_of(i))];
        if (job.tasks[i].is_done) {
            ++step.done;
            ++job.done;
        } else {
            ++step.idle;
            ++job.idle;
        }
    }
}

} // namespace

std::size_t job_entry::tasks_in_occurrence() const
{
    std::size_t count = 0;
    for (auto const& step : this->spec.steps) {
        count += step.count;
    }
    return count;
}

std::size_t job_entry::step_slot(task_name const& name) const
{
    return std::size_t{name.occurrence} * this->spec.steps.size() + name.step;
}

std::size_t
job_entry::first_task(std::uint32_t occurrence, std::uint32_t step) const
{
    std::size_t first = occurrence * this->tasks_in_occurrence();
    for (std::uint32_t i = 0; i < step; ++i) {
        first += this->spec.steps[i].count;
    }
    return first;
}

std::optional<std::size_t> job_entry::ordinal(task_name const& name) const
{
    if (name.occurrence >= this->spec.occurrences() ||
        name.step >= this->spec.steps.size() ||
        name.index >= this->spec.steps[name.step].count) {
        return std::nullopt;
    }
    return this->first_task(name.occurrence, name.step) + name.index;
}

task_name job_entry::name_of(std::size_t ordinal) const
{
    auto const each = this->tasks_in_occurrence();
    task_name name{
        .job = this->spec.id,
        .occurrence = static_cast<std::uint32_t>(ordinal / each)};
    auto rest = static_cast<std::uint32_t>(ordinal % each);
    while (rest >= this->spec.steps[name.step].count) {
        rest -= this->spec.steps[name.step].count;
        ++name.step;
    }
    name.index = rest;
    return name;
}

bool job_entry::is_ready(std::uint32_t occurrence, std::uint32_t step) const
{
    auto const first = std::size_t{occurrence} * this->spec.steps.size();
    auto const& depends = this->spec.steps[step].depends_on;
    return std::all_of(depends.begin(), depends.end(), [&](auto dependency) {
        return this->steps[first + dependency].done ==
               this->spec.steps[dependency].count;
    });
}

std::size_t job_entry::waiting_tasks() const
{
    std::size_t count = 0;
    auto const each = this->spec.steps.size();
    for (std::size_t slot = 0; slot < this->steps.size(); ++slot) {
        auto const occurrence = static_cast<std::uint32_t>(slot / each);
        auto const step = static_cast<std::uint32_t>(slot % each);
        if (this->steps[slot].idle > 0 && this->is_ready(occurrence, step)) {
            count += this->steps[slot].idle;
        }
    }
    return count;
}

base::duration job_entry::chain_left() const
{
    base::duration longest{};
    if (this->spec.repeats > 0) {
        return longest;
    }
    for (std::size_t i = 0; i < this->spec.steps.size(); ++i) {
        auto const& step = this->spec.steps[i];
        if (this->steps[i].done < step.count) {
            auto const own =
                this->steps[i].idle > 0 ? step.estimate : base::duration{};
            longest = std::max(longest, own + this->chain_after[i]);
        }
    }
    return longest;
}

double job_entry::work_left() const
{
    constexpr double left_of_run = 0.5;
    double sum = 0;
    if (this->spec.repeats > 0) {
        return sum;
    }
    for (std::size_t i = 0; i < this->spec.steps.size(); ++i) {
        auto const& step = this->spec.steps[i];
        auto const& entry = this->steps[i];
        if (!step.is_lasting) {
            double const waiting = entry.idle;
            double const runs = step.count - entry.done - entry.idle;
            sum += (waiting + left_of_run * runs) * work_of_task(step);
        }
    }
    return sum;
}

job_progress job_entry::progress() const
{
    job_progress result{.state = this->state};
    result.done.resize(this->tasks.size());
    for (std::size_t i = 0; i < this->tasks.size(); ++i) {
        auto const& task = this->tasks[i];
        result.done[i] = task.is_done;
        if (!task.is_done && (!task.failed_attempts.empty() ||
                              task.attempt > 1 || !task.checkpoint.empty())) {
            result.tasks.push_back(
                {.ordinal = static_cast<std::uint32_t>(i),
                 .attempt = task.attempt,
                 .failed_attempts = task.failed_attempts,
                 .checkpoint = task.checkpoint});
        }
    }
    return result;
}

bool is_racing(step const& step)
{
    return step.may_race && !step.is_gang && !step.is_lasting;
}

job_entry make_entry(
    job_spec spec, std::optional<job_progress> progress, base::instant now)
{
    job_entry job;
    job.spec = std::move(spec);
    job.seen_at = now;
    find_chains(job);
    for (auto const& step : job.spec.steps) {
        job.work += step.count * work_of_task(step);
    }
    job.has_racing_step =
        std::any_of(job.spec.steps.begin(), job.spec.steps.end(), is_racing);
    job.steps.resize(job.spec.occurrences() * job.spec.steps.size());
    job.tasks.resize(job.spec.occurrences() * job.tasks_in_occurrence());
    if (progress) {
        apply(job, *progress);
    }
    count_tasks(job);
    return job;
}

} // namespace foxtaillift::jobs
