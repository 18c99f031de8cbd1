/// What a leader may conclude right after a takeover, while it still misses
/// rows, workers or leases that its predecessor knew.
#include "scheduler_fixture.hpp"
#include "simulated_world.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/jobs/worker_record.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using fixture = foxtaillift::jobs::testing::scheduler_fixture;
using foxtaillift::jobs::testing::simulated_world;

namespace
{

run_name const earlier_run{{.job = "j"}, 1};
step const one_task{.count = 1, .need = {.processors = 1000}};

worker_report report_of_end(fixture const& test)
{
    auto report = test.report();
    report.ended = {
        {.number = 1, .run = earlier_run, .outcome = run_outcome::done}};
    return report;
}

} // namespace

// Guards against TWICE: the row of a job came late, as the store was away just
// after the takeover; the end of its task had been acknowledged as that of a
// job which nobody knows, and the task started again.
TEST_CASE("the end of a job whose row comes late is not acknowledged before")
{
    fixture test{2, true};
    test.list("a");
    test.take<look_order>();
    constexpr int steps = 50; // 5 s without an answer of the store
    for (int i = 0; i < steps; ++i) {
        test.answer("a", report_of_end(test));
        test.decisions.on_committed(test.decisions.take_commit(50));
        test.wait(100);
        test.take<look_order>();
        CHECK(test.last_look["a"].acknowledged == 0);
    }
    test.add("j", one_task);
    test.answer("a", report_of_end(test));
    CHECK(test.take<start_order>().empty());
    test.decisions.on_committed(test.decisions.take_commit(50));
    CHECK(test.decisions.state_of("j") == job_state::completed);
}

// Guards against TWICE: the recovery ends when all leases of an earlier leader
// are over, but a worker that answers keeps what it lists; an end that could
// not be read yet was acknowledged after its task had started again.
TEST_CASE("no task starts while its worker lists an end that is not read")
{
    fixture test{2, true};
    test.add("k", one_task);
    test.decisions.begin_recovery(test.now); // the job is inherited
    test.list("a");
    test.list("b");
    test.take<look_order>();
    auto const report_ends = [&] {
        auto report = report_of_end(test); // of a job without a row
        report.ended.push_back(
            {.number = 2,
             .run = {{.job = "k"}, 1},
             .outcome = run_outcome::done});
        test.answer("a", report);
        test.answer("b", test.report());
    };
    constexpr int steps = 200; // 20 s without an answer of the store
    for (int i = 0; i < steps; ++i) {
        report_ends();
        test.wait(100);
        CHECK(test.take<start_order>().empty());
        CHECK(test.last_look["a"].acknowledged == 0);
    }
    REQUIRE(test.decisions.is_recovered(test.now));
    test.add("j", one_task);
    CHECK(test.take<start_order>().empty());
    report_ends();
    CHECK(test.take<start_order>().empty());
    test.decisions.on_committed(test.decisions.take_commit(50));
    CHECK(test.decisions.state_of("j") == job_state::completed);
    CHECK(test.decisions.state_of("k") == job_state::completed);
}

namespace
{

/// A worker that has carried out all tasks of a job and lists as many of their
/// ends as one report holds; another one is idle.
struct many_ends
{
    explicit many_ends(std::uint32_t tasks)
        : count(tasks)
    {
        this->test.add("j", {.count = tasks, .need = {.processors = 1}});
        this->test.decisions.begin_recovery(this->test.now); // inherited
        this->test.list("a");
        this->test.list("b");
        this->test.take<look_order>();
    }

    /// `later` is the outcome of the runs that the first part does not list.
    void report(run_outcome later = run_outcome::done)
    {
        constexpr std::uint32_t listed_at_once = 500;
        auto report = this->test.report();
        auto const first =
            static_cast<std::uint32_t>(this->test.last_look["a"].acknowledged);
        auto const last = std::min(this->count, first + listed_at_once);
        for (auto i = first; i < last; ++i) {
            report.ended.push_back(
                {.number = i + 1,
                 .run = {{.job = "j", .index = i}, 1},
                 .outcome = i < listed_at_once ? run_outcome::done : later});
        }
        this->test.answer("a", report);
        this->test.answer("b", this->test.report());
    }

