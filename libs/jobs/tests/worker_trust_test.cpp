#include "scheduler_fixture.hpp"
#include "worker_trust.hpp"

#include <doctest/doctest.h>

#include <string>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;

namespace
{

constexpr base::duration second = base::seconds(1);

run_name run_of(std::string const& job)
{
    return {.task = {.job = job}, .attempt = 1};
}

/// A worker barred at `now` by runs that began a second before.
struct barred_worker
{
    barred_worker()
    {
        this->trust.on_failure("a", this->now - second, this->now);
        this->length =
            *this->trust.on_failure("b", this->now - second, this->now);
    }

    /// Starts a run once the worker is not barred any more.
    void start_trial(base::duration barred)
    {
        this->now += barred;
        REQUIRE_FALSE(this->trust.is_barred(this->now));
        this->trust.on_start(run_of("c"));
    }

    /// The same, and the run fails.
    base::duration fail_trial(base::duration barred)
    {
        this->start_trial(barred);
        auto const began_at = this->now + base::milliseconds(1);
        this->now += second;
        auto const next = this->trust.on_failure("c", began_at, this->now);
        this->trust.on_over(run_of("c"));
        REQUIRE(next);
        return *next;
    }

    worker_trust trust{};
    base::instant now{1'000'000};
    base::duration length{};
};

} // namespace

// Guards against LOST: eight ends in one report counted as eight failures in a
// row, and a fault of 6 s barred a sound worker for 24 s.
TEST_CASE("failures of one occasion bar a worker once")
{
    barred_worker test;
    CHECK(test.length == base::milliseconds(1500));
    for (auto const* const job : {"c", "d", "e", "f", "g", "h"}) {
        CHECK_FALSE(
            test.trust.on_failure(job, test.now - second, test.now + second));
    }
    CHECK_FALSE(test.trust.is_barred(test.now + test.length));
}

TEST_CASE("a worker that fails for long gets a single run after each bar")
{
    barred_worker test;
    auto barred = test.fail_trial(test.length);
    CHECK(barred == base::seconds(3));
    for (int trial = 0; trial < 5; ++trial) {
        barred = test.fail_trial(barred);
        CHECK(barred == base::seconds(5));
        CHECK(test.trust.is_barred(test.now + barred - base::milliseconds(1)));
    }
}

TEST_CASE("after a bar nothing starts beside a run until that goes well")
{
    barred_worker test;
    test.start_trial(test.length);
    CHECK(test.trust.is_trial_out());
    // What began before the bar tells nothing of the time after it.
    test.trust.on_success(test.now - base::seconds(10));
    CHECK(test.trust.is_trial_out());
    test.trust.on_progress(run_of("c"), test.now + base::milliseconds(1));
    CHECK_FALSE(test.trust.is_trial_out());
    CHECK_FALSE(test.trust.is_doubtful());
    test.trust.on_start(run_of("d"));
    CHECK_FALSE(test.trust.is_trial_out());
}

TEST_CASE("a trial that is lost makes place for another")
{
    barred_worker test;
    test.start_trial(test.length);
    test.trust.on_over(run_of("c"));
    CHECK_FALSE(test.trust.is_trial_out());
    CHECK(test.trust.is_doubtful());
    test.trust.on_start(run_of("d"));
    CHECK(test.trust.is_trial_out());
}

// Guards against a job that can never be done: its failures barred worker after
// worker, and other jobs waited beside an idle fleet.
TEST_CASE("failures of a single job do not bar a worker")
{
    worker_trust trust;
    base::instant const now{1'000'000};
    for (int i = 0; i < 40; ++i) {
        CHECK_FALSE(trust.on_failure("a", now, now));
    }
    CHECK_FALSE(trust.is_barred(now));
    trust.on_success(now);
    CHECK_FALSE(trust.on_failure("b", now, now));
    CHECK(trust.on_failure("a", now, now));
}

// The same in the scheduler: a batch of tasks went to a worker after each bar,
// and one that had failed before did not count.
TEST_CASE("a worker that was barred gets one task until that works")
{
    testing::scheduler_fixture test;
    std::int64_t number = 0;
    test.list("w");
    test.take<look_order>();
    test.answer("w", test.report());
    test.add("a", {.count = 1, .need = {.processors = 1000}});
    test.add("b", {.count = 3, .need = {.processors = 1000}});
    auto const fail_all = [&] {
        auto report = test.report();
        auto const starts = test.take<start_order>();
        for (auto const& start : starts) {
            test.decisions.on_start(
                "w", start.run, order_status::done, test.now);
            report.ended.push_back(
                {.number = ++number,
                 .run = start.run,
                 .outcome = run_outcome::failed});
        }
        test.wait(50);
        report.clock_ms = test.now.ms;
        test.answer("w", report);
        return starts.size();
    };
    CHECK(fail_all() == 4);
    CHECK(fail_all() == 0);
    test.wait(1600);
    test.answer("w", test.report());
    CHECK(fail_all() == 1); // has failed before
    CHECK(fail_all() == 0);
    test.wait(3100);
    test.answer("w", test.report());
    auto const trial = test.take<start_order>();
    REQUIRE(trial.size() == 1);
    test.decisions.on_start("w", trial[0].run, order_status::done, test.now);
    for (int percent = 0; percent < 2; ++percent) {
        CHECK(test.take<start_order>().empty());
        test.wait(300);
        auto report = test.report();
        report.running.push_back({.run = trial[0].run, .percent = percent});
        test.answer("w", report);
    }
    CHECK_FALSE(test.take<start_order>().empty());
}
