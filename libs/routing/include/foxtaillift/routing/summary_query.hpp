/// Summaries of the own cells, to be sent to the peers.
#pragma once

#include "foxtaillift/routing/snapshot.hpp"

#include <utility>
#include <vector>

namespace foxtaillift::routing
{

/// Free slots and mean latency of each local cell. Ejected workers count as
/// full. `waiting` and `age` are left 0: the queues are in the routers, and
/// the measurement is made now. Scans all workers; for twice a second.
std::vector<std::pair<base::cell_id, cell_summary>>
summarise_local_cells(routing_snapshot const& snapshot);

} // namespace foxtaillift::routing
