/// The policy that the settings name for a service.
#pragma once

#include "foxtaillift/routing/call_router.hpp"

namespace foxtaillift::routing::detail
{

/// Holds all policies, because services differ and may change theirs.
class any_policy
{
public:
    /// `kind` is for services of which the snapshot says nothing.
    any_policy(policy_kind kind, policy_options const& options);

    choice choose(
        routing_snapshot const& snapshot,
        service_view const& service,
        choice_request const& request,
        base::instant now,
        base::random_engine& random);

private:
    policy_kind fallback;
    random_policy random_choice;
    round_robin_policy round_robin;
    two_choices_policy two_choices;
    adaptive_policy adaptive;
};

static_assert(routing_policy<any_policy>);

} // namespace foxtaillift::routing::detail
