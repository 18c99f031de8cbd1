#include "cell_state.hpp"
#include "invariants.hpp"
#include "simulation.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace foxtaillift;
using namespace foxtaillift::batch;

namespace
{

constexpr formats::resources machine{8'000, 30'000, 0};

void watch(simulation& sim, std::string& broken)
{
    sim.on_step = [&] {
        if (broken.empty() && sim.is_owned()) {
            broken = find_broken_invariant(sim.state());
        }
    };
}

void check_outcome(simulation& sim, std::string const& broken)
{
    CHECK(sim.find_loss() == "");
    CHECK(broken == "");
    for (auto const& violation : sim.judge.violations) {
        FAIL_CHECK(violation);
    }
}

/// A short day: submissions, an eviction, a cancellation, a failing task.
void play(simulation& sim)
{
    sim.add_workers(2, machine);
    sim.take_over();
    sim.run_for(base::milliseconds(500));
    for (int i = 0; i < 10; ++i) {
        sim.submit(sim.make_task(1500, 2000));
    }
    auto failing = sim.make_task(1000);
    failing.payload = "fail";
    sim.submit(failing);
    sim.run_for(base::milliseconds(600));
    sim.send(worker_ordered{base::worker_id{"w0"}, worker_order::drain});
    sim.run_for(base::milliseconds(1000));
    sim.send(worker_ordered{base::worker_id{"w0"}, worker_order::release});
    if (!sim.accepted_tasks.empty()) {
        sim.cancel(sim.accepted_tasks.back());
    }
    sim.run_for(base::milliseconds(5000));
}

} // namespace

TEST_CASE("the owner dies after any effect and a successor recovers")
{
    std::uint64_t effects = 0;
    {
        simulation whole{7};
        play(whole);
        effects = whole.effects;
    }
    REQUIRE(effects > 50);
    for (std::uint64_t death = 1; death <= effects; ++death) {
        CAPTURE(death);
        simulation sim{7};
        std::string broken;
        watch(sim, broken);
        sim.die_after = death;
        play(sim);
        sim.die_after = 0;
        sim.run_for(base::seconds(6));
        sim.take_over();
        CHECK(sim.run_until_idle(base::seconds(60)));
        check_outcome(sim, broken);
    }
}

TEST_CASE("any answer of a worker is lost, with and without its effect")
{
    std::uint64_t requests = 0;
    {
        simulation whole{7};
        play(whole);
        requests = whole.requests;
    }
    REQUIRE(requests > 20);
    for (std::uint64_t lost = 1; lost <= requests; ++lost) {
        for (bool const took_effect : {false, true}) {
            CAPTURE(lost);
            CAPTURE(took_effect);
            simulation sim{7};
            std::string broken;
            watch(sim, broken);
            sim.lose_request_number = lost;
            sim.lost_took_effect = took_effect;
            play(sim);
            CHECK(sim.run_until_idle(base::seconds(60)));
            check_outcome(sim, broken);
        }
    }
}

TEST_CASE("an owner that wakes after its lease is refused by the workers")
{
    simulation sim{3};
    sim.add_workers(3, machine);
    sim.take_over();
    sim.run_for(base::milliseconds(500));
    for (int i = 0; i < 30; ++i) {
        sim.submit(sim.make_task(4000, 2000));
    }
    sim.run_for(base::milliseconds(1500));
    sim.pause_owner();
    sim.run_for(base::seconds(8));
    sim.take_over();
    sim.run_for(base::seconds(1));
    sim.wake_paused();
    CHECK(sim.run_until_idle(base::seconds(60)));
    CHECK(sim.cells_lost == 1);
    check_outcome(sim, "");
}

TEST_CASE("a successor starts nothing until silent workers' leases ran out")
{
    simulation sim{4};
    sim.add_workers(2, machine);
    sim.take_over();
    sim.run_for(base::milliseconds(500));
    for (int i = 0; i < 16; ++i) {
        sim.submit(sim.make_task(5000, 2000));
    }
    sim.run_for(base::milliseconds(1000));
    sim.workers[0].is_reachable = false;
    sim.kill_owner();
    sim.take_over();
    auto const starts = sim.judge.starts;
    sim.run_for(base::seconds(16));
    CHECK(summarize(sim.state()).phase == cell_phase::adopting);
    CHECK(sim.judge.starts == starts);
    sim.run_for(base::seconds(2));
    CHECK(summarize(sim.state()).phase == cell_phase::active);
    sim.run_for(base::seconds(20));
    sim.workers[0].is_reachable = true;
    CHECK(sim.run_until_idle(base::seconds(60)));
    check_outcome(sim, "");
}

