/// The jobs that a leader knows, with the state of each task.
#pragma once

#include "dispatch_order.hpp"
#include "obstacle.hpp"

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/interference.hpp"
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

enum class run_phase
{
    starting, ///< ordered, no answer yet
    unknown,  ///< the start's answer was lost
    running,
    stopping,
};

/// One run of a task that is present on a worker or may be.
struct run_entry
{
    std::size_t worker = 0;
    std::uint32_t attempt = 0;
    run_phase phase = run_phase::starting;
    base::instant started_at{};
    base::instant settled_at{}; ///< last answer that changed the phase
    int percent = -1;           ///< as last reported; negative: never
    base::instant progressed_at{};
    /// Progress of which the report told first, and the time at full speed that
    /// the run has worked since, by the processors that it used.
    int first_percent = -1;
    base::instant first_percent_at{};
    double worked_ms = 0;
    base::instant measured_at{};
    int pace = 100; ///< percent, as ordered last
    base::instant paced_at{};
    bool is_pace_out = false; ///< the order is not answered yet
    /// An order of another pace that was not answered may be carried out until
    /// then.
    base::instant pace_doubtful_until{-1'000'000};
    /// Since when a filling run is to work at a small part of its speed.
    std::optional<base::instant> slowed_since{};
    std::optional<base::instant> stop_confirmed_at{};
};

/// Why a run of a task counts as over.
enum class run_release
{
    none,         ///< the task has had no run
    ended,        ///< its worker listed the end
    absent,       ///< its worker does not list it any more
    not_started,  ///< the start was refused
    lease_over,   ///< nothing can run under the leases of its worker
    other_worker, ///< another worker answers at the address
};

std::string_view to_string(run_release reason);

struct task_entry
{
    bool is_done = false;
    std::uint32_t attempt = 0; ///< highest that was started
    std::vector<std::uint32_t> failed_attempts{};
    std::string checkpoint{};
    base::instant not_before{};
    run_release released_by = run_release::none; ///< its last run
    /// When a report last spoke for the presence of its last run.
    base::instant last_present{};
    std::optional<std::size_t> avoided_worker{}; ///< where it failed last
    std::uint32_t stalls = 0;                    ///< runs of it that were stuck
    std::vector<run_entry> runs{};
};

/// What an adviser said of the workers for one step.
struct step_advice
{
    struct verdict
    {
        std::string ticket{};        ///< empty: the worker may not run it
        std::int64_t born_ms = 0;    ///< life of the worker that it holds for
        base::instant valid_until{}; ///< of the ticket
    };
    std::map<std::size_t, verdict> verdicts{}; ///< by worker
    bool is_asked = false;                     ///< a call is out
    base::instant ask_after{};
};

/// One step of one occurrence.
struct step_entry
{
    std::uint32_t done = 0;
    std::uint32_t idle = 0;    ///< neither done nor with a run
    base::instant ready_at{};  ///< when it could first start; 0: not yet
    headroom_track headroom{}; ///< of its serving tasks
    step_advice advice{};      ///< where the queue has an adviser
    /// Keeps room for a starving task of the step.
    std::optional<std::size_t> kept_worker{};
    base::instant kept_at{-1'000'000}; ///< last run that regarded it
    base::instant keep_search_due{-1'000'000};
};

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
    bool has_racing_step = false;               ///< see is_racing()
    std::vector<step_entry> steps{};            ///< by occurrence, then step
    std::vector<task_entry> tasks{};            ///< by ordinal

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
    /// Tasks without a run whose steps may start; times are not regarded.
    [[nodiscard]] std::size_t waiting_tasks() const;
    /// The longest chain of estimates of what is not done. Steps whose tasks
    /// all have runs count as done, and timed jobs have no chain.
    [[nodiscard]] base::duration chain_left() const;
    /// By estimates [core-ms]; half of it where a task has a run. Nothing for
    /// timed and lasting jobs.
    [[nodiscard]] double work_left() const;
    [[nodiscard]] job_progress progress() const;
    [[nodiscard]] std::size_t tasks_in_occurrence() const;
};

/// Copies of its tasks may run beside each other.
[[nodiscard]] bool is_racing(step const& step);

job_entry make_entry(
    job_spec spec, std::optional<job_progress> progress, base::instant now);

} // namespace foxtaillift::jobs
