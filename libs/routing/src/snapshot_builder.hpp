/// Builds a snapshot from the control thread's input.
#pragma once

#include "foxtaillift/routing/routing_table.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace foxtaillift::routing::detail
{

/// Load objects by name; they outlive the snapshots that point to them.
struct load_registry
{
    std::unordered_map<base::worker_id, std::unique_ptr<worker_load>> workers;
    std::unordered_map<base::cell_id, std::unique_ptr<cell_load>> cells;
    std::unordered_map<base::service_id, std::unique_ptr<service_load>>
        services;
};

/// A worker's slot limit as the snapshot wants it.
struct slot_setting
{
    worker_load* load = nullptr;
    std::uint32_t slots = 0;
    bool is_closed = true;
};

struct built_snapshot
{
    std::unique_ptr<routing_snapshot> snapshot;
    std::vector<slot_setting> settings;
    std::size_t dropped = 0;
};

/// Creates missing load objects in `registry`.
built_snapshot build_snapshot(
    table_input const& input,
    routing_table_options const& options,
    load_registry& registry);

} // namespace foxtaillift::routing::detail
