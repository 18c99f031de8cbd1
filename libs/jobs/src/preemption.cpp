#include "preemption.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace foxtaillift::jobs
{

namespace
{

/// How many tasks fit into the room.
std::size_t tasks_in(resources const& room, resources const& need)
{
    std::int64_t count = std::numeric_limits<std::int64_t>::max();
    auto const bound = [&](std::int64_t available, std::int64_t wanted) {
        if (wanted > 0) {
            count =
                std::min(count, std::max<std::int64_t>(0, available) / wanted);
        }
    };
    bound(room.processors, need.processors);
    bound(room.memory_mb, need.memory_mb);
    bound(room.accelerators, need.accelerators);
    return static_cast<std::size_t>(count);
}

/// A run with the tasks that its worker could get more without it.
struct offer
{
    preemptible_worker* worker = nullptr;
    preemptible_run const* run = nullptr;
    std::size_t tasks = 0;
    double loss_by_task = 0;
};

std::vector<offer> find_offers(
    resources const& need,
    std::span<preemptible_worker> workers,
    std::span<std::size_t const> fitting)
{
    std::vector<offer> offers;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        offer best;
        for (auto const& run : workers[i].runs) {
            auto room = workers[i].room;
            room += run.frees;
            auto const after =
                std::min(tasks_in(room, need), workers[i].task_limit);
            if (after <= fitting[i]) {
                continue;
            }
            auto const gained = after - fitting[i];
            double const loss = run.loss / static_cast<double>(gained);
            if (best.run == nullptr || loss < best.loss_by_task) {
                best = {&workers[i], &run, gained, loss};
            }
        }
        if (best.run != nullptr) {
            offers.push_back(best);
        }
    }
    std::sort(offers.begin(), offers.end(), [](offer const& a, offer const& b) {
        return a.loss_by_task < b.loss_by_task;
    });
    return offers;
}

void take(preemptible_worker& worker, resources const& need, std::size_t tasks)
{
    for (std::size_t i = 0; i < tasks; ++i) {
        worker.room -= need;
    }
}

} // namespace

std::optional<std::vector<std::size_t>> choose_preempted(
    room_demand const& demand, std::span<preemptible_worker> workers)
{
    std::vector<std::size_t> fitting;
    std::size_t missing = demand.tasks;
    for (auto const& worker : workers) {
        fitting.push_back(std::min(
            {tasks_in(worker.room, demand.need), worker.task_limit, missing}));
        missing -= fitting.back();
    }
    std::vector<offer> chosen;
    double loss = 0;
    if (missing > 0) {
        for (auto const& each : find_offers(demand.need, workers, fitting)) {
            chosen.push_back(each);
            loss += each.run->loss;
            if (loss > demand.worth) {
                return std::nullopt;
            }
            if (each.tasks >= missing) {
                missing = 0;
                break;
            }
            missing -= each.tasks;
        }
    }
    if (missing > 0) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < workers.size(); ++i) {
        take(workers[i], demand.need, fitting[i]);
    }
    std::vector<std::size_t> numbers;
    for (auto const& each : chosen) {
        each.worker->room += each.run->frees;
        take(*each.worker, demand.need, each.tasks);
        numbers.push_back(each.run->number);
    }
    return numbers;
}

} // namespace foxtaillift::jobs
