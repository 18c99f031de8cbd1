/// Settings and backoff of retries and hedged attempts.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/random.hpp"

#include <cstdint>

namespace foxtaillift::routing
{

struct retry_options
{
    std::uint32_t max_attempts = 3; ///< including the first and hedges
    double budget_share = 0.1;      ///< of the calls of a service
    double budget_capacity = 100;   ///< calls; bounds a burst of retries
    base::duration backoff = base::milliseconds(10);
    base::duration backoff_at_most = base::seconds(1);
    bool is_hedging = true;  ///< idempotent calls only
    double hedge_factor = 4; ///< times the typical run time of the path
    base::duration hedge_at_least = base::milliseconds(20);
};

/// Wait before retry number `retry` (from 1): uniform between 0 and the
/// exponentially growing bound (full jitter).
base::duration backoff_before(
    retry_options const& options,
    std::uint32_t retry,
    base::random_engine& random);

} // namespace foxtaillift::routing
