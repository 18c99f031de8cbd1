/// Stand-in of a worker: its agent and an upstream service on one port.
///
/// A run that ends with its lease is accounted to the end of the lease, also if
/// the process was frozen then. Epochs are compared without regard to the cell.
#pragma once

#include "foxtaillift/base/identifier.hpp"
#include "foxtaillift/formats/hosts.hpp"
#include "foxtaillift/standin/http.hpp"

#include <map>
#include <memory>
#include <string>

namespace foxtaillift::standin
{

struct worker_service_options
{
    http_server_options server{.max_connections = 64};
    base::worker_id worker{"w1"};
    formats::resources capacity{32'000, 125'000, 0};
    std::int32_t slots = 8;
    std::int64_t call_ms = 5; ///< service time of a call without `?ms=`
    /// Slowdown of a call while the worker is filled with tasks of the class.
    /// Keys are "class" or "service/class".
    std::map<std::string, double> interference;
    /// A task takes (1 + call_harm) times as long while all slots are in use.
    double call_harm = 0.5;
    std::string objects; ///< address of the object store, or empty
    std::int64_t checkpoint_ms = 100;
    std::int64_t report_every_ms = 500;
    std::int64_t report_lag_ms = 1000;
    /// Without the check the audit shows what the scheduler would commit.
    bool is_capacity_checked = true;
    std::uint32_t seed = 1;
};

class worker_service
{
public:
    worker_service(
        boost::asio::io_context& context, worker_service_options options);
    ~worker_service();
    worker_service(worker_service const&) = delete;
    worker_service& operator=(worker_service const&) = delete;

    [[nodiscard]] std::string address() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace foxtaillift::standin
