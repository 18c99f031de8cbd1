/// Reads effective values from a configuration document.
#pragma once

#include "foxtaillift/cluster/configuration_document.hpp"
#include "foxtaillift/formats/hosts.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::cluster
{

/// The value in force for `subject` (may be empty) at a wall-clock time: its
/// override unless that has expired, else the fleet-wide default, else the
/// built-in value. Throws base::error if there is no such setting.
std::string effective_text(
    configuration_document const& document,
    std::string_view name,
    std::string_view subject,
    std::int64_t wall_ms);

/// Same for an integer setting. A stored value that this version of the program
/// cannot read counts as the built-in value.
std::int64_t effective_integer(
    configuration_document const& document,
    std::string_view name,
    std::string_view subject,
    std::int64_t wall_ms);

/// The value that the document itself has for `subject` (may be empty): its
/// override unless that has expired, else the fleet-wide default. Nothing if it
/// has neither, or if this version of the program cannot read the value. Throws
/// base::error if there is no such setting.
std::optional<std::string> configured_text(
    configuration_document const& document,
    std::string_view name,
    std::string_view subject,
    std::int64_t wall_ms);

/// Subjects of the overrides of a setting, expired ones included.
std::vector<std::string>
subjects_of(configuration_document const& document, std::string_view name);

/// The earliest expiry after `wall_ms`, nothing if no override expires.
std::optional<std::int64_t>
next_expiry(configuration_document const& document, std::int64_t wall_ms);

/// True if the worker may get new work.
bool is_in_service(
    configuration_document const& document,
    std::string_view worker,
    std::int64_t wall_ms);

/// Overrides whose expiry has passed.
std::vector<configuration_document::override_key>
expired_overrides(configuration_document const& document, std::int64_t wall_ms);

/// Something that at least one worker must be able to run.
struct fleet_need
{
    std::string name = {};        ///< "service cut-path", "class nesting"
    std::string service = {};     ///< if not empty, the worker must have it
    formats::resources size = {}; ///< left beside the services' reserve
};

struct fleet_view
{
    std::vector<formats::worker_entry> workers = {};
    std::vector<fleet_need> needs = {};
};

/// Reasons against a change: needs that a worker can meet under `before` and
/// none could under `after`. One sentence each, "this would leave no worker
/// able to run X: ...".
std::vector<std::string> find_lost_needs(
    configuration_document const& before,
    configuration_document const& after,
    fleet_view const& fleet,
    std::int64_t wall_ms);

} // namespace foxtaillift::cluster
