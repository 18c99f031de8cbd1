/// Drives the membership engine with the peer links.
#pragma once

#include "context.hpp"
#include "peer_links.hpp"
#include "wake_timer.hpp"

#include "foxtaillift/cluster/membership.hpp"

#include <functional>
#include <string>
#include <vector>

namespace foxtaillift::daemon
{

struct membership_listener
{
    std::function<void()> members_changed;
    std::function<void(cluster::member_heard const&)> heard;
};

/// Control thread only.
class membership_driver
{
public:
    membership_driver(
        context& shared,
        peer_links& links,
        std::string peer_address,
        membership_listener listener);

    void start();
    void handle(cluster::membership_event const& event);
    /// Asks the peers named in the settings for their names, until one of them
    /// is known.
    void find_seeds();

    [[nodiscard]] std::vector<base::host_id> hosts() const;
    [[nodiscard]] bool is_member(base::host_id const& host) const;
    [[nodiscard]] cluster::membership const& state() const
    {
        return this->engine;
    }

private:
    void perform(cluster::send_heartbeat const& action);
    void perform(cluster::member_joined const& action);
    void perform(cluster::member_suspected const& action);
    void perform(cluster::member_removed const& action);
    void perform(cluster::member_heard const& action);
    void perform(store::log_line action);
    void ask_seed(std::string const& address);

    context& shared;
    peer_links& links;
    std::string address;
    membership_listener listener;
    cluster::membership engine;
    wake_timer timer;
    wake_timer seed_timer;
    std::map<std::string, std::shared_ptr<transport::peer_client>> seed_links;
    std::map<base::host_id, std::string> seeds; ///< found by find_seeds
};

} // namespace foxtaillift::daemon
