#include "committer_fixture.hpp"
#include "foxtaillift/base/error.hpp"

#include <doctest/doctest.h>

namespace base = foxtaillift::base;
namespace formats = foxtaillift::formats;
namespace store = foxtaillift::store;
using foxtaillift::store::tests::committer_fixture;

// Guards against one transaction for each record, which exceeds the store's
// budget, and against wrong versions in completions.
TEST_CASE("waiting submissions share a transaction")
{
    committer_fixture fixture;
    for (int i = 0; i < 50; ++i) {
        fixture.write("k" + std::to_string(i), "v");
    }
    fixture.run_for(base::milliseconds(100));
    CHECK(fixture.completions.size() == 50);
    CHECK(fixture.table.counters().transactions <= 2);
    auto const& done = fixture.result(50);
    CHECK(done.result == store::outcome::committed);
    CHECK(store::version_in(done, "k49") == 1);
    CHECK_FALSE(store::version_in(done, "k1").has_value());
}

// Guards against a group that is refused because of one of its items.
TEST_CASE("a conflict removes only the item that has it")
{
    committer_fixture fixture;
    fixture.table.transact_now({"", {}, {{"taken", "by another"}}});
    store::submission item;
    item.conditions = {{"taken", 0}};
    item.writes = {{"taken", "mine"}};
    auto const loser = fixture.submit(item);
    auto const winner = fixture.write("free", "v");
    fixture.run_for(base::milliseconds(200));
    CHECK(fixture.result(loser).result == store::outcome::conflict);
    CHECK(store::version_in(fixture.result(loser), "taken") == 1);
    CHECK(fixture.result(winner).result == store::outcome::committed);
    CHECK(fixture.table.read_now("taken").value == "by another");
}

// Guards against two items of a group that are merged although one writes what
// the other one uses: the second write would be lost, or its condition would be
// checked against the state before the first.
TEST_CASE("items that use a written row go into separate groups, in order")
{
    committer_fixture fixture;
    auto const first = fixture.write("row", "first");
    store::submission item;
    item.conditions = {{"row", 0}};
    item.writes = {{"other", "x"}};
    auto const checks_absence = fixture.submit(item);
    auto const last = fixture.write("row", "last");
    fixture.run_for(base::seconds(1));
    CHECK(fixture.result(first).result == store::outcome::committed);
    CHECK(fixture.result(checks_absence).result == store::outcome::conflict);
    CHECK(fixture.result(last).result == store::outcome::committed);
    CHECK(fixture.table.read_now("row").value == "last");
    CHECK(fixture.table.read_now("row").version == 2);
    CHECK(fixture.table.read_now("other").version == 0);
}

// Guards against an owner's records that are sent one by one because they all
// carry the same condition.
TEST_CASE("equal conditions on an unwritten row share a group")
{
    committer_fixture fixture;
    fixture.table.transact_now({"", {}, {{"owner/c", "me"}}});
    for (int i = 0; i < 20; ++i) {
        store::submission item;
        item.conditions = {{"owner/c", i == 7 ? 9U : 1U}};
        item.writes = {{"log/" + std::to_string(i), "r"}};
        fixture.submit(item);
    }
    fixture.run_for(base::milliseconds(200));
    CHECK(fixture.committer.statistics().groups <= 3);
    for (auto const& [number, done] : fixture.completions) {
        CHECK((done.result == store::outcome::committed) == (number != 8));
    }
}

// Guards against a second execution after a lost answer.
TEST_CASE("a lost answer is resolved by the operation row")
{
    committer_fixture fixture;
    fixture.write("warm", "up");
    fixture.run_for(base::milliseconds(100));
    fixture.table.faults().set_options({.lose_answer = 1.0});
    auto const number = fixture.write("k", "v");
    fixture.run_for(base::milliseconds(100));
    fixture.table.faults().set_options({});
    fixture.run_for(base::seconds(5));
    CHECK(fixture.result(number).result == store::outcome::committed);
    CHECK(store::version_in(fixture.result(number), "k") == 1);
    CHECK(fixture.table.read_now("k").version == 1);
    CHECK(fixture.committer.statistics().fences == 0);
}

