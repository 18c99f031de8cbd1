#include "foxtaillift/jobs/order_rate.hpp"

#include <doctest/doctest.h>

namespace base = foxtaillift::base;
using foxtaillift::jobs::order_rate;

namespace
{

constexpr double limit = 3500;

/// Adds orders at this rate for so long; returns whether it counts as high at
/// the end.
bool play(order_rate& rate, base::instant& now, int per_ms, base::duration span)
{
    auto const end = now + span;
    while (now < end) {
        now += base::milliseconds(1);
        for (int i = 0; i < per_ms; ++i) {
            rate.add(now);
        }
    }
    return rate.is_high();
}

} // namespace

// The pattern: bursts of a few seconds, with less in between. Guards against a
// leader that changes the way of its orders with each wave, and against one
// that never goes back.
TEST_CASE("a leader is busy during a burst and for some seconds after it")
{
    order_rate rate{limit};
    base::instant now{1'000'000};
    CHECK_FALSE(play(rate, now, 1, base::seconds(2)));
    CHECK(play(rate, now, 5, base::seconds(1)));
    CHECK(play(rate, now, 3, base::seconds(5))); // above 0.8 of the limit
    CHECK(play(rate, now, 1, base::seconds(2)));
    CHECK_FALSE(play(rate, now, 1, base::seconds(2)));
    CHECK(play(rate, now, 5, base::seconds(1)));
}
