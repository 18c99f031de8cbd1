/// The links to the other entry hosts.
#pragma once

#include "context.hpp"
#include "takeover_guard.hpp"

#include "foxtaillift/base/identifier.hpp"
#include "foxtaillift/transport/peer_client.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtaillift::daemon
{

/// Link by host, as one immutable table. The call threads hold copies, so that
/// a call needs no lock to find its link.
using link_table =
    std::map<base::host_id, std::shared_ptr<transport::peer_client>>;

/// Control thread only, but for the links themselves.
class peer_links
{
public:
    explicit peer_links(context& shared);

    /// The link to a host at an address; a changed address replaces it.
    std::shared_ptr<transport::peer_client>
    link_to(base::host_id const& host, std::string const& address);
    [[nodiscard]] std::shared_ptr<transport::peer_client>
    find(base::host_id const& host) const;

    /// Drops the links to hosts that are not in the list.
    void keep(std::vector<base::host_id> const& hosts);

    /// Called with the new table after each change.
    void on_changed(std::function<void(std::shared_ptr<link_table const>)> to);

    /// Sends one control message; the answer is passed to `done` on the control
    /// thread. Without a link the result is `not_sent`.
    void send(
        base::host_id const& host,
        transport::request message,
        base::duration timeout,
        transport::exchange_callback done);
    /// Sends a message whose answer does not matter.
    void send(base::host_id const& host, std::string path, std::string body);

    /// Nothing without a link to the host. A silent link is not connected.
    [[nodiscard]] std::optional<link_state>
    state_of(base::host_id const& host) const;

    void stop();

private:
    struct open_link
    {
        std::string address;
        std::shared_ptr<transport::peer_client> link;
        std::uint64_t number = 0;
    };

    [[nodiscard]] std::shared_ptr<transport::peer_client>
    open(std::string const& address) const;
    void publish();

    context& shared;
    std::map<base::host_id, open_link> entries;
    std::uint64_t last_number = 0;
    std::map<base::host_id, std::string> routes; ///< setting peer.routes
    std::function<void(std::shared_ptr<link_table const>)> changed;
};

} // namespace foxtaillift::daemon
