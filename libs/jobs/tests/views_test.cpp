#include "scheduler_fixture.hpp"

#include "foxtaillift/jobs/views.hpp"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using foxtaillift::jobs::testing::scheduler_fixture;
using nlohmann::json;

namespace
{

json read(scheduler_fixture const& test, std::string const& path, int status)
{
    host_view const host{
        .host = "h1", .is_leading = true, .token = 1, .leader_address = "a:1"};
    auto const answer =
        answer_operator_read(path, host, &test.decisions, test.now);
    CHECK(answer.status == status);
    return json::parse(answer.body);
}

} // namespace

// Guards against an on-call engineer who cannot see where a job runs or why it
// waits.
TEST_CASE("operators see jobs, their runs and what they wait for")
{
    scheduler_fixture test;
    test.list("a", 3000);
    test.take<look_order>();
    test.answer("a", test.report());
    test.add("job", {.count = 4, .need = {.processors = 1000}});
    test.take<start_order>();
    test.wait(100);

    auto const list = read(test, "/v1/jobs", 200);
    REQUIRE(list["jobs"].size() == 1);
    CHECK(list["jobs"][0]["job"] == "job");
    CHECK(list["jobs"][0]["runs"] == 3);
    CHECK(list["jobs"][0]["waiting"] == 1);

    auto const job = read(test, "/v1/jobs/job", 200);
    CHECK(job["present"].size() == 3);
    CHECK(job["present"][0]["worker"] == "a");
    CHECK(job["steps"][0]["idle"] == 1);
    CHECK(job["last_wait"]["task"] == "job.0.0.3");
    CHECK(job["last_wait"]["processors"] == 1);

    auto const workers = read(test, "/v1/workers", 200);
    CHECK(workers["workers"][0]["state"] == "usable");
    CHECK(workers["workers"][0]["committed"]["processors"] == 3000);

    auto const status = read(test, "/v1/status", 200);
    CHECK(status["owners"][0]["phase"] == "leading");
    CHECK(status["owners"][0]["admission"]["services"].empty());
    job_spec submitted{.id = "new", .queue = "q"};
    submitted.steps = {{.count = 1, .estimate = base::milliseconds(5)}};
    CHECK_FALSE(
        test.decisions.decide_admission(submitted, test.now).is_rejected);
    auto const admission =
        read(test, "/v1/status", 200)["owners"][0]["admission"]["services"];
    CHECK(admission[0]["service"] == "s");
    CHECK(admission[0]["kind"] == "ordinary");
    CHECK(admission[0]["overloaded"] == false);
    CHECK(admission[0]["processors"] == 3.75); // 3, with the margin
    read(test, "/v1/jobs/unknown", 404);
    read(test, "/v1/else", 404);
}

// Guards against an answer without jobs that looks like an empty fleet.
TEST_CASE("a host that does not lead names the leader")
{
    host_view const host{.host = "h2", .leader_address = "10.0.0.1:7720"};
    auto const answer = answer_operator_read("/v1/jobs", host, nullptr, {});
    CHECK(answer.status == 421);
    CHECK(json::parse(answer.body)["leader"] == "10.0.0.1:7720");
}

// Guards against an on-call engineer who cannot see behind what a job waits.
TEST_CASE("operators see the place of a waiting job in the order of work")
{
    scheduler_fixture test;
    test.list("a", 1000);
    test.take<look_order>();
    test.answer("a", test.report());
    step const second{
        .count = 1,
        .need = {.processors = 1000},
        .estimate = base::milliseconds(1000)};
    test.add("first", second);
    test.wait(300); // late by now: 0.7 s are left for 1 s of work
    test.add("second", second);
    test.take<start_order>();
    auto const job = read(test, "/v1/jobs/first", 200);
    CHECK(job["order"]["class"] == "late");
    CHECK(job["order"]["jobs_ahead"] == 1);
    CHECK(job["order"]["core_ms_ahead"] == 1000);
    CHECK_FALSE(read(test, "/v1/jobs/second", 200).contains("order"));
}
