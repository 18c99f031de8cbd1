/// One call router with the I/O of its calls, on a strand of its own.
#pragma once

#include "call_codec.hpp"
#include "context.hpp"
#include "peer_links.hpp"
#include "wake_timer.hpp"

#include "foxtaillift/routing/call_router.hpp"
#include "foxtaillift/transport/http_client_pool.hpp"
#include "foxtaillift/transport/responder.hpp"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/strand.hpp>

namespace foxtaillift::daemon
{

/// Where workers and hosts are reached, and what peers are told of the cells of
/// this host. Replaced as a whole, so that a call needs no lock.
struct address_book
{
    std::map<base::worker_id, std::string> workers;
    std::shared_ptr<link_table const> links;
    std::string cell_load; ///< value of Foxtail-Cell-Load
};

/// Carries out a claim_work action and reports its result, from any thread.
using claim_performer = std::function<void(
    routing::claim_work const& work,
    std::string key,
    base::instant deadline,
    std::function<void(routing::claim_event)> done)>;

/// What the lanes share; outlives them.
struct call_services
{
    context& shared;
    routing::routing_table& table;
    routing::run_time_classes& classes;
    routing::health_monitor& health;
    transport::http_client_pool& upstreams;
    claim_performer claims;
    /// A peer reported the load of its cells, any thread.
    std::function<void(std::string)> cell_load_seen;
};

class call_lane : public std::enable_shared_from_this<call_lane>
{
public:
    call_lane(
        call_services& services, routing::call_router_options const& options);

    /// Any thread.
    void start(parsed_call call, transport::responder reply);
    void set_addresses(std::shared_ptr<address_book const> book);

    /// The latest log lines of a call, passed to `done` on the lane's strand.
    void explain(
        std::string call, std::function<void(std::vector<std::string>)> done);

    /// Any thread; approximate.
    [[nodiscard]] std::uint32_t waiting() const { return this->waiting_calls; }
    [[nodiscard]] routing::call_counters counters() const;

private:
    struct sent_attempt
    {
        transport::exchange_handle exchange;
        transport::response answer;
    };
    struct session
    {
        parsed_call call;
        transport::responder reply;
        std::unordered_map<routing::attempt_index, sent_attempt> attempts;
        std::unique_ptr<wake_timer> timer;
        base::instant started{};
    };

    void begin(parsed_call call, transport::responder reply);
    void handle(routing::call_event const& event);
    void poll();
    void perform_all(std::vector<routing::call_action>& actions);

    void perform(routing::claim_work const& action);
    void perform(routing::dispatch const& action);
    void perform(routing::forward const& action);
    void perform(routing::wait_until const& action);
    void perform(routing::cancel_attempt const& action);
    void perform(routing::reply const& action);
    void perform(routing::call_ended const& action);
    void perform(routing::log_line const& action);

    void on_upstream(
        routing::call_handle call,
        routing::attempt_index attempt,
        transport::exchange_result result);
    void on_peer(
        routing::call_handle call,
        routing::attempt_index attempt,
        transport::exchange_result result);
    void keep_answer(
        routing::call_handle call,
        routing::attempt_index attempt,
        transport::response answer);
    [[nodiscard]] transport::response
    build_reply(session& current, routing::reply const& action) const;
    session* find(routing::call_handle call);
    transport::exchange_callback
    on_strand(std::function<void(transport::exchange_result)> function);

    call_services& services;
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    routing::call_router router;
    wake_timer poll_timer;
    std::unordered_map<routing::call_handle, session> sessions;
    std::shared_ptr<address_book const> addresses;
    std::deque<std::string> journal; ///< latest log lines, oldest first
    routing::call_handle next_call = 1;
    std::atomic<std::uint32_t> waiting_calls{0};
    routing::call_counters last_counters; ///< guarded by `counters_mutex`
    mutable std::mutex counters_mutex;
};

} // namespace foxtaillift::daemon
