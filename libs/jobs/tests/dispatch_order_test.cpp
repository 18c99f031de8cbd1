#include "dispatch_order.hpp"

#include "foxtaillift/base/random.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;

namespace
{

constexpr double core_second = 1000; // core-ms

/// Jobs of two kinds that compete for the processors of one pool or two.
class waiting_jobs
{
public:
    explicit waiting_jobs(double processors)
        : pools(2, dispatch_pool{.processors = processors})
    {}

    void add(dispatch_candidate job)
    {
        if (job.work == 0) {
            job.work = job.work_left;
        }
        auto& kind = this->kinds[job.kind];
        ++kind.jobs;
        kind.work += job.work;
        this->candidates.push_back(job);
    }

    [[nodiscard]] std::vector<std::string> names()
    {
        std::vector<std::string> result;
        for (auto const& entry : this->entries()) {
            result.emplace_back(this->candidates[entry.candidate].name);
        }
        return result;
    }

    [[nodiscard]] std::map<std::string, dispatch_class> classes()
    {
        std::map<std::string, dispatch_class> result;
        for (auto const& entry : this->entries()) {
            result.emplace(this->candidates[entry.candidate].name, entry.group);
        }
        return result;
    }

    std::span<dispatch_entry const> entries()
    {
        this->order.arrange(this->candidates, this->kinds, this->pools);
        return this->order.entries();
    }

    std::vector<dispatch_candidate> candidates{};
    std::vector<kind_load> kinds{2};
    std::vector<dispatch_pool> pools;

private:
    dispatch_order order{};
};

/// Time since it came, and until when it is wanted after that.
job_timing at_age(std::int64_t age_ms, std::int64_t objective_ms)
{
    return {
        .age = base::milliseconds(age_ms),
        .objective = base::milliseconds(objective_ms)};
}

/// Names that live as long as the test.
std::vector<std::string> numbered_names(std::size_t count)
{
    std::vector<std::string> names;
    names.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        names.push_back("job" + std::to_string(i));
    }
    return names;
}

} // namespace

// The load: any for which there is capacity. Guards against a change that
// callers of earlier deployments notice.
TEST_CASE("with capacity for all, jobs go by priority, class and deadline")
{
    waiting_jobs test{100};
    double const work = core_second;
    test.add({.priority = 2, .timing = at_age(0, 100), .name = "other queue"});
    test.add(
        {.timing = at_age(9000, 2000), .work_left = work, .name = "worthless"});
    test.add({.timing = at_age(3000, 2000), .work_left = work, .name = "late"});
    test.add(
        {.is_lasting = true, .timing = at_age(900, 1000), .name = "lasting"});
    test.add(
        {.timing = at_age(0, 5000), .work_left = work, .name = "due later"});
    test.add(
        {.timing = at_age(100, 5000), .work_left = 90 * work, .name = "large"});
    test.add({.timing = at_age(0, 5000), .work_left = work, .name = "by name"});
    CHECK(
        test.names() == std::vector<std::string>{
                            "large", "by name", "due later", "lasting", "late",
                            "worthless", "other queue"});
}

// The load: a few jobs that wait while estimates of chains are rough. Guards
// against a job that is put behind long-running ones though its time is not
// over (kayis-onarim, quiet-1 and trouble-3).
TEST_CASE("with capacity for all, a chain that seems too long changes nothing")
{
    auto const long_chain = [] {
        auto timing = at_age(2000, 3000);
        timing.chain_left = base::milliseconds(2500);
        return timing;
    };
    REQUIRE(prospect_of(long_chain()) == prospect::late);
    waiting_jobs test{100};
    test.add(
        {.is_lasting = true, .timing = at_age(900, 1000), .name = "lasting"});
    test.add(
        {.timing = long_chain(), .work_left = core_second, .name = "short"});
    CHECK(test.names() == std::vector<std::string>{"short", "lasting"});
    test.add(
        {.timing = at_age(0, 5000),
         .work_left = 400 * core_second,
         .name = "large"});
    CHECK(
        test.names() == std::vector<std::string>{"large", "lasting", "short"});
}

