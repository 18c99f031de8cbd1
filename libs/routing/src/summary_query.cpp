#include "foxtaillift/routing/summary_query.hpp"

#include <cstddef>

namespace foxtaillift::routing
{

namespace
{

struct cell_sum
{
    cell_summary summary;
    double latency_sum = 0;
    std::uint32_t measured = 0;
};

void add_worker(cell_sum& sum, worker_load const& load)
{
    if (load.ejected_until.load() == 0) {
        sum.summary.free_slots += load.slots.load().free();
    }
    auto const latency = load.latency_ms.load();
    if (latency > 0) {
        sum.latency_sum += static_cast<double>(latency);
        sum.measured += 1;
    }
}

} // namespace

std::vector<std::pair<base::cell_id, cell_summary>>
summarise_local_cells(routing_snapshot const& snapshot)
{
    std::vector<cell_sum> sums(snapshot.cells.size());
    for (auto const& worker : snapshot.workers) {
        if (worker.load != nullptr) {
            add_worker(sums[worker.cell], *worker.load);
        }
    }
    std::vector<std::pair<base::cell_id, cell_summary>> result;
    for (std::size_t i = 0; i < sums.size(); ++i) {
        if (!snapshot.cells[i].spec.is_local) {
            continue;
        }
        auto& sum = sums[i];
        sum.summary.latency_ms =
            sum.measured == 0 ? 0 : sum.latency_sum / sum.measured;
        result.emplace_back(snapshot.cells[i].spec.cell, sum.summary);
    }
    return result;
}

} // namespace foxtaillift::routing
