/// The command line of foxtailctl.
#pragma once

#include "foxtaillift/client/exit_code.hpp"

#include <cstdint>
#include <optional>
#include <ostream>
#include <string_view>

namespace foxtaillift::client
{

/// Runs one command; `--help` documents all of them.
exit_code run_command_line(
    int argc, char const* const* argv, std::ostream& out, std::ostream& err);

/// "90s", "15m", "12h" or "3d" in milliseconds; nothing if malformed.
std::optional<std::int64_t> parse_span(std::string_view text);

} // namespace foxtaillift::client
