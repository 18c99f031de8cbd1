/// Result of sending a request: what is certain about its delivery.
#pragma once

#include "foxtaillift/transport/message.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace foxtaillift::transport
{

enum class delivery
{
    answered,     ///< the whole answer arrived
    not_sent,     ///< certainly not executed: no byte left, or the peer's
                  ///< protocol states that it did not process the request
    sent_unknown, ///< bytes may have left and no whole answer arrived
};

/// Why there is no answer.
enum class failure_reason
{
    none,
    invalid_request,   ///< malformed address or header, or above a limit
    queue_full,        ///< too many requests wait for a connection
    no_connection,     ///< cannot connect, or waiting to connect again
    no_listener,       ///< its host answered that no process listens there
    refused,           ///< the peer refused the stream without processing it
    deadline,          ///< the time of the request ran out
    cancelled,         ///< by the handle
    connection_lost,   ///< closed, reset or silent
    malformed_answer,  ///< not HTTP, or a body of unstated length
    incomplete_answer, ///< the body ended early
    answer_too_large,  ///< header or body above the limit
    stopped,           ///< the client or pool was stopped
};

std::string_view to_string(delivery outcome);
std::string_view to_string(failure_reason reason);

struct exchange_result
{
    delivery outcome = delivery::sent_unknown;
    failure_reason reason = failure_reason::none;
    std::string message{}; ///< details of the failure, for logs
    response answer{};     ///< meaningful only if `answered`
};

/// Called exactly once for each request, on a thread of the io_context and
/// never from within the function that sends. Must not throw or be empty.
using exchange_callback = std::function<void(exchange_result)>;

namespace detail
{
class cancellable
{
public:
    cancellable() = default;
    cancellable(cancellable const&) = delete;
    cancellable& operator=(cancellable const&) = delete;
    virtual ~cancellable() = default;
    virtual void cancel() = 0;
};
} // namespace detail

/// Refers to a request in progress. Copies refer to the same request. May
/// outlive the request and its client.
class exchange_handle
{
public:
    exchange_handle() = default;
    explicit exchange_handle(std::weak_ptr<detail::cancellable> request);

    /// Ends the request with `failure_reason::cancelled`, unless it has ended.
    /// The callback still follows. Safe from any thread.
    void cancel() const;

private:
    std::weak_ptr<detail::cancellable> target;
};

} // namespace foxtaillift::transport
