/// The kinds of expectations: what each needs and how it is checked.
#pragma once

#include "call_player.hpp"
#include "player.hpp"

#include "foxtaillift/replay/trace.hpp"

#include <string>
#include <string_view>

namespace foxtaillift::replay
{

/// What an expectation is judged by.
struct replay_outcome
{
    player const& played;
    /// The same trace with crest_policy::evict_newest, for kinds that compare.
    player const* baseline = nullptr;
    call_player const* calls = nullptr;
};

/// Empty if the value is within at_most and at_least.
std::string check_limits(expectation const& wanted, double value);

/// Throws base::error (invalid_argument) if the kind is unknown or a member
/// that it needs is missing.
void check_expectation_members(expectation const& wanted);

bool needs_baseline(expectation const& wanted);

/// Empty if the expectation holds, otherwise the reason in one sentence.
std::string
find_violation(expectation const& wanted, replay_outcome const& outcome);

} // namespace foxtaillift::replay
