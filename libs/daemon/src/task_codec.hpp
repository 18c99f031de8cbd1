/// JSON forms of tasks in the interfaces for callers, peers and operators.
#pragma once

#include "foxtaillift/batch/actions.hpp"
#include "foxtaillift/batch/cell_query.hpp"
#include "foxtaillift/transport/message.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace foxtaillift::daemon
{

transport::response json_response(int status, nlohmann::json const& body);
transport::response
error_response(int status, std::string_view code, std::string message);

/// Reads a declaration: `team`, `key`, `class`, `processors`, `memory_mb`, and
/// optionally `accelerators`, `run_ms`, `deadline_ms`, `priority`, `payload`.
/// \throws base::error: invalid_argument naming the field and what is allowed,
/// corrupt_data for a text that base::parse_json refuses.
batch::task_spec parse_declaration(std::string_view text);

nlohmann::json to_json(batch::task_view const& task, std::string explanation);
nlohmann::json to_json(batch::worker_view const& worker);

/// Answer to a submission.
transport::response
to_response(batch::submission_reply const& reply, std::string const& cell);
transport::response to_response(batch::cancel_reply const& reply);

} // namespace foxtaillift::daemon
