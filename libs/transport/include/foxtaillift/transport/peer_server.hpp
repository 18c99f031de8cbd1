/// Accepts the HTTP/2 links of the other entry hosts.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/transport/io_fwd.hpp"
#include "foxtaillift/transport/responder.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace foxtaillift::transport
{

struct peer_server_options
{
    std::string address = "127.0.0.1:0"; ///< port 0: chosen by the system
    std::string key{};                   ///< pre-shared key, at least 16 bytes
    std::size_t connections = 1024;      ///< above: closed
    std::uint32_t streams = 256;         ///< open ones a connection
    std::size_t header_limit = 16UL * 1024;         ///< above: 431
    std::size_t body_limit = 8UL * 1024 * 1024;     ///< above: 413
    std::size_t buffer_limit = 256UL * 1024 * 1024; ///< all bodies; above: 503
    base::duration ping_interval = base::seconds(1);
    base::duration dead_after = base::seconds(3); ///< without a byte received
    base::duration handshake_timeout = base::seconds(3);
};

struct peer_server_statistics
{
    std::uint64_t connections_accepted = 0;
    std::uint64_t connections_refused = 0; ///< above the bound
    std::uint64_t handshakes_failed = 0;   ///< wrong key, no TLS, too slow
    std::uint64_t connections_dead = 0;    ///< silent for `dead_after`
    std::uint64_t requests = 0;
    std::uint64_t bad_requests = 0;
    std::uint64_t cancelled = 0; ///< by the client, or with its connection
    std::size_t connections_open = 0;
    std::size_t buffered_bytes = 0; ///< of request bodies
};

/// HTTP/2 over TLS 1.3 with a pre-shared key. A client with another key gets no
/// further than the handshake.
///
/// Functions are safe from any thread. Destroy it after `on_stopped` was called
/// or after the io_context has stopped.
class peer_server
{
public:
    /// Throws base::error if the address is malformed, the key is too short or
    /// the port is in use.
    peer_server(
        boost::asio::io_context& io,
        peer_server_options options,
        request_handler handler);
    peer_server(peer_server const&) = delete;
    peer_server& operator=(peer_server const&) = delete;
    ~peer_server();

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::size_t requests_in_progress() const;
    [[nodiscard]] peer_server_statistics statistics() const;

    /// Graceful stop: accepts no connection, announces the end by GOAWAY,
    /// answers every stream that the clients opened before they saw it, and
    /// closes. Calls `on_stopped` when the last connection is closed.
    void stop(std::function<void()> on_stopped);

    /// Closes all connections at once.
    void abort();

private:
    class implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace foxtaillift::transport
