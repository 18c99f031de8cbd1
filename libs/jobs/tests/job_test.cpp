#include "foxtaillift/jobs/job.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/jobs/progress.hpp"
#include "foxtaillift/jobs/rows.hpp"
#include "foxtaillift/jobs/worker_record.hpp"

#include <doctest/doctest.h>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;

namespace
{

job_spec two_steps()
{
    job_spec job{.id = "aa", .queue = "q", .payload = "text"};
    job.steps.push_back(
        {.count = 2,
         .need = {.processors = 1500, .memory_mb = 100, .accelerators = 1},
         .estimate = base::milliseconds(800),
         .may_race = true,
         .tasks_per_worker = 1});
    job.steps.push_back(
        {.count = 1,
         .depends_on = {0},
         .has_checkpoints = true,
         .required_label = "a",
         .preferred_rack = "r1",
         .image = "i",
         .max_unavailable = 0});
    return job;
}

} // namespace

TEST_CASE("names of tasks are read back, and other texts are refused")
{
    task_name const name{.job = "5c0e", .occurrence = 1, .step = 2, .index = 3};
    CHECK(to_string(name) == "5c0e.1.2.3");
    CHECK(parse_task_name("5c0e.1.2.3") == name);
    for (auto const* const text :
         {"", "a", "a.1.2", ".1.2.3", "a.1.2.x", "a.1..3"}) {
        CHECK_FALSE(parse_task_name(text));
    }
}

// Guards against jobs that could never end or that would exhaust the memory.
TEST_CASE("impossible jobs are refused with the number of the step")
{
    auto job = two_steps();
    CHECK_NOTHROW(check(job));
    job.steps[1].depends_on = {1};
    CHECK_THROWS_WITH_AS(
        check(job), "step 1: it depends on step 1, which is not an earlier one",
        base::error);
    job = two_steps();
    job.steps[0].count = 0;
    CHECK_THROWS_AS(check(job), base::error);
    job = two_steps();
    job.steps[0].count = 1'000'000;
    CHECK_THROWS_AS(check(job), base::error);
    job.steps.clear();
    CHECK_THROWS_AS(check(job), base::error);
}

// Guards against jobs that are accepted and whose rows the store refuses, with
// all else that the leader writes.
TEST_CASE("jobs whose rows would be too large are refused")
{
    auto job = two_steps();
    job.payload.assign(longest_value, 'x');
    CHECK_THROWS_WITH_AS(
        check(job), "the job takes more than 61440 bytes", base::error);
    job.payload.assign(longest_value / 2, 'x');
    CHECK_NOTHROW(check(job));

    job = two_steps();
    job.steps[0].count = 3000;
    CHECK_THROWS_WITH_AS(
        check(job), "the job has more than 2500 tasks", base::error);
    job.steps.resize(1);
    job.steps[0].count = 2500;
    CHECK_NOTHROW(check(job));

    // All of its tasks have failed and have checkpoints.
    constexpr std::uint32_t tasks_limit = 20'000;
    job_progress progress{.state = job_state::running};
    progress.done.resize(tasks_limit);
    for (std::uint32_t i = 0; i < 2500; ++i) {
        progress.tasks.push_back(
            {.ordinal = tasks_limit - i,
             .attempt = 300,
             .failed_attempts = {1, 298, 299},
             .checkpoint = "99.99"});
    }
    CHECK(encode(progress).size() <= longest_value);
    CHECK(encode(progress).size() <= size_bound(progress));
}

// Guards against a field that a takeover would lose.
TEST_CASE("stored jobs and progress are read back whole")
{
    auto job = two_steps();
    job.repeats = 3;
    job.first_due_ms = 5;
    job.repeat_interval_ms = 7;
    job.terms = queue{
        .name = "q",
        .address = "h/q/",
        .service = "s",
        .priority = 2,
        .max_attempts = 3,
        .target_factor = 1.5,
        .target_latency = base::milliseconds(900),
        .adviser = adviser_terms{
            .decision = base::milliseconds(1),
            .by_worker = base::milliseconds(2),
            .validity = base::milliseconds(3)}};
    auto const read = decode_job(encode(job));
    CHECK(encode(read) == encode(job));
    REQUIRE(read.terms);
    CHECK(read.terms->name == "q");
    CHECK(read.terms->address == "h/q/");
    CHECK(read.terms->service == "s");
    CHECK(read.terms->priority == 2);
    CHECK(read.terms->max_attempts == 3);
    CHECK(read.terms->target_factor == 1.5);
    CHECK(read.terms->target_latency == base::milliseconds(900));
    REQUIRE(read.terms->adviser);
    CHECK(read.terms->adviser->decision == base::milliseconds(1));
    CHECK(read.terms->adviser->by_worker == base::milliseconds(2));
    CHECK(read.terms->adviser->validity == base::milliseconds(3));
    // Rows of hosts that recorded no terms.
    job.terms.reset();
    CHECK_FALSE(decode_job(encode(job)).terms);
    CHECK(read.steps[1].max_unavailable == 0U);
    CHECK(read.steps[0].need == job.steps[0].need);
    CHECK(read.steps[0].estimate == job.steps[0].estimate);

    job_progress progress{.state = job_state::running};
    progress.done = {true,  false, false, true, false,
                     false, false, false, true};
    progress.tasks.push_back(
        {.ordinal = 2,
         .attempt = 4,
         .failed_attempts = {1, 3},
         .checkpoint = "c"});
    auto const again = decode_progress(encode(progress));
    CHECK(again.state == progress.state);
    CHECK(again.done == progress.done);
    REQUIRE(again.tasks.size() == 1);
    CHECK(again.tasks[0].failed_attempts == progress.tasks[0].failed_attempts);
    CHECK(again.tasks[0].checkpoint == "c");
}

TEST_CASE("rows that another wrote are reported as corrupt")
{
    for (auto const* const text : {"", "{}", "\xff\xff", "nonsense"}) {
        CHECK_THROWS_AS(decode_job(text), base::error);
        CHECK_THROWS_AS(decode_progress(text), base::error);
    }
    CHECK_FALSE(parse_job_key("abc").is_valid);
    CHECK_FALSE(parse_job_key(".accepted").is_valid);
    CHECK(parse_job_key(submission_key("ab")).job == "ab");
    CHECK(parse_job_key(cancellation_key("ab")).is_cancellation);
    CHECK(parse_job_key(tombstone_key("ab")).is_tombstone);
    CHECK_FALSE(parse_job_key(tombstone_key("ab")).is_cancellation);
    CHECK(decode_workers("w1 1.2.3.4:5 s\nbroken\n").size() == 1);
}
