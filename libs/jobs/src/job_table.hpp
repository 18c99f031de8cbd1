/// The jobs that a leader knows, with the state of each task.
#pragma once

#include "dispatch_order.hpp"
#include "obstacle.hpp"
#include "task_table.hpp"

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/job.hpp"
#include "foxtaillift/jobs/progress.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::jobs
{

/// Why a task last got no worker.
struct waiting_task
{
    task_name task{};
    base::instant seen_at{};
    obstacle_counts obstacles{}; ///< of the workers that were looked at
};

struct job_entry
{
    job_spec spec{};
    base::instant seen_at{};
    bool is_inherited = false; ///< an earlier leader may have started it
    bool is_started = false;
    job_state state = job_state::queued;
    job_state durable_state = job_state::queued;
    bool is_dirty = false;
    bool is_committing = false;
    std::size_t done = 0;
    std::size_t open_runs = 0;
    std::size_t idle = 0;
    base::instant wait_logged_at{-1'000'000};
    std::optional<waiting_task> last_wait{};
    /// Its place in the order of work, by the last decisions; `candidate` says
    /// nothing.
    std::optional<dispatch_entry> dispatch{};
    double work = 0;        ///< of all tasks, by estimates [core-ms]
    base::duration chain{}; ///< longest chain of estimates
    std::vector<base::duration> chain_before{}; ///< by step, without it
    std::vector<base::duration> chain_after{};  ///< by step, without it
    bool has_lasting_step = false;
    bool has_racing_step = false; ///< see is_racing()
    step_table steps{};
    task_table tasks{};
    std::uint32_t first_open = 0; ///< occurrences before it are done
    /// Of a scheduled job: where the next look beyond the oldest begins.
    std::uint32_t next_occurrence = 0;
    std::size_t fixed_bytes = 0;   ///< see bytes()
    std::size_t counted_bytes = 0; ///< in the sum of all jobs

    [[nodiscard]] std::size_t step_slot(task_name const& name) const;
    [[nodiscard]] std::size_t
    first_task(std::uint32_t occurrence, std::uint32_t step) const;
    /// Nothing if the job has no such task.
    [[nodiscard]] std::optional<std::size_t>
    ordinal(task_name const& name) const;
    [[nodiscard]] task_name name_of(std::size_t ordinal) const;
    /// All tasks of the steps that it depends on are done.
    [[nodiscard]] bool
    is_ready(std::uint32_t occurrence, std::uint32_t step) const;
    /// Tasks without a run whose steps may start; times are not regarded. Of a
    /// scheduled job, a step counts from the first look at it after the steps
    /// that it depends on.
    [[nodiscard]] std::size_t waiting_tasks() const;
    /// The longest chain of estimates of what is not done. Steps whose tasks
    /// all have runs count as done, and timed jobs have no chain.
    [[nodiscard]] base::duration chain_left() const;
    /// By estimates [core-ms]; half of it where a task has a run. Nothing for
    /// timed and lasting jobs.
    [[nodiscard]] double work_left() const;
    [[nodiscard]] job_progress progress() const;
    [[nodiscard]] std::size_t tasks_in_occurrence() const;
    /// Lasting tasks without a run, in order; of a scheduled job, all that had
    /// one and those of the first occurrences.
    [[nodiscard]] std::vector<std::size_t> idle_lasting_tasks() const;
    /// All tasks of the occurrence are done.
    [[nodiscard]] bool is_over(std::uint32_t occurrence) const;
    /// Memory that the job takes now, by estimate.
    [[nodiscard]] std::size_t bytes() const;
};

/// Copies of its tasks may run beside each other.
[[nodiscard]] bool is_racing(step const& step);

job_entry make_entry(
    job_spec spec, std::optional<job_progress> progress, base::instant now);

} // namespace foxtaillift::jobs
