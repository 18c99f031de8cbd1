/// Requests of other entry hosts.
#pragma once

#include "call_service.hpp"
#include "configuration_driver.hpp"
#include "context.hpp"
#include "membership_driver.hpp"
#include "ownership_driver.hpp"
#include "task_service.hpp"

#include "foxtaillift/transport/responder.hpp"

#include <functional>
#include <string>

namespace foxtaillift::daemon
{

/// Parts that answer peers; outlive the service.
struct peer_parts
{
    context& shared;
    call_service& calls;
    task_service& tasks;
    membership_driver& membership;
    ownership_driver& ownership;
    configuration_driver& configuration;
    /// JSON for `/peer/status`, control thread.
    std::function<std::string(std::string const& target)> status;
    /// Cell summaries of a peer.
    std::function<void(std::string const& summaries)> load;
    /// A peer took a cell with this epoch.
    std::function<void(base::cell_id const&, formats::epoch_number)> taken;
};

class peer_service
{
public:
    explicit peer_service(peer_parts parts);

    /// Any thread. Calls go to a lane directly, all else to the control thread.
    void
    handle(transport::received_request received, transport::responder reply);

private:
    void handle_control(
        transport::received_request const& received,
        transport::responder reply);
    bool take_message(std::string const& target, std::string const& body);

    peer_parts parts;
};

} // namespace foxtaillift::daemon
