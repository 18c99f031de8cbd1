/// Turns settings into what the routing engines use.
#pragma once

#include "foxtaillift/cluster/configuration_document.hpp"
#include "foxtaillift/routing/call_router.hpp"
#include "foxtaillift/routing/snapshot.hpp"
#include "foxtaillift/settings/daemon_settings.hpp"

#include <cstdint>
#include <string_view>

namespace foxtaillift::daemon
{

/// Names of the settings file and of the fleet configuration.
routing::policy_kind to_policy(std::string_view name);
routing::service_order to_order(std::string_view name);

/// Options of one lane. They hold for services of which the fleet configuration
/// says nothing.
routing::call_router_options
to_router_options(settings::call_settings const& calls);

/// What the document says about calls of a service; empty members where it says
/// nothing. An empty name gives the fleet-wide defaults.
routing::service_options to_service_options(
    cluster::configuration_document const& document,
    std::string_view service,
    std::int64_t wall_ms);

/// Adds the options of all services to the input of a snapshot.
void add_service_options(
    cluster::configuration_document const& document,
    std::int64_t wall_ms,
    routing::table_input& input);

} // namespace foxtaillift::daemon
