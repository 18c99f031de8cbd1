/// What jobs take of the memory of a leader, and what bounds their sum.
#include "scheduler_fixture.hpp"
#include "simulated_world.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using foxtaillift::jobs::testing::scheduler_fixture;
using foxtaillift::jobs::testing::simulated_world;

namespace
{

constexpr std::size_t bytes_per_mb = 1024UL * 1024;

/// Memory of this process [MB].
std::size_t resident_mb()
{
    std::ifstream statm{"/proc/self/statm"};
    std::size_t size = 0;
    std::size_t resident = 0;
    statm >> size >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) /
           bytes_per_mb;
}

/// A kind of job that has thousands of tasks over all its occurrences.
struct scheduled_kind
{
    std::uint32_t steps = 1;
    std::uint32_t tasks = 1; ///< of each step
    std::uint32_t occurrences = 20'000;
    bool is_chain = false; ///< each step depends on the one before
    bool is_lasting = false;

    [[nodiscard]] job_spec make(std::string id, std::int64_t first_due_ms) const
    {
        job_spec job{
            .id = std::move(id),
            .queue = "q",
            .repeats = this->occurrences,
            .first_due_ms = first_due_ms,
            .repeat_interval_ms = 1};
        for (std::uint32_t i = 0; i < this->steps; ++i) {
            step each{
                .count = this->tasks,
                .need = {.processors = 1000},
                .is_lasting = this->is_lasting};
            if (this->is_chain && i > 0) {
                each.depends_on = {i - 1};
            }
            job.steps.push_back(each);
        }
        check(job);
        return job;
    }
};

