/// Everything that the control thread drives, wired together.
#pragma once

#include "call_service.hpp"
#include "cell_load_board.hpp"
#include "cell_set.hpp"
#include "configuration_driver.hpp"
#include "context.hpp"
#include "host_watch.hpp"
#include "membership_driver.hpp"
#include "metrics_reporter.hpp"
#include "operator_service.hpp"
#include "ownership_driver.hpp"
#include "peer_links.hpp"
#include "peer_service.hpp"
#include "routing_publisher.hpp"
#include "run_lease_policy.hpp"
#include "store_driver.hpp"
#include "task_service.hpp"
#include "wake_timer.hpp"
#include "worker_monitor.hpp"

#include "foxtaillift/transport/agent_client.hpp"
#include "foxtaillift/transport/host_list_client.hpp"
#include "foxtaillift/transport/http_client_pool.hpp"
#include "foxtaillift/transport/object_client.hpp"
#include "foxtaillift/transport/table_client.hpp"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace foxtaillift::daemon
{

/// Made and used on the control thread, but for the functions that say
/// otherwise.
class control_plane
{
public:
    control_plane(context& shared, std::string const& peer_address);

    void start();

    /// Any thread: requests of the listeners.
    void handle_caller(transport::received_request, transport::responder);
    void handle_peer(transport::received_request, transport::responder);
    void handle_operator(transport::received_request, transport::responder);

    /// May this host receive calls? Any thread.
    [[nodiscard]] bool is_ready() const { return this->ready; }

    /// Planned stop: turns not ready, then hands all cells over; `released`
    /// follows when nothing is owned any more.
    void stop(std::function<void()> released);
    /// Tells the peers and closes the links.
    void leave();
    /// Closes the connections to upstreams.
    void close();

private:
    [[nodiscard]] cell_services make_cell_services();
    [[nodiscard]] ownership_listener make_ownership_listener();
    [[nodiscard]] membership_listener make_membership_listener();
    [[nodiscard]] batch::scheduler_settings
    settings_for(base::cell_id const& cell) const;

    void on_workers_changed();
    void on_members_changed();
    void on_configuration();
    void on_cell_gained(cluster::cell_gained const& gained);
    void on_cell_lost(cluster::cell_lost const& lost);
    void on_cell_refused(base::cell_id const& cell, std::string const& reason);
    void on_beat();
    void announce_takeover(cluster::cell_gained const& gained);
    /// A peer says that it took a cell.
    void on_taken(base::cell_id const& cell, formats::epoch_number epoch);
    void update_ready();

    context& shared;
    transport::http_client_pool platform_pool;
    transport::http_client_pool agent_pool;
    transport::table_client table;
    transport::object_client objects;
    transport::host_list_client host_list;
    transport::agent_client agents;
    store_driver store;
    peer_links links;
    host_watch hosts;
    configuration_driver configuration;
    membership_driver membership;
    ownership_driver ownership;
    cell_set cells;
    call_service calls;
    cell_load_board loads;
    routing_publisher publisher;
    worker_monitor monitor;
    task_service tasks;
    peer_service peers;
    operator_service operators;
    metrics_reporter reporter;
    run_lease_policy run_leases;
    wake_timer beat;
    std::uint64_t beats = 0;
    bool has_workers = false;
    bool is_stopping = false;
    std::function<void()> released;
    std::atomic<bool> ready{false};
};

} // namespace foxtaillift::daemon
