/// The connections and waiting requests of one address of the client pool.
#pragma once

#include "asio.hpp"
#include "buffer_budget.hpp"
#include "foxtaillift/transport/http_client_pool.hpp"
#include "pool_connection.hpp"
#include "pool_exchange.hpp"

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace foxtaillift::transport
{

/// What the groups of one pool share.
class pool_core
{
public:
    pool_core(net::io_context& context, http_client_pool_options pool_options);

    net::io_context& io;
    http_client_pool_options const options;
    buffer_budget budget;

    struct
    {
        std::atomic<std::uint64_t> requests{0};
        std::atomic<std::uint64_t> opened{0};
        std::atomic<std::uint64_t> reused{0};
        std::atomic<std::uint64_t> stale{0};
        std::atomic<std::uint64_t> queue_refusals{0};
        std::atomic<std::uint64_t> late_or_cancelled{0};
        std::atomic<std::uint64_t> broken_answers{0};
        std::atomic<std::size_t> open{0};
        std::atomic<std::size_t> queued{0};
    } counters;

    std::atomic<bool> is_stopped{false};
    std::mutex mutex; ///< protects `groups`
    std::map<std::string, std::weak_ptr<pool_group>, std::less<>> groups;
};

/// Runs on its strand. Kept alive by its connections and by posted requests; an
/// unused group is removed from the pool.
class pool_group : public std::enable_shared_from_this<pool_group>
{
public:
    pool_group(
        std::shared_ptr<pool_core> pool,
        std::string address_text,
        tcp::endpoint remote_endpoint);
    ~pool_group();
    pool_group(pool_group const&) = delete;
    pool_group& operator=(pool_group const&) = delete;

    /// Gives the request to a connection, or queues it.
    void submit(std::shared_ptr<pool_exchange> const& exchange);
    /// Fails everything.
    void stop();

    /// A request that was written then had no answer in its time. Closes the
    /// idle connections that have told nothing lately, as a cut may have
    /// silenced them too; and those that have told nothing since, unless
    /// another connection of that time has.
    void on_silence(std::chrono::steady_clock::time_point written);

    void on_idle(std::shared_ptr<pool_connection> const& connection);
    /// The connection can take no further request.
    void on_closed(pool_connection const* connection);

    std::shared_ptr<pool_core> const core;
    std::string const address;
    tcp::endpoint const endpoint;
    pool_strand const strand;

private:
    std::shared_ptr<pool_connection> take_idle();
    bool try_run(std::shared_ptr<pool_exchange> const& exchange);
    void enqueue(std::shared_ptr<pool_exchange> const& exchange);
    void pump();

    std::vector<std::weak_ptr<pool_connection>> idle;
    std::map<pool_connection const*, std::weak_ptr<pool_connection>> open;
    std::deque<std::shared_ptr<pool_exchange>> queue;
};

} // namespace foxtaillift::transport
