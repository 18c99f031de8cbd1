#include "peer_client_link.hpp"

#include "address.hpp"

#include <charconv>

namespace foxtaillift::transport
{

peer_client_link::peer_client_link(
    peer_strand const& strand,
    std::shared_ptr<net::ssl::context> context,
    http2_limits link_limits,
    std::size_t answer_limit,
    peer_link_events link_events)
    : http2_link(tcp::socket{strand}, std::move(context), link_limits)
    , body_limit(answer_limit)
    , events(std::move(link_events))
{}

void peer_client_link::connect(std::string_view address, base::duration timeout)
{
    this->authority = address;
    this->close_after(timeout, link_end::lost, "the connect timed out");
    this->stream.lowest_layer().async_connect(
        require_address(address),
        [this, self = this->shared_from_this()](error_code failure) {
            if (failure) {
                this->close(link_end::lost, failure.message());
            } else if (!this->is_closed()) {
                this->handshake();
            }
        });
}

void peer_client_link::handshake()
{
    this->stream.async_handshake(
        net::ssl::stream_base::client,
        [this, self = this->shared_from_this()](error_code failure) {
            if (failure || !is_authenticated(this->stream)) {
                this->close(
                    link_end::lost,
                    "TLS handshake failed: " + failure.message());
            }
            if (this->is_closed()) {
                return;
            }
            this->cancel_close_after();
            this->start(tls_role::client);
            this->is_up = true;
            this->events.on_up();
        });
}

bool peer_client_link::submit(std::shared_ptr<peer_exchange> const& exchange)
{
    if (this->is_closed() || this->is_draining || !this->is_up) {
        return false;
    }
    auto const& message = exchange->message;
    std::vector<nghttp2_nv> fields{
        make_field(":method", message.method), make_field(":scheme", "https"),
        make_field(":authority", this->authority),
        make_field(":path", message.target)};
    append_fields(fields, message.headers);
    auto const provider = make_provider(exchange->body);
    auto const number = nghttp2_submit_request(
        this->session, nullptr, fields.data(), fields.size(),
        exchange->body.bytes.empty() ? nullptr : &provider, nullptr);
    if (number < 0) {
        // The numbers of this connection are used up.
        this->begin_drain();
        return false;
    }
    this->streams[number] = exchange;
    exchange->hold([weak = this->weak_from_this(), number](failure_reason) {
        if (auto const self = weak.lock()) {
            static_cast<peer_client_link&>(*self).reset(number);
        }
    });
    this->flush();
    return true;
}

void peer_client_link::reset(std::int32_t number)
{
    if (!this->is_closed()) {
        nghttp2_submit_rst_stream(
            this->session, NGHTTP2_FLAG_NONE, number, NGHTTP2_CANCEL);
        this->flush();
    }
}

void peer_client_link::drain()
{
    if (this->is_up) {
        this->is_draining = true;
        this->on_progress();
    } else {
        this->close(link_end::finished, "stopped");
    }
}

void peer_client_link::begin_drain()
{
    if (!this->is_draining) {
        this->is_draining = true;
        this->events.on_draining();
    }
}

std::shared_ptr<peer_exchange> peer_client_link::find(std::int32_t number) const
{
    auto const found = this->streams.find(number);
    if (found == this->streams.end() || found->second->is_finished()) {
        return nullptr;
    }
    return found->second;
}

void peer_client_link::on_header(
    nghttp2_frame const& frame, std::string_view name, std::string_view value)
{
    auto const exchange = this->find(frame.hd.stream_id);
    if (!exchange) {
        return;
    }
    exchange->header_size += field_size(name, value);
    if (exchange->header_size > this->limits.header) {
        this->abandon(
            frame.hd.stream_id, failure_reason::answer_too_large,
            "the header block of the answer is too large");
    } else if (name == ":status") {
        std::from_chars(
            value.data(), value.data() + value.size(), exchange->answer.status);
    } else if (!name.starts_with(':')) {
        exchange->answer.headers.push_back(
            {std::string{name}, std::string{value}});
    }
}

void peer_client_link::on_data(std::int32_t number, std::string_view bytes)
{
    auto const exchange = this->find(number);
    if (!exchange) {
        return;
    }
    auto& body = exchange->answer.body;
    if (body.size() + bytes.size() > this->body_limit) {
        this->abandon(
            number, failure_reason::answer_too_large,
            "the body of the answer is too large");
    } else if (!exchange->share.grow_to(body.size() + bytes.size())) {
        this->abandon(
            number, failure_reason::answer_too_large,
            "no memory is free for the body of the answer");
    } else {
        body.append(bytes);
    }
}

void peer_client_link::abandon(
    std::int32_t number, failure_reason reason, char const* why)
{
    nghttp2_submit_rst_stream(
        this->session, NGHTTP2_FLAG_NONE, number, NGHTTP2_CANCEL);
    this->streams.at(number)->fail(reason, why);
}

void peer_client_link::on_frame(nghttp2_frame const& frame)
{
    if (frame.hd.type == NGHTTP2_GOAWAY) {
        this->begin_drain();
        return;
    }
    auto const exchange = this->find(frame.hd.stream_id);
    if (!exchange) {
        return;
    }
    bool const is_message =
        frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
    if (is_message && (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        exchange->succeed();
    } else if (
        frame.hd.type == NGHTTP2_HEADERS &&
        exchange->answer.status / 100 == 1) {
        exchange->answer = {.status = 0, .headers = {}, .body = {}};
    }
}

void peer_client_link::on_sending(nghttp2_frame const& frame)
{
    if (frame.hd.type == NGHTTP2_HEADERS) {
        if (auto const exchange = this->find(frame.hd.stream_id)) {
            exchange->may_have_left = true;
        }
    }
}

void peer_client_link::on_not_sent(nghttp2_frame const& frame)
{
    if (frame.hd.type == NGHTTP2_HEADERS) {
        if (auto const exchange = this->find(frame.hd.stream_id)) {
            exchange->fail_unprocessed(
                failure_reason::refused, "the peer takes no further requests");
        }
    }
}

void peer_client_link::on_stream_close(std::int32_t number, std::uint32_t error)
{
    auto const found = this->streams.find(number);
    if (found == this->streams.end()) {
        return;
    }
    auto const exchange = std::move(found->second);
    this->streams.erase(found);
    if (exchange->is_finished()) {
        return;
    }
    // Also the error of streams above the last one that a GOAWAY names.
    if (error == NGHTTP2_REFUSED_STREAM) {
        exchange->fail_unprocessed(
            failure_reason::refused, "the peer did not process the request");
        return;
    }
    bool const has_part = exchange->answer.status != 0;
    exchange->fail(
        has_part ? failure_reason::incomplete_answer
                 : failure_reason::connection_lost,
        std::string{"the peer reset the stream: "} +
            nghttp2_http2_strerror(error));
}

void peer_client_link::on_progress()
{
    if (!this->is_draining || !this->streams.empty() || this->is_closed()) {
        return;
    }
    if (!this->is_goaway_sent) {
        this->is_goaway_sent = true;
        nghttp2_submit_goaway(
            this->session, NGHTTP2_FLAG_NONE, 0, NGHTTP2_NO_ERROR, nullptr, 0);
        this->flush();
    }
    if (!this->has_output()) {
        this->close(link_end::finished, "drained");
    }
}

void peer_client_link::on_closed(link_end end, std::string const& message)
{
    // First, so that the callbacks of the requests find the client's state
    // up to date.
    auto const report = std::move(this->events.on_closed);
    this->events = {};
    report(end, message);
    auto const open = std::exchange(this->streams, {});
    for (auto const& [number, exchange] : open) {
        bool const has_part = exchange->answer.status != 0;
        exchange->fail(
            has_part ? failure_reason::incomplete_answer
                     : failure_reason::connection_lost,
            message);
    }
}

} // namespace foxtaillift::transport
