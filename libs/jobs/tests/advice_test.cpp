#include "scheduler_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using foxtaillift::jobs::testing::scheduler_fixture;

namespace
{

constexpr std::int64_t validity_ms = 3000;

/// Workers "a" and "b", and a queue with an adviser.
class advised_fixture : public scheduler_fixture
{
public:
    advised_fixture()
        : scheduler_fixture(1)
    {
        this->decisions.set_queues(
            {{.name = "q",
              .service = "s",
              .max_attempts = 2,
              .adviser = adviser_terms{
                  .decision = base::milliseconds(50),
                  .by_worker = base::milliseconds(5),
                  .validity = base::milliseconds(validity_ms)}}});
        this->list("a");
        this->list("b");
        this->take<look_order>();
        this->report_all();
    }

    void report_all(std::int64_t born = 1)
    {
        for (auto const* const id : {"a", "b"}) {
            this->answer(id, this->report(born));
        }
    }

    /// Takes the orders of one run; starts are answered with `status`.
    void run(order_status status = order_status::done)
    {
        this->calls.clear();
        this->starts.clear();
        for (auto const& order :
             this->decisions.take_orders(this->now, testing::wall_ms, true)) {
            if (auto const* const call = std::get_if<advice_order>(&order)) {
                this->calls.push_back(*call);
            } else if (
                auto const* const start = std::get_if<start_order>(&order)) {
                this->starts.push_back(*start);
            }
        }
        for (auto const& start : this->starts) {
            this->decisions.on_start(
                start.worker, start.run, status, this->now);
        }
    }

    void allow(std::vector<advice::ticket> allowed)
    {
        REQUIRE(this->calls.size() == 1);
        this->decisions.on_advice(
            this->calls[0],
            advice{
                .allowed = std::move(allowed),
                .validity = base::milliseconds(validity_ms)},
            this->now);
    }

    std::vector<advice_order> calls{};
    std::vector<start_order> starts{};
};

step two_tasks()
{
    return {.count = 2, .need = {.processors = 1000}};
}

} // namespace

// Guards against starts that a worker refuses for want of a ticket, and against
// a step that waits since nobody asks.
TEST_CASE("tasks of an advised queue start with tickets, where it is allowed")
{
    advised_fixture test;
    test.add("job", two_tasks());
    test.run();
    CHECK(test.starts.empty());
    REQUIRE(test.calls.size() == 1);
    CHECK(to_string(test.calls[0].step) == "job.0.0");
    CHECK(test.calls[0].workers.size() == 2);
    test.run();
    CHECK(test.calls.empty()); // one call at a time for a step

    test.decisions.on_advice(
        {.step = {"job", 0, 0}, .workers = {"a", "b"}},
        advice{
            .allowed = {{"b", "t1"}},
            .validity = base::milliseconds(validity_ms)},
        test.now);
    test.run();
    REQUIRE(test.starts.size() == 2);
    for (auto const& start : test.starts) {
        CHECK(start.worker == "b");
        CHECK(start.ticket == "t1");
    }
}

TEST_CASE("an expired ticket is asked for again, a refusal is not")
{
    advised_fixture test;
    test.add("wide", {.count = 20, .need = {.processors = 1000}});
    test.run();
    test.allow({{"b", "t1"}});
    test.run();
    CHECK(test.starts.size() == 8); // all that "b" has room for
    CHECK(test.calls.empty());      // and "a" may not

    // Room comes after the ticket has expired.
    constexpr std::int64_t gap_ms = 500;
    auto const started = test.starts;
    for (std::int64_t t = gap_ms; t <= validity_ms; t += gap_ms) {
        test.wait(gap_ms);
        auto busy = test.report();
        for (auto const& each : started) {
            busy.running.push_back(
                {.run = each.run, .percent = static_cast<int>(t / gap_ms)});
        }
        test.answer("a", test.report());
        test.answer("b", busy);
        test.run();
        CHECK(test.calls.empty());
    }
    test.wait(gap_ms);
    auto report = test.report();
    for (auto const& each : started) {
        report.ended.push_back(
            {.number = static_cast<std::int64_t>(report.ended.size()) + 1,
             .run = each.run,
             .outcome = run_outcome::done});
    }
    test.answer("b", report);
    test.run();
    CHECK(test.starts.empty());
    REQUIRE(test.calls.size() == 1);
    CHECK(test.calls[0].workers == std::vector<std::string>{"b"});
}

TEST_CASE("a ticket that the worker refuses, or of an earlier life, is renewed")
{
    advised_fixture refused;
    refused.add("job", two_tasks());
    refused.run();
    refused.allow({{"a", "t1"}, {"b", "t2"}});
    refused.run(order_status::no_ticket);
    CHECK(refused.starts.size() == 2);
    constexpr std::int64_t gap_ms = 300;
    refused.wait(gap_ms);
    refused.report_all();
    refused.run();
    CHECK(refused.calls.size() == 1);

    advised_fixture reborn;
    reborn.add("job", two_tasks());
    reborn.run();
    reborn.report_all(2);
    reborn.allow({{"a", "t1"}});
    reborn.report_all(3);
    reborn.run();
    CHECK(reborn.starts.empty());
    CHECK(reborn.calls.size() == 1);
}

// Guards against a step that waits for good after a lost answer, and against
// calls in quick succession.
TEST_CASE("an adviser without an answer is asked again after a while")
{
    advised_fixture test;
    test.add("job", two_tasks());
    test.run();
    REQUIRE(test.calls.size() == 1);
    test.decisions.on_advice(test.calls[0], std::nullopt, test.now);
    test.run();
    CHECK(test.calls.empty());
    constexpr std::int64_t gap_ms = 300;
    test.wait(gap_ms);
    test.run();
    CHECK(test.calls.size() == 1);
}

// Guards against a queue of calls at the adviser, which answers one after the
// other: an urgent step would wait behind all of them.
TEST_CASE("few calls to an adviser are out at a time")
{
    advised_fixture test;
    for (int i = 0; i < 10; ++i) {
        test.add("job" + std::to_string(i), two_tasks());
    }
    test.run();
    CHECK(test.calls.size() <= 2);
    CHECK(!test.calls.empty());
}
