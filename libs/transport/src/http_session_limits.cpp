// What a session holds, and how it gives way when a limit is reached.

#include "http_session.hpp"
#include "http_text.hpp"

#include <sys/socket.h>

namespace foxtaillift::transport
{

namespace
{

/// The session, its parser, its socket in the reactor and in the list of the
/// server, without what is counted by itself.
constexpr std::size_t session_size = 3UL * 1024;

/// A connection between two requests counts as one that made progress until so
/// long after its last answer: closing it may cost a request that is under way.
constexpr base::duration idle_advantage = base::seconds(5);

} // namespace

template <class Stream>
void http_session<Stream>::on_give_way(shortage reason)
{
    if (this->state == phase::closed) {
        return;
    }
    if (!this->standing.may_give_way) {
        this->core->settle(this, reason);
        return;
    }
    auto& counters = this->core->counters;
    ++(reason == shortage::memory ? counters.dropped_for_memory
                                  : counters.dropped_for_connections);
    bool const is_plain = std::is_same_v<Stream, tcp::socket>;
    if (!is_plain || this->state != phase::reading ||
        !this->has_begun_request()) {
        this->close();
        return;
    }
    auto refusal =
        make_refusal(503, "the request stood still and others needed its room");
    if (reason == shortage::connections) {
        this->refuse_and_close(refusal);
        return;
    }
    // Ends the outstanding read, so that its buffer becomes free.
    error_code ignored;
    ignored = this->socket().cancel(ignored);
    this->fail(std::move(refusal));
    this->core->settle(this, reason);
}

template <class Stream>
void http_session<Stream>::refuse_and_close(response const& message)
{
    // An unused send buffer takes so few bytes at once. What it does not take
    // is lost with the connection.
    auto const text = make_response_head(message, true, false) + message.body;
    [[maybe_unused]] auto const sent = ::send(
        this->socket().native_handle(), text.data(), text.size(),
        MSG_NOSIGNAL | MSG_DONTWAIT);
    this->close();
}

template <class Stream>
void http_session<Stream>::refuse_for_memory()
{
    ++this->core->counters.refused_for_memory;
    this->fail(make_refusal(503, "no memory is free for the request"));
}

template <class Stream>
std::size_t http_session<Stream>::held() const
{
    return session_size + this->scratch_size + this->input.capacity() +
           this->reader.held() + this->handled + this->head_out.capacity() +
           this->body_out.capacity();
}

template <class Stream>
void http_session<Stream>::trim_input()
{
    if (this->input.empty()) {
        release(this->input);
    } else if (this->input.capacity() > 2 * this->input.size()) {
        this->input.shrink_to_fit();
    }
}

template <class Stream>
void http_session<Stream>::drop_request()
{
    release(this->input);
    this->reader.reset();
    this->handled = 0;
}

template <class Stream>
void http_session<Stream>::note_received(std::size_t bytes)
{
    auto const now = this->core->clock.now();
    if (!this->is_request_begun) {
        this->is_request_begun = true;
        this->progress.begin(now);
    }
    this->progress.add(bytes, now);
}

template <class Stream>
void http_session<Stream>::note_standing()
{
    auto at = this->progress.at();
    bool const is_between_requests = this->state == phase::reading &&
                                     this->request_number > 0 &&
                                     !this->has_begun_request();
    if (is_between_requests) {
        at += idle_advantage;
    }
    this->standing.progress_ms = at.ms;
    this->standing.may_give_way = this->state == phase::handshake ||
                                  this->state == phase::reading ||
                                  this->state == phase::lingering;
}

template void http_session<tcp::socket>::on_give_way(shortage);
template void http_session<tcp::socket>::refuse_and_close(response const&);
template void http_session<tcp::socket>::refuse_for_memory();
template std::size_t http_session<tcp::socket>::held() const;
template void http_session<tcp::socket>::trim_input();
template void http_session<tcp::socket>::drop_request();
template void http_session<tcp::socket>::note_received(std::size_t);
template void http_session<tcp::socket>::note_standing();
template void http_session<tls_stream>::on_give_way(shortage);
template void http_session<tls_stream>::refuse_and_close(response const&);
template void http_session<tls_stream>::refuse_for_memory();
template std::size_t http_session<tls_stream>::held() const;
template void http_session<tls_stream>::trim_input();
template void http_session<tls_stream>::drop_request();
template void http_session<tls_stream>::note_received(std::size_t);
template void http_session<tls_stream>::note_standing();

} // namespace foxtaillift::transport
