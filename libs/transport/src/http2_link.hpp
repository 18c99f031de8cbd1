/// One HTTP/2 connection over TLS, common to both sides of a peer link.
#pragma once

#include "asio.hpp"
#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/transport/exchange.hpp"
#include "tls.hpp"

#include <nghttp2/nghttp2.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::transport
{

struct http2_limits
{
    std::uint32_t streams = 0; ///< that the other side may open
    std::size_t header = 0;
    base::duration ping_interval;
    base::duration dead_after;
};

enum class link_end
{
    finished, ///< closed by this side, with nothing open
    lost,     ///< closed or reset by the other side, or a protocol error
    dead,     ///< silent for too long
};

/// Runs on the strand of its socket and is kept alive by its outstanding
/// operations. Reads all the time: the receiver of a body never holds back the
/// connection window, so that a large stream cannot stop the others.
class http2_link : public std::enable_shared_from_this<http2_link>
{
public:
    http2_link(
        tcp::socket socket,
        std::shared_ptr<net::ssl::context> context,
        http2_limits link_limits);
    virtual ~http2_link();
    http2_link(http2_link const&) = delete;
    http2_link& operator=(http2_link const&) = delete;

    void close(link_end end, std::string const& message);
    [[nodiscard]] bool is_closed() const { return this->closed; }

protected:
    /// Makes the nghttp2 session, sends the settings and starts to read. The
    /// TLS handshake must have succeeded.
    void start(tls_role role);

    /// Sends the frames that are due.
    void flush();
    [[nodiscard]] bool has_output() const;

    /// Closes if the link has not been closed within the time.
    void close_after(base::duration limit, link_end end, std::string message);
    void cancel_close_after();

    // Called by nghttp2 while it processes input.
    virtual void on_begin_headers(nghttp2_frame const& frame) = 0;
    virtual void on_header(
        nghttp2_frame const& frame,
        std::string_view name,
        std::string_view value) = 0;
    virtual void on_data(std::int32_t stream, std::string_view bytes) = 0;
    virtual void on_frame(nghttp2_frame const& frame) = 0;
    virtual void on_stream_close(std::int32_t stream, std::uint32_t error) = 0;
    /// Before a frame is serialized, and when it cannot be sent.
    virtual void on_sending(nghttp2_frame const& frame) = 0;
    virtual void on_sent(nghttp2_frame const& frame) = 0;
    virtual void on_not_sent(nghttp2_frame const& frame) = 0;
    /// After input was processed or output was written.
    virtual void on_progress() = 0;
    virtual void on_closed(link_end end, std::string const& message) = 0;

    tls_stream stream;
    nghttp2_session* session = nullptr;
    http2_limits const limits;

private:
    friend struct http2_callbacks;

    void set_socket_options();
    void submit_settings();
    void read();
    void on_read(error_code failure, std::size_t bytes);
    void watch();
    void on_watch();

    std::shared_ptr<net::ssl::context> tls;
    net::steady_timer watch_timer;
    net::steady_timer close_timer;
    std::uint64_t close_number = 0; ///< ignores expiries after a cancellation
    std::chrono::steady_clock::time_point last_received;
    std::chrono::steady_clock::time_point next_ping;
    bool is_writing = false;
    bool closed = false;
    std::string scratch;
    std::string output;
};

/// A body that nghttp2 reads while it sends.
struct outgoing_body
{
    std::string bytes;
    std::size_t offset = 0;
    bool is_cancelled = false;
};

/// The body must live until its stream is closed.
nghttp2_data_provider make_provider(outgoing_body& body);

/// Fields of a header block as nghttp2 takes them. They refer to the given
/// text; connection fields and malformed ones are left out.
void append_fields(std::vector<nghttp2_nv>& out, header_list const& headers);
nghttp2_nv make_field(std::string_view name, std::string_view value);

/// What a field counts towards the limit of a header block (RFC 9113, 6.5.2).
std::size_t field_size(std::string_view name, std::string_view value);

} // namespace foxtaillift::transport
