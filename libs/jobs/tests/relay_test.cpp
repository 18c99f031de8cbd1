#include "simulated_world.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/jobs/relay_message.hpp"
#include "foxtaillift/jobs/relay_service.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using namespace foxtaillift::jobs::testing;

namespace
{

run_name const some_run{
    .task = {.job = "j", .occurrence = 1, .step = 2, .index = 3}, .attempt = 4};

/// Orders of every leader pass through other hosts.
leader_options all_relayed()
{
    return {.relaying = {.least_workers = 1}};
}

std::size_t leader_of(simulated_world const& world)
{
    std::size_t leading = 0;
    while (!world.hosts[leading] ||
           !world.hosts[leading]->service->is_leading()) {
        ++leading;
    }
    return leading;
}

void submit_jobs(simulated_world& world, std::size_t host, int count)
{
    for (int i = 0; i < count; ++i) {
        world.submit(host, "job" + std::to_string(i), 3);
        world.run_for(base::milliseconds(100));
    }
}

} // namespace

TEST_CASE("orders for a relay are read as they were written")
{
    std::vector<relayed_order> const orders{
        {1,
         look_order{
             .worker = "w",
             .address = "a:1",
             .token = 7,
             .acknowledged = 8,
             .lease_until_ms = 9,
             .wait = base::milliseconds(10),
             .is_extra = true}},
        {2, look_order{.worker = "w"}},
        {3,
         start_order{
             .worker = "w",
             .address = "a:1",
             .run = some_run,
             .payload = "p",
             .lease_until_ms = 5,
             .token = 6,
             .checkpoint = "c",
             .ticket = "t"}},
        {4, stop_order{.worker = "w", .run = some_run, .token = 6}},
        {5, pace_order{
                .worker = "w", .run = some_run, .percent = 40, .token = 6}}};
    auto const read = decode_relayed_orders(encode(orders));
    REQUIRE(read.size() == 5);
    auto const& look = std::get<look_order>(read[0].order);
    CHECK(read[0].number == 1);
    CHECK(look.address == "a:1");
    CHECK(look.token == 7);
    CHECK(look.acknowledged == 8);
    CHECK(look.lease_until_ms == 9);
    CHECK(look.wait == base::milliseconds(10));
    CHECK(look.is_extra);
    // Without a lease the look must not grant one.
    CHECK_FALSE(std::get<look_order>(read[1].order).lease_until_ms);
    auto const& start = std::get<start_order>(read[2].order);
    CHECK(start.run == some_run);
    CHECK(start.payload == "p");
    CHECK(start.lease_until_ms == 5);
    CHECK(start.token == 6);
    CHECK(start.checkpoint == "c");
    CHECK(start.ticket == "t");
    CHECK(std::get<stop_order>(read[3].order).run == some_run);
    CHECK(std::get<pace_order>(read[4].order).percent == 40);
}

TEST_CASE("answers of workers are read as they were written")
{
    worker_report const report{
        .clock_ms = 1,
        .born_ms = 2,
        .running =
            {{.run = some_run, .checkpoint = "c", .percent = 30, .recent = 40},
             {.run = some_run}},
        .ended = {
            {.number = 5,
             .run = some_run,
             .outcome = run_outcome::alone,
             .checkpoint = "d"}}};
    std::vector<relayed_answer> const answers{
        {1, order_status::done, report},
        {2, order_status::fenced, std::nullopt}};
    auto const read = decode_relayed_answers(encode(answers));
    REQUIRE(read.size() == 2);
    REQUIRE(read[0].report);
    auto const& told = *read[0].report;
    CHECK(told.clock_ms == 1);
    CHECK(told.born_ms == 2);
    REQUIRE(told.running.size() == 2);
    CHECK(told.running[0].run == some_run);
    CHECK(told.running[0].checkpoint == "c");
    CHECK(told.running[0].percent == 30);
    CHECK(told.running[0].recent == 40);
    REQUIRE(told.ended.size() == 1);
    CHECK(told.ended[0].number == 5);
    CHECK(told.ended[0].outcome == run_outcome::alone);
    CHECK(told.ended[0].checkpoint == "d");
    CHECK(read[1].status == order_status::fenced);
    CHECK_FALSE(read[1].report);
}

