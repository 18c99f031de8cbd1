#include "foxtaillift/store/circuit_breaker.hpp"

#include <algorithm>

namespace foxtaillift::store
{

std::string_view to_string(circuit_state state)
{
    switch (state) {
    case circuit_state::closed:
        return "closed";
    case circuit_state::open:
        return "open";
    case circuit_state::probing:
        return "probing";
    case circuit_state::growing:
        return "growing";
    }
    return "unknown";
}

circuit_breaker::circuit_breaker(circuit_breaker_options initial)
    : options(initial)
    , limit(initial.largest_group)
{}

bool circuit_breaker::may_send(base::instant now) const
{
    return now >= this->not_before;
}

void circuit_breaker::record_sent()
{
    if (this->current == circuit_state::open) {
        this->current = circuit_state::probing;
    }
}

void circuit_breaker::record_success()
{
    this->failures = 0;
    this->not_before = {};
    if (this->current == circuit_state::growing) {
        this->limit *= 2;
    } else if (this->current != circuit_state::closed) {
        this->current = circuit_state::growing;
        this->limit = this->options.first_group;
    }
    if (this->limit >= this->options.largest_group) {
        this->limit = this->options.largest_group;
        this->current = circuit_state::closed;
    }
}

void circuit_breaker::record_failure(
    base::instant now, base::random_engine& random)
{
    auto const doublings = std::min(this->failures, std::uint32_t{16});
    ++this->failures;
    auto const bound = std::min(
        this->options.first_backoff * (std::int64_t{1} << doublings),
        this->options.longest_backoff);
    this->not_before = now + base::jitter(random, bound);
    if (this->current != circuit_state::closed ||
        this->failures >= this->options.failures_to_open) {
        this->current = circuit_state::open;
        this->limit = 1;
    }
}

} // namespace foxtaillift::store
