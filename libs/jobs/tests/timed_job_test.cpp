#include "scheduler_fixture.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using foxtaillift::jobs::testing::scheduler_fixture;

namespace
{

constexpr std::int64_t first_due_ms = 1'796'450'400'000;
constexpr std::int64_t interval_ms = 3000;

/// One worker, and a job of three occurrences of two tasks.
struct timed_job_fixture : scheduler_fixture
{
    timed_job_fixture()
    {
        this->list("a");
        this->take<look_order>();
        this->answer("a", this->report());
        job_spec job{
            .id = "job",
            .queue = "q",
            .steps = {{.count = 2, .need = {.processors = 1000}}},
            .repeats = 3,
            .first_due_ms = first_due_ms,
            .repeat_interval_ms = interval_ms};
        check(job);
        this->decisions.add_job(job, std::nullopt, this->now);
    }

    /// Occurrences of which a task starts at this time of day. What has
    /// started runs on.
    std::vector<std::uint32_t> starts_at(std::int64_t wall_ms)
    {
        this->wait(100);
        auto report = this->report();
        for (auto const& run : this->running) {
            report.running.push_back({.run = run, .percent = this->percent});
        }
        ++this->percent;
        this->answer("a", report);
        std::vector<std::uint32_t> started;
        for (auto const& order :
             this->decisions.take_orders(this->now, wall_ms, true)) {
            this->stops += std::holds_alternative<stop_order>(order) ? 1 : 0;
            if (auto const* const start = std::get_if<start_order>(&order)) {
                started.push_back(start->run.task.occurrence);
                this->running.push_back(start->run);
                this->decisions.on_start(
                    "a", start->run, order_status::done, this->now);
            }
        }
        return started;
    }

    std::vector<run_name> running{};
    int percent = 0;
    int stops = 0;
};

using occurrences = std::vector<std::uint32_t>;

} // namespace

// Guards against occurrences that wait for the end of the one before.
TEST_CASE("occurrences start when they are due, beside earlier ones")
{
    timed_job_fixture test;
    CHECK(test.starts_at(first_due_ms - interval_ms).empty());
    CHECK(test.starts_at(first_due_ms) == occurrences{0, 0});
    CHECK(test.starts_at(first_due_ms + interval_ms / 2).empty());
    CHECK(test.starts_at(first_due_ms + interval_ms) == occurrences{1, 1});
    CHECK(test.starts_at(first_due_ms + 2 * interval_ms) == occurrences{2, 2});
    CHECK(test.starts_at(first_due_ms + 9 * interval_ms).empty());
    CHECK(test.stops == 0);
}

// Guards against work that is stopped, or done twice, when the clock of an
// entry host is set.
TEST_CASE("a step of the clock neither stops an occurrence nor repeats it")
{
    constexpr std::int64_t step_ms = 3'600'000;
    timed_job_fixture test;
    CHECK(test.starts_at(first_due_ms) == occurrences{0, 0});
    CHECK(test.starts_at(first_due_ms - step_ms).empty());
    CHECK(test.starts_at(first_due_ms).empty());
    // Forward: what is due by the clock starts, once.
    CHECK(test.starts_at(first_due_ms + step_ms) == occurrences{1, 1, 2, 2});
    CHECK(test.starts_at(first_due_ms + interval_ms).empty());
    CHECK(test.stops == 0);
}
