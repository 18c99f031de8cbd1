/// What the fleet configuration says about calls of one service.
#pragma once

#include <optional>

namespace foxtaillift::routing
{

/// How a worker is chosen.
enum class policy_kind
{
    random,
    round_robin,
    two_choices,
    adaptive,
};

/// Which waiting call of one caller is served first.
enum class service_order
{
    fifo,
    newest_first,
    earliest_deadline,
};

/// Part of a snapshot. Where it says nothing, the options of the call_router
/// hold. A change resets nothing that was learned, and no retry tokens.
struct service_options
{
    std::optional<policy_kind> policy = {};
    std::optional<service_order> order = {};
    /// Retries and hedges as a share of the calls; 0 means none, whatever
    /// tokens are left.
    std::optional<double> budget_share = {};

    bool operator==(service_options const&) const = default;
};

} // namespace foxtaillift::routing