// Guards against a write that takes effect after its submitter was told that
// it did not.
TEST_CASE("a write that arrives late is fenced before its repetition")
{
    committer_fixture fixture;
    fixture.write("warm", "up");
    fixture.run_for(base::milliseconds(100));
    fixture.table.faults().set_options({.apply_late = 1.0});
    store::submission item;
    item.writes = {{"k", "v"}};
    item.deadline = fixture.time.now() + base::milliseconds(500);
    auto const number = fixture.submit(item);
    fixture.run_for(base::milliseconds(10));
    fixture.table.faults().set_options({});
    fixture.run_for(base::seconds(20));
    CHECK(fixture.committer.statistics().fences == 1);
    CHECK(fixture.result(number).result == store::outcome::rejected);
    CHECK(fixture.table.read_now("k").version == 0);
}

// Guards against an unbounded queue, and against task history that keeps lease
// renewals out.
TEST_CASE("a full queue displaces the newest of the lowest priority")
{
    store::group_committer_options options;
    options.queue_length = 3;
    committer_fixture fixture{options};
    fixture.table.faults().set_down(true);
    store::submission item;
    auto const add = [&](store::priority level, std::string const& key) {
        item.level = level;
        item.writes = {{key, "v"}};
        return fixture.submit(item);
    };
    auto const task = add(store::priority::task_record, "a");
    auto const older = add(store::priority::history, "b");
    auto const newer = add(store::priority::history, "c");
    auto const renewal = add(store::priority::lease_renewal, "d");
    CHECK(fixture.result(newer).result == store::outcome::rejected);
    auto const refused = add(store::priority::history, "e");
    CHECK(fixture.result(refused).result == store::outcome::rejected);
    CHECK(fixture.committer.statistics().rejected_full == 2);
    fixture.table.faults().set_down(false);
    fixture.run_for(base::seconds(10));
    for (auto const number : {task, older, renewal}) {
        CHECK(fixture.result(number).result == store::outcome::committed);
    }
}

// Guards against a call claim that waits through an outage after its caller was
// answered.
TEST_CASE("a submission that was not sent is rejected at its deadline")
{
    committer_fixture fixture;
    fixture.table.faults().set_down(true);
    store::submission item;
    item.writes = {{"k", "v"}};
    item.deadline = fixture.time.now() + base::milliseconds(300);
    auto const number = fixture.submit(item);
    fixture.run_for(base::milliseconds(400));
    CHECK(fixture.result(number).reason == "deadline passed");
}

// Guards against a restarted process that mistakes the writes of its
// predecessor for its own, or the reverse.
TEST_CASE("two processes of one host resolve their own writes")
{
    committer_fixture fixture;
    int completed = 0;
    store::group_committer_options options;
    options.writer = "w2";
    store::simulated_committer second{
        fixture.process, fixture.table, committer_fixture::named(options), 2,
        [&completed](store::completion const& done) {
            CHECK(done.result == store::outcome::committed);
            ++completed;
        }};
    fixture.table.faults().set_options({.lose_answer = 0.3});
    for (std::uint64_t i = 1; i <= 10; ++i) {
        fixture.write("a" + std::to_string(i), "v");
        store::submission item;
        item.id.number = i;
        item.writes = {{"b" + std::to_string(i), "v"}};
        second.submit(item);
        fixture.run_for(base::milliseconds(400));
    }
    fixture.table.faults().set_options({});
    fixture.run_for(base::seconds(30));
    CHECK(completed == 10);
    CHECK(fixture.completions.size() == 10);
    for (int i = 1; i <= 10; ++i) {
        CHECK(fixture.table.read_now("a" + std::to_string(i)).version == 1);
        CHECK(fixture.table.read_now("b" + std::to_string(i)).version == 1);
    }
}

// Guards against names that would make the operation row ambiguous.
TEST_CASE("a writer name with white space is refused")
{
    store::group_committer_options options;
    options.host = "h";
    options.writer = "a b";
    CHECK_THROWS_AS(store::group_committer{options}, base::error);
}

// Guards against a recovering store that is met with full groups at once.
TEST_CASE("the circuit breaker probes and then lets groups grow")
{
    base::random_engine random{1};
    store::circuit_breaker breaker{{.longest_backoff = base::seconds(2)}};
    base::instant now{0};
    for (int i = 0; i < 3; ++i) {
        breaker.record_sent();
        breaker.record_failure(now, random);
        CHECK(breaker.retry_at() <= now + base::seconds(2));
        now = breaker.retry_at();
    }
    CHECK(breaker.state() == store::circuit_state::open);
    CHECK(breaker.group_limit() == 1);
    breaker.record_sent();
    breaker.record_success();
    CHECK(breaker.group_limit() == 8);
    for (int i = 0; i < 5; ++i) {
        breaker.record_sent();
        breaker.record_success();
    }
    CHECK(breaker.state() == store::circuit_state::closed);
    CHECK(breaker.group_limit() == 256);
}
