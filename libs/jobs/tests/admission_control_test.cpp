/// Decisions on new jobs, on a virtual clock and without a network.
#include "admission_control.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;

namespace
{

/// Ten processors, and short jobs of 8 s of one core in chains of 800 ms, as in
/// Solórzano (10 tasks of 0.8 s, 250 ms beside the chain).
struct fixture
{
    static constexpr double cores = 10;
    static constexpr double job_work = 8000;

    new_job job(std::string const& id, std::int64_t priority = 0) const
    {
        return {
            .id = id,
            .priority = priority,
            .objective = base::milliseconds(1050),
            .chain = base::milliseconds(800),
            .work = {.ordinary = job_work}};
    }

    waiting_work waiting(std::int64_t priority = 0) const
    {
        return {
            .priority = priority,
            .arrived_at = this->now,
            .work = {.ordinary = job_work}};
    }

    /// Tells the same backlog for so long.
    void hold(std::size_t jobs, base::duration span, std::int64_t priority = 0)
    {
        constexpr base::duration step = base::milliseconds(250);
        auto const end = this->now + span;
        while (this->now <= end) {
            this->control.take_backlog(
                std::vector<waiting_work>(jobs, this->waiting(priority)),
                {.ordinary = cores, .filling = cores}, this->now);
            this->now += step;
        }
    }

    admission_control control{};
    base::instant now{1'000'000};
};

} // namespace

// The load: 14.9 short jobs a second, which the fleet serves at once. Guards
// against rejections on a deployment with enough capacity.
TEST_CASE("nobody is rejected in calm")
{
    fixture test;
    test.hold(1, base::seconds(10)); // the last job has not begun
    for (int i = 0; i < 100; ++i) {
        auto const found =
            test.control.decide(test.job(std::to_string(i)), test.now);
        CHECK_FALSE(found.is_rejected);
    }
    CHECK(test.control.rejected() == 0);
}

// The load: all callers of some seconds at once. Guards against rejections for
// a backlog that the fleet works off.
TEST_CASE("a short burst rejects nobody")
{
    fixture test;
    test.hold(40, base::milliseconds(500));
    CHECK_FALSE(test.control.decide(test.job("j"), test.now).is_rejected);
    test.hold(0, base::milliseconds(500));
    test.hold(40, base::milliseconds(500));
    CHECK_FALSE(test.control.decide(test.job("k"), test.now).is_rejected);
}

// The load: more than four times what the fleet completes, for seconds. Guards
// against callers who wait until their deadline for an answer that is known.
TEST_CASE("a job that cannot end within three objectives is rejected")
{
    fixture test;
    test.hold(100, base::milliseconds(2000));
    auto const found = test.control.decide(test.job("j"), test.now);
    CHECK(found.is_rejected);
    CHECK(found.limit == base::milliseconds(3 * 1050));
    CHECK(found.predicted > found.limit);
    CHECK(found.work_ahead_ms == 100 * fixture::job_work);
    CHECK(found.retry_after >= base::seconds(1));
    // 40 jobs of 8 s take ten processors 32 s; four of them take 3.2 s.
    test.hold(3, base::milliseconds(2000));
    CHECK_FALSE(test.control.decide(test.job("k"), test.now).is_rejected);
}

// The load: batch jobs wait in masses while short jobs come. Guards against
// rejections for work that goes behind the job.
TEST_CASE("work that is served later is not ahead of a job")
{
    fixture test;
    test.hold(400, base::milliseconds(2000), 2);
    CHECK_FALSE(
        test.control.decide(test.job("short", 0), test.now).is_rejected);
    auto small = test.job("small", 2);
    small.work.ordinary = fixture::job_work / 10;
    CHECK_FALSE(test.control.decide(small, test.now).is_rejected);
    auto filling = test.job("filling", 2);
    filling.work = {.filling = fixture::job_work};
    CHECK_FALSE(test.control.decide(filling, test.now).is_rejected);
    CHECK(test.control.decide(test.job("equal", 2), test.now).is_rejected);
}

// The load: jobs that are late already after an overload. Guards against
// rejections for jobs that are served after those in time.
TEST_CASE("late jobs of the same priority are not ahead")
{
    fixture test;
    auto late = test.waiting();
    late.is_in_time = false;
    for (int i = 0; i < 10; ++i) {
        test.control.take_backlog(
            std::vector<waiting_work>(400, late), {.ordinary = fixture::cores},
            test.now);
        test.now += base::milliseconds(250);
    }
    CHECK_FALSE(test.control.decide(test.job("j"), test.now).is_rejected);
}

