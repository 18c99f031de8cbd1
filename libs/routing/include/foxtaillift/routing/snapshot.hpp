/// Immutable view of workers, cells and services that a routing decision reads.
#pragma once

#include "foxtaillift/routing/cell_load.hpp"
#include "foxtaillift/routing/service_load.hpp"
#include "foxtaillift/routing/service_options.hpp"
#include "foxtaillift/routing/worker_load.hpp"

#include "foxtaillift/base/identifier.hpp"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace foxtaillift::routing
{

enum class worker_state
{
    live,
    leaving,     ///< in the platform's list; wins over everything else
    ejected,     ///< by this host's own observation
    quarantined, ///< fails tasks of the batch side
};

std::string_view to_string(worker_state state);

/// One worker as the control thread describes it.
struct worker_spec
{
    base::worker_id worker;
    base::cell_id cell;
    std::vector<base::service_id> services = {};
    std::uint32_t slots = 8;
    bool is_leaving = false;
    bool is_quarantined = false;
    bool is_adopted = true; ///< under the epoch of its cell
};

/// One cell and its owner.
struct cell_spec
{
    base::cell_id cell;
    std::uint64_t epoch = 0;
    base::host_id owner = {};
    base::failure_domain_id failure_domain = {};
    bool is_local = false; ///< owned by this entry host
};

/// Everything that one snapshot is made from.
struct table_input
{
    std::uint64_t configuration_version = 0;
    base::failure_domain_id home = {}; ///< failure domain of this entry host
    std::vector<cell_spec> cells = {};
    std::vector<worker_spec> workers = {};
    service_options other_services = {}; ///< those without an entry
    std::unordered_map<base::service_id, service_options> services = {};
};

struct cell_view
{
    cell_spec spec;
    bool is_same_domain = false;
    cell_load* load = nullptr; ///< only for cells of other entry hosts
    std::uint32_t slots = 0;   ///< of the open workers, other hosts' cells only
};

struct service_view;

struct worker_view
{
    base::worker_id worker;
    std::uint32_t cell = 0; ///< index into routing_snapshot::cells
    bool is_leaving = false;
    bool is_quarantined = false;
    worker_load* load = nullptr; ///< null for workers of other entry hosts
    std::vector<service_view const*> services = {}; ///< of local workers
};

/// A worker as a decision reads it: one line of this array and the load.
struct worker_candidate
{
    worker_load* load = nullptr;
    std::uint32_t worker = 0; ///< index into routing_snapshot::workers
    std::uint32_t cell = 0;   ///< index into routing_snapshot::cells
};

/// Where calls of one service can go.
struct service_view
{
    base::service_id service;
    service_load* load = nullptr;
    std::vector<worker_candidate> workers; ///< local and open
    std::vector<std::uint32_t> cells;      ///< < of other entry hosts; indices
    service_options options = {};
};

/// Read-only; valid while the snapshot_reader that returned it lives.
class routing_snapshot
{
public:
    std::uint64_t configuration_version = 0;
    std::vector<cell_view> cells;
    std::vector<worker_view> workers;
    std::unordered_map<base::service_id, service_view> services;
    std::unordered_map<base::worker_id, std::uint32_t> worker_index;

    [[nodiscard]] service_view const*
    find_service(base::service_id const& service) const;
    [[nodiscard]] worker_view const*
    find_worker(base::worker_id const& worker) const;
};

/// State of a worker: leaving wins over quarantined, that over ejected.
worker_state state_of(worker_view const& worker);

} // namespace foxtaillift::routing
