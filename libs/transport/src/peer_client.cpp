#include "foxtaillift/transport/peer_client.hpp"

#include "address.hpp"
#include "foxtaillift/base/random.hpp"
#include "http_text.hpp"
#include "peer_client_link.hpp"

#include <algorithm>
#include <vector>

namespace foxtaillift::transport
{

/// Everything below `send` and `statistics` runs on the strand.
class peer_client::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(net::io_context& context, peer_client_options client_options)
        : options(std::move(client_options))
        , shared(
              std::make_shared<peer_client_shared>(this->options.buffer_limit))
        , strand(net::make_strand(context))
        , tls(make_tls_context(tls_role::client, "peer", this->options.key))
        , retry_timer(this->strand)
        , random(base::make_seeded_engine())
    {}

    exchange_handle
    send(request message, base::duration timeout, exchange_callback callback);

    void start()
    {
        net::post(this->strand, [self = this->shared_from_this()] {
            self->connect();
        });
    }
    void stop(std::function<void()> on_stopped);
    void abort();

    peer_client_options const options;
    std::shared_ptr<peer_client_shared> shared;

private:
    void submit(std::shared_ptr<peer_exchange> const& exchange);
    void connect();
    void on_up();
    void on_draining();
    void on_closed(
        peer_client_link const* closed_link,
        link_end end,
        std::string const& message);
    void retry_later();
    void finish_stop();

    peer_strand strand;
    std::shared_ptr<net::ssl::context> tls;
    net::steady_timer retry_timer;
    base::random_engine random;
    std::shared_ptr<peer_client_link> link; ///< takes new requests
    bool is_connecting = true;
    int failures = 0; ///< connects since the last that succeeded
    std::string last_failure = "not connected yet";
    std::vector<std::shared_ptr<peer_exchange>> waiting;  ///< for the connect
    std::vector<std::shared_ptr<peer_client_link>> links; ///< all open ones
    bool is_stopped = false;
    std::function<void()> on_stopped;
};

exchange_handle peer_client::implementation::send(
    request message, base::duration timeout, exchange_callback callback)
{
    auto const deadline =
        std::chrono::steady_clock::now() + timeout.to_chrono();
    ++this->shared->requests;
    auto fault = find_fault(message);
    auto reason = failure_reason::invalid_request;
    if (fault.empty() && message.body.size() > this->options.body_limit) {
        fault = "the body is too large";
    }
    bool const is_full =
        this->shared->open_requests.fetch_add(1) >= this->options.open_requests;
    if (fault.empty() && is_full) {
        fault = "too many requests are open to " + this->options.address;
        reason = failure_reason::queue_full;
    }
    auto exchange = std::make_shared<peer_exchange>(
        this->strand, this->shared, std::move(message), std::move(callback));
    exchange_handle handle{exchange};
    net::post(
        this->strand, [self = this->shared_from_this(), exchange, deadline,
                       reason, fault = std::move(fault)] {
            if (!fault.empty()) {
                exchange->fail_unprocessed(reason, fault);
                return;
            }
            exchange->start_deadline(deadline);
            self->submit(exchange);
        });
    return handle;
}

void peer_client::implementation::submit(
    std::shared_ptr<peer_exchange> const& exchange)
{
    if (exchange->is_finished()) {
        return;
    }
    if (this->is_stopped) {
        exchange->fail_unprocessed(
            failure_reason::stopped, "the client was stopped");
    } else if (this->link && this->link->submit(exchange)) {
        return;
    } else if (this->is_connecting) {
        std::erase_if(this->waiting, [](auto const& entry) {
            return entry->is_finished();
        });
        this->waiting.push_back(exchange);
    } else {
        exchange->fail_unprocessed(
            failure_reason::no_connection, this->last_failure);
    }
}

void peer_client::implementation::connect()
{
    if (this->is_stopped) {
        return;
    }
    this->is_connecting = true;
    auto const weak = this->weak_from_this();
    auto const key = std::make_shared<peer_client_link const*>(nullptr);
    auto const call = [weak](auto action) {
        if (auto const self = weak.lock()) {
            action(*self);
        }
    };
    peer_link_events events{
        .on_up = [call] { call([](auto& self) { self.on_up(); }); },
        .on_draining = [call] { call([](auto& self) { self.on_draining(); }); },
        .on_closed =
            [call, key](link_end end, std::string const& message) {
                call([&](auto& self) { self.on_closed(*key, end, message); });
            }};
    this->link = std::make_shared<peer_client_link>(
        this->strand, this->tls,
        http2_limits{
            .streams = 0,
            .header = this->options.header_limit,
            .ping_interval = this->options.ping_interval,
            .dead_after = this->options.dead_after},
        this->options.body_limit, std::move(events));
    *key = this->link.get();
    this->links.push_back(this->link);
    this->link->connect(this->options.address, this->options.connect_timeout);
}

