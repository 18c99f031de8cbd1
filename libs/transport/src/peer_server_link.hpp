/// One accepted connection of the peer server.
#pragma once

#include "buffer_budget.hpp"
#include "foxtaillift/transport/peer_server.hpp"
#include "http2_link.hpp"
#include "progress_token.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace foxtaillift::transport
{

class peer_server_link;

/// What the connections of one peer server share.
class peer_server_core
{
public:
    peer_server_core(
        peer_server_options server_options, request_handler on_request);

    peer_server_options const options;
    request_handler const handler;
    buffer_budget budget;
    progress_counter in_progress;
    std::atomic<bool> is_draining{false};

    struct
    {
        std::atomic<std::uint64_t> accepted{0};
        std::atomic<std::uint64_t> refused{0};
        std::atomic<std::uint64_t> handshakes_failed{0};
        std::atomic<std::uint64_t> dead{0};
        std::atomic<std::uint64_t> requests{0};
        std::atomic<std::uint64_t> bad_requests{0};
        std::atomic<std::uint64_t> cancelled{0};
    } counters;

    /// False if the bound of connections is reached.
    bool add(std::shared_ptr<peer_server_link> const& link);
    void remove(peer_server_link const* link);
    [[nodiscard]] std::vector<std::shared_ptr<peer_server_link>> links() const;
    [[nodiscard]] std::size_t connections() const;
    /// Drains present and future connections.
    void drain_all();
    void abort_all();
    /// Calls `callback` as soon as no connection is left.
    void finish(std::function<void()> callback);

private:
    mutable std::mutex mutex;
    std::map<peer_server_link const*, std::weak_ptr<peer_server_link>> open;
    std::function<void()> on_stopped;
};

class peer_server_link : public http2_link
{
public:
    peer_server_link(
        std::shared_ptr<peer_server_core> server,
        std::string remote_address,
        tcp::socket socket,
        std::shared_ptr<net::ssl::context> context);
    ~peer_server_link() override;

    // Safe from any thread.
    void run();
    void drain();
    void abort();
    void answer(
        std::int32_t number,
        response message,
        std::shared_ptr<progress_token> in_progress);
    void watch_stream(std::int32_t number, std::function<void()> callback);

protected:
    void on_begin_headers(nghttp2_frame const& frame) override;
    void on_header(
        nghttp2_frame const& frame,
        std::string_view name,
        std::string_view value) override;
    void on_data(std::int32_t number, std::string_view bytes) override;
    void on_frame(nghttp2_frame const& frame) override;
    void on_stream_close(std::int32_t number, std::uint32_t error) override;
    void on_sending(nghttp2_frame const& /*frame*/) override {}
    void on_sent(nghttp2_frame const& frame) override;
    void on_not_sent(nghttp2_frame const& /*frame*/) override {}
    void on_progress() override;
    void on_closed(link_end end, std::string const& message) override;

private:
    struct open_stream
    {
        explicit open_stream(buffer_budget& budget)
            : share(budget)
        {}
        received_request message{};
        std::size_t header_size = 0;
        buffer_share share;
        bool is_dispatched = false;
        bool is_answered = false;
        bool is_input_ended = false;
        std::function<void()> on_disconnect{};
        std::shared_ptr<progress_token> token{};
        outgoing_body body{};
    };

    template <class Action>
    void post(Action action);
    open_stream* find(std::int32_t number);
    void begin_drain();
    void dispatch(std::int32_t number, open_stream& request);
    void refuse(
        std::int32_t number, open_stream& request, int status, char const* why);
    void submit(std::int32_t number, open_stream& request, response message);

    std::shared_ptr<peer_server_core> core;
    std::string remote;
    bool is_up = false;
    bool is_draining = false;
    bool is_final_goaway_sent = false;
    bool is_lingering = false;
    std::map<std::int32_t, open_stream> streams;
};

} // namespace foxtaillift::transport
