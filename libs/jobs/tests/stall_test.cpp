#include "scheduler_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using foxtaillift::jobs::testing::scheduler_fixture;

namespace
{

constexpr std::int64_t all_work = 100; // percent

/// Two workers, and one task that needs so long.
class one_task_fixture : public scheduler_fixture
{
public:
    explicit one_task_fixture(base::duration estimate)
        : scheduler_fixture(1)
    {
        this->list("a");
        this->list("b");
        this->take<look_order>();
        this->answer("a", this->report());
        this->answer("b", this->report());
        this->add(
            "job",
            {.count = 1, .need = {.processors = 1000}, .estimate = estimate});
    }

    /// Returns how many runs the task has taken to its end, or nothing if it
    /// did not end on the last one of `most`.
    std::optional<int> runs_until_done(base::duration needed, int most)
    {
        for (int runs = 1; runs <= most; ++runs) {
            if (!this->play(needed, all_work)) {
                return runs;
            }
        }
        return std::nullopt;
    }

    /// Plays the next run, which works up to this percent and stands still
    /// there. Returns for how long it stood when it was stopped; nothing if it
    /// went on to its end.
    std::optional<base::duration>
    play(base::duration needed, std::int64_t last_percent)
    {
        auto const starts = this->take<start_order>();
        REQUIRE(starts.size() == 1);
        auto const& [worker, run] = std::pair{starts[0].worker, starts[0].run};
        this->decisions.on_start(worker, run, order_status::done, this->now);
        auto const began_at = this->now;
        auto moved_at = this->now;
        std::int64_t percent = 0;
        // As often as workers report, and seldom enough for a day.
        auto const gap = std::clamp<std::int64_t>(needed.ms / 2000, 100, 1000);
        while (this->now - began_at < needed || last_percent < all_work) {
            this->wait(gap);
            auto const reached = std::min(
                last_percent, (this->now - began_at).ms * all_work / needed.ms);
            moved_at = reached > percent ? this->now : moved_at;
            percent = reached;
            auto report = this->report();
            report.running.push_back(
                {.run = run, .percent = static_cast<int>(percent)});
            for (auto const* const each : {"a", "b"}) {
                this->answer(each, worker == each ? report : this->report());
            }
            auto const stops = this->take<stop_order>();
            if (!stops.empty()) {
                auto ended = this->report();
                ended.ended.push_back(
                    {.number = ++this->ends[worker],
                     .run = run,
                     .outcome = run_outcome::stopped});
                this->answer(worker, ended);
                return this->now - moved_at;
            }
        }
        return std::nullopt;
    }

private:
    std::map<std::string, std::int64_t> ends{};
};

constexpr base::duration lengths[] = {
    base::seconds(1),   base::seconds(24),   base::seconds(350),
    base::seconds(600), base::seconds(3600), base::seconds(24 * 3600),
};

} // namespace

// Guards against work that never ends: percents of long tasks stand still for
// seconds, and each run was stopped for that.
TEST_CASE("tasks of a second to a day end on their first run")
{
    for (auto const length : lengths) {
        for (int const error : {1, 3}) { // estimates are rough
            CAPTURE(length.ms);
            CAPTURE(error);
            one_task_fixture test{length / error};
            CHECK(test.runs_until_done(length, 1) == 1);
        }
    }
}

// Guards against room that a stuck run holds for as long as its job lasts.
TEST_CASE("a run that stands still is stopped after 8 times a percent")
{
    constexpr base::duration least = base::milliseconds(2500);
    constexpr base::duration gap = base::seconds(1); // of reports
    for (auto const length : lengths) {
        CAPTURE(length.ms);
        one_task_fixture test{length};
        auto const stood = test.play(length, all_work / 2);
        REQUIRE(stood);
        auto const limit = std::max(least, length * 8 / all_work);
        CHECK(*stood >= limit);
        CHECK(*stood <= limit + limit / 50 + gap);
    }
}

TEST_CASE("a task that nobody estimated ends after a few runs")
{
    CHECK(one_task_fixture{{}}.runs_until_done(base::seconds(200), 1) == 1);
    CHECK(one_task_fixture{{}}.runs_until_done(base::seconds(600), 4) == 4);
}

// Guards against one job that bars worker after worker.
TEST_CASE("stuck runs of a single job do not bar a worker")
{
    scheduler_fixture test;
    test.list("w");
    test.take<look_order>();
    test.answer("w", test.report());
    auto const add = [&](char const* id) {
        test.add(
            id, {.count = 2,
                 .need = {.processors = 1000},
                 .estimate = base::seconds(1)});
    };
    std::int64_t number = 0;
    auto const play = [&] {
        auto const starts = test.take<start_order>();
        auto report = test.report();
        for (auto const& start : starts) {
            test.decisions.on_start(
                "w", start.run, order_status::done, test.now);
            report.running.push_back({.run = start.run, .percent = 0});
        }
        constexpr std::int64_t gap_ms = 100;
        constexpr std::int64_t longest_ms = 11'000;
        std::size_t stops = 0;
        for (std::int64_t ms = 0; ms < longest_ms && stops < starts.size();
             ms += gap_ms) {
            test.wait(gap_ms);
            report.clock_ms = test.now.ms;
            test.answer("w", report);
            stops += test.take<stop_order>().size();
        }
        auto ended = test.report();
        for (auto const& start : starts) {
            ended.ended.push_back(
                {.number = ++number,
                 .run = start.run,
                 .outcome = run_outcome::stopped});
        }
        test.answer("w", ended);
        return starts.size();
    };
    add("a");
    CHECK(play() == 2);
    CHECK(play() == 2); // at once: the worker is not barred
    add("b");
    CHECK(play() == 4);
    CHECK(play() == 0); // two jobs are evidence
}
