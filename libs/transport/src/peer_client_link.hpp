/// One connection of the peer client.
#pragma once

#include "http2_link.hpp"
#include "peer_exchange.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace foxtaillift::transport
{

/// Told by a link of changes. Called on the strand of the client.
struct peer_link_events
{
    std::function<void()> on_up;       ///< requests can be submitted
    std::function<void()> on_draining; ///< takes no further requests
    std::function<void(link_end, std::string const&)> on_closed;
};

class peer_client_link : public http2_link
{
public:
    peer_client_link(
        peer_strand const& strand,
        std::shared_ptr<net::ssl::context> context,
        http2_limits link_limits,
        std::size_t answer_limit,
        peer_link_events link_events);

    /// `address` is also the authority that requests name.
    void connect(std::string_view address, base::duration timeout);

    /// False if the connection can open no further stream.
    bool submit(std::shared_ptr<peer_exchange> const& exchange);

    /// Takes no further requests; closes when the open ones have ended.
    void drain();

protected:
    void on_begin_headers(nghttp2_frame const& /*frame*/) override {}
    void on_header(
        nghttp2_frame const& frame,
        std::string_view name,
        std::string_view value) override;
    void on_data(std::int32_t number, std::string_view bytes) override;
    void on_frame(nghttp2_frame const& frame) override;
    void on_stream_close(std::int32_t number, std::uint32_t error) override;
    void on_sending(nghttp2_frame const& frame) override;
    void on_sent(nghttp2_frame const& /*frame*/) override {}
    void on_not_sent(nghttp2_frame const& frame) override;
    void on_progress() override;
    void on_closed(link_end end, std::string const& message) override;

private:
    std::shared_ptr<peer_exchange> find(std::int32_t number) const;
    void handshake();
    void reset(std::int32_t number);
    void abandon(std::int32_t number, failure_reason reason, char const* why);
    void begin_drain();

    std::size_t body_limit;
    std::string authority;
    peer_link_events events;
    bool is_up = false;
    bool is_draining = false;
    bool is_goaway_sent = false;
    std::map<std::int32_t, std::shared_ptr<peer_exchange>> streams;
};

} // namespace foxtaillift::transport
