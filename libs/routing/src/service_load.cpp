#include "foxtaillift/routing/service_load.hpp"

#include <algorithm>

namespace foxtaillift::routing
{

namespace
{
constexpr std::int64_t one_token = 1'000'000;
}

void retry_budget::deposit(double share, double capacity)
{
    auto const amount = static_cast<std::int64_t>(share * one_token);
    auto const most = static_cast<std::int64_t>(capacity * one_token);
    auto current = this->micro_tokens.load(std::memory_order_relaxed);
    while (current < most && !this->micro_tokens.compare_exchange_weak(
                                 current, std::min(current + amount, most),
                                 std::memory_order_relaxed)) {
    }
}

bool retry_budget::try_take()
{
    auto current = this->micro_tokens.load(std::memory_order_relaxed);
    while (current >= one_token) {
        if (this->micro_tokens.compare_exchange_weak(
                current, current - one_token, std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

double retry_budget::tokens() const
{
    return static_cast<double>(
               this->micro_tokens.load(std::memory_order_relaxed)) /
           one_token;
}

} // namespace foxtaillift::routing
