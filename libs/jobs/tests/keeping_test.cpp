#include "scheduler_fixture.hpp"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using foxtaillift::jobs::testing::scheduler_fixture;

namespace
{

constexpr std::int64_t capacity = 8000;

/// Workers that short tasks of a quarter of one keep full, each of a second;
/// one comes for each worker every 250 ms.
class full_worker_fixture : public scheduler_fixture
{
public:
    explicit full_worker_fixture(std::vector<std::string> names = {"a"})
        : scheduler_fixture(1)
        , workers(std::move(names))
    {
        for (auto const& worker : this->workers) {
            this->list(worker, capacity);
        }
        this->take<look_order>();
        for (auto const& worker : this->workers) {
            this->answer(worker, this->report());
        }
        this->decisions.set_queues(
            {{.name = "q",
              .service = "s",
              .max_attempts = 2,
              .target_latency = base::seconds(100)}});
    }

    /// Returns whether so many tasks of this job have started.
    bool
    play(base::duration span, std::string const& awaited, std::size_t tasks = 1)
    {
        auto const end = this->now + span;
        while (this->now < end && this->start_counts[awaited] < tasks) {
            this->step();
        }
        return this->start_counts[awaited] >= tasks;
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
                {.count = static_cast<std::uint32_t>(this->workers.size()),
                 .need = {.processors = capacity / 4},
                 .estimate = work});
        }
        for (auto const& worker : this->workers) {
            this->answer(worker, this->report_of(worker, work));
        }
        for (auto const& start : this->take<start_order>()) {
            this->runs[start.worker][start.run] = this->now;
            this->started.insert(start.run.task.job);
            ++this->start_counts[start.run.task.job];
            this->decisions.on_start(
                start.worker, start.run, order_status::done, this->now);
        }
    }

    /// Ends what has worked for so long.
    worker_report report_of(std::string const& worker, base::duration work)
    {
        constexpr std::int64_t ms_by_percent = 10;
        constexpr int at_work = 100;
        auto report = this->report();
        std::erase_if(this->runs[worker], [&](auto const& each) {
            auto const& [run, began_at] = each;
            auto const age = this->now - began_at;
            bool const is_short = run.task.job.starts_with("short");
            if (is_short && age >= work) {
                report.ended.push_back(
                    {.number = ++this->end_counts[worker],
                     .run = run,
                     .outcome = run_outcome::done});
                return true;
            }
            report.running.push_back(
                {.run = run,
                 .percent = is_short ? static_cast<int>(age.ms / ms_by_percent)
                                     : at_work});
            return false;
        });
        return report;
    }

    std::vector<std::string> workers;
    std::map<std::string, std::map<run_name, base::instant>> runs{};
    std::map<std::string, std::int64_t> end_counts{};
    std::map<std::string, std::size_t> start_counts{};
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

// Guards against the same for a gang, whose members start together or not at
// all.
TEST_CASE("a lasting gang that has waited for long goes before short tasks")
{
    full_worker_fixture test{{"a", "b"}};
    test.play(base::seconds(2), "");
    auto wanted = lasting_step(capacity / 4);
    wanted.count = 3;
    wanted.is_gang = true;
    test.add("lasting", wanted);
    CHECK(test.play(base::seconds(9), "lasting", 3));
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

// Guards against room kept where the task may not start: the worker that has
// room already runs as many tasks of the step as one may.
TEST_CASE("room is kept where the limit of tasks on a worker allows a start")
{
    full_worker_fixture test{{"a", "b"}};
    test.play(base::seconds(2), "");
    auto wanted = lasting_step(capacity / 8 * 3);
    wanted.count = 2;
    wanted.tasks_per_worker = 1;
    test.add("lasting", wanted);
    CHECK(test.play(base::seconds(15), "lasting", 2));
}
