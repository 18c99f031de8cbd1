#include "http_session.hpp"

#include "http_channel.hpp"
#include "http_text.hpp"
#include "socket_tools.hpp"

namespace foxtaillift::transport
{

namespace
{

/// An ordinary request arrives with one read.
constexpr std::size_t header_read_size = 4UL * 1024;
/// The buffer exists as long as the caller sends nothing, for each connection.
constexpr std::size_t body_read_size = 16UL * 1024;
/// After the last answer input is discarded for this long. Closing with unread
/// input would reset the connection, and the answer could be lost with it.
constexpr base::duration linger_time = base::seconds(2);

} // namespace

template <class Stream>
template <class... Arguments>
http_session<Stream>::http_session(
    std::shared_ptr<http_server_core> server,
    std::string remote_address,
    Arguments&&... arguments)
    : core(std::move(server))
    , remote(std::move(remote_address))
    , stream(std::forward<Arguments>(arguments)...)
    , timer(this->stream.get_executor())
    , reader({this->core->options.header_limit, this->core->options.body_limit})
{}

template <class Stream>
http_session<Stream>::~http_session()
{
    this->core->hold(*this, 0);
    this->core->remove(this);
}

template <class Stream>
void http_session<Stream>::start()
{
    this->post([](http_session& self) {
        self.progress.begin(self.core->clock.now());
        self.note_standing();
        tune(self.socket(), tcp::no_delay(true));
        if constexpr (std::is_same_v<Stream, tls_stream>) {
            self.handshake();
        } else {
            self.state = phase::reading;
            self.arm_for_reading();
            self.read();
        }
    });
}

template <class Stream>
void http_session<Stream>::handshake()
{
    if constexpr (std::is_same_v<Stream, tls_stream>) {
        this->arm(this->core->options.header_timeout);
        this->stream.async_handshake(
            net::ssl::stream_base::server,
            [self = this->shared_from_this()](error_code failure) {
                if (failure || !is_authenticated(self->stream)) {
                    ++self->core->counters.handshakes_failed;
                    self->close();
                    return;
                }
                if (self->state == phase::closed) {
                    return;
                }
                self->state = phase::reading;
                self->arm_for_reading();
                self->read();
            });
    }
}

template <class Stream>
void http_session<Stream>::refuse(int status, std::string_view reason)
{
    auto message = make_refusal(status, reason);
    this->post([message = std::move(message)](http_session& self) mutable {
        if constexpr (std::is_same_v<Stream, tls_stream>) {
            self.close();
        } else {
            self.fail(std::move(message));
        }
    });
}

template <class Stream>
void http_session<Stream>::read()
{
    if (this->is_input_ended || this->state == phase::closed) {
        return;
    }
    if (!this->is_reading) {
        this->prepare_scratch();
    }
    if (this->state != phase::reading) {
        this->count();
    } else if (!this->try_count()) {
        this->refuse_for_memory();
        return;
    }
    if (this->is_reading) {
        return;
    }
    this->is_reading = true;
    this->stream.async_read_some(
        net::buffer(this->scratch.get(), this->scratch_size),
        [self =
             this->shared_from_this()](error_code failure, std::size_t bytes) {
            self->is_reading = false;
            self->on_read(failure, bytes);
        });
}

template <class Stream>
void http_session<Stream>::prepare_scratch()
{
    bool const is_in_body =
        this->state == phase::reading && this->reader.is_in_body();
    auto const size = is_in_body ? body_read_size : header_read_size;
    if (size != this->scratch_size) {
        this->scratch.reset();
        this->scratch = std::make_unique_for_overwrite<char[]>(size);
        this->scratch_size = size;
    }
}

template <class Stream>
void http_session<Stream>::read_ahead()
{
    if (this->input.size() < this->core->options.header_limit &&
        this->try_count()) {
        this->read();
    }
}

template <class Stream>
void http_session<Stream>::on_read(error_code failure, std::size_t bytes)
{
    if (this->state == phase::closed) {
        return;
    }
    bool const is_dropped = failure == net::error::operation_aborted;
    if (failure && !is_dropped) {
        this->on_end_of_input(failure);
        return;
    }
    if (is_dropped || this->state == phase::lingering) {
        this->read();
        return;
    }
    this->input.append(this->scratch.get(), bytes);
    if (this->state == phase::reading) {
        this->note_received(bytes);
        this->advance();
    } else {
        this->read_ahead();
    }
}

template <class Stream>
void http_session<Stream>::on_end_of_input(error_code failure)
{
    this->is_input_ended = true;
    bool const is_working =
        this->state == phase::handling || this->state == phase::writing;
    if (this->state == phase::handling) {
        ++this->core->counters.disconnects;
        this->notify_disconnect();
    }
    // After a plain end of input the caller may still read the answer.
    if (!is_working || failure != net::error::eof) {
        this->close();
    }
}

template <class Stream>
void http_session<Stream>::advance()
{
    while (this->state == phase::reading) {
        switch (this->reader.consume(this->input)) {
        case read_progress::need_more:
            this->arm_for_reading();
            this->trim_input();
            this->note_standing();
            this->read();
            return;
        case read_progress::header_done:
            this->on_header_done();
            break;
        case read_progress::complete:
            this->dispatch();
            return;
        case read_progress::failed:
            this->fail(this->reader.error());
            return;
        }
    }
}

template <class Stream>
void http_session<Stream>::on_header_done()
{
    this->is_header_timed = false;
    this->arm(this->core->options.body_timeout);
    if (!this->reader.expects_continue() || !this->input.empty()) {
        return;
    }
    // The wait for this write keeps it apart from the answer.
    this->state = phase::writing;
    static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    net::async_write(
        this->stream, net::buffer(text.data(), text.size()),
        [self = this->shared_from_this()](error_code failure, std::size_t) {
            if (self->state == phase::closed) {
                return;
            }
            if (failure) {
                self->close();
                return;
            }
            self->state = phase::reading;
            self->advance();
        });
}

template <class Stream>
void http_session<Stream>::dispatch()
{
    this->timer.cancel();
    ++this->timer_number;
    this->state = phase::handling;
    this->note_standing();
    this->keeps_alive = this->reader.keeps_alive();
    this->handled = this->reader.held();
    auto message = this->reader.take();
    this->trim_input();
    if (!this->try_count()) {
        this->refuse_for_memory();
        return;
    }
    ++this->core->counters.requests;
    message.remote_address = this->remote;
    this->is_head = message.method == "HEAD";
    ++this->request_number;
    auto channel = std::make_shared<http_channel>(
        this->shared_from_this(), this->request_number,
        this->core->in_progress);
    this->core->handler(std::move(message), responder{std::move(channel)});
    this->read_ahead();
}

template <class Stream>
void http_session<Stream>::answer(
    std::uint64_t number,
    response message,
    std::shared_ptr<progress_token> in_progress)
{
    this->post([number, message = std::move(message),
                in_progress =
                    std::move(in_progress)](http_session& self) mutable {
        if (self.state != phase::handling || self.request_number != number) {
            return;
        }
        self.on_disconnect = nullptr;
        self.token = std::move(in_progress);
        bool const is_last = !self.keeps_alive || self.is_input_ended ||
                             message.closes_connection ||
                             (self.input.empty() && (self.core->is_draining()));
        self.write(std::move(message), is_last);
    });
}

template <class Stream>
void http_session<Stream>::watch(
    std::uint64_t number, std::function<void()> callback)
{
    this->post(
        [number, callback = std::move(callback)](http_session& self) mutable {
            if (self.request_number != number) {
                return;
            }
            if (self.state == phase::closed ||
                (self.state == phase::handling && self.is_input_ended)) {
                callback();
            } else if (self.state == phase::handling) {
                self.on_disconnect = std::move(callback);
            }
        });
}

template <class Stream>
void http_session<Stream>::fail(response message)
{
    ++this->core->counters.bad_requests;
    this->is_head = false;
    this->drop_request();
    this->write(std::move(message), true);
}

template <class Stream>
void http_session<Stream>::write(response message, bool is_last)
{
    this->state = phase::writing;
    this->arm(this->core->options.write_timeout);
    if (message.status < 200 || message.status > 999) {
        message = {.status = 500, .headers = {}, .body = {}};
    }
    this->head_out = make_response_head(message, is_last, this->is_head);
    this->body_out.clear();
    if (!this->is_head && may_have_body(message.status)) {
        this->body_out = std::move(message.body);
    }
    this->count();
    this->note_standing();
    std::array<net::const_buffer, 2> const buffers{
        net::buffer(this->head_out), net::buffer(this->body_out)};
    net::async_write(
        this->stream, buffers,
        [self = this->shared_from_this(),
         is_last](error_code failure, std::size_t) {
            self->on_written(failure, is_last);
        });
}

template <class Stream>
void http_session<Stream>::on_written(error_code failure, bool is_last)
{
    this->token.reset();
    release(this->head_out);
    release(this->body_out);
    this->handled = 0;
    if (this->state == phase::closed) {
        return;
    }
    this->count();
    if (failure) {
        ++this->core->counters.disconnects;
        this->close();
    } else if (is_last || this->is_input_ended) {
        this->linger();
    } else {
        this->state = phase::reading;
        this->is_header_timed = false;
        this->is_request_begun = false;
        this->progress.begin(this->core->clock.now());
        if (!this->input.empty()) {
            this->note_received(this->input.size());
        }
        this->advance();
    }
}

template <class Stream>
void http_session<Stream>::arm_for_reading()
{
    if (this->reader.is_in_body() || this->is_header_timed) {
        return;
    }
    if (!this->input.empty()) {
        this->is_header_timed = true;
        this->arm(this->core->options.header_timeout);
    } else if (this->core->is_draining()) {
        this->arm(this->core->options.stop_grace);
    } else {
        bool const is_first = this->request_number == 0;
        this->arm(
            is_first ? this->core->options.header_timeout
                     : this->core->options.idle_timeout);
    }
}

template <class Stream>
void http_session<Stream>::arm(base::duration limit)
{
    auto const number = ++this->timer_number;
    this->timer.expires_after(limit.to_chrono());
    this->timer.async_wait([weak = this->weak_from_this(), number](error_code) {
        auto const self = weak.lock();
        if (self && self->timer_number == number) {
            self->on_expired();
        }
    });
}

template <class Stream>
void http_session<Stream>::on_expired()
{
    if (this->state != phase::reading) {
        this->close();
    } else if (!this->input.empty() || this->reader.is_in_body()) {
        this->fail(make_refusal(408, "the request took too long to arrive"));
    } else {
        this->linger();
    }
}

template <class Stream>
void http_session<Stream>::linger()
{
    this->state = phase::lingering;
    this->progress.begin(this->core->clock.now());
    this->note_standing();
    error_code failure;
    this->socket().shutdown(tcp::socket::shutdown_send, failure);
    if (failure || this->is_input_ended) {
        this->close();
        return;
    }
    this->arm(linger_time);
    this->read();
}

template <class Stream>
void http_session<Stream>::close()
{
    if (this->state == phase::closed) {
        return;
    }
    if (this->state == phase::handling) {
        this->notify_disconnect();
    }
    this->state = phase::closed;
    ++this->timer_number;
    this->timer.cancel();
    close_socket(this->socket());
    this->note_standing();
    release(this->input);
    if (this->reader.is_in_body()) {
        this->reader.reset();
    }
    // A request that the handler has counts until it has answered.
    this->count();
    this->core->remove(this);
}

template class http_session<tcp::socket>;
template class http_session<tls_stream>;
template http_session<tcp::socket>::http_session(
    std::shared_ptr<http_server_core>, std::string, tcp::socket&&);
template http_session<tls_stream>::http_session(
    std::shared_ptr<http_server_core>,
    std::string,
    tcp::socket&&,
    net::ssl::context&);

} // namespace foxtaillift::transport
