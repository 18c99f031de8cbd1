/// The calls of a workload.
#pragma once

#include "entry_hosts.hpp"

#include "foxtaillift/standin/audit_check.hpp"
#include "foxtaillift/standin/workload.hpp"

#include <nlohmann/json_fwd.hpp>

#include <map>

namespace foxtaillift::standin
{

class call_load
{
public:
    call_load(
        workload const& load, entry_hosts& entry_hosts, std::string run_name)
        : work(load)
        , hosts(entry_hosts)
        , run_id(std::move(run_name))
    {}

    /// Adds the coroutines that send the calls.
    void spawn(boost::asio::io_context& context);

    [[nodiscard]] std::vector<call_outcome> const& told() const
    {
        return this->calls;
    }
    /// Number of calls by outcome. `skipped` calls were not sent because too
    /// many were in flight.
    [[nodiscard]] nlohmann::json count() const;
    /// Quantiles of answered calls by kind: short, long, keyed.
    [[nodiscard]] nlohmann::json summarise_latencies() const;

private:
    boost::asio::awaitable<void> send_calls(call_step step);
    boost::asio::awaitable<void> call(call_step step, std::int64_t number);
    boost::asio::awaitable<std::string>
    call_once(call_step step, http_request request, call_outcome outcome);

    workload const& work;
    entry_hosts& hosts;
    std::string run_id;
    base::instant started{};
    std::int64_t next_call = 0;
    std::int64_t in_flight = 0;
    std::map<std::string, std::int64_t> outcomes;
    std::map<std::string, std::vector<std::int64_t>> latencies;
    std::vector<call_outcome> calls;
};

} // namespace foxtaillift::standin
