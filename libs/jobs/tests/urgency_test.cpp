#include "urgency.hpp"

#include <doctest/doctest.h>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;

namespace
{

constexpr base::instant submitted{1'000'000};

/// A job of two steps whose tasks are estimated at 1 s each.
job_entry two_steps()
{
    job_spec spec{.id = "j", .queue = "q"};
    step const one{
        .count = 2, .estimate = base::milliseconds(1000), .is_filling = true};
    spec.steps = {one, one};
    spec.steps[1].depends_on = {0};
    return make_entry(std::move(spec), std::nullopt, submitted);
}

/// Callers want it after twice its longest chain and a second: 5 s here.
queue const wanted{
    .name = "q",
    .target_factor = 2,
    .target_latency = base::milliseconds(1000)};

base::instant after(std::int64_t ms)
{
    return submitted + base::milliseconds(ms);
}

} // namespace

TEST_CASE("work on a job is worth less once it is late")
{
    auto const job = two_steps();
    CHECK(objective_of(job, wanted) == base::milliseconds(5000));
    run_entry const run{};
    CHECK(urgency_of(job, wanted, run, 0, after(500)) == 1);
    CHECK(urgency_of(job, wanted, run, 0, after(5500)) < 0.5);
    CHECK(
        urgency_of(job, wanted, run, 0, after(15'500)) <
        urgency_of(job, wanted, run, 0, after(5500)));
}

// The pattern: 3% of the tasks run seven times longer than the others, and
// estimates are off by up to nine tenths. What callers wait for follows the
// work that a task turned out to have. Guards against such jobs being taken as
// late and paced down while they can be in time.
TEST_CASE("a straggler's job is judged by the time that its work takes")
{
    auto const job = two_steps();
    // 40% in 2.8 s at full speed: 7 s in all, so that 17 s are wanted.
    run_entry const straggler{
        .percent = 40, .first_percent = 0, .worked_ms = 2800};
    CHECK(urgency_of(job, wanted, straggler, 0, after(6000)) == 1);
    run_entry const usual{.percent = 40, .first_percent = 0, .worked_ms = 400};
    CHECK(urgency_of(job, wanted, usual, 0, after(6000)) < 0.5);
}

// Guards against headroom spent on runs whose jobs cannot be in time even at
// full speed.
TEST_CASE("a job with more work left than time is taken as late")
{
    auto const job = two_steps();
    run_entry const started{.percent = 0, .first_percent = 0};
    // 2 s of work are left.
    CHECK(urgency_of(job, wanted, started, 0, after(2500)) == 1);
    CHECK(urgency_of(job, wanted, started, 0, after(4000)) < 0.5);
}

// Guards against a run that stands nearly still since an estimate says that its
// job earns nothing any more, while its time is not over.
TEST_CASE("a job is worthless once its time is over, not by an estimate")
{
    auto const job = two_steps();
    run_entry const started{.percent = 0, .first_percent = 0};
    // Of 15 s, 1 s is left for 2 s of work.
    REQUIRE(
        prospect_of(timing_of(job, wanted, after(14'000))) ==
        prospect::worthless);
    double const late = urgency_of(job, wanted, started, 0, after(12'500));
    CHECK(late == urgency_of(job, wanted, started, 0, after(14'000)));
    CHECK(urgency_of(job, wanted, started, 0, after(20'000)) < late);
}
