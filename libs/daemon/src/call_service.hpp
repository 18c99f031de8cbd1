/// Interactive calls: admission of requests, the routing table, the lanes.
#pragma once

#include "call_lane.hpp"
#include "context.hpp"
#include "store_driver.hpp"

#include "foxtaillift/routing/routing_table.hpp"
#include "foxtaillift/transport/http_client_pool.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtaillift::daemon
{

class call_service
{
public:
    call_service(
        context& shared,
        store_driver& store,
        std::function<void(std::string)> cell_load_seen);

    /// A request of a caller. Any thread.
    void handle_call(
        transport::received_request received, transport::responder reply);
    /// A call that a peer forwarded. Any thread.
    void handle_forwarded(
        transport::received_request const& received,
        transport::responder reply);

    /// While not ready, calls are refused as not run. Any thread.
    void set_ready(bool is_ready) { this->ready = is_ready; }
    void set_addresses(address_book book);

    /// Lines of the log that name a call; `done` runs on the control thread.
    void explain(
        std::string const& call,
        std::function<void(std::vector<std::string>)> done);

    [[nodiscard]] routing::routing_table& table() { return this->snapshots; }
    [[nodiscard]] routing::health_monitor& health() { return this->monitor; }
    [[nodiscard]] std::uint32_t waiting() const;
    [[nodiscard]] routing::call_counters counters() const;
    [[nodiscard]] transport::http_client_pool_statistics upstreams() const
    {
        return this->pool.statistics();
    }
    void stop() { this->pool.stop(); }

private:
    void start(parsed_call call, transport::responder reply);
    void perform_claim(
        routing::claim_work const& work,
        std::string key,
        base::instant deadline,
        std::function<void(routing::claim_event)> done);
    void
    read_claim(std::string key, std::function<void(routing::claim_event)> done);

    context& shared;
    store_driver& store;
    transport::http_client_pool pool;
    routing::routing_table snapshots;
    routing::run_time_classes classes;
    routing::health_monitor monitor;
    call_services services;
    std::vector<std::shared_ptr<call_lane>> lanes;
    std::atomic<std::size_t> next_lane{0};
    std::atomic<bool> ready{false};
};

} // namespace foxtaillift::daemon
