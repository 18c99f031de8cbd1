#include "foxtaillift/routing/retry.hpp"

#include <algorithm>

namespace foxtaillift::routing
{

base::duration backoff_before(
    retry_options const& options,
    std::uint32_t retry,
    base::random_engine& random)
{
    auto const doublings = std::min(retry > 0 ? retry - 1 : 0, 20U);
    auto const bound = std::min(
        options.backoff * (std::int64_t{1} << doublings),
        options.backoff_at_most);
    return base::jitter(random, bound);
}

} // namespace foxtaillift::routing
