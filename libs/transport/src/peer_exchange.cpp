#include "peer_exchange.hpp"

namespace foxtaillift::transport
{

peer_exchange::peer_exchange(
    peer_strand executor,
    std::shared_ptr<peer_client_shared> client,
    request content,
    exchange_callback on_result)
    : shared(std::move(client))
    , message(std::move(content))
    , share(this->shared->budget)
    , strand(std::move(executor))
    , timer(this->strand)
    , callback(std::move(on_result))
{
    this->body.bytes = std::move(this->message.body);
}

peer_exchange::~peer_exchange()
{
    if (this->callback) {
        --this->shared->open_requests;
    }
}

void peer_exchange::start_deadline(
    std::chrono::steady_clock::time_point deadline)
{
    this->timer.expires_at(deadline);
    this->timer.async_wait([weak = this->weak_from_this()](error_code failure) {
        auto const self = weak.lock();
        if (self && !failure) {
            self->stop(
                failure_reason::deadline, "the time of the request ran out");
        }
    });
}

void peer_exchange::cancel()
{
    net::post(this->strand, [self = this->shared_from_this()] {
        self->stop(failure_reason::cancelled, "cancelled");
    });
}

void peer_exchange::stop(failure_reason reason, std::string const& explanation)
{
    if (this->is_finished()) {
        return;
    }
    ++this->shared->late_or_cancelled;
    auto const stop_stream = std::exchange(this->stopper, nullptr);
    this->fail(reason, explanation);
    if (stop_stream) {
        stop_stream(reason);
    }
}

void peer_exchange::fail(failure_reason reason, std::string const& explanation)
{
    this->finish(
        {.outcome =
             this->may_have_left ? delivery::sent_unknown : delivery::not_sent,
         .reason = reason,
         .message = explanation,
         .answer = {}});
}

void peer_exchange::fail_unprocessed(
    failure_reason reason, std::string const& explanation)
{
    this->finish(
        {.outcome = delivery::not_sent,
         .reason = reason,
         .message = explanation,
         .answer = {}});
}

void peer_exchange::succeed()
{
    this->finish(
        {.outcome = delivery::answered,
         .reason = failure_reason::none,
         .message = {},
         .answer = std::move(this->answer)});
}

void peer_exchange::finish(exchange_result result)
{
    auto const call = std::exchange(this->callback, nullptr);
    if (!call) {
        return;
    }
    this->timer.cancel();
    this->stopper = nullptr;
    this->body.is_cancelled = true;
    this->share.clear();
    --this->shared->open_requests;
    call(std::move(result));
}

} // namespace foxtaillift::transport
