/// What a call_flow uses while it handles one event.
#pragma once

#include "any_policy.hpp"

#include "foxtaillift/routing/call_router.hpp"

#include <vector>

namespace foxtaillift::routing::detail
{

/// Owned by the router, or shared by all routers.
struct call_environment
{
    routing_table const& table;
    run_time_classes& classes;
    health_monitor& health;
    admission& queues;
    any_policy& policy;
    base::random_engine& random;
    call_router_options const& options;
    call_counters& counters;
    std::vector<call_action>& out;
    base::instant now;
    /// Calls that lost their place in a queue; the router refuses them.
    std::vector<call_handle>& pushed_out;
    /// Workers whose slots were released; the router gives them to waiting
    /// calls.
    std::vector<base::worker_id>& released;
};

/// Retries and hedges of a service as a share of its calls.
inline double
budget_share(call_environment const& environment, service_view const& service)
{
    return service.options.budget_share.value_or(
        environment.options.retries.budget_share);
}

/// Takes a retry token of the service. A share of 0 forbids retries at once,
/// although tokens of the time before may be left.
inline bool take_retry_token(
    call_environment const& environment, service_view const& service)
{
    return budget_share(environment, service) > 0 &&
           service.load->retries.try_take();
}

} // namespace foxtaillift::routing::detail
