/// Passes measurements between the two sides of a worker: call latency to the
/// batch scheduler, batch load to the call routers.
#pragma once

#include "call_service.hpp"
#include "cell_set.hpp"
#include "context.hpp"
#include "host_watch.hpp"
#include "routing_publisher.hpp"

#include "foxtaillift/transport/agent_client.hpp"

#include <set>
#include <vector>

namespace foxtaillift::daemon
{

/// Control thread only.
class worker_monitor
{
public:
    worker_monitor(
        context& shared,
        call_service& calls,
        cell_set& cells,
        host_watch& hosts,
        transport::agent_client& agents,
        routing_publisher& publisher);

    /// Expected every 250 ms.
    void measure();
    /// Asks workers with calls of an earlier owner how many are left.
    void poll_inherited();

private:
    struct measurement
    {
        base::cell_id cell;
        base::worker_id worker;
        base::service_id service;
        float slowdown = 1;
        std::int64_t age_ms = 0; ///< since the last good answer
        routing::slot_counts slots;
    };

    [[nodiscard]] std::vector<measurement> read_workers() const;
    void report(measurement const& one);
    void update_batch_load(measurement const& one);

    context& shared;
    call_service& calls;
    cell_set& cells;
    host_watch& hosts;
    transport::agent_client& agents;
    routing_publisher& publisher;
    std::set<base::worker_id> asking;
};

} // namespace foxtaillift::daemon
