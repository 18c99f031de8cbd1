/// Inputs of a cell_scheduler.
///
/// Answers carry the `request` number of the action that they answer. An
/// answer that never comes is reported as agent_status::unknown.
#pragma once

#include "foxtaillift/base/identifier.hpp"
#include "foxtaillift/batch/settings.hpp"
#include "foxtaillift/batch/task.hpp"
#include "foxtaillift/formats/hosts.hpp"
#include "foxtaillift/formats/table.hpp"
#include "foxtaillift/formats/worker_agent.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace foxtaillift::batch
{

/// The host won the cell's owner row with this epoch. Forgets everything that
/// an earlier ownership left; `log_replayed` must follow.
struct cell_taken
{
    base::cell_id cell;
    formats::epoch_number epoch = 0;
};

/// What the table and the object store hold of the cell. Read after the owner
/// row was won: head row, the objects that it names (decode_head), all rows
/// with log_prefix, all rows with inbox_prefix.
struct log_replayed
{
    std::string head;                 ///< value of the head row, or empty
    std::vector<std::string> objects; ///< contents, in the head row's order
    std::vector<formats::row> log;    ///< ascending
    std::vector<formats::row> inbox;
};

/// All workers of the cell, as the platform lists them.
struct workers_listed
{
    std::vector<formats::worker_entry> workers;
};

struct worker_adopted
{
    std::uint64_t request = 0;
    base::worker_id worker;
    formats::agent_status status = formats::agent_status::unknown;
    formats::adopt_answer answer; ///< if done
};

struct start_answered
{
    std::uint64_t request = 0;
    base::worker_id worker;
    base::task_id task;
    formats::attempt_number attempt = 0;
    formats::agent_status status = formats::agent_status::unknown;
    std::optional<formats::run_entry> run; ///< state, if the worker gave it
};

/// Answer to any runs_command.
struct runs_answered
{
    std::uint64_t request = 0;
    base::worker_id worker;
    formats::agent_status status = formats::agent_status::unknown;
    std::vector<formats::run_entry> runs;
};

struct usage_reported
{
    formats::usage_report report;
};

/// A submission for this cell; answered by a submission_reply.
struct task_submitted
{
    std::uint64_t request = 0;
    task_spec spec;
};

struct cancel_requested
{
    std::uint64_t request = 0;
    base::task_id task;
};

/// Asks to hand a queued task to another cell; answered by a move_reply.
struct move_requested
{
    std::uint64_t request = 0;
    base::task_id task;
    base::cell_id target;
};

/// New rows with inbox_prefix were seen.
struct inbox_read
{
    std::vector<formats::row> rows;
};

/// Final outcome of a commit; never `unknown`, which the store client resolves.
struct commit_finished
{
    std::uint64_t commit = 0;
    formats::transact_status status = formats::transact_status::rejected;
    std::vector<formats::row_condition> rows; ///< that differ, if conflict
};

struct rows_read
{
    std::uint64_t request = 0;
    formats::rows_result result;
};

struct object_written
{
    std::string name;
    bool is_done = false;
};

/// Measurement of one service on one worker.
struct service_pressure
{
    base::worker_id worker;
    base::service_id service;
    double latency_ratio = 1; ///< measured by expected latency without batch
    std::int32_t slots_in_use = 0;
    std::int32_t slots = 8;
    std::int64_t age_ms = 0; ///< how long ago it was measured
};

/// Slots of a service that are in use right now. The owner of a cell counts
/// them itself, so this has no lag, unlike `service_pressure`.
struct service_load
{
    base::worker_id worker;
    base::service_id service;
    std::int32_t slots_in_use = 0;
    std::int32_t slots = 8;
};

struct settings_changed
{
    scheduler_settings settings;
};

/// An unconfirmed lease stops submissions and moves (design section 4.1).
struct lease_changed
{
    bool is_confirmed = true;
};

enum class worker_order
{
    drain,      ///< no new work; running tasks are checkpointed and move
    quarantine, ///< no new work; running tasks go on
    release     ///< ends either
};

struct worker_ordered
{
    base::worker_id worker;
    worker_order order = worker_order::release;
};

/// The cell is handed over or was lost; the scheduler stops acting on it.
struct cell_released
{};

/// Time passed. Expected every 100 ms; every event also moves time.
struct tick
{};

using event = std::variant<
    cell_taken,
    log_replayed,
    workers_listed,
    worker_adopted,
    start_answered,
    runs_answered,
    usage_reported,
    task_submitted,
    cancel_requested,
    move_requested,
    inbox_read,
    commit_finished,
    rows_read,
    object_written,
    service_pressure,
    service_load,
    settings_changed,
    lease_changed,
    worker_ordered,
    cell_released,
    tick>;

} // namespace foxtaillift::batch
