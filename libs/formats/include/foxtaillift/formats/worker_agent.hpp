/// Messages of a worker's agent: adoption by a cell's owner, the life of batch
/// tasks, usage reports.
///
/// Every request carries the cell and the owner's epoch. The agent refuses an
/// epoch lower than the highest that it has seen.
#pragma once

#include "foxtaillift/base/identifier.hpp"
#include "foxtaillift/formats/hosts.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace foxtaillift::formats
{

using epoch_number = std::uint64_t;
using attempt_number = std::uint32_t;

/// Where a run of a task on a worker stands.
enum class run_state
{
    running,
    checkpointing, ///< writing a checkpoint; stops afterwards
    checkpointed,  ///< stopped, `checkpoint` names the object
    finished,
    failed,
    stopped, ///< stopped on request or because its lease ran out
};

std::string_view to_string(run_state state);

struct adopt_request
{
    base::cell_id cell;
    epoch_number epoch = 0;
};

/// One run that the worker knows: running, or ended and not acknowledged yet.
struct run_entry
{
    base::task_id task;
    attempt_number attempt = 0;
    run_state state = run_state::running;
    std::string task_class;
    resources size;
    std::string checkpoint; ///< name of the last checkpoint object, or empty
    std::int64_t ran_ms = 0;
    std::int64_t since_checkpoint_ms = 0;
    double throttle = 1.0; ///< share of its processors
    std::string message;   ///< reason of a failure
};

struct adopt_answer
{
    base::worker_id worker;
    epoch_number epoch = 0;
    resources capacity;
    std::int32_t calls_in_progress = 0;
    std::vector<run_entry> runs;
};

struct start_request
{
    base::cell_id cell;
    epoch_number epoch = 0;
    base::task_id task;
    attempt_number attempt = 0;
    std::string task_class;
    resources size;
    std::int64_t lease_ms = 0;
    std::int64_t run_ms = 0; ///< declared run time
    std::string checkpoint;  ///< resume from this object, or empty
    std::string payload;     ///< opaque to the scheduler
};

/// One run in a request that addresses several.
struct run_reference
{
    base::task_id task;
    attempt_number attempt = 0;
    double throttle = 1.0;  ///< throttle requests: share of its processors
    std::string checkpoint; ///< checkpoint requests: name of the object
};

/// Body of renew, throttle, checkpoint, stop and acknowledge.
struct runs_request
{
    base::cell_id cell;
    epoch_number epoch = 0;
    std::int64_t lease_ms = 0; ///< renew only
    std::vector<run_reference> tasks;
};

struct runs_answer
{
    std::vector<run_entry> runs; ///< state of each addressed run
};

enum class agent_status
{
    done,
    stale_epoch,           ///< 412: nothing was done
    insufficient_capacity, ///< 507: nothing was done
    refused,               ///< other 4xx or 5xx with "not run"
    unknown,               ///< no answer: may have been done
};

/// Usage of one running task within a report.
struct run_usage
{
    base::task_id task;
    attempt_number attempt = 0;
    run_state state = run_state::running;
    resources used;
    double progress = 0; ///< 0 to 1, if the task reports it
};

/// Lagging usage report of a worker.
struct usage_report
{
    base::worker_id worker;
    std::uint64_t sequence = 0; ///< grows with each measurement
    std::int64_t age_ms = 0;    ///< how long ago the worker measured it
    resources used;
    double service_processors = 0; ///< thousandths of a core used by services
    std::vector<run_usage> runs;
};

void to_json(nlohmann::json& out, adopt_request const& value);
void from_json(nlohmann::json const& in, adopt_request& value);
void to_json(nlohmann::json& out, run_entry const& value);
void from_json(nlohmann::json const& in, run_entry& value);
void to_json(nlohmann::json& out, adopt_answer const& value);
void from_json(nlohmann::json const& in, adopt_answer& value);
void to_json(nlohmann::json& out, start_request const& value);
void from_json(nlohmann::json const& in, start_request& value);
void to_json(nlohmann::json& out, run_reference const& value);
void from_json(nlohmann::json const& in, run_reference& value);
void to_json(nlohmann::json& out, runs_request const& value);
void from_json(nlohmann::json const& in, runs_request& value);
void to_json(nlohmann::json& out, runs_answer const& value);
void from_json(nlohmann::json const& in, runs_answer& value);
void to_json(nlohmann::json& out, run_usage const& value);
void from_json(nlohmann::json const& in, run_usage& value);
void to_json(nlohmann::json& out, usage_report const& value);
void from_json(nlohmann::json const& in, usage_report& value);

} // namespace foxtaillift::formats
