#include "cell_state.hpp"
#include "simulation.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace foxtaillift;
using namespace foxtaillift::batch;

namespace
{

constexpr formats::resources machine{16'000, 60'000, 0};

struct ready_cell : simulation
{
    explicit ready_cell(int count, scheduler_options chosen = {})
        : simulation(11, std::move(chosen))
    {
        this->add_workers(count, machine);
        this->take_over();
        this->run_for(base::seconds(1));
    }
    task_state state_of(std::size_t number)
    {
        return find_task(this->state(), this->accepted(number), this->now)
            ->state;
    }
};

} // namespace

TEST_CASE("an impossible task names what is missing and runs once it can")
{
    ready_cell sim{2};
    auto spec = sim.make_task(1'000);
    spec.size.accelerators = 2;
    sim.submit(spec);
    sim.run_for(base::milliseconds(300));
    REQUIRE(sim.replies.size() == 1);
    CHECK(
        sim.replies[0].message ==
        "cannot run now: accelerators: needs 2, the largest worker offers 0");
    CHECK(sim.state_of(0) == task_state::impossible);
    sim.add_workers(1, {16'000, 60'000, 4});
    sim.list_workers();
    CHECK(sim.run_until_idle(base::seconds(20)));
    CHECK(sim.state_of(0) == task_state::finished);
}

TEST_CASE("a worker that fails everything is told apart from a bad task")
{
    ready_cell sim{4};
    sim.workers[1].fails_everything = true;
    auto bad = sim.make_task(1'000);
    bad.payload = "fail";
    sim.submit(bad);
    for (int i = 0; i < 60; ++i) {
        sim.submit(sim.make_task(2'000, 2'000));
    }
    CHECK(sim.run_until_idle(base::seconds(120)));
    CHECK(sim.find_loss() == "");
    CHECK(counters_of(sim.state()).quarantines >= 1);
    CHECK_FALSE(find_worker(sim.state(), base::worker_id{"w1"})->takes_work);
    CHECK(find_worker(sim.state(), base::worker_id{"w2"})->takes_work);
    CHECK(sim.state_of(0) == task_state::failed);
    for (std::size_t i = 1; i < sim.accepted_tasks.size(); ++i) {
        CHECK(sim.state_of(i) == task_state::finished);
    }
}

// Guards against a sound worker left out for 10 minutes: tasks that fail at the
// same moment are one occasion.
TEST_CASE("a worker that failed for some seconds is soon used again")
{
    ready_cell sim{2};
    sim.workers[1].fails_everything = true;
    for (int i = 0; i < 20; ++i) {
        sim.submit(sim.make_task(2'000, 2'000));
    }
    sim.run_for(base::seconds(6));
    REQUIRE(counters_of(sim.state()).quarantines >= 1);
    CHECK_FALSE(find_worker(sim.state(), base::worker_id{"w1"})->takes_work);
    sim.workers[1].fails_everything = false;
    sim.run_for(base::seconds(35));
    CHECK(find_worker(sim.state(), base::worker_id{"w1"})->takes_work);
    CHECK(sim.run_until_idle(base::seconds(120)));
    CHECK(sim.find_loss() == "");
}

TEST_CASE("the same key gives the same task, another payload is refused")
{
    ready_cell sim{1};
    auto spec = sim.make_task(500);
    sim.submit(spec);
    sim.run_for(base::milliseconds(200));
    sim.submit(spec);
    auto other = spec;
    other.payload = "700";
    sim.submit(other);
    REQUIRE(sim.replies.size() == 3);
    CHECK(sim.replies[1].status == reply_status::existing);
    CHECK(sim.replies[1].task == sim.replies[0].task);
    CHECK(sim.replies[2].status == reply_status::key_conflict);
    // The row of another owner decides if this one does not know the key.
    auto foreign = sim.make_task(500);
    auto& row = sim.table.rows[submit_key(foreign)];
    row.version = 4;
    row.value = encode_submit(
        {base::task_id{"c9-1-1"}, base::cell_id{"c9"}, spec_digest(foreign)});
    sim.submit(foreign);
    sim.run_for(base::milliseconds(300));
    REQUIRE(sim.replies.size() == 4);
    CHECK(sim.replies[3].status == reply_status::existing);
    CHECK(sim.replies[3].task == base::task_id{"c9-1-1"});
}

TEST_CASE("a wave of cancellations ends queued and running tasks")
{
    ready_cell sim{2};
    for (int i = 0; i < 3'000; ++i) {
        sim.submit(sim.make_task(60'000, 2'000));
    }
    sim.run_for(base::seconds(5));
    REQUIRE(sim.accepted_tasks.size() == 3'000);
    for (auto const& id : std::vector{sim.accepted_tasks}) {
        sim.cancel(id);
    }
    CHECK(sim.run_until_idle(base::seconds(20)));
    CHECK(sim.cancelled_tasks.size() == 3'000);
    CHECK(sim.find_loss() == "");
    CHECK(sim.judge.finished == 0);
}

// Guards against a share of long tasks that leaves only parts of a core on each
// worker, as a reserve of 20% of 16 cores does.
TEST_CASE("short tasks do not wait behind another team's long ones")
{
    for (auto const reserve : {0.25, 0.2}) {
        CAPTURE(reserve);
        scheduler_options options;
        options.settings.service_processors = reserve;
        options.settings.service_memory = reserve;
        ready_cell sim{4, options};
        for (int i = 0; i < 200; ++i) {
            auto spec = sim.make_task(3'600'000, 1'000);
            spec.team = base::team_id{"long"};
            spec.task_class = "archive";
            sim.submit(spec);
        }
        sim.run_for(base::seconds(5));
        auto spec = sim.make_task(1'000, 1'000);
        spec.team = base::team_id{"short"};
        sim.submit(spec);
        sim.run_for(base::seconds(2));
        CHECK(sim.state_of(200) >= task_state::starting);
    }
}

TEST_CASE("a large task gets a reservation instead of waiting for ever")
{
    scheduler_options options;
    options.settings.other_classes.longest_wait = base::seconds(30);
    ready_cell sim{2, options};
    for (int i = 0; i < 40; ++i) {
        sim.submit(sim.make_task(7'000 + i * 100, 2'000));
    }
    sim.run_for(base::seconds(1));
    auto const place = sim.accepted_tasks.size();
    sim.submit(sim.make_task(1'000, 12'000));
    for (int i = 0; i < 120; ++i) {
        // Small tasks keep coming and would fill every gap.
        sim.submit(sim.make_task(7'000, 2'000));
        sim.run_for(base::milliseconds(600));
    }
    CHECK(sim.state_of(place) == task_state::finished);
}

TEST_CASE("urgent tasks start within 1.1 s although the cell is full")
{
    ready_cell sim{2};
    for (int i = 0; i < 60; ++i) {
        sim.submit(sim.make_task(600'000, 2'000));
    }
    sim.run_for(base::seconds(20));
    auto const known = sim.accepted_tasks.size();
    auto const submitted = sim.now;
    for (int i = 0; i < 3; ++i) {
        auto spec = sim.make_task(2'000, 4'000);
        spec.priority = task_priority::urgent;
        sim.submit(spec);
    }
    sim.run_for(base::milliseconds(1'200));
    for (std::size_t i = known; i < sim.accepted_tasks.size(); ++i) {
        auto const started = sim.first_start.find(sim.accepted(i).str());
        REQUIRE(started != sim.first_start.end());
        CHECK((started->second - submitted).ms < 1'100);
    }
    CHECK(sim.judge.violations.empty());
}

TEST_CASE("a queued task moves to another cell in one commit")
{
    ready_cell sim{1};
    for (int i = 0; i < 12; ++i) {
        sim.submit(sim.make_task(20'000, 4'000));
    }
    sim.run_for(base::seconds(1));
    sim.send(move_requested{77, sim.accepted(11), base::cell_id{"c2"}});
    sim.run_for(base::milliseconds(300));
    REQUIRE(sim.move_replies.size() == 1);
    CHECK(sim.move_replies[0].status == reply_status::accepted);
    CHECK(sim.table.scan("inbox/c2/").size() == 1);
    CHECK_FALSE(find_task(sim.state(), sim.accepted(11), sim.now));
    // A running task never moves.
    sim.send(move_requested{78, sim.accepted(0), base::cell_id{"c2"}});
    CHECK(sim.move_replies.back().status == reply_status::not_allowed);
}

TEST_CASE("throttling comes before eviction and ends after the crest")
{
    ready_cell sim{1};
    for (int i = 0; i < 6; ++i) {
        sim.submit(sim.make_task(100'000, 2'000));
    }
    sim.run_for(base::seconds(2));
    auto const press = [&](double ratio) {
        sim.send(service_pressure{
            base::worker_id{"w0"}, base::service_id{"web"}, ratio, 8, 8, 0});
        sim.run_for(base::milliseconds(500));
    };
    press(1.6);
    press(1.6);
    CHECK(counters_of(sim.state()).throttles > 0);
    CHECK(counters_of(sim.state()).evictions == 0);
    for (int i = 0; i < 60; ++i) {
        press(1.0);
    }
    for (auto const& id : sim.accepted_tasks) {
        CHECK(find_task(sim.state(), id, sim.now)->throttle == 1);
    }
}

// Guards against runs that stay throttled for good because the owner that
// throttled them was replaced.
TEST_CASE("a successor lifts the throttle that it inherits")
{
    ready_cell sim{1};
    for (int i = 0; i < 6; ++i) {
        sim.submit(sim.make_task(100'000, 2'000));
    }
    sim.run_for(base::seconds(2));
    // Processors that the runs may use, as the worker sees it.
    auto const& worker = sim.workers.front();
    auto const in_use = [&] { return worker.harm({{"encode", 1.0}}); };
    auto const press = [&](double ratio) {
        sim.send(service_pressure{
            base::worker_id{"w0"}, base::service_id{"web"}, ratio, 8, 8, 0});
        sim.run_for(base::milliseconds(500));
    };
    auto const whole = in_use();
    press(1.6);
    press(1.6);
    REQUIRE(in_use() < whole);
    sim.kill_owner();
    sim.take_over();
    for (int i = 0; i < 60; ++i) {
        press(1.0);
    }
    CHECK(in_use() == doctest::Approx(whole));
}

TEST_CASE("bounds refuse further input and count it")
{
    scheduler_options options;
    options.max_tasks = 5;
    options.max_payload = 10;
    options.max_teams = 1;
    ready_cell sim{1, options};
    for (int i = 0; i < 8; ++i) {
        sim.submit(sim.make_task(60'000));
    }
    sim.run_for(base::milliseconds(300));
    CHECK(sim.accepted_tasks.size() == 5);
    CHECK(counters_of(sim.state()).refused_tasks == 3);
    auto large = sim.make_task(1'000);
    large.payload = "far too large a payload";
    sim.submit(large);
    CHECK(sim.replies.back().status == reply_status::invalid);
    sim.cancel(sim.accepted(0));
    sim.run_for(base::seconds(1));
    auto stranger = sim.make_task(1'000);
    stranger.team = base::team_id{"stranger"};
    sim.submit(stranger);
    CHECK(sim.replies.back().status == reply_status::too_many);
    CHECK(counters_of(sim.state()).refused_teams == 1);
}

TEST_CASE("explain says why a task waits and where it runs")
{
    ready_cell sim{1};
    for (int i = 0; i < 8; ++i) {
        sim.submit(sim.make_task(60'000, 4'000));
    }
    sim.run_for(base::seconds(2));
    CHECK(
        explain(sim.state(), sim.accepted(0), sim.now).find("on worker w0") !=
        std::string::npos);
    CHECK(
        explain(sim.state(), sim.accepted(7), sim.now) ==
        "State queued. Waits for 1 s: no worker has enough free resources.");
    sim.send(worker_ordered{base::worker_id{"w0"}, worker_order::drain});
    CHECK(
        find_worker(sim.state(), base::worker_id{"w0"})->reason ==
        "drained by an operator");
    CHECK(view_queue(sim.state(), sim.now).queued >= 4);
    CHECK(
        explain(sim.state(), base::task_id{"none"}, sim.now) ==
        "The cell does not know this task.");
    sim.cancel(sim.accepted(7));
    sim.run_for(base::seconds(1));
    CHECK(explain(sim.state(), sim.accepted(7), sim.now) == "State cancelled.");
}