// The load: a zone whose workers go down together. Guards against rejections
// while nothing is known of the capacity, and for workers that are back soon.
TEST_CASE("workers that are out for moments count")
{
    fixture test;
    test.hold(20, base::milliseconds(1000)); // 13 s, with the margin
    std::vector<waiting_work> const backlog(2, test.waiting());
    for (int i = 0; i < 8; ++i) {
        test.control.take_backlog(
            backlog, {.ordinary = fixture::cores / 10}, test.now);
        test.now += base::milliseconds(250);
    }
    CHECK_FALSE(test.control.decide(test.job("j"), test.now).is_rejected);
    admission_control unknown;
    for (int i = 0; i < 8; ++i) {
        unknown.take_backlog(
            std::vector<waiting_work>(400, test.waiting()), {}, test.now);
        test.now += base::milliseconds(250);
    }
    CHECK_FALSE(unknown.decide(test.job("j"), test.now).is_rejected);
}

// The load: batch tasks that end sooner than their estimates tell. Guards
// against a rate that is taken too low.
TEST_CASE("a fleet that completes more than its processors tell is believed")
{
    fixture test;
    constexpr double factor = 40;
    for (int i = 0; i < 20; ++i) {
        test.control.on_done(
            work_kind::ordinary, factor * fixture::cores * 250);
        test.hold(100, {});
    }
    CHECK(
        test.control.rate(work_kind::ordinary, test.now) >=
        factor * fixture::cores);
    CHECK_FALSE(test.control.decide(test.job("j"), test.now).is_rejected);
}

// The load: callers who come again when they were told to. Guards against all
// of them coming at the same time.
TEST_CASE("rejected callers come back at the rate of the fleet")
{
    fixture test;
    test.hold(10, base::milliseconds(2000));
    auto earlier = test.control.decide(test.job("0"), test.now).retry_after;
    constexpr int callers = 10;
    for (int i = 1; i < callers; ++i) {
        auto const next =
            test.control.decide(test.job(std::to_string(i)), test.now);
        REQUIRE(next.is_rejected);
        auto const gap = next.retry_after - earlier;
        CHECK(
            gap.ms >= static_cast<std::int64_t>(
                          fixture::job_work / (fixture::cores * 1.25)));
        earlier = next.retry_after;
    }
    constexpr int many = 200;
    for (int i = 0; i < many; ++i) {
        auto const next =
            test.control.decide(test.job("m" + std::to_string(i)), test.now);
        CHECK(next.retry_after <= base::seconds(30));
    }
}

// The load: callers who come again into the same overload. Guards against new
// jobs that are served before them, and against memory without a bound.
TEST_CASE("a job that comes again goes before those that came after it")
{
    fixture test;
    test.hold(100, base::milliseconds(2000));
    REQUIRE(test.control.decide(test.job("j"), test.now).is_rejected);
    test.now += base::milliseconds(100);
    test.hold(100, base::milliseconds(2000)); // all of them are newer
    auto const again = test.control.decide(test.job("j"), test.now);
    CHECK(again.is_returned);
    CHECK_FALSE(again.is_rejected);
    CHECK(test.control.decide(test.job("new"), test.now).is_rejected);

    admission_control small{{.memory_limit = 2}};
    test.control = small;
    test.hold(100, base::milliseconds(2000));
    for (std::string const id : {"a", "b", "c"}) {
        REQUIRE(test.control.decide(test.job(id), test.now).is_rejected);
    }
    CHECK_FALSE(test.control.first_arrival("a"));
    CHECK(test.control.first_arrival("c"));
}

// The load: the last caller came long ago. Guards against decisions by a
// backlog that may be gone.
TEST_CASE("an old backlog rejects nobody")
{
    fixture test;
    test.hold(100, base::milliseconds(2000));
    test.now += base::seconds(3);
    CHECK_FALSE(test.control.decide(test.job("j"), test.now).is_rejected);
    test.hold(100, base::milliseconds(500));
    CHECK_FALSE(test.control.decide(test.job("j"), test.now).is_rejected);
}
