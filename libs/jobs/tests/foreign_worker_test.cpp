// The pattern: the platform's list has entries of workers that are not this
// system's to use, and which obey another holder or answer nothing (review/6).
#include "simulated_world.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <string>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using foxtaillift::jobs::testing::simulated_fleet;
using foxtaillift::jobs::testing::simulated_world;

namespace
{

constexpr std::size_t fleet_size = 20;
constexpr std::int64_t other_token = 486;

/// How long jobs wait for their first task in a fleet whose first workers are
/// `entries`; the leader dies once.
base::duration longest_wait(
    std::size_t entries,
    std::string const& service,
    std::int64_t token,
    bool is_reachable)
{
    simulated_world world{3, {}, {}, simulated_fleet{.workers = fleet_size}};
    for (std::size_t i = 0; i < entries; ++i) {
        world.workers[i].service = service;
        world.workers[i].token = token;
        world.workers[i].is_reachable = is_reachable;
    }
    world.run_for(base::seconds(20));
    auto const submit = [&](std::string const& id) {
        world.submit(
            1, {.id = id,
                .tasks = 2,
                .need = {.processors = 100, .memory_mb = 1},
                .work = base::milliseconds(1000)});
        world.run_for(base::milliseconds(400));
    };
    for (int i = 0; i < 10; ++i) {
        submit("before-" + std::to_string(i));
    }
    auto const is_leading = [](auto const& host) {
        return host && host->service->is_leading();
    };
    auto const leader =
        std::find_if(world.hosts.begin(), world.hosts.end(), is_leading);
    REQUIRE(leader != world.hosts.end());
    world.kill_host(static_cast<std::size_t>(leader - world.hosts.begin()));
    world.run_for(base::seconds(3));
    for (int i = 0; i < 10; ++i) {
        submit("after-" + std::to_string(i));
    }
    world.run_for(base::seconds(20));
    CHECK(world.violations.empty());
    CHECK(world.accepted.size() >= 19);
    base::duration longest{};
    for (auto const& id : world.accepted) {
        REQUIRE(world.started_at.contains(id));
        longest = std::max(
            longest, world.started_at.at(id) - world.submitted_at.at(id));
    }
    for (std::size_t i = 0; i < entries; ++i) {
        CHECK(world.workers[i].token == token);
    }
    return longest;
}

} // namespace

// Guards against a leader that gives up, or waits, for workers of a service
// that no queue names: one entry stopped the fleet for good.
TEST_CASE("entries of services that no queue names delay nothing")
{
    auto const usual = longest_wait(0, "s", 0, true);
    for (std::size_t const entries :
         {1UL, fleet_size / 2, fleet_size * 9 / 10}) {
        CAPTURE(entries);
        CHECK(longest_wait(entries, "other", other_token, true) <= usual);
        CHECK(longest_wait(entries, "other", 0, false) <= usual);
    }
}

// The same for workers of a service in use, up to half of the list.
TEST_CASE("workers that obey another holder or do not answer stop nobody")
{
    for (std::size_t const entries : {1UL, fleet_size / 2 - 1}) {
        CAPTURE(entries);
        auto const longest = base::milliseconds(500);
        CHECK(longest_wait(entries, "s", other_token, true) <= longest);
        CHECK(longest_wait(entries, "s", 0, false) <= longest);
    }
}

// Guards against workers of a service that a new configuration names and that
// the list had before.
TEST_CASE("workers are used as soon as a queue names their service")
{
    simulated_world world{3, {}};
    for (auto& worker : world.workers) {
        worker.service = "later";
    }
    world.run_for(base::seconds(3));
    world.submit(1, "early", 1);
    world.run_for(base::seconds(2));
    CHECK(world.started_at.empty());
    world.configuration.routes.front().target.service = "later";
    world.rename_queue("q"); // another version
    world.run_for(base::seconds(10));
    CHECK(world.started_at.contains("early"));
    CHECK(world.violations.empty());
}
