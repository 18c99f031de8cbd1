#include "simulated_world.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/jobs/job_text.hpp"
#include "foxtaillift/jobs/operator_interface.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using namespace foxtaillift::jobs::testing;

namespace
{

std::string const two_steps = R"({"id": "nightly-1", "queue": "q", "steps": [
    {"count": 2, "processors": 1000, "memory_mb": 10, "estimate_ms": 50},
    {"count": 1, "processors": 1000, "depends_on": [0]}]})";

/// Asks one host and lets time pass until it answers.
operator_answer
ask(simulated_world& world,
    std::size_t host,
    std::string const& method,
    std::string const& path,
    std::string const& body = {})
{
    operator_interface<simulated_ports> operators{world.hosts[host]->service};
    std::optional<operator_answer> received;
    operators.handle(method, path, body, true, [&](operator_answer answer) {
        received = std::move(answer);
    });
    for (int i = 0; i < 80 && !received; ++i) {
        world.run_for(base::milliseconds(100));
    }
    REQUIRE(received);
    return *received;
}

bool is_refused_for(std::string const& text, std::string const& reason)
{
    try {
        decode_job_text(text);
    } catch (base::error const& failure) {
        return std::string{failure.what()}.find(reason) != std::string::npos;
    }
    return false;
}

} // namespace

// Guards against jobs of operators that run nowhere, whichever host takes them,
// and against one that is submitted twice by a script and runs twice.
TEST_CASE("operators submit and cancel jobs at any host")
{
    simulated_world world{1, {}};
    world.run_for(base::seconds(3));
    for (std::size_t host = 0; host < 3; ++host) {
        CHECK(ask(world, host, "POST", "/v1/jobs", two_steps).status == 200);
    }
    world.run_for(base::seconds(10));
    std::size_t leading = 0;
    while (!world.hosts[leading]->service->is_leading()) {
        ++leading;
    }
    auto const shown = ask(world, leading, "GET", "/v1/jobs/nightly-1");
    CHECK(shown.body.find("completed") != std::string::npos);
    CHECK(ask(world, 0, "DELETE", "/v1/jobs/nightly-1").status == 200);
    CHECK(ask(world, 0, "DELETE", "/v1/jobs/nobody").status == 404);
    CHECK(world.violations.empty());
}

TEST_CASE("a job of an unknown queue, a bad one and other methods are refused")
{
    simulated_world world{1, {}};
    world.run_for(base::seconds(3));
    auto other = two_steps;
    other.replace(other.find("\"q\""), 3, "\"z\"");
    auto const answer = ask(world, 0, "POST", "/v1/jobs", other);
    CHECK(answer.status == 404);
    CHECK(answer.body.find("unknown_queue") != std::string::npos);
    CHECK(ask(world, 0, "POST", "/v1/jobs", "{").status == 400);
    CHECK(ask(world, 0, "PUT", "/v1/jobs", two_steps).status == 405);
}

// Guards against "accepted" for what is not durable.
TEST_CASE("a job is refused while the store is down")
{
    simulated_world world{1, {}};
    world.run_for(base::seconds(3));
    world.store.is_down = true;
    world.run_for(base::seconds(2));
    CHECK(ask(world, 1, "POST", "/v1/jobs", two_steps).status == 503);
}

TEST_CASE("a job is read from its text, and a bad one is told by its reason")
{
    auto const job = decode_job_text(R"({"id": "a", "queue": "q",
        "payload": "p", "steps": [{"count": 3, "processors": 1500,
        "memory_mb": 64, "estimate_ms": 900, "filling": true,
        "checkpoints": true, "image": "x", "max_unavailable": 0}]})");
    REQUIRE(job.steps.size() == 1);
    CHECK(job.queue == "q");
    CHECK(job.payload == "p");
    CHECK(job.steps[0].need.processors == 1500);
    CHECK(job.steps[0].estimate == base::milliseconds(900));
    CHECK(job.steps[0].is_filling);
    CHECK(job.steps[0].has_checkpoints);
    CHECK(job.steps[0].max_unavailable == 0);

    CHECK(is_refused_for("nonsense", "no JSON"));
    // A short body must not end the stack of the process.
    std::string const nested =
        std::string(200'000, '[') + std::string(200'000, ']');
    CHECK(is_refused_for(nested, "nested"));
    CHECK(is_refused_for(R"({"id":"a","payload":)" + nested + "}", "nested"));
    CHECK(is_refused_for(R"({"id":"a","repeats":1e999})", "no JSON"));
    auto const timed = decode_job_text(R"({"id": "a", "queue": "q",
        "steps": [{"count": 1}], "repeats": 2,
        "first_due_ms": 1796450400123, "repeat_interval_ms": 5})");
    CHECK(timed.first_due_ms == 1'796'450'400'123);
    CHECK(is_refused_for(
        R"({"id":"a","first_due_ms":253402300800000})",
        "\"first_due_ms\" is not a whole number between 0 and "
        "253402300799999"));
    CHECK(is_refused_for("[]", "not an object"));
    CHECK(is_refused_for(R"({"queue": "q", "steps": []})", "\"id\""));
    CHECK(is_refused_for(R"({"id": "a.b", "steps": []})", "\"id\""));
    CHECK(is_refused_for(R"({"id": "a", "queu": "q"})", "queu"));
    CHECK(is_refused_for(R"({"id": "a", "queue": 7})", "wrong type"));
    CHECK(is_refused_for(
        R"({"id": "a", "steps": [{"count": -1}]})", "step 0: \"count\""));
    CHECK(is_refused_for(
        R"({"id": "a", "steps": [{"count": 1, "cpu": 5}]})", "\"cpu\""));
    CHECK(is_refused_for(
        R"({"id": "a", "steps": [{"count": 1, "depends_on": [0]}]})", "step"));
}