    std::vector<start_order> step()
    {
        this->test.wait(100);
        return this->test.take<start_order>();
    }

    void commit()
    {
        this->test.decisions.on_committed(this->test.decisions.take_commit(50));
    }

    std::uint32_t count;
    fixture test{2, true};
};

} // namespace

// Guards against TWICE (review/11): a worker with more ends than one report
// holds counted as accounted for with the first 500, and the tasks of the
// others started again.
TEST_CASE("tasks wait for all ends of a worker that lists them in parts")
{
    for (std::uint32_t const count : {499U, 500U, 501U, 1000U, 2400U}) {
        // Also while the store is silent for longer than any lease.
        for (int const silent_steps : {0, 200}) {
            CAPTURE(count);
            CAPTURE(silent_steps);
            many_ends world{count};
            std::size_t starts = 0;
            for (int i = 0; i < silent_steps; ++i) {
                world.report();
                starts += world.step().size();
            }
            // A round for each part, and one for a list that just fits.
            for (std::uint32_t i = 0; i <= count / 500; ++i) {
                world.report();
                starts += world.step().size();
                world.commit();
                starts += world.step().size();
            }
            CHECK(starts == 0);
            CHECK(world.test.decisions.state_of("j") == job_state::completed);
            CHECK(world.test.decisions.is_recovered(world.test.now));
        }
    }
}

// Guards against the same fault: ends as failed count as attempts as well.
TEST_CASE("failed runs that are listed in parts count before a task starts")
{
    many_ends world{800};
    world.test.decisions.set_queues(
        {{.name = "q", .service = "s", .max_attempts = 1}});
    for (int i = 0; i < 2; ++i) {
        world.report(run_outcome::failed);
        CHECK(world.step().empty());
        world.commit();
        CHECK(world.step().empty());
    }
    CHECK(world.test.decisions.state_of("j") == job_state::failed);
}

// Guards against tasks that wait for ever: the worker with the ends is lost,
// and what it did not list binds nobody once its lease is over.
TEST_CASE("tasks start when the lease of a worker with unlisted ends is over")
{
    many_ends world{1200};
    world.report();
    world.commit();
    std::size_t starts = 0;
    int steps = 0;
    constexpr int longest = 200; // 20 s
    for (; starts == 0 && steps < longest; ++steps) {
        world.test.decisions.on_look(
            "a", order_status::unknown, {}, world.test.now, world.test.now);
        world.test.answer("b", world.test.report());
        starts = world.step().size();
    }
    CHECK(starts > 0);
    CHECK(steps > 60); // not before a lease of 6 s that an earlier leader gave
}

// Guards against TWICE: a deposed leader grants leases for 2.5 s at most, but
// the row of a job that it started then may reach its successor later.
TEST_CASE("a job whose row comes late counts as inherited")
{
    fixture test{2, true};
    for (std::string const worker : {"a", "b", "c"}) {
        test.list(worker);
    }
    test.take<look_order>();
    auto const answer = [&] {
        test.answer("a", test.report());
        test.answer("b", test.report());
        test.decisions.on_look(
            "c", order_status::unknown, {}, test.now, test.now);
    };
    answer();
    test.take<look_order>();
    test.wait(3000);
    test.add("j", one_task);
    constexpr int steps = 50;
    for (int i = 0; i < steps; ++i) {
        answer();
        CHECK(test.take<start_order>().empty());
        test.wait(100);
    }
    // What is stored later is new.
    test.decisions.on_jobs_read(test.now);
    test.add("new", one_task);
    auto const starts = test.take<start_order>();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.task.job == "new");
}

