#include "cell_state.hpp"
#include "simulation.hpp"

#include <doctest/doctest.h>

using namespace foxtaillift;
using namespace foxtaillift::batch;

namespace
{

constexpr formats::resources machine{16'000, 60'000, 0};

} // namespace

TEST_CASE("tasks are accepted, run and finish exactly once")
{
    simulation sim{1};
    sim.add_workers(4, machine);
    sim.take_over();
    sim.run_for(base::seconds(1));
    for (int i = 0; i < 100; ++i) {
        sim.submit(sim.make_task(2000 + i * 10, 2000));
    }
    CHECK(sim.run_until_idle(base::seconds(120)));
    CHECK(sim.accepted_tasks.size() == 100);
    CHECK(sim.find_loss() == "");
    CHECK(sim.judge.violations.empty());
    CHECK(sim.judge.starts == 100);
    CHECK(sim.judge.finished == 100);
    for (auto const& worker : sim.workers) {
        CHECK(worker.capacity_refusals == 0);
        CHECK(worker.is_idle()); // everything was acknowledged
    }
}
