/// The settings of one `foxtaild` process. docs/settings.md is the reference;
/// `describe.hpp` holds the allowed ranges.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace foxtaillift::settings
{

struct host_settings
{
    std::string id;
    std::string failure_domain;
};

/// Addresses are "IP:port"; port 0 takes one from the system.
struct listen_settings
{
    std::string callers = "127.0.0.1:0";
    std::string peers = "127.0.0.1:0";
    std::string operators = "127.0.0.1:0";
    std::string monitors = "127.0.0.1:0";
};

struct platform_settings
{
    std::string table;
    std::string objects; ///< empty: the same server as `table`
    base::duration request_timeout = base::milliseconds(2000);
    base::duration host_list_interval = base::milliseconds(1000);
};

struct peer_settings
{
    std::string key; ///< hexadecimal pre-shared key
    std::vector<std::string> seeds;
    std::vector<std::string> routes; ///< "host=IP:port"
    base::duration ping_interval = base::milliseconds(1000);
    base::duration ping_timeout = base::milliseconds(3000);
};

struct operator_settings
{
    std::string key; ///< hexadecimal pre-shared key
};

struct lease_settings
{
    base::duration length = base::milliseconds(6000);
    base::duration renewal_interval = base::milliseconds(2000);
    base::duration margin = base::milliseconds(600);
    base::duration scan_interval = base::milliseconds(1000);
};

struct call_settings
{
    std::int64_t threads = 2;
    std::string policy = "adaptive";
    std::string queue_order = "earliest_deadline";
    std::int64_t queue_limit = 2000;
    std::int64_t queue_limit_per_caller = 200;
    base::duration default_deadline = base::milliseconds(10000);
    double retry_budget = 0.1;
    base::duration connect_timeout = base::milliseconds(1000);
    std::int64_t header_limit = 16 * 1024;
    std::int64_t body_limit = 8 * 1024 * 1024;
    base::duration header_timeout = base::milliseconds(10000);
    std::int64_t connections_per_address = 256;
    std::int64_t connections = 10'000;
    std::int64_t buffer_limit = 256 * 1024 * 1024;
};

struct batch_settings
{
    base::duration task_lease = base::milliseconds(15000);
    base::duration task_renewal_interval = base::milliseconds(5000);
    base::duration task_lease_margin = base::milliseconds(1500);
    base::duration report_interval = base::milliseconds(1000);
    std::int64_t queue_limit = 100000;
};

struct shutdown_settings
{
    base::duration drain_delay = base::milliseconds(2000);
    base::duration grace = base::milliseconds(30000);
};

struct log_settings
{
    std::int64_t queue_lines = 20000;
};

struct daemon_settings
{
    host_settings host;
    listen_settings listen;
    platform_settings platform;
    peer_settings peer;
    operator_settings operators;
    lease_settings lease;
    call_settings calls;
    batch_settings batch;
    shutdown_settings shutdown;
    log_settings log;
};

} // namespace foxtaillift::settings
