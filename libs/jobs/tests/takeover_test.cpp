/// What a leader may conclude right after a takeover, while it still misses
/// rows, workers or leases that its predecessor knew.
#include "scheduler_fixture.hpp"

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using fixture = foxtaillift::jobs::testing::scheduler_fixture;

namespace
{

run_name const earlier_run{{.job = "j"}, 1};
step const one_task{.count = 1, .need = {.processors = 1000}};

worker_report report_of_end(fixture const& test)
{
    auto report = test.report();
    report.ended = {
        {.number = 1, .run = earlier_run, .outcome = run_outcome::done}};
    return report;
}

} // namespace

// Guards against TWICE: a leader that had heard a worker once, before it sent
// it a lease, recorded the worker without one, and its successor started the
// task that ran there under the lease of an earlier leader.
TEST_CASE("a record tells the lease of an earlier leader")
{
    fixture test{2, true};
    test.list("a");
    test.take<look_order>();
    auto report = test.report();
    report.running = {{.run = earlier_run, .percent = 5}};
    test.answer("a", report);
    test.wait(1000);
    test.decisions.on_look("a", order_status::unknown, {}, test.now, test.now);
    auto const record = test.decisions.close_workers(test.now);
    REQUIRE(record.size() == 1);
    CHECK(record[0].lease_age == base::milliseconds(1000));
}
