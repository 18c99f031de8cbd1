#include "scheduler_fixture.hpp"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using foxtaillift::jobs::testing::scheduler_fixture;

namespace
{

constexpr std::int64_t capacity = 8000;

/// One worker that short tasks of a quarter of it keep full, each of a second;
/// one ends every 250 ms.
class full_worker_fixture : public scheduler_fixture
{
public:
    full_worker_fixture()
        : scheduler_fixture(1)
    {
        this->list("a", capacity);
        this->take<look_order>();
        this->answer("a", this->report());
        this->decisions.set_queues(
            {{.name = "q",
              .service = "s",
              .max_attempts = 2,
              .target_latency = base::seconds(100)}});
    }

    /// Returns whether a task of this job has started.
    bool play(base::duration span, std::string const& awaited)
    {
        auto const end = this->now + span;
        while (this->now < end && !this->started.contains(awaited)) {
            this->step();
        }
        return this->started.contains(awaited);
    }

    [[nodiscard]] std::size_t started_jobs() const
    {
        return this->started.size();
    }

private:
    void step()
    {
        constexpr std::int64_t interval_ms = 50;
        constexpr std::int64_t job_gap_ms = 250;
        constexpr base::duration work = base::seconds(1);
        this->wait(interval_ms);
        if ((this->now.ms - 1'000'000) % job_gap_ms == 0) {
            this->add(
                "short" + std::to_string(this->now.ms),
                {.count = 1,
                 .need = {.processors = capacity / 4},
                 .estimate = work});
        }
        auto report = this->report();
        for (auto run = this->runs.begin(); run != this->runs.end();) {
            bool const is_short = run->first.task.job.starts_with("short");
            if (is_short && this->now - run->second >= work) {
                this->ends.push_back(
                    {.number = ++this->end_count,
                     .run = run->first,
                     .outcome = run_outcome::done});
                run = this->runs.erase(run);
            } else {
                report.running.push_back(
                    {.run = run->first,
                     .percent = static_cast<int>(
                         is_short ? (this->now - run->second).ms / 10 : 100)});
                ++run;
            }
        }
        report.ended = this->ends;
        this->answer("a", report);
        this->ends.clear();
        for (auto const& start : this->take<start_order>()) {
            this->runs[start.run] = this->now;
            this->started.insert(start.run.task.job);
            this->decisions.on_start(
                "a", start.run, order_status::done, this->now);
        }
    }

    std::map<run_name, base::instant> runs{};
    std::vector<reported_end> ends{};
    std::int64_t end_count = 0;
    std::set<std::string> started{};
};

step lasting_step(std::int64_t processors)
{
    return {
        .count = 1,
        .need = {.processors = processors},
        .is_lasting = true,
        .tail_target_ms = 100};
}

} // namespace

// Guards against LOST: smaller tasks take each piece of room as it comes, and
// what a lasting task needs is never free.
TEST_CASE("room is kept for a lasting task that has waited for long")
{
    full_worker_fixture test;
    test.play(base::seconds(2), "");
    test.add("lasting", lasting_step(capacity / 4 * 3));
    CHECK(test.play(base::seconds(9), "lasting"));
}

// Guards against room kept in vain, from the work that could use it.
TEST_CASE("no room is kept for a task that will not have it")
{
    full_worker_fixture test;
    test.add("lasting", lasting_step(capacity / 2));
    CHECK(test.play(base::seconds(9), "lasting"));
    test.add("large", lasting_step(capacity / 4 * 3));
    auto const before = test.started_jobs();
    CHECK_FALSE(test.play(base::seconds(9), "large"));
    constexpr std::size_t room = 2 * 9; // two at a time, each for a second
    CHECK(test.started_jobs() - before >= room - 2);
}
