/// Replays traces into the decision libraries on virtual time.
#pragma once

#include "foxtaillift/replay/trace.hpp"

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace foxtaillift::replay
{

/// An expectation that did not hold.
struct violation
{
    std::size_t line = 0; ///< of the expectation in the trace
    std::string kind;
    std::string reason;
};

struct replay_result
{
    std::vector<violation> violations;
    /// The first 20,000 log lines, each after its time in ms.
    std::vector<std::string> log;
};

/// Drives a batch::cell_scheduler and, with its calls, a routing::call_router
/// through the trace; the same trace always gives the same result.
replay_result replay_trace(trace const& from);

/// Replays each file. Prints one line a trace and one a violated expectation
/// to `out`, malformed traces and, if wanted, the log to `errors`. Returns the
/// exit code of foxtail-replay: 0 if all expectations hold, 1 if one is
/// violated, 2 if a trace is malformed.
int replay_files(
    std::span<std::string const> files,
    std::ostream& out,
    std::ostream& errors,
    bool is_log_wanted = false);

} // namespace foxtaillift::replay
