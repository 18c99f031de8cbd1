#include "give_way.hpp"
#include "request_progress.hpp"

#include <doctest/doctest.h>

#include <array>

namespace base = foxtaillift::base;
using namespace foxtaillift::transport;

// Guards against dropping a request that arrives, or more than are needed.
TEST_CASE("those without progress for longest give way, as few as needed")
{
    std::array<give_way_candidate, 3> const candidates{
        {{.progress = {300}, .amount = 10},
         {.progress = {100}, .amount = 5},
         {.progress = {200}, .amount = 5}}};
    CHECK(choose_to_give_way(candidates, 5) == std::vector<std::size_t>{1});
    CHECK(choose_to_give_way(candidates, 6) == std::vector<std::size_t>{1, 2});
    CHECK(
        choose_to_give_way(candidates, 20) ==
        std::vector<std::size_t>{1, 2, 0});
    CHECK_FALSE(choose_to_give_way(candidates, 21).has_value());
}

// Guards against callers that keep their place by a byte now and then.
TEST_CASE("a slow drip of bytes is no progress, a steady body is")
{
    request_progress drip;
    request_progress steady;
    drip.begin({0});
    steady.begin({0});
    constexpr std::int64_t seconds = 10;
    for (std::int64_t second = 1; second <= seconds; ++second) {
        drip.add(100, {second * 1000});
        steady.add(request_progress::least_rate, {second * 1000});
    }
    CHECK(drip.at() < base::instant{100});
    CHECK(steady.at() == base::instant{seconds * 1000});
    // Silence after a fast start counts from the last byte on.
    request_progress stopped;
    stopped.begin({0});
    stopped.add(request_progress::least_rate * 10, {1000});
    CHECK(stopped.at() == base::instant{1000});
}
