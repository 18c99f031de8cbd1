/// Files with changes of the fleet configuration, and files with tasks.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace foxtaillift::client
{

/// Reads JSON with comments.
/// \throws base::error if the file cannot be read or is not an object.
nlohmann::json read_json_file(std::string const& path);

/// Reads an object with `edits`, and optionally `reason` and `expected`.
nlohmann::json read_change_file(std::string const& path);

} // namespace foxtaillift::client
