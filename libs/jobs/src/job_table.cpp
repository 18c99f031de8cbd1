#include "job_table.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

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
        if (progress.done[i]) {
            job.tasks.set_done(i);
        }
    }
    for (auto const& record : progress.tasks) {
        if (record.ordinal < job.tasks.size() &&
            !job.tasks.is_done(record.ordinal)) {
            auto& task = job.tasks.edit(record.ordinal);
            task.attempt = record.attempt;
            task.failed_attempts = record.failed_attempts;
            task.checkpoint = record.checkpoint;
        }
    }
}

void count_tasks(job_entry& job)
{
    std::size_t ordinal = 0;
    for (std::size_t slot = 0; slot < job.steps.size(); ++slot) {
        auto const count = job.spec.steps[slot % job.spec.steps.size()].count;
        std::uint32_t done = 0;
        for (auto const end = ordinal + count; ordinal < end; ++ordinal) {
            done += job.tasks.is_done(ordinal) ? 1 : 0;
        }
        job.done += done;
        if (done == count) {
            job.steps.finish(slot);
        } else if (done > 0) {
            auto& step = job.steps.edit(slot);
            step.done = done;
            step.idle = count - done;
        }
    }
    job.idle = job.tasks.size() - job.done;
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
        return this->steps.done(first + dependency) ==
               this->spec.steps[dependency].count;
    });
}

bool job_entry::is_over(std::uint32_t occurrence) const
{
    auto const each = this->spec.steps.size();
    auto const first = occurrence * each;
    for (auto slot = first; slot < first + each; ++slot) {
        if (!this->steps.is_finished(slot)) {
            return false;
        }
    }
    return true;
}

std::vector<std::size_t> job_entry::idle_lasting_tasks() const
{
    constexpr std::uint32_t occurrences_regarded = 64;
    constexpr std::size_t tasks_regarded = 256; // of these
    std::vector<std::size_t> result;
    if (this->idle == 0 || !this->has_lasting_step) {
        return result;
    }
    auto const add = [&](std::size_t i) {
        if (this->tasks[i].runs.empty()) {
            result.push_back(i);
        }
    };
    auto const each = static_cast<std::uint32_t>(this->spec.steps.size());
    auto const end = std::min(
        this->spec.occurrences(), this->first_open + occurrences_regarded);
    bool const is_scheduled = this->spec.repeats > 0;
    for (auto k = this->first_open; k < end; ++k) {
        if (is_scheduled && result.size() >= tasks_regarded) {
            break;
        }
        for (std::uint32_t step = 0; step < each; ++step) {
            if (!this->spec.steps[step].is_lasting ||
                this->steps.idle(std::size_t{k} * each + step) == 0) {
                continue;
            }
            auto const first = this->first_task(k, step);
            for (std::size_t i = 0; i < this->spec.steps[step].count; ++i) {
                add(first + i);
            }
        }
    }
    auto const& begun = this->tasks.entries();
    for (auto later = begun.lower_bound(end * this->tasks_in_occurrence());
         later != begun.end(); ++later) {
        if (this->spec.steps[this->name_of(later->first).step].is_lasting) {
            add(later->first);
        }
    }
    return result;
}

std::size_t job_entry::waiting_tasks() const
{
    std::size_t count = 0;
    auto const each = this->spec.steps.size();
    auto const add = [&](std::size_t slot, std::uint32_t amount) {
        auto const occurrence = static_cast<std::uint32_t>(slot / each);
        auto const step = static_cast<std::uint32_t>(slot % each);
        count += amount > 0 && this->is_ready(occurrence, step) ? amount : 0;
    };
    if (this->spec.occurrences() == 1) {
        for (std::size_t slot = 0; slot < this->steps.size(); ++slot) {
            add(slot, this->steps.idle(slot));
        }
        return count;
    }
    for (auto const& [slot, entry] : this->steps.entries()) {
        add(slot, entry.idle);
    }
    for (std::size_t i = 0; i < each; ++i) {
        auto const& step = this->spec.steps[i];
        count +=
            step.depends_on.empty() ? this->steps.unused(i) * step.count : 0;
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
        if (this->steps.done(i) < step.count) {
            auto const own =
                this->steps.idle(i) > 0 ? step.estimate : base::duration{};
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
        if (!step.is_lasting) {
            double const waiting = this->steps.idle(i);
            double const runs = step.count - this->steps.done(i) - waiting;
            sum += (waiting + left_of_run * runs) * work_of_task(step);
        }
    }
    return sum;
}

job_progress job_entry::progress() const
{
    job_progress result{.state = this->state, .done = this->tasks.done_tasks()};
    for (auto const& [ordinal, task] : this->tasks.entries()) {
        if (!this->tasks.is_done(ordinal) &&
            (!task.failed_attempts.empty() || task.attempt > 1 ||
             !task.checkpoint.empty())) {
            result.tasks.push_back(
                {.ordinal = static_cast<std::uint32_t>(ordinal),
                 .attempt = task.attempt,
                 .failed_attempts = task.failed_attempts,
                 .checkpoint = task.checkpoint});
        }
    }
    return result;
}

std::size_t job_entry::bytes() const
{
    /// Of a node of a map, and of what its entry refers to.
    constexpr std::size_t node = 100;
    return this->fixed_bytes +
           this->tasks.entries().size() *
               (sizeof(task_entry) + sizeof(run_entry) + node) +
           this->steps.entries().size() * (sizeof(step_entry) + node);
}

std::size_t memory_of(job_spec const& spec)
{
    /// Of the job in tables of jobs, and of its strings.
    constexpr std::size_t frame = 500;
    constexpr std::size_t bits_per_byte = 8;
    std::size_t size = sizeof(job_entry) + frame + spec.payload.size();
    std::size_t tasks = 0;
    for (auto const& step : spec.steps) {
        size += sizeof(step) + sizeof(step_entry) +
                step.depends_on.size() * sizeof(std::uint32_t) +
                step.required_label.size() + step.preferred_rack.size() +
                step.image.size();
        tasks += step.count;
    }
    // A bit of each task and of each step, and if it runs once a pointer to
    // each task.
    auto const bits = (tasks + spec.steps.size()) * spec.occurrences();
    auto const pointers = spec.occurrences() == 1 ? tasks : 0;
    return size + bits / bits_per_byte + pointers * sizeof(void*);
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
    job.has_lasting_step = std::any_of(
        job.spec.steps.begin(), job.spec.steps.end(),
        [](step const& each) { return each.is_lasting; });
    job.has_racing_step =
        std::any_of(job.spec.steps.begin(), job.spec.steps.end(), is_racing);
    job.steps = step_table{job.spec.steps, job.spec.occurrences()};
    job.tasks = task_table{
        job.spec.occurrences() * job.tasks_in_occurrence(),
        job.spec.occurrences() == 1};
    job.fixed_bytes = memory_of(job.spec);
    if (progress) {
        apply(job, *progress);
    }
    count_tasks(job);
    return job;
}

} // namespace foxtaillift::jobs
