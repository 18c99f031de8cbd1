/// What a batch task is: its declaration and the states of its life.
#pragma once

#include "foxtaillift/base/identifier.hpp"
#include "foxtaillift/formats/hosts.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtaillift::batch
{

/// Where a task stands. docs/batch.md explains each state for operators.
enum class task_state
{
    accepted,      ///< submitted; its record is not durable yet
    queued,        ///< durable, waits for resources
    starting,      ///< a start was sent and is not confirmed
    running,       ///< the worker confirmed the run
    checkpointing, ///< asked to write a checkpoint and stop
    evicted,       ///< stopped; the record of it is not durable yet
    finished,
    failed,    ///< failed on several workers, is not retried
    cancelled, ///< by request
    impossible ///< no worker could ever hold it; evaluated again on changes
};

std::string_view to_string(task_state state);

/// Throws base::error (corrupt_data) for an unknown name.
task_state parse_task_state(std::string_view name);

/// True for finished, failed and cancelled: the task never runs again.
bool is_terminal(task_state state);

/// True if the life cycle allows the step. Every change of state is checked
/// against this table.
bool is_allowed(task_state from, task_state to);

enum class task_priority
{
    normal,
    urgent ///< starts within 1.1 s, evicting normal tasks if it must
};

std::string_view to_string(task_priority priority);

/// Declaration of a task, as submitted.
struct task_spec
{
    base::team_id team; ///< without '/'
    std::string key;    ///< idempotency key, unique within the team
    std::string task_class;
    formats::resources size;
    std::int64_t run_ms = 0;      ///< declared run time, 0 if unknown
    std::int64_t deadline_ms = 0; ///< wanted end after submission, 0 if none
    task_priority priority = task_priority::normal;
    std::string payload; ///< opaque to the scheduler

    bool operator==(task_spec const&) const = default;
};

void to_json(nlohmann::json& out, task_spec const& value);
void from_json(nlohmann::json const& in, task_spec& value);

} // namespace foxtaillift::batch
