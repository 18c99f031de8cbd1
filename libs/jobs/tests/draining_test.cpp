#include "scheduler_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using foxtaillift::jobs::testing::scheduler_fixture;

namespace
{

constexpr std::int64_t roomy = 16'000;

/// Worker "a" with some runs; "b" is listed once they are there.
class leaving_worker_fixture : public scheduler_fixture
{
public:
    explicit leaving_worker_fixture(step wanted)
        : scheduler_fixture(1)
    {
        this->list("a", roomy);
        this->take<look_order>();
        this->answer("a", this->report());
        this->add("job", std::move(wanted));
        for (auto const& start : this->take<start_order>()) {
            this->decisions.on_start(
                "a", start.run, order_status::done, this->now);
            this->runs.push_back(start.run);
        }
    }

    void list_second()
    {
        this->list("b", roomy);
        this->take<look_order>();
        this->answer("b", this->report());
    }

    /// The entry was written this long ago.
    void drain(std::int64_t remaining_ms, std::int64_t age_ms = 0)
    {
        this->decisions.list_worker(
            {.id = "a",
             .address = "a",
             .service = "s",
             .capacity = {.processors = roomy, .memory_mb = 1000},
             .is_draining = true,
             .remaining = base::milliseconds(remaining_ms),
             .clock_ms = this->now.ms - age_ms},
            this->now);
    }

    /// Both workers report; all runs on "a" have done this much.
    std::vector<stop_order> stops_at(int percent)
    {
        constexpr std::int64_t period_ms = 200;
        this->wait(period_ms);
        auto report = this->report();
        for (auto const& run : this->runs) {
            report.running.push_back(
                {.run = run, .checkpoint = "c", .percent = percent});
        }
        this->answer("a", report);
        this->answer("b", this->report());
        return this->take<stop_order>();
    }

    std::vector<run_name> runs{};
};

step short_step(bool has_checkpoints)
{
    return {
        .count = 1,
        .need = {.processors = 2000},
        .estimate = base::milliseconds(10'000),
        .has_checkpoints = has_checkpoints};
}

constexpr std::int64_t notice_ms = 5000;
constexpr int at_work = 100; // percent, of a lasting task

/// Reports until shortly before the worker leaves; returns how many runs were
/// told to stop before and then; a stop without an answer is repeated. Runs of
/// 10 s do a tenth of their work in a second.
struct stop_counts
{
    std::size_t early = 0;
    std::size_t late = 0;
};
stop_counts report_until_leaving(leaving_worker_fixture& test, int percent)
{
    constexpr std::int64_t late_ms = 1400;
    constexpr std::int64_t report_ms = 200;
    constexpr std::int64_t ms_by_percent = 100;
    stop_counts counts;
    std::set<run_name> leaving;
    for (std::int64_t t = report_ms; t < notice_ms; t += report_ms) {
        auto const done = percent + static_cast<int>(t / ms_by_percent);
        auto& count = notice_ms - t > late_ms ? counts.early : counts.late;
        for (auto const& stop : test.stops_at(std::min(at_work, done))) {
            count += leaving.insert(stop.run).second ? 1 : 0;
        }
    }
    return counts;
}

} // namespace

// The pattern: workers are emptied and taken away. Guards against tasks that
// end with their worker and start again only when its leases are over, 6 s
// later, and against a worker that is empty while it could still be used.
TEST_CASE("lasting tasks move shortly before their worker leaves")
{
    leaving_worker_fixture test{
        {.count = 3, .need = {.processors = 2000}, .is_lasting = true}};
    REQUIRE(test.runs.size() == 3);
    test.list_second();
    test.drain(notice_ms);
    auto const counts = report_until_leaving(test, at_work);
    CHECK(counts.early == 0);
    CHECK(counts.late == 3);
}

// The pattern: a list that is read half a second late, and an entry that is
// used again (review/8, varied). Guards against tasks that end with their
// worker, since its notice was counted from when its entry was read.
TEST_CASE("the notice of a leaving worker counts from its entry")
{
    constexpr std::int64_t late_ms = 600;
    leaving_worker_fixture test{
        {.count = 3, .need = {.processors = 2000}, .is_lasting = true}};
    REQUIRE(test.runs.size() == 3);
    test.list_second();
    test.drain(notice_ms, late_ms);
    std::set<run_name> stopped;
    for (std::int64_t t = 0; t < notice_ms - late_ms; t += 200) {
        for (auto const& stop : test.stops_at(at_work)) {
            stopped.insert(stop.run);
        }
        test.drain(notice_ms, late_ms + t + 200); // the same entry
    }
    CHECK(stopped.size() == 3);
}

TEST_CASE("tasks that must be available leave some at a time")
{
    leaving_worker_fixture test{
        {.count = 3,
         .need = {.processors = 2000},
         .is_lasting = true,
         .max_unavailable = 1}};
    test.list_second();
    test.drain(notice_ms);
    auto const counts = report_until_leaving(test, at_work);
    CHECK(counts.early == 1); // the others until it is back, or too late
    CHECK(counts.late == 2);
}

// Guards against ends that nobody reads: a lasting task that found no room
// elsewhere ended with its worker, and could start again only once its lease
// was over, 6 s of the 9 s that callers allow.
TEST_CASE("a lasting task stops before its worker leaves, also without room")
{
    leaving_worker_fixture test{
        {.count = 1, .need = {.processors = 2000}, .is_lasting = true}};
    test.drain(notice_ms);
    auto const counts = report_until_leaving(test, at_work);
    CHECK(counts.early == 0);
    CHECK(counts.late == 1);
}

TEST_CASE("a task that cannot end there stops as well, also without room")
{
    constexpr int just_begun = 10;
    for (bool const has_checkpoints : {false, true}) {
        leaving_worker_fixture test{short_step(has_checkpoints)};
        test.drain(notice_ms);
        auto const counts = report_until_leaving(test, just_begun);
        CHECK(counts.early == 0);
        CHECK(counts.late == 1);
    }
}

// Guards against work thrown away for nothing.
TEST_CASE("a task leaves a draining worker only if it cannot end there")
{
    constexpr int just_begun = 10;
    leaving_worker_fixture too_long{short_step(true)};
    too_long.list_second();
    too_long.drain(notice_ms);
    auto const counts = report_until_leaving(too_long, just_begun);
    CHECK(counts.early == 0);
    CHECK(counts.late == 1);

    constexpr int half_done = 52;
    leaving_worker_fixture in_time{short_step(true)};
    in_time.list_second();
    in_time.drain(notice_ms);
    auto const none = report_until_leaving(in_time, half_done);
    CHECK(none.early + none.late == 0);
}
