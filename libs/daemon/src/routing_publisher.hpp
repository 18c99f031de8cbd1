/// Keeps the routing table in step with owners, workers and the configuration.
#pragma once

#include "call_service.hpp"
#include "cell_set.hpp"
#include "configuration_driver.hpp"
#include "context.hpp"
#include "host_watch.hpp"
#include "membership_driver.hpp"
#include "ownership_driver.hpp"

#include "foxtaillift/routing/snapshot.hpp"

#include <map>
#include <memory>

namespace foxtaillift::daemon
{

/// Parts that the routing table is made from; outlive the publisher.
struct routing_sources
{
    context& shared;
    host_watch& hosts;
    cell_set& cells;
    ownership_driver& ownership;
    membership_driver& membership;
    configuration_driver& configuration;
};

/// Control thread only.
class routing_publisher
{
public:
    routing_publisher(routing_sources const& sources, call_service& calls);

    /// Publishes a new snapshot and the addresses that belong to it.
    void publish();
    void set_links(std::shared_ptr<link_table const> links);
    /// Sends the addresses and the load header to the lanes.
    void publish_addresses(std::string cell_load);

    /// A worker was adopted with calls of an earlier owner in progress.
    void on_adopted(base::worker_id const& worker, std::int32_t calls);
    /// Reduces the inherited calls of a worker as they end.
    void set_inherited(base::worker_id const& worker, std::uint32_t calls);
    [[nodiscard]] std::map<base::worker_id, std::uint32_t> const&
    inherited() const
    {
        return this->inherited_calls;
    }

private:
    [[nodiscard]] std::vector<routing::cell_spec> list_cells() const;
    [[nodiscard]] std::vector<routing::worker_spec> list_workers() const;

    routing_sources sources;
    call_service& calls;
    std::shared_ptr<link_table const> links;
    std::string cell_load;
    std::map<base::worker_id, std::uint32_t> inherited_calls;
};

} // namespace foxtaillift::daemon