// The load: many large jobs at once. Guards against small jobs that are late
// one after the other since each waits behind a large one.
TEST_CASE("what is worth least by core-second makes room")
{
    waiting_jobs test{1};
    auto const names = numbered_names(8);
    test.add(
        {.timing = at_age(10, 6000),
         .work_left = 20 * core_second,
         .name = "large"});
    for (int i = 0; i < 4; ++i) {
        test.add(
            {.timing = at_age(0, 6000),
             .work_left = core_second,
             .name = names[static_cast<std::size_t>(i)]});
    }
    CHECK(test.names().back() == "large");
    CHECK(test.classes()["large"] == dispatch_class::displaced);
    CHECK(test.classes()["job3"] == dispatch_class::in_time);
    // It is first again once there is capacity for all.
    test.pools[0].processors = 20;
    CHECK(test.names().front() == "large");
}

// The load: an overload of jobs of two steps. Guards against work that is lost
// since started jobs are given up for new ones.
TEST_CASE("a started job with little work left is finished")
{
    waiting_jobs test{1};
    auto const names = numbered_names(6);
    for (auto const& name : names) {
        test.add(
            {.timing = at_age(0, 3000),
             .work_left = 2 * core_second,
             .name = name});
    }
    test.add(
        {.timing = at_age(0, 3000),
         .work = 4 * core_second,
         .work_left = core_second / 2,
         .name = "started"});
    CHECK(test.classes()["started"] == dispatch_class::in_time);
}

// The load: long chains at two to four times the capacity. Guards against
// processors for jobs that will be late anyway.
TEST_CASE("a job with a longer chain than time counts as late at once")
{
    job_timing timing = at_age(0, 3000);
    timing.chain_left = base::milliseconds(3000);
    CHECK(prospect_of(timing) == prospect::in_time);
    timing.age = base::milliseconds(600); // estimates are rough
    CHECK(prospect_of(timing) == prospect::in_time);
    timing.age = base::milliseconds(800);
    CHECK(prospect_of(timing) == prospect::late);
    timing.age = base::milliseconds(6800);
    CHECK(prospect_of(timing) == prospect::worthless);
    timing.chain_left = {};
    CHECK(prospect_of(timing) == prospect::late);
    timing.age = base::milliseconds(9001);
    CHECK(prospect_of(timing) == prospect::worthless);
}

// The load: an overload in one queue that lasts. Guards against late jobs none
// of which ends within three times its objective.
TEST_CASE("late jobs make room for late ones that can still be served")
{
    waiting_jobs test{1};
    for (auto const* const name : {"a", "b", "c", "d"}) {
        test.add(
            {.timing = at_age(2000, 1000), .work_left = 600, .name = name});
    }
    auto const classes = test.classes();
    CHECK(classes.at("a") == dispatch_class::late);
    CHECK(classes.at("d") == dispatch_class::late_displaced);
}

