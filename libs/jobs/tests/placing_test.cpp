#include "scheduler_fixture.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using foxtaillift::jobs::testing::scheduler_fixture;

namespace
{

/// Starts in one run of the decisions, by job.
std::map<std::string, int> starts_by_job(scheduler_fixture& test)
{
    std::map<std::string, int> result;
    for (auto const& start : test.take<start_order>()) {
        ++result[start.run.task.job];
    }
    return result;
}

} // namespace

// The pattern: lasting tasks for which a fleet has no room beside quick jobs of
// the same priority (scale-2 of Rezni Oblak: proofs waited for 1 to 26 s).
// Guards against lasting tasks that take for minutes what short ones free.
TEST_CASE("short jobs start before lasting ones that wait for the same room")
{
    scheduler_fixture test;
    test.list("a", 4000);
    test.take<look_order>();
    test.add(
        "lasting",
        {.count = 2, .need = {.processors = 3000}, .is_lasting = true});
    test.wait(2000);
    test.add("short", {.count = 4, .need = {.processors = 1000}});
    test.answer("a", test.report());
    auto started = starts_by_job(test);
    CHECK(started["short"] == 4);
    CHECK(started["lasting"] == 0);
}

// The pattern: a burst that leaves more work than can be done in time. Guards
// against jobs that are late one after the other because each waits behind
// jobs that are late already.
TEST_CASE("jobs that can be in time start before late ones")
{
    scheduler_fixture test;
    test.list("a", 1000);
    test.take<look_order>();
    step const second{
        .count = 1,
        .need = {.processors = 1000},
        .estimate = base::milliseconds(1000)};
    test.add("worthless", second);
    test.wait(2000);
    test.add("late", second);
    test.wait(1500);
    test.add("in_time", second);
    for (auto const* const next : {"in_time", "late", "worthless"}) {
        CAPTURE(next);
        auto report = test.report();
        test.answer("a", report);
        auto const starts = test.take<start_order>();
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].run.task.job == next);
        test.decisions.on_start(
            "a", starts[0].run, order_status::done, test.now);
        test.decisions.cancel_job(next, test.now);
        test.take<stop_order>();
        test.decisions.on_stop(
            "a", starts[0].run, order_status::done, test.now);
        test.wait(1);
    }
}

// The pattern: single answers of workers that are lost (applied_late). Guards
// against a sound worker that gets no tasks, and whose ends nobody reads, until
// a pause after the loss is over.
TEST_CASE("a worker whose answer was lost is asked again at once")
{
    scheduler_fixture test;
    test.list("a");
    test.take<look_order>();
    test.answer("a", test.report());
    test.wait(10);
    test.take<look_order>();
    test.decisions.on_look("a", order_status::unknown, {}, test.now, test.now);
    test.last_look.clear();
    test.take<look_order>();
    REQUIRE(test.last_look.contains("a"));
    CHECK(test.last_look["a"].wait == base::duration{});
    // A second loss in a row is followed by a pause.
    test.decisions.on_look("a", order_status::unknown, {}, test.now, test.now);
    test.last_look.clear();
    test.take<look_order>();
    CHECK_FALSE(test.last_look.contains("a"));
}

// Guards against a waiting task of which the log does not say what it waits
// for, and against a line for each of thousands in an overload.
TEST_CASE("the log says why tasks wait, for a bounded number of jobs")
{
    std::vector<std::string> lines;
    scheduler_fixture test{
        {.token = 1, .log = [&lines](base::event_line const& line) {
             lines.push_back(line.str());
         }}};
    test.list("a", 4000);
    test.take<look_order>();
    test.answer("a", test.report());
    lines.clear();
    constexpr int jobs = 100;
    for (int i = 0; i < jobs; ++i) {
        // Each needs less than the one before, so that all are tried.
        test.add(
            "j" + std::to_string(i),
            {.count = 1, .need = {.processors = 5000 - i}});
    }
    test.take<start_order>();
    std::size_t waits = 0;
    for (auto const& line : lines) {
        if (line.starts_with("event=task_waits")) {
            ++waits;
            CHECK(line.find("no_processors=1 ") != std::string::npos);
        }
    }
    CHECK(waits > 0);
    CHECK(waits <= 20);
}

