/// Drives the configuration engine with the store and the peer links.
#pragma once

#include "context.hpp"
#include "expiry_watch.hpp"
#include "peer_links.hpp"
#include "store_driver.hpp"
#include "wake_timer.hpp"

#include "foxtaillift/cluster/configuration.hpp"
#include "foxtaillift/transport/object_client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace foxtaillift::daemon
{

/// Control thread only.
class configuration_driver
{
public:
    using answer_handler = std::function<void(cluster::change_answer const&)>;

    configuration_driver(
        context& shared,
        store_driver& store,
        transport::object_client& objects,
        peer_links& links,
        std::function<void()> in_force);

    void start() { this->handle(cluster::configuration_tick{}); }
    void handle(cluster::configuration_event const& event);

    /// The listed workers, which changes are checked against.
    void set_workers(std::vector<formats::worker_entry> const& workers);

    /// `done` follows exactly once.
    void change(cluster::change_requested request, answer_handler done);
    void roll_back(cluster::rollback_requested request, answer_handler done);

    [[nodiscard]] cluster::configuration const& state() const
    {
        return this->engine;
    }

private:
    void perform(store::submission action);
    void perform(cluster::read_configuration_rows const& action);
    void perform(cluster::get_configuration_object const& action);
    void perform(cluster::put_configuration_object action);
    void perform(cluster::send_configuration_push const& action);
    void perform(cluster::send_configuration_pull const& action);
    void perform(cluster::send_configuration_acknowledge const& action);
    void perform(cluster::change_answer const& action);
    void perform(cluster::configuration_in_force const& action);
    void perform(store::log_line action);

    context& shared;
    store_driver& store;
    transport::object_client& objects;
    peer_links& links;
    std::function<void()> in_force;
    cluster::configuration engine;
    wake_timer timer;
    std::map<std::uint64_t, answer_handler> waiting;
    std::uint64_t next_request = 1;
    expiry_watch expiries;
};

} // namespace foxtaillift::daemon
