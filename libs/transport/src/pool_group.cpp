#include "pool_group.hpp"

#include <algorithm>

namespace foxtaillift::transport
{

pool_core::pool_core(
    net::io_context& context, http_client_pool_options pool_options)
    : io(context)
    , options(pool_options)
    , budget(pool_options.buffer_limit)
{}

pool_group::pool_group(
    std::shared_ptr<pool_core> pool,
    std::string address_text,
    tcp::endpoint remote_endpoint)
    : core(std::move(pool))
    , address(std::move(address_text))
    , endpoint(std::move(remote_endpoint))
    , strand(net::make_strand(this->core->io))
{}

pool_group::~pool_group()
{
    std::scoped_lock const lock{this->core->mutex};
    auto const found = this->core->groups.find(this->address);
    if (found != this->core->groups.end() && found->second.expired()) {
        this->core->groups.erase(found);
    }
}

void pool_group::submit(std::shared_ptr<pool_exchange> const& exchange)
{
    if (exchange->is_finished()) {
        return;
    }
    if (this->core->is_stopped) {
        exchange->finish(make_failure(
            delivery::not_sent, failure_reason::stopped,
            "the pool was stopped"));
    } else if (!this->try_run(exchange)) {
        this->enqueue(exchange);
    }
}

bool pool_group::try_run(std::shared_ptr<pool_exchange> const& exchange)
{
    auto connection = this->take_idle();
    if (!connection) {
        auto const limit = std::max<std::size_t>(
            this->core->options.connections_per_address, 1);
        if (this->open.size() >= limit) {
            return false;
        }
        connection =
            std::make_shared<pool_connection>(this->shared_from_this());
        this->open[connection.get()] = connection;
    }
    connection->run(exchange);
    return true;
}

std::shared_ptr<pool_connection> pool_group::take_idle()
{
    while (!this->idle.empty()) {
        auto connection = this->idle.back().lock();
        this->idle.pop_back();
        if (!connection) {
            continue;
        }
        if (connection->is_usable()) {
            return connection;
        }
        ++this->core->counters.stale;
        connection->close();
    }
    return nullptr;
}

void pool_group::enqueue(std::shared_ptr<pool_exchange> const& exchange)
{
    if (this->queue.size() >= this->core->options.queue_per_address) {
        ++this->core->counters.queue_refusals;
        exchange->finish(make_failure(
            delivery::not_sent, failure_reason::queue_full,
            "all connections to " + this->address +
                " are busy and the queue is full"));
        return;
    }
    this->queue.push_back(exchange);
    ++this->core->counters.queued;
    exchange->hold(
        [weak = this->weak_from_this(), held = std::weak_ptr(exchange)](
            failure_reason reason, std::string message) {
            auto const self = weak.lock();
            auto const waiting = held.lock();
            if (!self || !waiting) {
                return;
            }
            self->core->counters.queued -= std::erase(self->queue, waiting);
            ++self->core->counters.late_or_cancelled;
            waiting->finish(
                make_failure(delivery::not_sent, reason, std::move(message)));
        });
}

void pool_group::pump()
{
    while (!this->queue.empty()) {
        auto const exchange = this->queue.front();
        this->queue.pop_front();
        if (!this->try_run(exchange)) {
            this->queue.push_front(exchange);
            return;
        }
        --this->core->counters.queued;
    }
}

void pool_group::stop()
{
    auto const waiting = std::exchange(this->queue, {});
    this->core->counters.queued -= waiting.size();
    for (auto const& exchange : waiting) {
        exchange->finish(make_failure(
            delivery::not_sent, failure_reason::stopped,
            "the pool was stopped"));
    }
    auto const connections = this->open;
    for (auto const& [key, value] : connections) {
        if (auto const connection = value.lock()) {
            connection->fail(failure_reason::stopped, "the pool was stopped");
        }
    }
}

void pool_group::on_silence(std::chrono::steady_clock::time_point written)
{
    auto const recent = pool_connection::recent();
    auto const since = std::max(written, recent);
    bool const is_path_open = std::any_of(
        this->open.begin(), this->open.end(), [&](auto const& entry) {
            auto const connection = entry.second.lock();
            return connection && connection->opened_at() < written &&
                   connection->heard_at() > since;
        });
    // One answer is lost, not the path, if the path is open. Even then, any
    // other connection may have gone silent after it was last heard.
    auto const trusted_since = is_path_open ? recent : since;
    auto const candidates = this->idle; // close() removes from `idle`
    for (auto const& entry : candidates) {
        auto const connection = entry.lock();
        if (connection && connection->heard_at() <= trusted_since) {
            ++this->core->counters.stale;
            connection->close();
        }
    }
}

void pool_group::on_idle(std::shared_ptr<pool_connection> const& connection)
{
    this->idle.emplace_back(connection);
    this->pump();
}

void pool_group::on_closed(pool_connection const* connection)
{
    this->open.erase(connection);
    std::erase_if(this->idle, [connection](auto const& entry) {
        auto const known = entry.lock();
        return !known || known.get() == connection;
    });
    if (!this->queue.empty()) {
        // Not at once: the connection is in the middle of closing.
        net::post(
            this->strand, [self = this->shared_from_this()] { self->pump(); });
    }
}

} // namespace foxtaillift::transport