void peer_client::implementation::on_up()
{
    ++this->shared->opened;
    this->shared->is_connected = true;
    this->is_connecting = false;
    this->failures = 0;
    for (auto const& exchange : std::exchange(this->waiting, {})) {
        this->submit(exchange);
    }
}

void peer_client::implementation::on_draining()
{
    this->shared->is_connected = false;
    this->link.reset();
    this->last_failure = "the peer is stopping";
    this->retry_later();
}

void peer_client::implementation::on_closed(
    peer_client_link const* closed_link,
    link_end end,
    std::string const& message)
{
    std::erase_if(this->links, [closed_link](auto const& entry) {
        return entry.get() == closed_link;
    });
    if (end == link_end::dead) {
        ++this->shared->dead;
    }
    if (this->link && this->link.get() == closed_link) {
        this->link.reset();
        this->shared->is_connected = false;
        this->last_failure = message;
        if (this->is_connecting) {
            this->is_connecting = false;
            ++this->failures;
            ++this->shared->connects_failed;
            for (auto const& exchange : std::exchange(this->waiting, {})) {
                exchange->fail_unprocessed(
                    failure_reason::no_connection, message);
            }
        }
        this->retry_later();
    }
    this->finish_stop();
}

void peer_client::implementation::retry_later()
{
    if (this->is_stopped) {
        return;
    }
    auto const doublings = std::min(this->failures, 16);
    auto const bound = std::min(
        this->options.backoff_limit,
        this->options.backoff_first * (std::int64_t{1} << doublings));
    this->retry_timer.expires_after(
        base::jitter(this->random, bound).to_chrono());
    this->retry_timer.async_wait(
        [weak = this->weak_from_this()](error_code failure) {
            auto const self = weak.lock();
            if (self && !failure) {
                self->connect();
            }
        });
}

void peer_client::implementation::stop(std::function<void()> callback)
{
    net::post(
        this->strand, [self = this->shared_from_this(),
                       callback = std::move(callback)]() mutable {
            self->is_stopped = true;
            self->on_stopped = std::move(callback);
            self->shared->is_connected = false;
            self->retry_timer.cancel();
            for (auto const& exchange : std::exchange(self->waiting, {})) {
                exchange->fail_unprocessed(
                    failure_reason::stopped, "the client was stopped");
            }
            for (auto const& open : std::vector{self->links}) {
                open->drain();
            }
            self->finish_stop();
        });
}

void peer_client::implementation::finish_stop()
{
    if (this->is_stopped && this->links.empty()) {
        if (auto const done = std::exchange(this->on_stopped, nullptr)) {
            done();
        }
    }
}

void peer_client::implementation::abort()
{
    net::post(this->strand, [self = this->shared_from_this()] {
        self->is_stopped = true;
        self->retry_timer.cancel();
        for (auto const& exchange : std::exchange(self->waiting, {})) {
            exchange->fail_unprocessed(
                failure_reason::stopped, "the client was stopped");
        }
        for (auto const& open : std::vector{self->links}) {
            open->close(link_end::finished, "the client was stopped");
        }
    });
}

peer_client::peer_client(net::io_context& io, peer_client_options options)
    : impl(std::make_shared<implementation>(io, std::move(options)))
{
    require_address(this->impl->options.address);
    this->impl->start();
}

peer_client::~peer_client()
{
    this->impl->abort();
}

exchange_handle peer_client::send(
    request message, base::duration timeout, exchange_callback callback)
{
    return this->impl->send(std::move(message), timeout, std::move(callback));
}

void peer_client::stop(std::function<void()> on_stopped)
{
    this->impl->stop(std::move(on_stopped));
}

peer_client_statistics peer_client::statistics() const
{
    auto const& shared = *this->impl->shared;
    return {
        .requests = shared.requests,
        .connections_opened = shared.opened,
        .connects_failed = shared.connects_failed,
        .connections_dead = shared.dead,
        .late_or_cancelled = shared.late_or_cancelled,
        .is_connected = shared.is_connected,
        .open_requests = shared.open_requests};
}

} // namespace foxtaillift::transport
