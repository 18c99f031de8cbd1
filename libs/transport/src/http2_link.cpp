#include "http2_link.hpp"

#include "http2_callbacks.hpp"
#include "http_text.hpp"
#include "socket_tools.hpp"

#include <algorithm>
#include <array>

namespace foxtaillift::transport
{

namespace
{

constexpr std::size_t read_size = 32UL * 1024;
/// Frames are collected up to this size for one write. What is in a write, or
/// unsent in the kernel, delays the first byte of a new stream.
constexpr std::size_t write_size = 64UL * 1024;
constexpr int unsent_limit = 128 * 1024;
constexpr std::int32_t stream_window = 1024 * 1024;
constexpr std::int32_t connection_window = 16 * 1024 * 1024;

ssize_t read_body(
    nghttp2_session* /*session*/,
    std::int32_t /*stream*/,
    std::uint8_t* buffer,
    std::size_t size,
    std::uint32_t* flags,
    nghttp2_data_source* source,
    void* /*link*/)
{
    auto& body = *static_cast<outgoing_body*>(source->ptr);
    if (body.is_cancelled) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    auto const count = std::min(size, body.bytes.size() - body.offset);
    std::copy_n(body.bytes.data() + body.offset, count, buffer);
    body.offset += count;
    if (body.offset == body.bytes.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

} // namespace

http2_link::http2_link(
    tcp::socket socket,
    std::shared_ptr<net::ssl::context> context,
    http2_limits link_limits)
    : stream(std::move(socket), *context)
    , limits(link_limits)
    , tls(std::move(context))
    , watch_timer(this->stream.get_executor())
    , close_timer(this->stream.get_executor())
{}

http2_link::~http2_link()
{
    nghttp2_session_del(this->session);
}

void http2_link::start(tls_role role)
{
    this->set_socket_options();
    this->session = make_session(role, *this);
    this->submit_settings();
    this->last_received = std::chrono::steady_clock::now();
    this->next_ping =
        this->last_received + this->limits.ping_interval.to_chrono();
    this->watch();
    this->read();
    this->flush();
}

void http2_link::set_socket_options()
{
    auto& socket = this->stream.lowest_layer();
    tune(socket, tcp::no_delay(true));
    tune(socket, unsent_option(unsent_limit));
    tune(
        socket,
        user_timeout_option(static_cast<int>(this->limits.dead_after.ms)));
}

void http2_link::submit_settings()
{
    std::array<nghttp2_settings_entry, 4> const entries{{
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, this->limits.streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
         static_cast<std::uint32_t>(this->limits.header)},
    }};
    nghttp2_submit_settings(
        this->session, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    nghttp2_session_set_local_window_size(
        this->session, NGHTTP2_FLAG_NONE, 0, connection_window);
}

void http2_link::read()
{
    this->scratch.resize(read_size);
    this->stream.async_read_some(
        net::buffer(this->scratch), [self = this->shared_from_this()](
                                        error_code failure, std::size_t bytes) {
            self->on_read(failure, bytes);
        });
}

void http2_link::on_read(error_code failure, std::size_t bytes)
{
    if (this->closed) {
        return;
    }
    if (failure) {
        this->close(link_end::lost, failure.message());
        return;
    }
    this->last_received = std::chrono::steady_clock::now();
    auto const used = nghttp2_session_mem_recv(
        this->session,
        reinterpret_cast<std::uint8_t const*>(this->scratch.data()), bytes);
    if (used < 0) {
        this->close(link_end::lost, nghttp2_strerror(static_cast<int>(used)));
        return;
    }
    this->flush();
    this->on_progress();
    if (!this->closed) {
        this->read();
    }
}

bool http2_link::has_output() const
{
    return this->is_writing || nghttp2_session_want_write(this->session) != 0;
}

void http2_link::flush()
{
    if (this->is_writing || this->closed || this->session == nullptr) {
        return;
    }
    this->output.clear();
    while (this->output.size() < write_size) {
        std::uint8_t const* bytes = nullptr;
        auto const count = nghttp2_session_mem_send(this->session, &bytes);
        if (count < 0) {
            this->close(
                link_end::lost, nghttp2_strerror(static_cast<int>(count)));
            return;
        }
        if (count == 0) {
            break;
        }
        this->output.append(
            reinterpret_cast<char const*>(bytes),
            static_cast<std::size_t>(count));
    }
    if (this->output.empty()) {
        return;
    }
    this->is_writing = true;
    net::async_write(
        this->stream, net::buffer(this->output),
        [self = this->shared_from_this()](error_code failure, std::size_t) {
            self->is_writing = false;
            if (self->closed) {
                return;
            }
            if (failure) {
                self->close(link_end::lost, failure.message());
                return;
            }
            self->flush();
            self->on_progress();
        });
}

void http2_link::watch()
{
    this->watch_timer.expires_at(std::min(
        this->next_ping,
        this->last_received + this->limits.dead_after.to_chrono()));
    this->watch_timer.async_wait(
        [weak = this->weak_from_this()](error_code failure) {
            auto const self = weak.lock();
            if (self && !failure && !self->closed) {
                self->on_watch();
            }
        });
}

void http2_link::on_watch()
{
    auto const now = std::chrono::steady_clock::now();
    auto const dead_after = this->limits.dead_after.to_chrono();
    if (now - this->watch_timer.expiry() > dead_after / 2) {
        // This process was paused, so its silence proves nothing.
        this->last_received = now;
    }
    if (now - this->last_received >= dead_after) {
        this->close(
            link_end::dead, "the peer was silent for " +
                                std::to_string(this->limits.dead_after.ms) +
                                " ms");
        return;
    }
    if (now >= this->next_ping) {
        this->next_ping = now + this->limits.ping_interval.to_chrono();
        nghttp2_submit_ping(this->session, NGHTTP2_FLAG_NONE, nullptr);
        this->flush();
    }
    this->watch();
}

void http2_link::close_after(
    base::duration limit, link_end end, std::string message)
{
    this->close_timer.expires_after(limit.to_chrono());
    this->close_timer.async_wait([weak = this->weak_from_this(), end,
                                  number = ++this->close_number,
                                  message = std::move(message)](error_code) {
        auto const self = weak.lock();
        if (self && self->close_number == number) {
            self->close(end, message);
        }
    });
}

void http2_link::cancel_close_after()
{
    ++this->close_number;
    this->close_timer.cancel();
}

void http2_link::close(link_end end, std::string const& message)
{
    if (this->closed) {
        return;
    }
    // Keeps the link alive while `on_closed` lets go of it.
    auto const self = this->shared_from_this();
    this->closed = true;
    this->watch_timer.cancel();
    this->cancel_close_after();
    close_socket(this->stream.lowest_layer());
    this->on_closed(end, message);
}

nghttp2_data_provider make_provider(outgoing_body& body)
{
    nghttp2_data_provider provider{};
    provider.source.ptr = &body;
    provider.read_callback = &read_body;
    return provider;
}

nghttp2_nv make_field(std::string_view name, std::string_view value)
{
    // nghttp2 copies the text unless told not to; its interface is not const.
    return {
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
        name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

void append_fields(std::vector<nghttp2_nv>& out, header_list const& headers)
{
    for (auto const& field : headers) {
        if (!is_connection_field(field.name) && is_valid_field(field)) {
            out.push_back(make_field(field.name, field.value));
        }
    }
}

std::size_t field_size(std::string_view name, std::string_view value)
{
    return name.size() + value.size() + 32;
}

} // namespace foxtaillift::transport