// Guards against TWICE: entries of workers that run on are missing for a while
// after an outage of the store, and the few that are listed were taken for a
// majority, from which on an earlier leader can't grant leases.
TEST_CASE("workers whose entries are missing count for a majority")
{
    fixture test{2, true};
    std::vector<std::string> const workers{"a", "b", "c", "d", "e"};
    for (auto const& id : workers) {
        test.decisions.recall_worker(
            {.id = id, .address = id, .service = "s"}, test.now);
    }
    test.add("j", one_task);
    test.decisions.begin_recovery(test.now); // the job is inherited
    test.list("a");
    test.take<look_order>();
    auto const step = [&] {
        auto report = test.report();
        report.running.push_back({.run = {{.job = "x"}, 1}, .percent = 5});
        test.answer("a", report);
        for (auto const& id : workers) {
            if (id != "a") {
                test.decisions.on_look(
                    id, order_status::unknown, {}, test.now, test.now);
            }
        }
        test.wait(100);
        CHECK(test.take<start_order>().empty());
    };
    constexpr int steps_until_listed = 20;
    for (int i = 0; i < steps_until_listed; ++i) {
        step();
    }
    for (auto const& id : workers) {
        test.list(id);
    }
    constexpr int steps_after = 100;
    for (int i = 0; i < steps_after; ++i) {
        step();
    }
    CHECK_FALSE(test.decisions.is_recovered(test.now));
}

// Guards against TWICE: a leader that had heard a worker once, before it sent
// it a lease, recorded the worker without one, and its successor started the
// task that ran there under the lease of an earlier leader.
TEST_CASE("a record tells the lease of an earlier leader")
{
    fixture test{2, true};
    test.list("a");
    test.take<look_order>();
    auto report = test.report();
    report.running = {{.run = earlier_run, .percent = 5}};
    test.answer("a", report);
    test.wait(1000);
    test.decisions.on_look("a", order_status::unknown, {}, test.now, test.now);
    auto const record = test.decisions.close_workers(test.now);
    REQUIRE(record.size() == 1);
    CHECK(record[0].lease_age == base::milliseconds(1000));
}

