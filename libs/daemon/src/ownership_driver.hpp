/// Drives the ownership engine with the table and the peer links.
#pragma once

#include "context.hpp"
#include "peer_links.hpp"
#include "store_driver.hpp"
#include "wake_timer.hpp"

#include "foxtaillift/cluster/ownership.hpp"
#include "foxtaillift/formats/hosts.hpp"

#include <functional>
#include <string>
#include <vector>

namespace foxtaillift::daemon
{

/// What the rest of the daemon does when ownership changes.
struct ownership_listener
{
    std::function<void(cluster::cell_gained const&)> gained;
    std::function<void(cluster::cell_lost const&)> lost;
    /// The cells, owners or hosts that the table shows may have changed.
    std::function<void()> observed;
    std::function<void()> stopped;
};

/// Control thread only.
class ownership_driver
{
public:
    ownership_driver(
        context& shared,
        store_driver& store,
        peer_links& links,
        std::string const& peer_address,
        ownership_listener listener);

    void set_workers(std::vector<formats::worker_entry> const& workers);
    void handle(cluster::ownership_event const& event);
    /// Hands over or releases all cells; `stopped` follows.
    void stop() { this->handle(cluster::stop_requested{}); }

    [[nodiscard]] cluster::ownership const& state() const
    {
        return this->engine;
    }

private:
    void perform(store::submission action);
    void perform(cluster::scan_rows const& action);
    void perform(cluster::cell_gained const& action);
    void perform(cluster::cell_draining const& action);
    void perform(cluster::cell_resumed const& action);
    void perform(cluster::cell_lost const& action);
    void perform(cluster::send_handover_offer const& action);
    void perform(cluster::send_handover_answer const& action);
    void perform(cluster::ownership_stopped const& action);
    void perform(store::log_line action);

    context& shared;
    store_driver& store;
    peer_links& links;
    ownership_listener listener;
    cluster::ownership engine;
    wake_timer timer;
};

} // namespace foxtaillift::daemon
