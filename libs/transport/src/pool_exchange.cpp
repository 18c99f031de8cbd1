#include "pool_exchange.hpp"

namespace foxtaillift::transport
{

pool_exchange::pool_exchange(
    pool_strand executor, request content, exchange_callback on_result)
    : message(std::move(content))
    , strand(std::move(executor))
    , timer(this->strand)
    , callback(std::move(on_result))
{}

void pool_exchange::start_deadline(
    std::chrono::steady_clock::time_point deadline)
{
    this->timer.expires_at(deadline);
    this->timer.async_wait([self =
                                this->shared_from_this()](error_code failure) {
        if (!failure && self->callback && self->stopper) {
            self->stopper(
                failure_reason::deadline, "the time of the request ran out");
        }
    });
}

void pool_exchange::finish(exchange_result result)
{
    this->timer.cancel();
    this->stopper = nullptr;
    if (auto const call = std::exchange(this->callback, nullptr)) {
        call(std::move(result));
    }
}

void pool_exchange::cancel()
{
    net::post(this->strand, [self = this->shared_from_this()] {
        if (self->callback && self->stopper) {
            self->stopper(failure_reason::cancelled, "cancelled");
        }
    });
}

exchange_result
make_failure(delivery outcome, failure_reason reason, std::string message)
{
    return {
        .outcome = outcome,
        .reason = reason,
        .message = std::move(message),
        .answer = {}};
}

} // namespace foxtaillift::transport
