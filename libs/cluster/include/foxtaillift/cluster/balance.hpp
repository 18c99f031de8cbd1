/// Bounded-load rendezvous hashing of cells to hosts, weighted by capacity.
#pragma once

#include "foxtaillift/base/identifier.hpp"

#include <optional>
#include <vector>

namespace foxtaillift::cluster
{

struct balance_host
{
    base::host_id host = {};
    double capacity = 1.0;
    double load = 0.0; ///< weight of its cells; updated by `assign_cells`
};

struct balance_cell
{
    base::cell_id cell = {};
    double weight = 1.0;
};

/// Higher is better; the same on every host.
double rendezvous_score(
    base::host_id const& host, double capacity, base::cell_id const& cell);

/// Gives each of the cells, which have no owner, to the host with the highest
/// score whose load stays within its share of `total_weight` plus one cell.
/// Returns one host for each cell, in order; none only if there are no hosts.
/// The result depends only on the arguments.
std::vector<std::optional<base::host_id>> assign_cells(
    std::vector<balance_host>& hosts,
    std::vector<balance_cell> const& cells,
    double total_weight);

/// A move that evens out the load of host `from`, or none if the difference to
/// the least loaded host is too small to be worth it.
struct balance_move
{
    base::cell_id cell = {};
    base::host_id to = {};
};
std::optional<balance_move> choose_move(
    std::vector<balance_host> const& hosts,
    base::host_id const& from,
    std::vector<balance_cell> const& cells_of_host);

} // namespace foxtaillift::cluster
