/// Parts that the policies share.
#pragma once

#include "foxtaillift/routing/policy.hpp"

namespace foxtaillift::routing::detail
{

/// Everything that one choice reads.
struct choosing
{
    routing_snapshot const& snapshot;
    service_view const& service;
    choice_request const& request;
    policy_options const& options;
    base::instant now;
    base::random_engine& random;

    /// Workers that the call may use; long calls are confined at the crest.
    [[nodiscard]] std::uint32_t pool() const;
    [[nodiscard]] worker_view const& view(worker_candidate const& of) const;
    [[nodiscard]] worker_candidate const& draw() const;
    /// True if a claim would probably succeed.
    [[nodiscard]] bool is_candidate(worker_candidate const& worker) const;
    [[nodiscard]] bool is_avoided(cell_view const& cell) const;

    /// Claims a slot; false if the worker has none for this call.
    [[nodiscard]] bool
    try_claim(worker_candidate const& worker, choice& result) const;
    /// Claims the first free slot found: some random draws, then a bounded
    /// scan from a random position.
    [[nodiscard]] bool
    try_claim_any(choice& result, std::string_view reason) const;
};

/// Keeps the cheapest if there are more than the choice can hold.
void add_weighed(choice& result, weighed_candidate const& weighed);

/// Share of its slots that a worker gets `since` it returned, 0.1 to 1.
float slow_start_share(
    worker_load const& load, policy_options const& options, base::instant now);

/// Calls of one kind that may occupy the worker.
claim_limits limits_for(
    worker_load const& load,
    bool is_long,
    policy_options const& options,
    base::instant now);

} // namespace foxtaillift::routing::detail
