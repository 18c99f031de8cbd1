/// Recorded trace of events with its expected outcomes; traces/README.md
/// describes the file format.
#pragma once

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/batch/events.hpp"
#include "foxtaillift/routing/call_messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtaillift::replay
{

/// A trace that cannot be read. The message starts with file and line.
class trace_error : public base::error
{
public:
    trace_error(
        std::string_view file, std::size_t line, std::string const& reason);
};

/// Adds workers to the platform's list or changes their entries.
struct workers_change
{
    std::vector<formats::worker_entry> workers;
};

/// The key of the declaration is the name of the task within the trace, its
/// payload is the real run time for the fake workers.
struct submission
{
    batch::task_spec spec;
};

struct cancellation
{
    std::string task;
};

struct worker_change
{
    base::worker_id worker;
    std::optional<bool> is_up; ///< false: all runs are lost
    std::optional<bool> is_reachable;
    std::optional<bool> fails_everything; ///< tasks and calls
    std::optional<bool> loses_answers;    ///< of calls, which ran
    std::optional<double> call_slowdown;  ///< factor on service times
    std::optional<std::int64_t> checkpoint_ms;
    std::optional<double> usage_share; ///< reported usage by declared size
};

/// Requests to workers and their answers from here on.
struct link_change
{
    std::optional<double> lost_requests; ///< share, without effect
    std::optional<double> lost_answers;  ///< share, with effect
    std::optional<std::int64_t> max_delay_ms;
    std::optional<std::int64_t> report_lag_ms;
};

struct store_change
{
    std::optional<bool> is_down;
    std::optional<bool> loses_answers;
    std::optional<std::int64_t> commit_ms;
};

enum class owner_step
{
    take_over, ///< a host takes the cell with the next epoch
    kill,
    pause,
    wake ///< the paused host continues as if it still owned the cell
};

/// Load of a service on all workers from here on, 0 to 1. Twice a second each
/// worker measures the latency ratio 1 + load^2 x harm of its runs; the
/// measurement arrives after `lag_ms`.
struct load_change
{
    base::service_id service;
    double load = 0;
    std::int64_t lag_ms = 1000;
};

/// An interactive call; its service time is the recorded one.
struct call_event
{
    routing::call_attributes attributes;
    double run_ms = 0;
    double deadline_ms = 1000; ///< after its arrival
};

using event_body = std::variant<
    call_event,
    workers_change,
    submission,
    cancellation,
    worker_change,
    link_change,
    store_change,
    owner_step,
    load_change,
    batch::service_pressure, ///< recorded; arrives after its age
    batch::worker_ordered>;

struct trace_event
{
    std::size_t line = 0;
    std::int64_t at_ms = 0; ///< since the start of the trace
    event_body body;
};

/// A statement about the outcome. Which members count depends on the kind.
struct expectation
{
    std::size_t line = 0;
    std::string kind;
    /// Selects tasks; an empty member selects all.
    std::string task; ///< name, or prefix if it ends with '*'
    std::string team;
    std::string task_class;
    std::string priority;
    std::string caller; ///< selects calls; empty selects all
    std::optional<double> at_most;
    std::optional<double> at_least;
    std::string is; ///< wanted state or reply
    base::worker_id worker;
};

struct trace
{
    std::string file;
    std::string name;
    std::uint32_t seed = 1;
    std::int64_t lasts_ms = 0;
    batch::scheduler_options options;
    /// Rise of the latency ratio by one core of a class at full load.
    std::map<std::string, double> harm;
    std::vector<trace_event> events; ///< ascending
    std::vector<expectation> expectations;
};

/// `file` is used in messages only.
/// \throws trace_error for the first line that breaks the format or a bound:
/// 100,000 events, 1,000 workers, 10,000 expectations, one hour.
trace parse_trace(std::string_view text, std::string const& file);

/// \throws trace_error also if the file cannot be read (line 0).
trace read_trace(std::string const& path);

} // namespace foxtaillift::replay