std::vector<scheduled_kind> const kinds{
    {.steps = 1, .tasks = 1, .occurrences = 20'000},
    {.steps = 1, .tasks = 2500, .occurrences = 8},
    {.steps = 200, .tasks = 1, .occurrences = 100},
    {.steps = 20, .tasks = 10, .occurrences = 100, .is_chain = true},
    {.steps = 1, .tasks = 1, .occurrences = 20'000, .is_lasting = true},
};

/// The worker carries out what it is told to start, in one round.
void play_round(scheduler_fixture& test, std::vector<run_name>& started)
{
    static std::int64_t number = 0;
    auto report = test.report();
    for (auto& run : started) {
        report.ended.push_back(
            {.number = ++number,
             .run = std::move(run),
             .outcome = run_outcome::done});
    }
    test.answer("a", report);
    started.clear();
    test.wait(100);
    for (auto const& order : test.take<start_order>()) {
        started.push_back(order.run);
    }
    test.decisions.on_committed(test.decisions.take_commit(80));
}

} // namespace

// Guards against leaders that are killed for their memory, one after the other,
// by scheduled jobs of which nothing or little has begun (review/12).
TEST_CASE("scheduled jobs take memory for what has begun only")
{
    constexpr int jobs = 40;
    constexpr std::size_t longest_growth = 65; // MB, a quarter of a small host
    using foxtaillift::jobs::testing::wall_ms;
    for (auto const& kind : kinds) {
        // All lies ahead, or all is due at once.
        for (std::int64_t const first_due_ms : {10 * wall_ms, wall_ms / 2}) {
            CAPTURE(kind.steps);
            CAPTURE(kind.tasks);
            CAPTURE(kind.is_lasting);
            CAPTURE(first_due_ms);
            scheduler_fixture test;
            test.list("a", 20'000); // room for 20 tasks
            test.take<look_order>();
            test.answer("a", test.report());
            auto const before = resident_mb();
            for (int i = 0; i < jobs; ++i) {
                test.decisions.add_job(
                    kind.make("j" + std::to_string(i), first_due_ms),
                    std::nullopt, test.now);
            }
            std::vector<run_name> started;
            constexpr int rounds = 30;
            for (int i = 0; i < rounds; ++i) {
                play_round(test, started);
                CHECK(started.empty() == (first_due_ms > wall_ms));
            }
            auto const after = resident_mb();
            CHECK(after - std::min(before, after) < longest_growth);
        }
    }
}

// Guards against a job that stands still while its oldest occurrences, however
// many, wait for workers that there are not.
TEST_CASE("occurrences that cannot go on do not hold up later ones")
{
    scheduler_fixture test;
    test.list("a", 20'000);
    test.take<look_order>();
    test.answer("a", test.report());
    job_spec job{
        .id = "j",
        .queue = "q",
        .steps =
            {{.count = 1, .need = {.processors = 1000}},
             {.count = 1,
              .need = {.processors = 1000},
              .depends_on = {0},
              .required_label = "missing"}},
        .repeats = 2000,
        .first_due_ms = 0,
        .repeat_interval_ms = 1};
    test.decisions.add_job(job, std::nullopt, test.now);
    std::vector<run_name> started;
    constexpr int most_rounds = 400;
    std::uint32_t latest = 0;
    for (int i = 0; i < most_rounds && latest + 1 < job.repeats; ++i) {
        play_round(test, started);
        for (auto const& run : started) {
            latest = std::max(latest, run.task.occurrence);
        }
    }
    CHECK(latest + 1 == job.repeats);
}

// Guards against a task that starts again, or a job that never ends, since the
// history of its occurrences is dropped once they are done.
TEST_CASE("a scheduled job ends after all of its occurrences, across leaders")
{
    scheduler_fixture test;
    test.list("a", 7000);
    test.take<look_order>();
    test.answer("a", test.report());
    auto const kind = scheduled_kind{
        .steps = 3, .tasks = 2, .occurrences = 40, .is_chain = true};
    auto const job = kind.make("j", 0);
    test.decisions.add_job(job, std::nullopt, test.now);
    std::vector<run_name> started;
    std::size_t starts = 0;
    job_progress progress;
    constexpr int rounds_before = 15;
    for (int i = 0; i < rounds_before; ++i) {
        play_round(test, started);
        starts += started.size();
    }
    auto report = test.report();
    std::int64_t number = 1'000'000;
    for (auto const& run : started) {
        report.ended.push_back(
            {.number = ++number, .run = run, .outcome = run_outcome::done});
    }
    test.answer("a", report);
    progress = test.decisions.take_commit(80).items.at(0).progress;

    scheduler_fixture next{2};
    next.list("a", 7000);
    next.take<look_order>();
    next.answer("a", next.report());
    next.decisions.add_job(job, progress, next.now);
    started.clear();
    constexpr int most_rounds = 200;
    for (int i = 0; i < most_rounds; ++i) {
        play_round(next, started);
        starts += started.size();
        if (next.decisions.state_of("j") == job_state::completed) {
            break;
        }
    }
    CHECK(next.decisions.state_of("j") == job_state::completed);
    CHECK(starts == 3 * 2 * 40);
}

namespace
{

/// Hosts whose leader has memory for few jobs, and callers with many more.
struct small_memory
{
    static constexpr std::size_t job_memory = 1024 * 1024;

    static leader_options options()
    {
        leader_options result;
        result.scheduling.job_memory = job_memory;
        return result;
    }

    void submit_many(int count)
    {
        constexpr std::uint32_t tasks = 10;
        for (int i = 0; i < count; ++i) {
            this->world.submit(
                static_cast<std::size_t>(i) % this->world.hosts.size(),
                "j" + std::to_string(this->submitted++), tasks, payload);
            this->world.run_for(base::milliseconds(20));
        }
        this->world.run_for(base::seconds(4)); // their deadlines
    }

    /// Null if there is none.
    scheduler const* leader() const
    {
        for (auto const& host : this->world.hosts) {
            if (host && host->service->is_leading()) {
                return host->service->decisions();
            }
        }
        return nullptr;
    }

    /// Memory of the leader's jobs, by its own estimate.
    std::size_t held() const
    {
        auto const* const found = this->leader();
        return found ? found->load(this->world.time.now).job_memory : 0;
    }

    /// All that was accepted runs to its end.
    void check_end()
    {
        constexpr int most_steps = 100;
        for (int i = 0; i<most_steps&& this->leader()->job_count()> 0; ++i) {
            this->world.run_for(base::seconds(10));
        }
        CHECK(this->leader()->job_count() == 0);
        for (auto const& id : this->world.accepted) {
            CHECK(this->world.started_at.contains(id));
        }
        CHECK(this->world.violations.empty());
    }

    static constexpr std::size_t payload = 2000;
    simulated_world world{3, {}, options()};
    int submitted = 0;
};

} // namespace

// Guards against the same fault by any other jobs: nothing bounded their sum.
TEST_CASE("a leader without memory for a job rejects it durably")
{
    small_memory test;
    test.world.run_for(base::seconds(3));
    test.submit_many(400);
    CHECK(test.held() > small_memory::job_memory / 2);
    // What runs takes a little more.
    CHECK(test.held() <= small_memory::job_memory * 5 / 4);
    REQUIRE_FALSE(test.world.rejected.empty());
    auto const [again, retry_after] = *test.world.rejected.begin();
    CHECK(retry_after >= base::milliseconds(1000));
    CHECK_FALSE(test.world.started_at.contains(again));
    test.check_end();
    test.world.submit(0, again, 1);
    test.world.run_for(base::seconds(1));
    CHECK(test.world.accepted.contains(again));
    test.check_end();
}

// Guards against ordinary jobs that are rejected for weeks, as long as
// scheduled ones last.
TEST_CASE("scheduled jobs leave half of the memory to others")
{
    scheduler_fixture test{scheduler_options{.job_memory = 100'000}};
    CHECK(test.decisions.has_memory_for(50'000, true));
    CHECK_FALSE(test.decisions.has_memory_for(50'001, true));
    CHECK(test.decisions.has_memory_for(100'000, false));
    auto const kind = scheduled_kind{};
    while (test.decisions.has_memory_for(1000, true)) {
        auto const number = test.decisions.job_count();
        test.decisions.add_job(
            kind.make("j" + std::to_string(number), 0), std::nullopt, test.now);
    }
    CHECK(test.decisions.job_count() > 1);
    CHECK(test.decisions.has_memory_for(30'000, false));
    CHECK_FALSE(test.decisions.has_memory_for(100'000, false));
}

// Guards against the same fault by hosts that know no leader: they write jobs
// by themselves, and the next leader has to hold them all.
TEST_CASE("hosts without a leader accept a bounded amount of jobs")
{
    small_memory test;
    test.world.run_for(base::seconds(3));
    for (std::size_t i = 0; i < test.world.hosts.size(); ++i) {
        if (test.world.hosts[i]->service->is_leading()) {
            test.world.kill_host(i);
        }
    }
    constexpr int jobs = 400;
    for (int i = 0; i < jobs; ++i) {
        test.world.submit(
            static_cast<std::size_t>(i) % test.world.hosts.size(),
            "j" + std::to_string(i), 20, small_memory::payload);
    }
    test.world.run_for(base::seconds(5));
    CHECK_FALSE(test.world.accepted.empty());
    CHECK(test.world.accepted.size() < jobs / 4);
    CHECK(test.held() > 0);
    CHECK(test.held() <= small_memory::job_memory / 4);
    test.check_end();
}
