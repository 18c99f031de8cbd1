#include "peer_service.hpp"

#include "task_codec.hpp"

#include "foxtaillift/base/error.hpp"

#include <memory>
#include <sstream>
#include <utility>

namespace foxtaillift::daemon
{

peer_service::peer_service(peer_parts used)
    : parts(std::move(used))
{}

void peer_service::handle(
    transport::received_request received, transport::responder reply)
{
    if (received.target == "/peer/call") {
        this->parts.calls.handle_forwarded(received, std::move(reply));
        return;
    }
    auto holder = std::make_shared<transport::responder>(std::move(reply));
    this->parts.shared.post_control(
        [this, received = std::move(received), holder] {
            this->handle_control(received, std::move(*holder));
        });
}

void peer_service::handle_control(
    transport::received_request const& received, transport::responder reply)
{
    auto const& target = received.target;
    if (target == "/peer/hello") {
        reply.send(
            {.status = 200,
             .headers = {},
             .body = this->parts.shared.settings.host.id});
        return;
    }
    if (target.starts_with("/peer/status")) {
        reply.send(
            {.status = 200,
             .headers = {{"Content-Type", "application/json"}},
             .body = this->parts.status(target)});
        return;
    }
    if (target == "/peer/submit" || target == "/peer/task" ||
        target == "/peer/cancel") {
        this->parts.tasks.handle_peer(received, std::move(reply));
        return;
    }
    try {
        bool const is_known = this->take_message(target, received.body);
        reply.send({.status = is_known ? 204 : 404, .headers = {}, .body = {}});
    } catch (base::error const& failure) {
        base::event_line line{"peer_message_refused"};
        line.add("path", target).add("reason", failure.what());
        this->parts.shared.log.write(line);
        reply.send(error_response(400, "corrupt_data", failure.what()));
    }
}

bool peer_service::take_message(
    std::string const& target, std::string const& body)
{
    using namespace cluster;
    if (target == "/peer/heartbeat") {
        this->parts.membership.handle(decode<heartbeat>(body));
    } else if (target == "/peer/load") {
        this->parts.load(body);
    } else if (target == "/peer/handover-offer") {
        this->parts.ownership.handle(decode<handover_offer>(body));
    } else if (target == "/peer/handover-answer") {
        this->parts.ownership.handle(decode<handover_answer>(body));
    } else if (target == "/peer/taken") {
        std::istringstream in{body};
        std::string cell;
        formats::epoch_number epoch = 0;
        if (!(in >> cell >> epoch)) {
            throw base::error(
                base::error_code::corrupt_data, "no cell and epoch");
        }
        this->parts.taken(base::cell_id{cell}, epoch);
    } else if (target == "/peer/config/push") {
        this->parts.configuration.handle(decode<configuration_push>(body));
    } else if (target == "/peer/config/pull") {
        this->parts.configuration.handle(decode<configuration_pull>(body));
    } else if (target == "/peer/config/acknowledge") {
        this->parts.configuration.handle(
            decode<configuration_acknowledge>(body));
    } else {
        return false;
    }
    return true;
}

} // namespace foxtaillift::daemon
