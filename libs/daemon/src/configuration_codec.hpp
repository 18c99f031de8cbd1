/// JSON forms of the fleet configuration in the operators' interface, and the
/// query of a task list.
#pragma once

#include "foxtaillift/batch/cell_query.hpp"
#include "foxtaillift/batch/list_query.hpp"
#include "foxtaillift/cluster/configuration.hpp"
#include "foxtaillift/transport/message.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>

namespace foxtaillift::daemon
{

nlohmann::json to_json(cluster::configuration_document const& document);
nlohmann::json to_json(cluster::configuration_delta const& delta);

/// Reads `expected`, `author`, `reason`, `edits` and `forced`.
/// \throws base::error (invalid_argument) naming the field.
cluster::change_requested parse_change(std::string const& body);
/// Reads `expected`, `target`, `author` and `reason`.
cluster::rollback_requested parse_rollback(std::string const& body);

transport::response to_response(cluster::change_answer const& answer);

struct task_list_query
{
    batch::task_filter filter;
    std::size_t limit = 1000;
};

/// Reads "...&team=T&state=S&limit=N"; unknown parts are ignored.
task_list_query read_task_filter(std::string const& query);

} // namespace foxtaillift::daemon