// Guards against a process that ends by one malformed message.
TEST_CASE("a malformed message of a relay is refused")
{
    std::vector<relayed_answer> const answers{
        {1, order_status::done, worker_report{.clock_ms = 1, .born_ms = 2}}};
    auto const sound = encode(answers);
    int refused = 0;
    for (std::size_t i = 0; i < sound.size(); ++i) {
        CHECK_THROWS_AS(
            decode_relayed_answers(sound.substr(0, i)), base::error);
        for (int byte = 0; byte < 256; ++byte) {
            auto changed = sound;
            changed[i] = static_cast<char>(byte);
            try {
                decode_relayed_answers(changed);
                decode_relayed_orders(changed);
            } catch (base::error const&) {
                ++refused;
            }
        }
    }
    CHECK(refused > 0);
    CHECK_THROWS_AS(
        decode_relayed_orders(std::string(100'000, '\x91')), base::error);
    CHECK_THROWS_AS(decode_relayed_orders("\xdd\xff\xff\xff\xff"), base::error);
}

TEST_CASE("jobs run to their end while other hosts relay all orders")
{
    simulated_world world{1, {}, all_relayed()};
    world.run_for(base::seconds(2));
    submit_jobs(world, 0, 20);
    world.run_for(base::seconds(30));
    CHECK(world.accepted.size() == 20);
    CHECK(world.unfinished().empty());
    CHECK(world.violations.empty());
}

// Guards against workers that count as silent since their relay is.
TEST_CASE("the death of a relay costs no run")
{
    simulated_world world{1, {}, all_relayed()};
    world.run_for(base::seconds(3));
    auto const leading = leader_of(world);
    submit_jobs(world, leading, 10);
    for (std::size_t i = 0; i < world.hosts.size(); ++i) {
        if (i != leading) {
            world.kill_host(i);
        }
    }
    world.run_for(base::seconds(2));
    CHECK(world.hosts[leading]->service->is_leading());
    for (auto const& worker : world.workers) {
        CHECK(worker.lapsed_ends == 0); // no lease ran out
    }
    world.run_for(base::seconds(40));
    CHECK(world.unfinished().empty());
    CHECK(world.violations.empty());
}

// Guards against a relay of an earlier leader that acts on.
TEST_CASE("orders of a deposed leader are refused behind a relay")
{
    simulated_world world{1, {}, all_relayed()};
    world.run_for(base::seconds(3));
    auto const first = leader_of(world);
    submit_jobs(world, (first + 1) % 3, 10);
    world.without_store.insert(first);
    world.run_for(base::seconds(6));
    CHECK(leader_of(world) != first);
    world.without_store.clear();
    world.run_for(base::seconds(40));
    CHECK(world.unfinished().empty());
    CHECK(world.violations.empty());
}

// Guards against a start that a relay carries out once it is thawed, seconds
// after the leader has given it up.
TEST_CASE("a relay drops orders that reach it late")
{
    simulated_world world{1, {}};
    auto const relay =
        std::make_shared<relay_service<simulated_ports>>(*world.hosts.front());
    auto const message_of = [&](std::string const& job) {
        std::vector<relayed_order> const orders{
            {1, start_order{
                    .worker = "w0",
                    .run = {.task = {.job = job}, .attempt = 1},
                    .lease_until_ms = world.time.now.ms + 5000,
                    .token = 1}}};
        return encode(orders);
    };
    relay->exchange(
        "s", world.time.now - base::milliseconds(500), message_of("late"));
    relay->exchange("s", world.time.now, message_of("due"));
    world.run_for(base::seconds(1));
    CHECK_FALSE(world.started_at.contains("late"));
    CHECK(world.started_at.contains("due"));
    auto const answers =
        decode_relayed_answers(relay->exchange("s", world.time.now, "\x90"));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == order_status::done);
}
