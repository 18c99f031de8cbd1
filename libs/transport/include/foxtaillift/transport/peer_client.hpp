/// The HTTP/2 link to one other entry host.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/transport/exchange.hpp"
#include "foxtaillift/transport/io_fwd.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace foxtaillift::transport
{

struct peer_client_options
{
    std::string address{};            ///< "10.0.0.2:7001"
    std::string key{};                ///< pre-shared key, at least 16 bytes
    std::size_t open_requests = 1024; ///< above: not_sent, queue_full
    std::size_t header_limit = 16UL * 1024;
    std::size_t body_limit = 8UL * 1024 * 1024;
    std::size_t buffer_limit = 64UL * 1024 * 1024; ///< all answers in progress
    base::duration connect_timeout = base::seconds(1); ///< with the handshake
    base::duration ping_interval = base::seconds(1);
    base::duration dead_after = base::seconds(3); ///< without a byte received
    base::duration backoff_first = base::milliseconds(100);
    base::duration backoff_limit = base::seconds(2);
};

struct peer_client_statistics
{
    std::uint64_t requests = 0;
    std::uint64_t connections_opened = 0;
    std::uint64_t connects_failed = 0;
    std::uint64_t connections_dead = 0; ///< silent for `dead_after`
    std::uint64_t late_or_cancelled = 0;
    bool is_connected = false;
    std::size_t open_requests = 0;
};

/// Multiplexes requests over one connection, which it opens at once and again
/// after each loss, with exponential backoff and full jitter.
///
/// Requests wait while a connection is being opened and fail as `not_sent` if
/// that fails; between two attempts they fail at once. When a connection is
/// lost or silent for `dead_after`, requests of which bytes may have left fail
/// as `sent_unknown`, the others as `not_sent`. A stream that the server states
/// not to have processed (GOAWAY, REFUSED_STREAM) is `not_sent` as well.
///
/// Functions are safe from any thread.
class peer_client
{
public:
    /// Throws base::error if the address is malformed or the key too short.
    peer_client(boost::asio::io_context& io, peer_client_options options);
    peer_client(peer_client const&) = delete;
    peer_client& operator=(peer_client const&) = delete;
    /// Fails open requests; their callbacks follow on the io_context.
    ~peer_client();

    /// Cancelling and an expired `timeout` reset the request's stream only.
    exchange_handle
    send(request message, base::duration timeout, exchange_callback callback);

    /// Graceful stop: refuses new requests, lets open ones end, then closes and
    /// calls `on_stopped`.
    void stop(std::function<void()> on_stopped);

    [[nodiscard]] peer_client_statistics statistics() const;

private:
    class implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace foxtaillift::transport
