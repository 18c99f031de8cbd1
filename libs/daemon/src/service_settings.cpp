#include "service_settings.hpp"

#include "foxtaillift/cluster/configuration_query.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace foxtaillift::daemon
{

namespace
{

constexpr char const* policy_name = "routing.policy";
constexpr char const* order_name = "routing.order";
constexpr char const* budget_name = "routing.retry_budget";

} // namespace

routing::policy_kind to_policy(std::string_view name)
{
    if (name == "random") {
        return routing::policy_kind::random;
    }
    if (name == "round_robin") {
        return routing::policy_kind::round_robin;
    }
    return name == "two_choices" ? routing::policy_kind::two_choices
                                 : routing::policy_kind::adaptive;
}

routing::service_order to_order(std::string_view name)
{
    if (name == "fifo") {
        return routing::service_order::fifo;
    }
    return name == "newest_first" ? routing::service_order::newest_first
                                  : routing::service_order::earliest_deadline;
}

routing::call_router_options
to_router_options(settings::call_settings const& calls)
{
    auto const lanes = static_cast<std::uint32_t>(calls.threads);
    auto const share = [&](std::int64_t limit) {
        return std::max(1U, static_cast<std::uint32_t>(limit) / lanes);
    };
    routing::call_router_options options;
    options.policy = to_policy(calls.policy);
    options.queues.order = to_order(calls.queue_order);
    options.queues.max_waiting_per_class = share(calls.queue_limit);
    options.queues.max_waiting_per_caller = share(calls.queue_limit_per_caller);
    options.retries.budget_share = calls.retry_budget;
    return options;
}

routing::service_options to_service_options(
    cluster::configuration_document const& document,
    std::string_view service,
    std::int64_t wall_ms)
{
    auto const find = [&](char const* name) {
        return cluster::configured_text(document, name, service, wall_ms);
    };
    routing::service_options options;
    if (auto const policy = find(policy_name)) {
        options.policy = to_policy(*policy);
    }
    if (auto const order = find(order_name)) {
        options.order = to_order(*order);
    }
    if (auto const percent = find(budget_name)) {
        options.budget_share = std::stod(*percent) / 100;
    }
    return options;
}

void add_service_options(
    cluster::configuration_document const& document,
    std::int64_t wall_ms,
    routing::table_input& input)
{
    input.other_services = to_service_options(document, "", wall_ms);
    for (auto const* name : std::array{policy_name, order_name, budget_name}) {
        for (auto const& subject : cluster::subjects_of(document, name)) {
            auto const [entry, is_new] =
                input.services.try_emplace(base::service_id{subject});
            if (is_new) {
                entry->second = to_service_options(document, subject, wall_ms);
            }
        }
    }
}

} // namespace foxtaillift::daemon
