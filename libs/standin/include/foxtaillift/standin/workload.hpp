/// Description of a workload for the load generator: JSON with comments, see
/// workloads/README.md.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace foxtaillift::standin
{

/// Calls of one service at one rate.
struct call_step
{
    double at_seconds = -1; ///< start; negative: after the step before it
    double seconds = 1;
    double rate = 10; ///< calls a second, with random distances
    std::string service;
    std::string path = "/";
    std::int64_t call_ms = 5; ///< service time of a short call
    double long_share = 0;
    std::int64_t long_ms = 200;
    double keyed_share = 0;   ///< non-idempotent with Idempotency-Key
    double unkeyed_share = 0; ///< non-idempotent without a key
    std::int64_t deadline_ms = 1000;
    std::string caller = "load";
};

/// Batch tasks of one kind.
struct task_step
{
    double at_seconds = 0;
    std::int64_t count = 1;
    double rate = 50; ///< submissions a second
    std::string team;
    std::string task_class;
    std::string priority = "normal";
    std::int64_t processors = 1000;
    std::int64_t memory_mb = 500;
    std::int64_t accelerators = 0;
    std::int64_t run_ms = 1000;       ///< declared
    std::int64_t real_run_ms = 0;     ///< 0: as declared
    std::int64_t real_processors = 0; ///< 0: as declared
    double straggler_share = 0;
    double straggler_factor = 10;
};

struct workload
{
    std::uint32_t seed = 1;
    std::int64_t max_in_flight = 200; ///< further calls are skipped and counted
    std::int64_t wait_seconds = 60;   ///< for the end of the tasks
    /// True if workers may be unreachable for longer than a task lease. A task
    /// may then finish a second time.
    bool may_lose_workers = false;
    std::vector<call_step> calls;
    std::vector<task_step> tasks;
};

/// Throws base::error with the reason if the file cannot be read, has an
/// unknown member, or is beyond 200,000 calls, 50,000 tasks or 600 s.
workload read_workload(std::string const& path);
workload parse_workload(std::string const& text);

} // namespace foxtaillift::standin
