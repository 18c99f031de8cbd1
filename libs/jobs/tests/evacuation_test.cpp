#include "scheduler_fixture.hpp"
#include "simulated_world.hpp"

#include "foxtaillift/jobs/views.hpp"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using foxtaillift::jobs::testing::scheduler_fixture;
using foxtaillift::jobs::testing::simulated_world;

namespace
{

/// Worker "a" in domain "za", "b" in "zb", with room for four small tasks each.
struct two_domains : scheduler_fixture
{
    two_domains()
        : scheduler_fixture(1)
    {
        this->list_in("a", "za");
        this->list_in("b", "zb");
        this->take<look_order>();
        this->report_all();
    }

    void list_in(std::string const& id, std::string const& domain)
    {
        this->decisions.list_worker(
            {.id = id,
             .address = id,
             .service = "s",
             .failure_domain = domain,
             .capacity = {.processors = 4000, .memory_mb = 1000}},
            this->now);
    }

    /// Each worker reports all that was started there as at work.
    void report_all()
    {
        for (std::string const worker : {"a", "b"}) {
            auto report = this->report();
            for (auto const& run : this->runs[worker]) {
                report.running.push_back({.run = run, .percent = 50});
            }
            this->answer(worker, report);
        }
    }

    /// Starts what can start; returns the workers, one for each start.
    std::multiset<std::string> place()
    {
        std::multiset<std::string> result;
        for (auto const& order : this->take<start_order>()) {
            result.insert(order.worker);
            this->runs[order.worker].push_back(order.run);
            this->decisions.on_start(
                order.worker, order.run, order_status::done, this->now);
        }
        return result;
    }

    void evacuate(std::string const& domain, bool is_evacuated = true)
    {
        this->decisions.set_evacuated(domain, is_evacuated, this->now);
    }

    std::map<std::string, std::vector<run_name>> runs{};
};

step const small{.count = 2, .need = {.processors = 1000, .memory_mb = 10}};

} // namespace

// Guards against starts in a domain that the operator empties (EVAC on each day
// with an evacuation), and against runs there that are stopped or lapse.
TEST_CASE("nothing starts in an evacuated domain, and what runs there stays")
{
    two_domains test;
    step spread = small;
    spread.count = 2;
    spread.tasks_per_worker = 1;
    test.add("before", spread);
    CHECK(test.place() == std::multiset<std::string>{"a", "b"});
    test.evacuate("za");
    test.add("job", small);
    CHECK(test.place() == std::multiset<std::string>{"b", "b"});
    // The next one has no room in the other domain.
    test.add("waits", {.count = 1, .need = {.processors = 2000}});
    test.wait(1000);
    test.report_all();
    CHECK(test.place().empty());
    CHECK(test.take<stop_order>().empty());
    REQUIRE(test.last_look.contains("a"));
    CHECK(test.last_look["a"].lease_until_ms.has_value());
    test.evacuate("za", false);
    CHECK(test.place() == std::multiset<std::string>{"a"});
}

// The pattern: two zones are emptied one after the other, and their spans
// overlap. Guards against the end of one that opens both.
TEST_CASE("evacuations that overlap end one by one")
{
    two_domains test;
    test.evacuate("za");
    test.evacuate("zb");
    test.evacuate("zb"); // told again
    test.add("job", {.count = 1, .need = small.need});
    CHECK(test.place().empty());
    test.evacuate("za", false);
    CHECK(test.place() == std::multiset<std::string>{"a"});
    test.add("next", {.count = 4, .need = small.need});
    CHECK(test.place() == std::multiset<std::string>{"a", "a", "a"});
    test.evacuate("zb", false);
    CHECK(test.place() == std::multiset<std::string>{"b"});
}

// Guards against a new leader that starts work on a worker which it knows from
// the record of an earlier one only: the record does not tell its domain.
TEST_CASE("a worker of unknown domain gets nothing during an evacuation")
{
    scheduler_fixture test;
    test.decisions.recall_worker(
        {.id = "old",
         .address = "old",
         .service = "s",
         .capacity = {.processors = 4000, .memory_mb = 1000}},
        test.now);
    test.decisions.set_evacuated("za", true, test.now);
    test.take<look_order>();
    test.answer("old", test.report());
    test.add("job", {.count = 1, .need = small.need});
    CHECK(test.take<start_order>().empty());
    test.decisions.set_evacuated("za", false, test.now);
    CHECK(test.take<start_order>().size() == 1);
}

