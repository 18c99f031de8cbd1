/// The event lines of a trace.
#pragma once

#include "foxtaillift/replay/trace.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace foxtaillift::replay
{

/// One event of a line, repeated `count` times.
struct parsed_event
{
    trace_event first;
    std::int64_t count = 1;
    std::int64_t every_ms = 0;
};

/// \throws base::error or nlohmann::json::exception with the reason.
parsed_event parse_event(nlohmann::json const& line);

/// The n-th event of a line; repeated tasks get "-n" appended to their names.
trace_event repeat_event(parsed_event const& from, std::int64_t n);

} // namespace foxtaillift::replay