namespace
{

constexpr base::duration platform_lease = base::milliseconds(10'000);

/// How long a task waits that a silent worker may run, with a lease that was
/// sent as the leader took over, in ms.
std::int64_t restart_time(std::optional<base::duration> recorded_lease)
{
    fixture test{
        scheduler_options{.token = 2, .longest_lease = platform_lease}, true};
    test.list("a");
    test.list("b");
    if (recorded_lease) {
        test.decisions.take_longest_lease(*recorded_lease);
    }
    std::vector<closed_worker> const record{
        {.id = "a", .lease_age = base::duration{}, .runs = {earlier_run}}};
    test.decisions.take_closed(record, test.now);
    test.add("j", one_task);
    test.take<look_order>();
    constexpr std::int64_t step_ms = 100;
    constexpr std::int64_t longest_ms = 20'000;
    for (std::int64_t waited = 0; waited < longest_ms; waited += step_ms) {
        test.answer("b", test.report());
        test.decisions.on_look(
            "a", order_status::unknown, {}, test.now, test.now);
        if (!test.take<start_order>().empty()) {
            return waited;
        }
        test.wait(step_ms);
    }
    return longest_ms;
}

std::size_t leader_of(simulated_world const& world)
{
    std::size_t index = 0;
    while (!world.hosts[index] || !world.hosts[index]->service->is_leading()) {
        ++index;
        REQUIRE(index < world.hosts.size());
    }
    return index;
}

} // namespace

// Guards against TWICE while versions run side by side: a leader of a version
// with longer leases recorded none, and its successor waited for its own.
TEST_CASE("a successor waits for the longest lease that may be held")
{
    auto const recorded = base::milliseconds(6000);
    CHECK(restart_time(recorded) >= 6120);
    CHECK(restart_time(recorded) <= 6120 + 250 + 200);
    CHECK(restart_time(std::nullopt) >= 10'200);
}

// Guards against the same fault: a leader of a version that does not write the
// row leaves that of an earlier leader in place.
TEST_CASE("the lease that another leader than the last recorded says nothing")
{
    for (bool const is_of_last : {true, false}) {
        CAPTURE(is_of_last);
        leader_options leading;
        leading.scheduling.longest_lease = platform_lease;
        simulated_world world{1, {}, leading};
        world.run_for(base::seconds(20)); // whatever was before is over
        auto const first = leader_of(world);
        auto& row = world.store.rows.at({tables::lead, lead_keys::lease});
        auto recorded = decode_lease(row.value);
        CHECK(recorded.longest < base::milliseconds(6000));
        if (!is_of_last) {
            --recorded.token;
            row.value = encode(recorded);
        }
        world.kill_host(first);
        world.run_for(base::seconds(4));
        auto const& next = *world.hosts[leader_of(world)]->service;
        auto const held = next.decisions()->longest_lease_held(world.time.now);
        CHECK(held == (is_of_last ? recorded.longest : platform_lease));
        // The earlier leases are over in the end.
        world.run_for(base::seconds(20));
        CHECK(
            next.decisions()->longest_lease_held(world.time.now) ==
            recorded.longest);
        CHECK(
            decode_lease(
                world.store.rows.at({tables::lead, lead_keys::lease}).value)
                .longest == recorded.longest);
    }
    CHECK_THROWS_AS(decode_lease("2 x"), base::error);
}

namespace
{

/// A worker leaves while no host is up: the only one was stopped this long
/// before, and starts again this long after. Returns what was broken.
std::vector<std::string>
leave_without_hosts(base::duration until_left, base::duration until_started)
{
    simulated_world world{4, {}};
    world.run_for(base::seconds(3));
    auto const host = leader_of(world);
    for (std::size_t i = 0; i < world.hosts.size(); ++i) {
        if (i != host) {
            world.kill_host(i);
        }
    }
    world.submit(
        host, {.id = "j",
               .tasks = 8,
               .need = {.processors = 400, .memory_mb = 1},
               .is_lasting = true});
    world.run_for(base::seconds(15));
    CHECK(world.accepted.size() == 1);
    world.hosts[host]->service->stop([] {});
    world.run_for(base::milliseconds(100));
    world.kill_host(host);
    world.run_for(until_left);
    world.workers[0].is_reachable = false;
    world.workers[0].runs.clear();
    world.set_listed(0, false);
    world.watch_lasting_tasks(world.time.now);
    world.run_for(until_started);
    world.start_host(host);
    world.run_for(base::seconds(20));
    return world.violations;
}

} // namespace

// Guards against lasting tasks that wait for the longest lease from a takeover
// on, though the last leader had resigned (review/8: 9 to 12 s).
TEST_CASE("leases of a leader that resigned are counted from its resignation")
{
    for (std::int64_t left_ms = 100; left_ms <= 3000; left_ms += 580) {
        for (std::int64_t started_ms = 300; started_ms <= 4000;
             started_ms += 740) {
            CAPTURE(left_ms);
            CAPTURE(started_ms);
            auto const broken = leave_without_hosts(
                base::milliseconds(left_ms), base::milliseconds(started_ms));
            for (auto const& each : broken) {
                INFO(each);
                CHECK(broken.empty());
            }
        }
    }
}

// Guards against a resignation that vouches for an earlier leader which may
// still grant leases: the one that resigned had not heard a majority.
TEST_CASE("a leader tells when leases end only if no other one may grant")
{
    fixture test{2, true};
    test.list("a");
    test.list("b");
    CHECK_FALSE(test.decisions.leases_left(test.now));
    test.take<look_order>();
    test.answer("a", test.report());
    test.answer("b", test.report());
    test.take<look_order>();
    auto const left = test.decisions.leases_left(test.now);
    REQUIRE(left);
    CHECK(*left >= base::milliseconds(2500 + 6000));
    // The last one's word holds without a majority, and lengthens nothing.
    fixture next{3, true};
    next.list("a");
    next.decisions.take_resignation(next.now, base::milliseconds(5000));
    auto const inherited = next.decisions.leases_left(next.now);
    REQUIRE(inherited);
    CHECK(inherited->ms >= 5100 + 250);
}
