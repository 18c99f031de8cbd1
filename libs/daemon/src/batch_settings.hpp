/// Turns the fleet configuration into what the batch schedulers use.
#pragma once

#include "cell_driver.hpp"

#include "foxtaillift/batch/settings.hpp"
#include "foxtaillift/cluster/configuration_document.hpp"
#include "foxtaillift/formats/hosts.hpp"

#include <cstdint>
#include <vector>

namespace foxtaillift::daemon
{

/// Quotas are for the whole fleet; a cell gets its share by processors.
batch::scheduler_settings to_scheduler_settings(
    cluster::configuration_document const& document,
    base::cell_id const& cell,
    std::vector<formats::worker_entry> const& fleet,
    std::int64_t wall_ms);

/// Tells a cell which of its workers are drained, quarantined or in service.
void order_workers(
    cluster::configuration_document const& document,
    std::int64_t wall_ms,
    std::vector<formats::worker_entry> const& workers,
    cell_driver& driver);

} // namespace foxtaillift::daemon
