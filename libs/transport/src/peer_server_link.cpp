#include "peer_server_link.hpp"

#include "http_text.hpp"

#include <array>
#include <cstring>

namespace foxtaillift::transport
{

namespace
{

/// Content of the PING whose answer shows that the client has seen the
/// announcement of the stop.
constexpr std::array<std::uint8_t, 8> drain_mark{'d', 'r', 'a', 'i',
                                                 'n', 'i', 'n', 'g'};
/// A client closes the connection after the last answer. This is the bound of
/// waiting for it.
constexpr base::duration linger_time = base::seconds(2);

class stream_channel : public detail::response_channel
{
public:
    stream_channel(
        std::shared_ptr<peer_server_link> connection,
        std::int32_t stream,
        progress_counter counter)
        : link(std::move(connection))
        , number(stream)
        , token(std::make_shared<progress_token>(std::move(counter)))
    {}
    void deliver(response answer) override
    {
        this->link->answer(
            this->number, std::move(answer), std::move(this->token));
    }
    void watch(std::function<void()> on_disconnect) override
    {
        this->link->watch_stream(this->number, std::move(on_disconnect));
    }

private:
    std::shared_ptr<peer_server_link> link;
    std::int32_t number;
    std::shared_ptr<progress_token> token;
};

bool ends_stream(nghttp2_frame const& frame)
{
    return (frame.hd.type == NGHTTP2_HEADERS ||
            frame.hd.type == NGHTTP2_DATA) &&
           (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

} // namespace

peer_server_link::peer_server_link(
    std::shared_ptr<peer_server_core> server,
    std::string remote_address,
    tcp::socket socket,
    std::shared_ptr<net::ssl::context> context)
    : http2_link(
          std::move(socket),
          std::move(context),
          {.streams = server->options.streams,
           .header = server->options.header_limit,
           .ping_interval = server->options.ping_interval,
           .dead_after = server->options.dead_after})
    , core(std::move(server))
    , remote(std::move(remote_address))
{}

peer_server_link::~peer_server_link()
{
    this->core->remove(this);
}

template <class Action>
void peer_server_link::post(Action action)
{
    net::post(
        this->stream.get_executor(), [self = this->shared_from_this(),
                                      action = std::move(action)]() mutable {
            action(static_cast<peer_server_link&>(*self));
        });
}

void peer_server_link::run()
{
    this->post([](peer_server_link& self) {
        self.close_after(
            self.core->options.handshake_timeout, link_end::lost,
            "the handshake took too long");
        self.stream.async_handshake(
            net::ssl::stream_base::server,
            [link = self.shared_from_this(), &self](error_code failure) {
                if (failure || !is_authenticated(self.stream)) {
                    ++self.core->counters.handshakes_failed;
                    self.close(link_end::lost, failure.message());
                }
                if (self.is_closed()) {
                    return;
                }
                self.cancel_close_after();
                self.is_up = true;
                self.start(tls_role::server);
                if (self.core->is_draining) {
                    self.begin_drain();
                }
            });
    });
}

void peer_server_link::drain()
{
    this->post([](peer_server_link& self) {
        if (self.is_up) {
            self.begin_drain();
        }
    });
}

void peer_server_link::begin_drain()
{
    if (this->is_draining || this->is_closed()) {
        return;
    }
    this->is_draining = true;
    // The notice allows streams that the client has opened before it sees the
    // notice. The final GOAWAY follows when the PING comes back.
    nghttp2_submit_shutdown_notice(this->session);
    nghttp2_submit_ping(this->session, NGHTTP2_FLAG_NONE, drain_mark.data());
    this->flush();
}

void peer_server_link::abort()
{
    this->post([](peer_server_link& self) {
        self.close(link_end::finished, "aborted");
    });
}

peer_server_link::open_stream* peer_server_link::find(std::int32_t number)
{
    auto const found = this->streams.find(number);
    return found == this->streams.end() ? nullptr : &found->second;
}

void peer_server_link::on_begin_headers(nghttp2_frame const& frame)
{
    if (frame.hd.type == NGHTTP2_HEADERS &&
        frame.headers.cat == NGHTTP2_HCAT_REQUEST) {
        auto const added =
            this->streams.try_emplace(frame.hd.stream_id, this->core->budget);
        added.first->second.message.remote_address = this->remote;
    }
}

void peer_server_link::on_header(
    nghttp2_frame const& frame, std::string_view name, std::string_view value)
{
    auto* const request = this->find(frame.hd.stream_id);
    if (request == nullptr || request->is_answered || request->is_dispatched) {
        return;
    }
    request->header_size += field_size(name, value);
    if (request->header_size > this->core->options.header_limit) {
        this->refuse(
            frame.hd.stream_id, *request, 431, "the header block is too large");
    } else if (name == ":method") {
        request->message.method = value;
    } else if (name == ":path") {
        request->message.target = value;
    } else if (name == ":authority") {
        request->message.headers.push_back({"host", std::string{value}});
    } else if (!name.starts_with(':')) {
        request->message.headers.push_back(
            {std::string{name}, std::string{value}});
    }
}

void peer_server_link::on_data(std::int32_t number, std::string_view bytes)
{
    auto* const request = this->find(number);
    if (request == nullptr || request->is_answered) {
        return;
    }
    auto& body = request->message.body;
    if (body.size() + bytes.size() > this->core->options.body_limit) {
        this->refuse(number, *request, 413, "the body is too large");
    } else if (!request->share.grow_to(body.size() + bytes.size())) {
        this->refuse(number, *request, 503, "no memory for the body is free");
    } else {
        body.append(bytes);
    }
}

void peer_server_link::on_frame(nghttp2_frame const& frame)
{
    if (frame.hd.type == NGHTTP2_PING &&
        (frame.hd.flags & NGHTTP2_FLAG_ACK) != 0 && this->is_draining &&
        std::memcmp(
            frame.ping.opaque_data, drain_mark.data(), drain_mark.size()) ==
            0) {
        nghttp2_submit_goaway(
            this->session, NGHTTP2_FLAG_NONE,
            nghttp2_session_get_last_proc_stream_id(this->session),
            NGHTTP2_NO_ERROR, nullptr, 0);
        this->is_final_goaway_sent = true;
        return;
    }
    auto* const request = this->find(frame.hd.stream_id);
    if (request == nullptr || !ends_stream(frame)) {
        return;
    }
    request->is_input_ended = true;
    if (!request->is_answered && !request->is_dispatched) {
        this->dispatch(frame.hd.stream_id, *request);
    }
}

void peer_server_link::dispatch(std::int32_t number, open_stream& request)
{
    request.is_dispatched = true;
    ++this->core->counters.requests;
    auto channel = std::make_shared<stream_channel>(
        std::static_pointer_cast<peer_server_link>(this->shared_from_this()),
        number, this->core->in_progress);
    this->core->handler(
        std::move(request.message), responder{std::move(channel)});
}

void peer_server_link::refuse(
    std::int32_t number, open_stream& request, int status, char const* why)
{
    ++this->core->counters.bad_requests;
    request.message = {};
    request.share.clear();
    this->submit(number, request, make_refusal(status, why));
}

void peer_server_link::answer(
    std::int32_t number,
    response message,
    std::shared_ptr<progress_token> in_progress)
{
    this->post([number, message = std::move(message),
                in_progress =
                    std::move(in_progress)](peer_server_link& self) mutable {
        auto* const request = self.find(number);
        if (self.is_closed() || request == nullptr || request->is_answered) {
            return;
        }
        request->token = std::move(in_progress);
        self.submit(number, *request, std::move(message));
        self.flush();
        self.on_progress();
    });
}

void peer_server_link::submit(
    std::int32_t number, open_stream& request, response message)
{
    request.is_answered = true;
    request.on_disconnect = nullptr;
    if (message.status < 200 || message.status > 999) {
        message = {.status = 500, .headers = {}, .body = {}};
    }
    request.body.bytes =
        may_have_body(message.status) ? std::move(message.body) : std::string{};
    auto const status = std::to_string(message.status);
    std::vector<nghttp2_nv> fields{make_field(":status", status)};
    append_fields(fields, message.headers);
    auto const provider = make_provider(request.body);
    nghttp2_submit_response(
        this->session, number, fields.data(), fields.size(),
        request.body.bytes.empty() ? nullptr : &provider);
}

void peer_server_link::on_sent(nghttp2_frame const& frame)
{
    // An answer before the end of the request, to a refused one: the client
    // need not send the rest.
    auto* const request = this->find(frame.hd.stream_id);
    if (request != nullptr && ends_stream(frame) && !request->is_input_ended) {
        nghttp2_submit_rst_stream(
            this->session, NGHTTP2_FLAG_NONE, frame.hd.stream_id,
            NGHTTP2_NO_ERROR);
    }
}

void peer_server_link::watch_stream(
    std::int32_t number, std::function<void()> callback)
{
    this->post([number, callback = std::move(callback)](
                   peer_server_link& self) mutable {
        auto* const request = self.find(number);
        if (request == nullptr) {
            callback();
        } else if (!request->is_answered) {
            request->on_disconnect = std::move(callback);
        }
    });
}

void peer_server_link::on_stream_close(
    std::int32_t number, std::uint32_t /*error*/)
{
    auto const found = this->streams.extract(number);
    if (found.empty()) {
        return;
    }
    auto& request = found.mapped();
    if (request.is_dispatched && !request.is_answered) {
        ++this->core->counters.cancelled;
        if (request.on_disconnect) {
            request.on_disconnect();
        }
    }
}

void peer_server_link::on_progress()
{
    if (this->is_final_goaway_sent && !this->is_lingering &&
        this->streams.empty() && !this->has_output()) {
        this->is_lingering = true;
        this->close_after(linger_time, link_end::finished, "stopped");
    }
}

void peer_server_link::on_closed(link_end end, std::string const& /*message*/)
{
    if (end == link_end::dead) {
        ++this->core->counters.dead;
    }
    auto const open = std::exchange(this->streams, {});
    for (auto const& [number, request] : open) {
        if (request.is_dispatched && !request.is_answered) {
            ++this->core->counters.cancelled;
            if (request.on_disconnect) {
                request.on_disconnect();
            }
        }
    }
    this->core->remove(this);
}

} // namespace foxtaillift::transport