// The pattern: wide steps in a large fleet (80 tasks of a nesting job on 1,100
// workers). One search serves the tasks of a step; guards against tasks that
// share a worker while others are empty, and against tasks that are left over.
TEST_CASE("the tasks of a wide step spread over a large fleet in one run")
{
    scheduler_fixture test;
    constexpr int workers = 300;
    for (int i = 0; i < workers; ++i) {
        test.list("w" + std::to_string(i), 4000);
    }
    test.take<look_order>();
    for (int i = 0; i < workers; ++i) {
        test.answer("w" + std::to_string(i), test.report());
    }
    for (bool const is_filling : {false, true}) {
        CAPTURE(is_filling);
        auto const id = is_filling ? "filling" : "short";
        test.add(
            id, {.count = 80,
                 .need = {.processors = 1000, .memory_mb = 10},
                 .is_filling = is_filling});
        std::map<std::string, int> by_worker;
        auto const starts = test.take<start_order>();
        CHECK(starts.size() == 80);
        for (auto const& start : starts) {
            CHECK(start.run.task.job == id);
            ++by_worker[start.worker];
        }
        CHECK(by_worker.size() == 80);
    }
}

// The pattern: a step with more tasks than a sample of workers has room for.
// Guards against tasks that wait although workers outside the sample are free.
TEST_CASE(
    "a step takes all room of a large fleet, and a worker once if it must")
{
    scheduler_fixture test;
    constexpr int workers = 120;
    for (int i = 0; i < workers; ++i) {
        test.list("w" + std::to_string(i), i % 4 == 0 ? 1000 : 500);
    }
    test.take<look_order>();
    for (int i = 0; i < workers; ++i) {
        test.answer("w" + std::to_string(i), test.report());
    }
    test.add("wide", {.count = 60, .need = {.processors = 1000}});
    CHECK(test.take<start_order>().size() == 30);
    test.add(
        "apart",
        {.count = 90, .need = {.processors = 250}, .tasks_per_worker = 1});
    std::map<std::string, int> by_worker;
    for (auto const& start : test.take<start_order>()) {
        ++by_worker[start.worker];
    }
    CHECK(by_worker.size() == 90);
    for (auto const& [worker, count] : by_worker) {
        CHECK(count == 1);
    }
}

// Guards against decisions that depend on where jobs lie in memory: a day must
// play the same twice.
TEST_CASE("jobs that are equal by all else start in the order of their names")
{
    for (auto const& names :
         {std::vector<std::string>{"a", "b"},
          std::vector<std::string>{"b", "a"}}) {
        scheduler_fixture test;
        test.list("w", 1000);
        test.take<look_order>();
        for (auto const& name : names) {
            test.add(name, {.count = 1, .need = {.processors = 1000}});
        }
        test.answer("w", test.report());
        auto const starts = test.take<start_order>();
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].run.task.job == "a");
    }
}

// Guards against room that a gang which does not fit seems to take from others
// in the same run of the decisions.
TEST_CASE("a gang without room for all leaves the room to others")
{
    scheduler_fixture test;
    test.list("a", 3000);
    test.take<look_order>();
    test.add(
        "gang", {.count = 4, .need = {.processors = 1000}, .is_gang = true});
    test.wait(1);
    test.add("single", {.count = 3, .need = {.processors = 1000}});
    test.answer("a", test.report());
    auto started = starts_by_job(test);
    CHECK(started["gang"] == 0);
    CHECK(started["single"] == 3);
}

// The load: large jobs in a burst at more than the capacity. Guards against
// small jobs that miss their objectives behind one that takes all of the time,
// and against an order that changes where there is room for all.
TEST_CASE("in an overload the work goes to jobs worth most by core-second")
{
    for (std::int64_t const processors : {1000, 8000}) {
        CAPTURE(processors);
        scheduler_fixture test;
        test.decisions.set_queues(
            {{.name = "q",
              .service = "s",
              .max_attempts = 2,
              .target_factor = 1,
              .target_latency = base::milliseconds(2000)}});
        test.list("a", processors);
        test.take<look_order>();
        step const second{
            .count = 1,
            .need = {.processors = 1000},
            .estimate = base::milliseconds(1000)};
        step large = second;
        large.count = 9;
        test.add("large", large);
        test.wait(10);
        test.add("small1", second);
        test.add("small2", second);
        test.answer("a", test.report());
        auto const starts = test.take<start_order>();
        REQUIRE(!starts.empty());
        bool const is_overload = processors == 1000;
        CHECK(starts[0].run.task.job == (is_overload ? "small1" : "large"));
        auto const queue = test.decisions.load(test.now).queues.at("q");
        CHECK(queue.in_time == 3);
        CHECK(queue.late == 0);
        test.wait(5000);
        CHECK(test.decisions.load(test.now).queues.at("q").late == 3);
    }
}