// Guards against an entry that moves a worker to an evacuated domain, or out of
// it, while the evacuation is in force.
TEST_CASE("the newest entry of a worker tells its domain")
{
    two_domains test;
    test.evacuate("za");
    test.list_in("a", "zc");
    test.list_in("b", "za");
    test.add("job", small);
    CHECK(test.place() == std::multiset<std::string>{"a", "a"});
}

// Guards against gangs, copies of slow tasks and starving tasks that find their
// workers on a way of their own.
TEST_CASE("gangs, copies and starving tasks keep out of an evacuated domain")
{
    two_domains test;
    step racing = small;
    racing.count = 1;
    racing.may_race = true;
    racing.estimate = base::milliseconds(100);
    test.evacuate("zb");
    test.add("racing", racing);
    CHECK(test.place() == std::multiset<std::string>{"a"});
    test.add("gang", {.count = 4, .need = small.need, .is_gang = true});
    test.add("lasting", {.count = 5, .need = small.need, .is_lasting = true});
    constexpr int rounds = 20;
    for (int i = 0; i < rounds; ++i) {
        test.wait(500);
        test.report_all();
        CHECK(test.place().count("b") == 0);
    }
    test.evacuate("zb", false);
    CHECK(test.place().count("b") > 0);
}

// Guards against an operator who cannot see what is still in a domain, or why a
// job waits.
TEST_CASE("operators see evacuations and what they keep from starting")
{
    two_domains test;
    test.add("job", {.count = 8, .need = small.need});
    test.place();
    test.evacuate("za");
    test.wait(250);
    test.report_all();
    test.add("waits", {.count = 1, .need = small.need});
    test.place();
    host_view const host{.host = "h1", .is_leading = true};
    auto const read = [&](std::string const& path) {
        return nlohmann::json::parse(
            answer_operator_read(path, host, &test.decisions, test.now).body);
    };
    auto const list = read("/v1/evacuations")["evacuations"];
    REQUIRE(list.size() == 1);
    CHECK(list[0]["failure_domain"] == "za");
    CHECK(list[0]["known_ms"] == 250);
    CHECK(list[0]["workers"] == 1);
    CHECK(list[0]["runs"] == 4);
    CHECK(read("/v1/workers")["workers"][0]["state"] == "evacuated");
    CHECK(read("/v1/jobs/waits")["last_wait"]["evacuated"] == 1);
    CHECK(test.decisions.load(test.now).evacuated_workers == 1);
    test.evacuate("zb");
    test.place();
    CHECK(read("/v1/jobs/waits")["last_wait"]["evacuated"] == 2);
}

// The pattern: the leader dies, loses the store or is cut off just after an
// evacuation, and two evacuations overlap. Guards against a successor that does
// not know of one, and against work that is lost meanwhile.
TEST_CASE("a successor keeps to the evacuations in force")
{
    constexpr std::uint32_t seeds = 12;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        simulated_world world{seed, {}};
        for (std::size_t i = 0; i < world.workers.size(); ++i) {
            world.workers[i].failure_domain = "z" + std::to_string(i % 3);
        }
        world.run_for(base::seconds(3));
        constexpr int jobs = 60;
        for (int i = 0; i < jobs; ++i) {
            world.submit(
                static_cast<std::size_t>(i) % 3, "job" + std::to_string(i), 2);
            auto const host = base::uniform_below(world.random, 3);
            if (i == 10 || i == 30) {
                world.set_evacuated(i == 10 ? "z1" : "z2", true);
            } else if (i % 12 == 11 && world.hosts[host]) {
                world.kill_host(host);
                world.time.at(
                    world.time.now + base::milliseconds(700),
                    [&world, host] { world.start_host(host); });
            } else if (i == 20) {
                world.store.is_silent = true;
            } else if (i == 26) {
                world.store.is_silent = false;
            } else if (i == 45) {
                world.set_evacuated("z1", false);
            }
            world.run_for(base::milliseconds(400));
        }
        world.set_evacuated("z2", false);
        world.run_for(base::seconds(60));
        CHECK(world.violations.empty());
        CHECK(world.unfinished().empty());
    }
}
