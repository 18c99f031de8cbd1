/// Outputs of a cell_scheduler.
#pragma once

#include "foxtaillift/base/event_line.hpp"
#include "foxtaillift/base/identifier.hpp"
#include "foxtaillift/formats/table.hpp"
#include "foxtaillift/formats/worker_agent.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtaillift::batch
{

struct adopt_worker
{
    std::uint64_t request = 0;
    base::worker_id worker;
    formats::adopt_request message;
};

/// The daemon must send it at once or not at all and then report `unknown`: a
/// start that is delivered more than 1,500 ms late could run beside a newer
/// attempt. The same holds for renewals.
struct start_run
{
    std::uint64_t request = 0;
    base::worker_id worker;
    formats::start_request message;
};

enum class runs_verb
{
    renew,
    throttle,
    checkpoint,
    stop,
    acknowledge
};

std::string_view to_string(runs_verb verb);

/// POST /v1/tasks/<verb>.
struct runs_command
{
    runs_verb verb = runs_verb::renew;
    std::uint64_t request = 0;
    base::worker_id worker;
    formats::runs_request message;
};

enum class commit_priority
{
    task_records,
    history
};

/// Applies all writes if all conditions hold. The caller adds the condition on
/// the owner row, may group it with others, and resolves unknown outcomes. At
/// most one commit of a cell is in flight.
struct commit
{
    std::uint64_t id = 0;
    commit_priority priority = commit_priority::task_records;
    std::vector<formats::row_condition> conditions;
    std::vector<formats::row_write> writes;
};

struct read_rows
{
    std::uint64_t request = 0;
    std::vector<std::string> keys;
};

struct write_object
{
    std::string name;
    std::string content;
};

struct delete_object
{
    std::string name;
};

enum class reply_status
{
    accepted,     ///< durable
    existing,     ///< the key was used with the same declaration
    key_conflict, ///< the key was used with another declaration (422)
    invalid,      ///< the declaration breaks a rule (400)
    too_many,     ///< a bound is reached; try again later (429)
    unavailable,  ///< certainly not done; try again (503)
    not_found,
    not_allowed ///< the state of the task does not allow it (409)
};

std::string_view to_string(reply_status status);

struct submission_reply
{
    std::uint64_t request = 0;
    reply_status status = reply_status::unavailable;
    base::task_id task;
    std::string message; ///< for people
};

/// `accepted` means that the cancellation is durable.
struct cancel_reply
{
    std::uint64_t request = 0;
    reply_status status = reply_status::unavailable;
    base::task_id task;
    std::string message;
};

struct move_reply
{
    std::uint64_t request = 0;
    reply_status status = reply_status::unavailable;
    base::task_id task;
    std::string message;
};

struct log_line
{
    base::event_line line;
};

/// A worker or the table refused the epoch: another host owns the cell.
struct cell_lost
{
    std::string reason;
};

using action = std::variant<
    adopt_worker,
    start_run,
    runs_command,
    commit,
    read_rows,
    write_object,
    delete_object,
    submission_reply,
    cancel_reply,
    move_reply,
    log_line,
    cell_lost>;

} // namespace foxtaillift::batch
