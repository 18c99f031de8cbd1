#include "call_expectations.hpp"

#include <algorithm>

namespace foxtaillift::replay
{

namespace
{

using routing::testing::simulated_call;

template <class Check>
std::string check_calls(
    expectation const& wanted, replay_outcome const& of, Check const& check)
{
    bool is_selected = false;
    for (auto const& call : of.calls->fleet().calls()) {
        auto const& caller = call.attributes.caller.str();
        if (!wanted.caller.empty() && wanted.caller != caller) {
            continue;
        }
        is_selected = true;
        std::string reason = check(call);
        if (!reason.empty()) {
            reason.insert(0, "call " + call.attributes.call.str() + ": ");
            return reason;
        }
    }
    return is_selected ? "" : "no call is selected";
}

// G4, G5 and G6 of the design.
std::string find_broken_guarantee(simulated_call const& call)
{
    if (call.replies != 1) {
        return std::to_string(call.replies) + " replies";
    }
    if (!call.attributes.is_idempotent && call.executions > 1) {
        return "not idempotent and ran more than once";
    }
    if (call.outcome == routing::call_outcome::not_run && call.executions > 0) {
        return "the reply is \"not run\", but it ran";
    }
    bool const is_claimed = !call.attributes.key.empty();
    if (call.outcome == routing::call_outcome::ran && call.executions == 0 &&
        !is_claimed) {
        return "the reply is \"ran\", but it did not run";
    }
    return {};
}

} // namespace

std::string
check_calls_safe(expectation const& wanted, replay_outcome const& of)
{
    auto const& fleet = of.calls->fleet();
    for (auto const& [name, worker] : fleet.workers()) {
        if (worker.most_running > of.calls->slots_of(name)) {
            return "worker " + name.str() + " had more calls than slots";
        }
        if (worker.attempts_while_leaving > 0) {
            return "worker " + name.str() + " got a call while leaving";
        }
    }
    if (fleet.slots_in_use() > 0) {
        return "slots are in use after the last call";
    }
    return check_calls(wanted, of, find_broken_guarantee);
}

std::string
check_call_outcome(expectation const& wanted, replay_outcome const& of)
{
    return check_calls(wanted, of, [&](simulated_call const& call) {
        auto const found = to_string(call.outcome);
        return found == wanted.is ? std::string{}
                                  : "outcome is " + std::string{found};
    });
}

// Calls that were refused never started and have no wait.
std::string check_call_wait(expectation const& wanted, replay_outcome const& of)
{
    return check_calls(wanted, of, [&](simulated_call const& call) {
        return call.first_start < 0 ? std::string{}
                                    : check_limits(wanted, call.wait());
    });
}

// Attempts beyond the first, as a share of the calls offered.
std::string
check_call_retries(expectation const& wanted, replay_outcome const& of)
{
    double offered = 0;
    double retries = 0;
    auto reason = check_calls(wanted, of, [&](simulated_call const& call) {
        offered += 1;
        retries +=
            call.tried.empty() ? 0 : static_cast<double>(call.tried.size()) - 1;
        return std::string{};
    });
    return reason.empty() ? check_limits(wanted, retries / offered) : reason;
}

} // namespace foxtaillift::replay
