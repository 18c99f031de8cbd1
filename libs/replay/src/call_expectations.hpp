/// Checks of calls, for the table in expectation_kinds.cpp.
#pragma once

#include "expectation_kinds.hpp"

namespace foxtaillift::replay
{

std::string
check_calls_safe(expectation const& wanted, replay_outcome const& of);
std::string
check_call_outcome(expectation const& wanted, replay_outcome const& of);
std::string
check_call_wait(expectation const& wanted, replay_outcome const& of);
std::string
check_call_retries(expectation const& wanted, replay_outcome const& of);

} // namespace foxtaillift::replay