// The load: an overload of one priority. Guards against a queue that is served
// before one that matters more.
TEST_CASE("priority goes before all else")
{
    waiting_jobs test{1};
    test.add(
        {.priority = 2,
         .timing = at_age(0, 5000),
         .work_left = core_second,
         .kind = 1,
         .name = "in time"});
    test.add(
        {.timing = at_age(90'000, 5000),
         .work_left = 50 * core_second,
         .name = "worthless"});
    CHECK(test.names() == std::vector<std::string>{"worthless", "in time"});
    // The work of the first priority leaves no time for the second.
    CHECK(test.classes()["in time"] == dispatch_class::displaced);
}

// The load: best-effort jobs beyond what paces allow, beside short jobs.
// Guards against one sort of work reordered for a lack of the other's capacity.
TEST_CASE("pools do not displace each other's jobs")
{
    waiting_jobs test{100};
    test.pools[1].processors = 0.1;
    for (auto const* const name : {"a", "b", "c"}) {
        test.add(
            {.timing = at_age(0, 5000),
             .work_left = 10 * core_second,
             .kind = 1,
             .pool = 1,
             .name = name});
        CHECK(test.classes()["a"] == dispatch_class::in_time);
    }
    test.add(
        {.timing = at_age(0, 5000),
         .work_left = 10 * core_second,
         .name = "short"});
    CHECK(test.classes()["short"] == dispatch_class::in_time);
    CHECK(test.classes()["c"] == dispatch_class::displaced);
}

// The load: all workers away for a moment. Guards against an order that follows
// from a capacity which nobody knows.
TEST_CASE("nothing is displaced while no capacity is known")
{
    waiting_jobs test{0};
    for (auto const* const name : {"a", "b"}) {
        test.add(
            {.timing = at_age(0, 1000),
             .work_left = 100 * core_second,
             .name = name});
    }
    CHECK(test.classes()["b"] == dispatch_class::in_time);
}

// The load: two to four times the capacity, sizes spread widely. Guards against
// large jobs that starve since small ones are worth more by core-second.
TEST_CASE("large jobs are kept at least half as often as all")
{
    constexpr std::size_t count = 2000;
    auto const names = numbered_names(count);
    for (double const demand : {1.3, 2.0, 3.0, 4.0}) {
        CAPTURE(demand);
        base::random_engine random{11};
        waiting_jobs test{1};
        double work = 0;
        for (auto const& name : names) {
            double const size =
                core_second * (0.2 + 6 * base::uniform_unit(random) *
                                         base::uniform_unit(random));
            work += size;
            test.add(
                {.timing = at_age(0, 10'000), .work_left = size, .name = name});
        }
        test.pools[0].processors = work / demand / 9000;
        std::vector<std::pair<double, bool>> kept;
        for (auto const& entry : test.entries()) {
            kept.emplace_back(
                test.candidates[entry.candidate].work,
                entry.group == dispatch_class::in_time);
        }
        std::sort(kept.rbegin(), kept.rend());
        auto const share = [&](std::size_t first, std::size_t last) {
            auto const in_time = std::count_if(
                kept.begin() + static_cast<std::ptrdiff_t>(first),
                kept.begin() + static_cast<std::ptrdiff_t>(last),
                [](auto const& each) { return each.second; });
            return static_cast<double>(in_time) /
                   static_cast<double>(last - first);
        };
        double const all = share(0, count);
        CHECK(all > 1 / demand);
        CHECK(all < 1);
        CHECK(share(0, count / 10) >= all / 2);
        CHECK(share(count / 10, count * 3 / 10) >= all / 2);
    }
}

// The load: a leader that is replaced in an overload. Guards against a
// successor that decides otherwise, and against an order by memory.
TEST_CASE("the order depends on the jobs only")
{
    auto const names = numbered_names(60);
    waiting_jobs test{1};
    for (std::size_t i = 0; i < names.size(); ++i) {
        auto const size = static_cast<double>(1 + i % 5);
        test.add(
            {.timing = at_age(0, 8000),
             .work_left = size * core_second,
             .name = names[i]});
    }
    auto const expected = test.names();
    CHECK(test.names() == expected);
    std::reverse(test.candidates.begin(), test.candidates.end());
    CHECK(test.names() == expected);
}

// Guards against an operator who is shown less work ahead than there is.
TEST_CASE("each job knows the work ahead of it in its pool")
{
    waiting_jobs test{10};
    test.pools[0].committed_work = 500;
    test.add({.timing = at_age(1, 5000), .work_left = 700, .name = "a"});
    test.add({.timing = at_age(0, 5000), .work_left = 300, .name = "b"});
    auto const entries = test.entries();
    CHECK(entries[0].work_ahead == doctest::Approx(500));
    CHECK(entries[1].work_ahead == doctest::Approx(1200));
    CHECK(entries[1].jobs_ahead == 1);
}
