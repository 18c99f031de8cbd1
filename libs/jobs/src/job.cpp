#include "foxtaillift/jobs/job.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/jobs/progress.hpp"
#include "foxtaillift/jobs/rows.hpp"

#include <array>
#include <charconv>

namespace foxtaillift::jobs
{

namespace
{

/// Bounds memory for one job; the largest steps of the workloads have 80.
constexpr std::uint64_t tasks_limit = 20'000;
constexpr std::size_t steps_limit = 256;

/// Tasks of one occurrence. The progress of a job fits in one row while all of
/// them have failed and have checkpoints, some 24 bytes each.
constexpr std::uint64_t tasks_at_once_limit = 2'500;

[[noreturn]] void refuse(std::size_t step, std::string const& problem)
{
    throw base::error{
        base::error_code::invalid_argument,
        "step " + std::to_string(step) + ": " + problem};
}

void check_time(
    std::int64_t value, std::int64_t latest, std::string const& what)
{
    if (value < 0 || value > latest) {
        throw base::error{
            base::error_code::invalid_argument,
            what + " is not between 0 and " + std::to_string(latest) + " ms"};
    }
}

void check_step(step const& step, std::size_t number)
{
    if (step.count == 0) {
        refuse(number, "it has no tasks");
    }
    if (step.need.processors < 0 || step.need.memory_mb < 0 ||
        step.need.accelerators < 0) {
        refuse(number, "an amount of resources is negative");
    }
    check_time(
        step.estimate.ms, longest_interval_ms,
        "step " + std::to_string(number) + ": the estimated time of a task");
    for (auto const dependency : step.depends_on) {
        if (dependency >= number) {
            refuse(
                number, "it depends on step " + std::to_string(dependency) +
                            ", which is not an earlier one");
        }
    }
}

} // namespace

resources& resources::operator+=(resources const& other)
{
    this->processors += other.processors;
    this->memory_mb += other.memory_mb;
    this->accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(resources const& other)
{
    this->processors -= other.processors;
    this->memory_mb -= other.memory_mb;
    this->accelerators -= other.accelerators;
    return *this;
}

bool resources::fits_in(resources const& room) const
{
    return this->processors <= room.processors &&
           this->memory_mb <= room.memory_mb &&
           this->accelerators <= room.accelerators;
}

void check(job_spec const& job)
{
    if (job.steps.empty() || job.steps.size() > steps_limit) {
        throw base::error{
            base::error_code::invalid_argument,
            "a job has between 1 and " + std::to_string(steps_limit) +
                " steps"};
    }
    check_time(
        job.first_due_ms, latest_time_ms, "the time of the first occurrence");
    check_time(
        job.repeat_interval_ms, longest_interval_ms,
        "the interval between occurrences");
    std::uint64_t tasks = 0;
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        check_step(job.steps[number], number);
        tasks += job.steps[number].count;
    }
    if (tasks > tasks_at_once_limit) {
        throw base::error{
            base::error_code::invalid_argument,
            "the job has more than " + std::to_string(tasks_at_once_limit) +
                " tasks" + (job.occurrences() > 1 ? " at once" : "")};
    }
    if (tasks * job.occurrences() > tasks_limit) {
        throw base::error{
            base::error_code::invalid_argument,
            "the job has more than " + std::to_string(tasks_limit) + " tasks"};
    }
    if (encode(job).size() > longest_value) {
        throw base::error{
            base::error_code::invalid_argument,
            "the job takes more than " + std::to_string(longest_value) +
                " bytes"};
    }
}

std::string to_string(task_name const& task)
{
    return task.job + "." + std::to_string(task.occurrence) + "." +
           std::to_string(task.step) + "." + std::to_string(task.index);
}

std::string to_string(step_name const& step)
{
    return step.job + "." + std::to_string(step.occurrence) + "." +
           std::to_string(step.step);
}

std::optional<task_name> parse_task_name(std::string_view text)
{
    std::array<std::uint32_t, 3> numbers{};
    for (std::size_t part = numbers.size(); part-- > 0;) {
        auto const dot = text.rfind('.');
        if (dot == std::string_view::npos) {
            return std::nullopt;
        }
        auto const digits = text.substr(dot + 1);
        auto const [end, failure] = std::from_chars(
            digits.data(), digits.data() + digits.size(), numbers[part]);
        if (failure != std::errc{} || end != digits.data() + digits.size()) {
            return std::nullopt;
        }
        text = text.substr(0, dot);
    }
    if (text.empty()) {
        return std::nullopt;
    }
    return task_name{
        .job = std::string{text},
        .occurrence = numbers[0],
        .step = numbers[1],
        .index = numbers[2]};
}

std::string_view to_string(job_state state)
{
    switch (state) {
    case job_state::queued:
        return "queued";
    case job_state::running:
        return "running";
    case job_state::completed:
        return "completed";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::optional<job_state> parse_job_state(std::string_view text)
{
    for (auto const state :
         {job_state::queued, job_state::running, job_state::completed,
          job_state::failed, job_state::cancelled}) {
        if (text == to_string(state)) {
            return state;
        }
    }
    return std::nullopt;
}

} // namespace foxtaillift::jobs
