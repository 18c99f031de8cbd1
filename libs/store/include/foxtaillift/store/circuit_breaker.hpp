/// Backoff and circuit breaking towards one dependency.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/random.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace foxtaillift::store
{

struct circuit_breaker_options
{
    std::uint32_t failures_to_open = 3;
    base::duration first_backoff = base::milliseconds(100);
    /// A host must renew within 6 s after an outage, or others take its cells,
    /// so that the longest pause is well below that.
    base::duration longest_backoff = base::milliseconds(2000);
    std::size_t first_group = 8;     ///< group size after the first probe
    std::size_t largest_group = 256; ///< group size in ordinary work
};

enum class circuit_state
{
    closed,  ///< ordinary work
    open,    ///< waits for the next probe
    probing, ///< one request is out
    growing, ///< requests succeed again, groups grow back
};

std::string_view to_string(circuit_state state);

/// Decides when the next request may be sent and how large it may be. Every
/// failure delays the next request by a backoff with full jitter.
class circuit_breaker
{
public:
    explicit circuit_breaker(circuit_breaker_options options);

    /// True if a request may be sent now.
    [[nodiscard]] bool may_send(base::instant now) const;
    /// Earliest instant of the next request.
    [[nodiscard]] base::instant retry_at() const { return this->not_before; }
    /// Number of submissions that the next request may carry.
    [[nodiscard]] std::size_t group_limit() const { return this->limit; }
    [[nodiscard]] circuit_state state() const { return this->current; }

    void record_sent();
    void record_success();
    void record_failure(base::instant now, base::random_engine& random);

private:
    circuit_breaker_options options;
    circuit_state current = circuit_state::closed;
    std::uint32_t failures = 0;
    base::instant not_before{};
    std::size_t limit;
};

} // namespace foxtaillift::store
