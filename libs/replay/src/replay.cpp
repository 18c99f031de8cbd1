#include "foxtaillift/replay/replay.hpp"

#include "call_player.hpp"
#include "expectation_kinds.hpp"
#include "player.hpp"

#include <algorithm>
#include <ostream>

namespace foxtaillift::replay
{

replay_result replay_trace(trace const& from)
{
    player played{from, from.options};
    played.run();
    auto options = from.options;
    options.settings.crest = batch::crest_policy::evict_newest;
    player baseline{from, options};
    if (std::any_of(
            from.expectations.begin(), from.expectations.end(),
            needs_baseline)) {
        baseline.run();
    }
    call_player calls{from};
    calls.run();
    replay_result result;
    result.log = played.cell().lines;
    for (auto const& wanted : from.expectations) {
        auto reason = find_violation(wanted, {played, &baseline, &calls});
        if (!reason.empty()) {
            result.violations.push_back(
                {wanted.line, wanted.kind, std::move(reason)});
        }
    }
    return result;
}

int replay_files(
    std::span<std::string const> files,
    std::ostream& out,
    std::ostream& errors,
    bool is_log_wanted)
{
    int result = 0;
    for (auto const& file : files) {
        try {
            auto const from = read_trace(file);
            auto const [violations, log] = replay_trace(from);
            for (auto const& line : log) {
                if (is_log_wanted) {
                    errors << line << '\n';
                }
            }
            for (auto const& one : violations) {
                out << file << ':' << one.line << ": violated " << one.kind
                    << ": " << one.reason << '\n';
            }
            out << base::event_line{"replayed"}
                       .add("trace", from.name)
                       .add("events", from.events.size())
                       .add("expectations", from.expectations.size())
                       .add("violated", violations.size())
                       .str()
                << '\n';
            result = std::max(result, violations.empty() ? 0 : 1);
        } catch (trace_error const& failure) {
            errors << failure.what() << '\n';
            result = 2;
        }
    }
    return result;
}

} // namespace foxtaillift::replay
