/// The way to answer one received request.
#pragma once

#include "foxtaillift/transport/message.hpp"

#include <functional>
#include <memory>

namespace foxtaillift::transport
{

namespace detail
{
/// Implemented by the servers; all functions are safe from any thread.
class response_channel
{
public:
    response_channel() = default;
    response_channel(response_channel const&) = delete;
    response_channel& operator=(response_channel const&) = delete;
    virtual ~response_channel() = default;
    virtual void deliver(response answer) = 0;
    virtual void watch(std::function<void()> on_disconnect) = 0;
};
} // namespace detail

/// Answers one request, now or later and from any thread. A responder that is
/// destroyed unused answers 500, so that no request stays open.
///
///     void handle(received_request request, responder reply)
///     {
///         reply.send({.status = 200, .body = "hello"});
///     }
class responder
{
public:
    responder() = default;
    explicit responder(std::shared_ptr<detail::response_channel> channel);
    responder(responder&&) noexcept = default;
    responder& operator=(responder&& other) noexcept;
    responder(responder const&) = delete;
    responder& operator=(responder const&) = delete;
    ~responder();

    /// Sends the answer. Only the first call has an effect. Nothing happens if
    /// the sender of the request is gone.
    void send(response answer);

    /// Calls `callback` once if the sender of the request disconnects or
    /// cancels before the answer is complete. It may be called at once.
    /// An HTTP/1.1 caller that only closes its sending side counts as
    /// disconnected; the answer is still written to it.
    void on_disconnect(std::function<void()> callback);

private:
    std::shared_ptr<detail::response_channel> target;
};

/// Called for each whole request, on a thread of the io_context. Must not block
/// for long and must not throw.
using request_handler = std::function<void(received_request, responder)>;

} // namespace foxtaillift::transport