TEST_CASE("an unreachable worker's tasks restart when their leases ran out")
{
    simulation sim{5};
    sim.add_workers(2, machine);
    sim.take_over();
    sim.run_for(base::milliseconds(500));
    for (int i = 0; i < 6; ++i) {
        sim.submit(sim.make_task(30'000, 2000));
    }
    sim.run_for(base::seconds(6));
    sim.workers[1].is_reachable = false;
    sim.run_for(base::seconds(60));
    sim.workers[1].is_reachable = true;
    CHECK(sim.run_until_idle(base::seconds(200)));
    CHECK(counters_of(sim.state()).lost_runs > 0);
    check_outcome(sim, "");
}

TEST_CASE("the store is down for ten minutes")
{
    simulation sim{6};
    sim.add_workers(4, machine);
    sim.take_over();
    sim.run_for(base::milliseconds(500));
    for (int i = 0; i < 60; ++i) {
        sim.submit(sim.make_task(100'000, 2000));
    }
    sim.run_for(base::seconds(2));
    REQUIRE(sim.accepted_tasks.size() == 60);
    sim.is_store_down = true;
    sim.run_for(base::seconds(300));
    // Bound tasks go on starting; new ones are refused as not accepted.
    CHECK(sim.judge.finished >= 20);
    sim.submit(sim.make_task(1000));
    sim.run_for(base::seconds(300));
    CHECK(sim.replies.back().status == reply_status::unavailable);
    auto const commits = sim.table.commits;
    sim.is_store_down = false;
    sim.run_for(base::seconds(5));
    // What waited goes together, so that the store is not flooded.
    CHECK(sim.table.commits - commits < 60);
    CHECK(sim.run_until_idle(base::seconds(600)));
    check_outcome(sim, "");
    CHECK(sim.judge.finished == 60);
}

TEST_CASE("an evicted task resumes once, whatever step its owner dies at")
{
    for (std::uint64_t step = 1; step <= 12; ++step) {
        CAPTURE(step);
        simulation sim{8};
        std::string broken;
        watch(sim, broken);
        sim.add_workers(2, machine);
        sim.take_over();
        sim.run_for(base::milliseconds(500));
        sim.submit(sim.make_task(5000, 2000));
        sim.run_for(base::seconds(2));
        auto const on =
            find_task(sim.state(), sim.accepted(0), sim.now)->worker;
        sim.die_after = sim.effects + step;
        sim.send(worker_ordered{on, worker_order::drain});
        sim.run_for(base::seconds(2));
        sim.die_after = 0;
        sim.run_for(base::seconds(6));
        sim.take_over();
        CHECK(sim.run_until_idle(base::seconds(60)));
        check_outcome(sim, broken);
        CHECK(sim.judge.finished == 1);
        CHECK(sim.judge.starts <= 2);
    }
}

TEST_CASE("a snapshot and the rows after it give the same cell")
{
    scheduler_options options;
    options.log_rows = 8;
    options.snapshot_tasks = 5;
    options.max_history = 10;
    simulation sim{9, options};
    sim.add_workers(2, machine);
    sim.take_over();
    sim.run_for(base::milliseconds(500));
    for (int round = 0; round < 60; ++round) {
        sim.submit(sim.make_task(300 + round * 50, 1000));
        sim.run_for(base::milliseconds(200));
    }
    // Old rows and objects are removed as snapshots replace them.
    CHECK(sim.table.scan("log/").size() < 40);
    CHECK(sim.objects.size() < 30);
    sim.kill_owner();
    sim.run_for(base::seconds(6));
    sim.take_over();
    CHECK(sim.run_until_idle(base::seconds(60)));
    CHECK(sim.judge.finished == 60);
    CHECK(sim.judge.violations.empty());
    // The history is bounded; submission keys go with it.
    CHECK(sim.table.scan("submit/").size() <= 11);
}

TEST_CASE("a whole rack is lost and its tasks run elsewhere")
{
    simulation sim{10};
    sim.add_workers(16, machine);
    sim.take_over();
    sim.run_for(base::milliseconds(500));
    for (int i = 0; i < 40; ++i) {
        sim.submit(sim.make_task(20'000, 2000));
    }
    sim.run_for(base::seconds(8));
    for (std::size_t i = 0; i < 8; ++i) {
        sim.workers[i].is_up = false;
        sim.workers[i].restart();
    }
    CHECK(sim.run_until_idle(base::seconds(200)));
    check_outcome(sim, "");
    CHECK(sim.judge.finished == 40);
}
