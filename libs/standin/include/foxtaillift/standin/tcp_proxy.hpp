/// Fault-injecting TCP proxy with one target.
#pragma once

#include "foxtaillift/standin/http.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace foxtaillift::standin
{

struct tcp_proxy_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: chosen by the system
    std::uint16_t control_port = 0;
    std::string target;                 ///< "127.0.0.1:4000"
    std::size_t max_connections = 4096; ///< one more is closed at once
};

/// Faults that tests switch on through `POST /control` on the control port;
/// only the given members change.
struct proxy_faults
{
    std::string direction = "both";   ///< of delay and cut: both, to_target,
                                      ///< to_client
    std::int64_t delay_ms = 0;        ///< before each chunk of bytes
    std::int64_t cut_after_bytes = 0; ///< closes a connection after n bytes in
                                      ///< one direction; 0: never
    std::string stall = "none"; ///< reads no bytes: none, to_target, to_client
    /// Discards all bytes. Connections open at that time stay silent for good.
    bool drop_silently = false;
    bool reset = false;  ///< resets open connections once, and new ones
    bool refuse = false; ///< does not listen
    /// "pass": drop_silently and reset leave new connections alone.
    std::string new_connections = "same";
    /// Replaces the target of new connections, for targets that start later
    /// than the proxy.
    std::string target;
};

class tcp_proxy
{
public:
    tcp_proxy(boost::asio::io_context& context, tcp_proxy_options options);
    ~tcp_proxy();
    tcp_proxy(tcp_proxy const&) = delete;
    tcp_proxy& operator=(tcp_proxy const&) = delete;

    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::string control_address() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace foxtaillift::standin
