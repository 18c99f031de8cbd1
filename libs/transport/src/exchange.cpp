#include "foxtaillift/transport/exchange.hpp"

#include <utility>

namespace foxtaillift::transport
{

std::string_view to_string(delivery outcome)
{
    switch (outcome) {
    case delivery::answered:
        return "answered";
    case delivery::not_sent:
        return "not_sent";
    case delivery::sent_unknown:
        return "sent_unknown";
    }
    return "invalid";
}

std::string_view to_string(failure_reason reason)
{
    switch (reason) {
    case failure_reason::none:
        return "none";
    case failure_reason::invalid_request:
        return "invalid_request";
    case failure_reason::queue_full:
        return "queue_full";
    case failure_reason::no_connection:
        return "no_connection";
    case failure_reason::no_listener:
        return "no_listener";
    case failure_reason::refused:
        return "refused";
    case failure_reason::deadline:
        return "deadline";
    case failure_reason::cancelled:
        return "cancelled";
    case failure_reason::connection_lost:
        return "connection_lost";
    case failure_reason::malformed_answer:
        return "malformed_answer";
    case failure_reason::incomplete_answer:
        return "incomplete_answer";
    case failure_reason::answer_too_large:
        return "answer_too_large";
    case failure_reason::stopped:
        return "stopped";
    }
    return "invalid";
}

exchange_handle::exchange_handle(std::weak_ptr<detail::cancellable> request)
    : target(std::move(request))
{}

void exchange_handle::cancel() const
{
    if (auto const request = this->target.lock()) {
        request->cancel();
    }
}

} // namespace foxtaillift::transport
