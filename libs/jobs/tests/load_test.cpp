/// The load of a large fleet on virtual time, with entry hosts whose only
/// thread needs time for each message.
#include "simulated_world.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using namespace foxtaillift::jobs::testing;

namespace
{

constexpr std::size_t large_fleet = 1100;

/// Of a call and its answer at an entry host with half a core; one that sends
/// 4,400 a second has no time left (docs/deployment-design.md 9).
constexpr std::int64_t usual_message_us = 230;

/// Objective of the short jobs.
constexpr base::duration short_objective = base::milliseconds(250);

/// Submits 17 short jobs (13 tasks of 0.68 s) and 17 long ones (80 tasks of 2.3
/// s) a second, at all hosts.
class job_stream
{
public:
    explicit job_stream(simulated_world& served)
        : world(served)
    {}

    void run_for(base::duration span)
    {
        constexpr base::duration gap = base::milliseconds(58);
        auto const end = this->world.time.now + span;
        while (this->world.time.now < end) {
            auto const host = this->count % this->world.hosts.size();
            auto const number = std::to_string(this->count++);
            this->world.submit(
                host, {.id = "short" + number,
                       .tasks = 13,
                       .need = {.processors = 6400, .memory_mb = 13000},
                       .work = base::milliseconds(680)});
            this->world.submit(
                host, {.id = "long" + number,
                       .tasks = 80,
                       .need = {.processors = 3500, .memory_mb = 6400},
                       .work = base::milliseconds(2300)});
            this->world.run_for(gap);
        }
    }

private:
    simulated_world& world;
    std::size_t count = 0;
};

/// Share of the short jobs submitted in the last seconds of a stream whose
/// first task started within their objective.
double share_in_time(std::int64_t message_us)
{
    simulated_world world{
        1,
        {},
        {},
        {.hosts = 6,
         .workers = large_fleet,
         .capacity = {.processors = 32000, .memory_mb = 125000},
         .holds_looks = true,
         .message_us = message_us}};
    world.run_for(base::seconds(4));
    job_stream stream{world};
    stream.run_for(base::seconds(4));
    auto const from = world.time.now;
    stream.run_for(base::seconds(4));
    auto const until = world.time.now;
    world.run_for(base::seconds(1));
    int submitted = 0;
    int in_time = 0;
    for (auto const& [id, at] : world.submitted_at) {
        if (!id.starts_with("short") || at < from || at >= until) {
            continue;
        }
        ++submitted;
        auto const started = world.started_at.find(id);
        in_time += started != world.started_at.end() &&
                           started->second - at <= short_objective
                       ? 1
                       : 0;
    }
    CHECK(world.violations.empty());
    return static_cast<double>(in_time) / submitted;
}

} // namespace

// Guards against SHORT on large fleets: one thread reads every report of 1,100
// workers, and the starts of short jobs wait behind them (four landings).
TEST_CASE("short jobs of a large fleet start in time, whatever messages cost")
{
    constexpr double served = 0.9;
    for (double const factor : {1.0, 1.5, 2.0}) {
        CAPTURE(factor);
        auto const cost = static_cast<std::int64_t>(factor * usual_message_us);
        CHECK(share_in_time(cost) >= served);
    }
}
