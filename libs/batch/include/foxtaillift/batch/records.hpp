/// Durable records of a cell: what its owner writes to the table, and the
/// names of the rows and objects that hold them.
///
/// A log row holds many records. Applying a record twice has the same effect as
/// applying it once, so that a snapshot may be taken while the log grows.
#pragma once

#include "foxtaillift/base/identifier.hpp"
#include "foxtaillift/batch/task.hpp"
#include "foxtaillift/formats/table.hpp"
#include "foxtaillift/formats/worker_agent.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtaillift::batch
{

/// The durable state of one task.
struct task_record
{
    base::task_id task;
    task_spec spec;
    task_state state = task_state::queued;
    formats::attempt_number attempt = 0; ///< highest attempt known
    base::worker_id worker;              ///< of the attempt, if it is running
    std::string checkpoint;              ///< to resume from, or empty
    std::uint32_t evictions = 0;
    std::vector<base::worker_id> failed_on; ///< distinct workers
    std::string message;                    ///< reason of the last failure

    bool operator==(task_record const&) const = default;
};

/// A task enters the cell: submitted, or taken from the inbox.
struct accepted_record
{
    task_record task;
};
struct started_record
{
    base::task_id task;
    formats::attempt_number attempt = 0;
    base::worker_id worker;
};
/// An attempt ended. `next` is the state of the task afterwards: queued if it
/// is to run again, or a terminal state.
struct ended_record
{
    base::task_id task;
    formats::attempt_number attempt = 0;
    base::worker_id worker;
    task_state next = task_state::queued;
    std::string checkpoint;      ///< to resume from, or empty
    std::uint32_t evictions = 0; ///< number so far
    bool is_failure = false;     ///< counts against the task
    std::string message;
};
struct cancelled_record
{
    base::task_id task;
};
struct moved_record
{
    base::task_id task;
    base::cell_id target;
};
/// A terminal task left the history; its submission key is free again.
struct forgotten_record
{
    base::task_id task;
};
/// A worker belongs to the cell: runs may be started there from now on, and a
/// successor must read its audit.
struct worker_joined_record
{
    base::worker_id worker;
};
struct worker_left_record
{
    base::worker_id worker;
};
/// A successor opened the cell without the audit of every worker. An attempt
/// that is in no record may have run there, so that one number is skipped.
struct attempts_skipped_record
{
    formats::epoch_number epoch = 0;
};

using record = std::variant<
    accepted_record,
    started_record,
    ended_record,
    cancelled_record,
    moved_record,
    forgotten_record,
    worker_joined_record,
    worker_left_record,
    attempts_skipped_record>;

/// Value of `head/<cell>`.
struct head_record
{
    std::vector<std::string> objects; ///< parts of the snapshot
    std::uint64_t first_sequence = 1; ///< first log row to apply on top

    bool operator==(head_record const&) const = default;
};

/// Value of `submit/<team>/<key>`.
struct submit_record
{
    base::task_id task;
    base::cell_id cell;
    std::string digest; ///< of the declaration, to detect another payload

    bool operator==(submit_record const&) const = default;
};

std::string log_prefix(base::cell_id const& cell);
std::string log_key(base::cell_id const& cell, std::uint64_t sequence);
/// Throws base::error (corrupt_data) if the key is not one of a log row.
std::uint64_t log_sequence(std::string_view key);
std::string head_key(base::cell_id const& cell);
std::string submit_key(task_spec const& spec);
std::string inbox_prefix(base::cell_id const& cell);
std::string inbox_key(base::cell_id const& cell, base::task_id const& task);

/// Digest of everything in a declaration but the key.
std::string spec_digest(task_spec const& spec);

void to_json(nlohmann::json& out, task_record const& value);
void from_json(nlohmann::json const& in, task_record& value);
void to_json(nlohmann::json& out, record const& value);
void from_json(nlohmann::json const& in, record& value);

std::string encode_log_row(std::vector<record> const& records);
/// The decoders throw base::error (corrupt_data) for anything malformed.
std::vector<record> decode_log_row(std::string const& value);
std::string encode_head(head_record const& value);
head_record decode_head(std::string const& value);
std::string encode_submit(submit_record const& value);
submit_record decode_submit(std::string const& value);
std::string encode_task(task_record const& value);
task_record decode_task(std::string const& value);

} // namespace foxtaillift::batch
