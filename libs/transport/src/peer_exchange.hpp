/// One request of the peer client.
#pragma once

#include "asio.hpp"
#include "buffer_budget.hpp"
#include "foxtaillift/transport/exchange.hpp"
#include "http2_link.hpp"

#include <atomic>
#include <functional>
#include <memory>

namespace foxtaillift::transport
{

using peer_strand = net::strand<net::io_context::executor_type>;

/// What the requests of one client share; outlives the client.
struct peer_client_shared
{
    peer_client_shared(std::size_t buffer_limit)
        : budget(buffer_limit)
    {}
    buffer_budget budget;
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> opened{0};
    std::atomic<std::uint64_t> connects_failed{0};
    std::atomic<std::uint64_t> dead{0};
    std::atomic<std::uint64_t> late_or_cancelled{0};
    std::atomic<bool> is_connected{false};
    std::atomic<std::size_t> open_requests{0};
};

/// All functions except `cancel` run on the strand of the client.
class peer_exchange : public detail::cancellable,
                      public std::enable_shared_from_this<peer_exchange>
{
    /// Declared first, so that it outlives `share`, which refers to it.
    std::shared_ptr<peer_client_shared> shared;

public:
    using stop_function = std::function<void(failure_reason)>;

    peer_exchange(
        peer_strand executor,
        std::shared_ptr<peer_client_shared> client,
        request content,
        exchange_callback on_result);
    ~peer_exchange() override;

    void start_deadline(std::chrono::steady_clock::time_point deadline);

    /// Says who resets the stream of the request; none while it waits.
    void hold(stop_function on_stop) { this->stopper = std::move(on_stop); }

    /// Ends the request: `sent_unknown` if bytes may have left, else
    /// `not_sent`.
    void fail(failure_reason reason, std::string const& message);
    /// Ends the request as certainly not executed.
    void fail_unprocessed(failure_reason reason, std::string const& message);
    void succeed();

    [[nodiscard]] bool is_finished() const { return !this->callback; }

    void cancel() override;

    request message;
    outgoing_body body;
    response answer{.status = 0, .headers = {}, .body = {}};
    std::size_t header_size = 0;
    buffer_share share;
    bool may_have_left = false; ///< a frame of it has been serialized

private:
    void stop(failure_reason reason, std::string const& explanation);
    void finish(exchange_result result);

    peer_strand strand;
    net::steady_timer timer;
    exchange_callback callback;
    stop_function stopper;
};

} // namespace foxtaillift::transport
