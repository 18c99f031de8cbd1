/// Read-only views of a cell_scheduler, for operators and summaries.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/identifier.hpp"
#include "foxtaillift/batch/cell_scheduler.hpp"
#include "foxtaillift/batch/records.hpp"
#include "foxtaillift/batch/settings.hpp"
#include "foxtaillift/batch/task.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::batch
{

enum class cell_phase
{
    released,  ///< not owned
    replaying, ///< waits for the log
    adopting,  ///< waits for the workers' audits; starts nothing
    active
};

std::string_view to_string(cell_phase phase);

struct task_view
{
    base::task_id task;
    task_spec spec;
    task_state state = task_state::queued;
    formats::attempt_number attempt = 0;
    base::worker_id worker; ///< if it runs
    std::uint32_t evictions = 0;
    base::duration waiting; ///< since it was queued, if it is
    double throttle = 1;    ///< share of its processors, if it runs
    std::string message;    ///< of the last failure, or the missing resource
};

struct worker_view
{
    base::worker_id worker;
    bool is_adopted = false;
    bool is_reachable = false;
    bool takes_work = false;
    std::string reason; ///< why it takes no work
    formats::resources capacity;
    formats::resources committed; ///< to batch tasks
    formats::resources free;      ///< for normal tasks
    std::uint32_t runs = 0;
    double pressure = 1;           ///< highest latency ratio of its services
    double predicted_pressure = 1; ///< by the learned harm of what runs there
};

struct team_view
{
    base::team_id team;
    std::uint64_t queued = 0;
    formats::resources used;
    team_quota quota;
    double share = 0; ///< highest use of a resource by quota or weight
};

struct queue_view
{
    std::uint64_t queued = 0;
    std::uint64_t urgent = 0;
    std::uint64_t impossible = 0;
    std::uint64_t reserved = 0; ///< tasks that hold a reservation
    base::duration longest_wait;
    std::vector<team_view> teams; ///< those with queued or running tasks
};

struct cell_summary
{
    cell_phase phase = cell_phase::released;
    std::uint64_t epoch = 0;
    std::uint64_t tasks = 0; ///< not terminal
    std::uint64_t running = 0;
    formats::resources batch_capacity;
    formats::resources committed;
};

/// Counters since the engine was made. Each bound of scheduler_options has one.
struct cell_counters
{
    std::uint64_t placements = 0;
    std::uint64_t explorations = 0;
    std::uint64_t throttles = 0;
    std::uint64_t evictions = 0;
    std::uint64_t discarded_work_ms = 0; ///< run time since last checkpoints
    std::uint64_t lost_runs = 0;         ///< lease ran out, worker unreachable
    std::uint64_t late_completions = 0;  ///< of an older attempt, discarded
    std::uint64_t stale_answers = 0;     ///< about requests that are over
    std::uint64_t orphans_stopped = 0;   ///< runs that no record asks for
    std::uint64_t overdrafts_refused = 0;
    std::uint64_t quarantines = 0;
    std::uint64_t refused_tasks = 0;   ///< max_tasks
    std::uint64_t refused_records = 0; ///< max_pending_records
    std::uint64_t refused_teams = 0;   ///< max_teams
    std::uint64_t ignored_workers = 0; ///< max_workers
    std::uint64_t shared_classes = 0;  ///< max_classes
    std::uint64_t forgotten = 0;       ///< max_history
    std::uint64_t passes_cut = 0;      ///< placements in one event
};

cell_summary summarize(cell_state const& state);
cell_counters const& counters_of(cell_state const& state);
std::optional<task_view> find_task(
    cell_state const& state, base::task_id const& task, base::instant now);
std::optional<worker_view>
find_worker(cell_state const& state, base::worker_id const& worker);
std::vector<worker_view> list_workers(cell_state const& state);
queue_view view_queue(cell_state const& state, base::instant now);

/// Why the task waits, or where it was placed and why, in one sentence or two.
std::string
explain(cell_state const& state, base::task_id const& task, base::instant now);

} // namespace foxtaillift::batch
