#include "foxtaillift/jobs/worker_roster.hpp"

#include "foxtaillift/jobs/rows.hpp"
#include "foxtaillift/jobs/worker_record.hpp"

#include "scheduler_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using foxtaillift::jobs::testing::scheduler_fixture;

namespace
{

constexpr int fleet = 3000;

worker_info worker(int number)
{
    return {
        .id = "i-0c307f85" + std::to_string(number),
        .address = "10.255.255.255:65535",
        .service = "service-of-a-large-fleet"};
}

/// The roster of a leader and the rows that it has written.
struct recorded_roster
{
    /// Writes until nothing is left; returns the number of writes.
    int write()
    {
        int writes = 0;
        while (true) {
            auto const pages = this->roster.to_record(
                this->fixture.decisions, this->fixture.now);
            if (pages.empty()) {
                return writes;
            }
            ++writes;
            REQUIRE(writes < fleet);
            REQUIRE(pages.size() <= worker_roster::pages_in_record);
            for (auto const& page : pages) {
                this->rows[page.number] = page.workers;
                REQUIRE(encode_workers(page.workers).size() <= longest_value);
            }
            this->roster.on_recorded(pages);
        }
    }

    std::set<std::string> names() const
    {
        std::set<std::string> result;
        for (auto const& [number, workers] : this->rows) {
            for (auto const& each : workers) {
                CHECK(result.insert(each.id).second);
            }
        }
        return result;
    }

    scheduler_fixture fixture{};
    worker_roster roster{};
    std::map<std::size_t, std::vector<worker_info>> rows{};
};

} // namespace

// Guards against rows that the store refuses, and against workers that no row
// or two rows name.
TEST_CASE("a large fleet is named in pages of which a change rewrites one")
{
    recorded_roster leader;
    for (int i = 0; i < fleet; ++i) {
        leader.roster.list(worker(i));
    }
    leader.write();
    CHECK(leader.names().size() == fleet);
    CHECK(leader.roster.recorded_count() == fleet);

    leader.roster.unlist(worker(7).id);
    leader.roster.list(worker(fleet));
    auto const pages =
        leader.roster.to_record(leader.fixture.decisions, leader.fixture.now);
    CHECK(pages.size() <= 2);
    leader.write();
    CHECK(leader.names().size() == fleet);
    CHECK_FALSE(leader.names().contains(worker(7).id));
    CHECK_FALSE(leader.roster.is_recorded(worker(7).id));
    CHECK(leader.roster.is_recorded(worker(fleet).id));
}

// Guards against a successor that drops a worker whose runs it has not seen, or
// names those again that are named.
TEST_CASE("a successor goes on with the pages that it finds")
{
    recorded_roster former;
    for (int i = 0; i < fleet; ++i) {
        former.roster.list(worker(i));
    }
    former.write();

    recorded_roster leader;
    leader.rows = former.rows;
    for (auto const& [number, workers] : former.rows) {
        leader.roster.recall({.number = number, .workers = workers});
    }
    for (int i = 0; i < fleet; ++i) {
        if (i != 9) {
            leader.roster.list(worker(i));
        }
    }
    leader.fixture.decisions.begin_recovery(leader.fixture.now);
    leader.fixture.decisions.recall_worker(worker(9), leader.fixture.now);
    CHECK(leader.write() == 0); // worker 9 may have runs
    leader.roster.unlist(worker(8).id);
    CHECK(leader.write() == 1);
    CHECK(leader.names().contains(worker(9).id));
    CHECK_FALSE(leader.names().contains(worker(8).id));
}

TEST_CASE("pages that become empty go, and their numbers are used again")
{
    recorded_roster leader;
    leader.roster.list(worker(1));
    leader.write();
    leader.roster.unlist(worker(1).id);
    leader.write();
    REQUIRE(leader.rows.contains(0));
    CHECK(leader.rows[0].empty());
    leader.roster.list(worker(2));
    leader.write();
    CHECK(leader.rows[0].size() == 1);
    CHECK(leader.rows.size() == 1);
}

TEST_CASE("keys of pages are read back; those of others are none")
{
    CHECK(parse_roster_key(roster_key(0)) == 0U);
    CHECK(parse_roster_key(roster_key(65)) == 65U);
    for (auto const* const key :
         {"workers.named.", "workers.named.x", "workers.named.1x",
          "workers.named.99999999999999999999", "workers.named.5000",
          lead_keys::learned, lead_keys::closed, lead_keys::beat}) {
        CAPTURE(key);
        CHECK_FALSE(parse_roster_key(key));
    }
}

// Guards against TWICE: the list drops entries of workers that run on, and a
// task that started on one as the record stopped naming it was unknown to a
// successor.
TEST_CASE("a worker is recorded as long as a task may start there")
{
    recorded_roster leader;
    auto& roster = leader.roster;
    auto& decisions = leader.fixture.decisions;
    auto const one = worker(1);
    roster.list(one);
    leader.write();
    REQUIRE(roster.is_recorded(one.id));
    decisions.list_worker(one, leader.fixture.now);
    decisions.unlist_worker(one.id, leader.fixture.now);
    roster.unlist(one.id);
    leader.fixture.wait(2900); // it is used for 3 s more
    CHECK(roster.to_record(decisions, leader.fixture.now).empty());
    leader.fixture.wait(200);
    auto const pages = roster.to_record(decisions, leader.fixture.now);
    REQUIRE(pages.size() == 1);
    CHECK(pages[0].workers.empty());
    // Its entry comes back while the page is on its way.
    roster.on_record_sent(pages);
    roster.list(one);
    CHECK_FALSE(roster.is_recorded(one.id));
    roster.on_recorded(pages);
    CHECK_FALSE(roster.is_recorded(one.id));
    leader.write();
    CHECK(roster.is_recorded(one.id));
}

// Guards against TWICE: a successor that does not know of a worker starts again
// what ended there, if the end is not durable yet.
TEST_CASE("a worker is recorded until its ends are durable")
{
    recorded_roster leader;
    auto& roster = leader.roster;
    auto& test = leader.fixture;
    test.list("a");
    roster.list({.id = "a", .address = "a", .service = "s"});
    leader.write();
    test.take<look_order>();
    test.answer("a", test.report());
    test.add("j", {.count = 1, .need = {.processors = 1000}});
    auto const starts = test.take<start_order>();
    REQUIRE(starts.size() == 1);
    test.decisions.unlist_worker("a", test.now);
    roster.unlist("a");
    test.wait(4000);
    auto report = test.report();
    report.ended = {
        {.number = 1, .run = starts[0].run, .outcome = run_outcome::done}};
    test.answer("a", report);
    CHECK(roster.to_record(test.decisions, test.now).empty());
    test.decisions.on_committed(test.decisions.take_commit(50));
    CHECK(roster.to_record(test.decisions, test.now).size() == 1);
}
