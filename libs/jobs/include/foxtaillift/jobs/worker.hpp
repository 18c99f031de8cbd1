/// What the scheduler knows of workers and what it orders from them.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/job.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace foxtaillift::jobs
{

/// A worker as the platform lists it.
struct worker_info
{
    std::string id{};
    std::string address{};
    std::string service{};
    std::string failure_domain{};
    std::string rack{};
    std::vector<std::string> labels{};
    resources capacity{};
    bool is_draining = false;
    /// While it drains: it leaves no sooner than this after the entry was
    /// written.
    base::duration remaining{};
    /// Its steady clock when the entry was written; 0: not told.
    std::int64_t clock_ms = 0;
    /// Start of the life that wrote the entry, of which alone it tells; 0: not
    /// told.
    std::int64_t born_ms = 0;
};

/// A run that a worker reports as present.
struct reported_run
{
    run_name run{};
    std::string checkpoint{}; ///< newest; empty if there is none
    int percent = 0;          ///< of its work; 100 for a lasting task at work
    /// Over the last half second: the tail of response times in ms for a
    /// serving task, thousandths of a core in use for any other.
    std::int64_t recent = 0;
};

enum class run_outcome
{
    done,
    failed,
    stopped,
    lapsed, ///< its lease ran out
    broken, ///< another member of its gang ended
    alone,  ///< the other members of its gang did not come in time
};

std::string_view to_string(run_outcome outcome);

struct reported_end
{
    std::int64_t number = 0; ///< counts from 1 in each life of a worker
    run_name run{};
    run_outcome outcome = run_outcome::failed;
    std::string checkpoint{};
};

/// Everything that a worker says of its runs.
struct worker_report
{
    std::int64_t clock_ms = 0; ///< the worker's own steady clock
    std::int64_t born_ms = 0;  ///< start of this life of the worker
    std::vector<reported_run> running{};
    std::vector<reported_end> ended{};
};

/// A worker where nothing starts any more, since it does not answer or leaves,
/// with all that may still run there or may have ended there without being
/// recorded.
struct closed_worker
{
    std::string id{};
    /// Its last lease was sent this long ago. Nothing: it leaves, answers, and
    /// may have got longer leases since.
    std::optional<base::duration> lease_age{};
    std::vector<run_name> runs{}; ///< in order
};

/// How an order to a worker ended.
enum class order_status
{
    done,       ///< carried out, now or before
    fenced,     ///< the worker has seen a higher fencing token
    outdated,   ///< a higher attempt is known there
    late,       ///< its lease had run out on arrival
    no_room,    ///< not started for want of resources
    no_ticket,  ///< not started for want of a valid ticket
    invalid,    ///< refused as malformed
    not_run,    ///< certainly not carried out; may be sent again
    other_life, ///< another worker answers at that address
    unknown,    ///< may have been or may yet be carried out
};

std::string_view to_string(order_status status);

/// Asks for a report, renews the lease of all runs and lets the worker forget
/// ends. The answer waits for an end.
struct look_order
{
    std::string worker{};
    std::string address{};
    std::int64_t token = 0;
    std::int64_t acknowledged = 0; ///< ends up to this number are durable
    /// End of the lease on the worker's clock; none: the lease stays.
    std::optional<std::int64_t> lease_until_ms{};
    base::duration wait{};
    /// Sent beside a look whose answer waits for an end.
    bool is_extra = false;
};

struct start_order
{
    std::string worker{};
    std::string address{};
    run_name run{};
    std::string payload{};
    std::int64_t lease_until_ms = 0; ///< on the worker's clock
    std::int64_t token = 0;
    std::string checkpoint{}; ///< empty: from the beginning
    std::string ticket{};     ///< of the queue's adviser; empty: it has none
};

struct stop_order
{
    std::string worker{};
    std::string address{};
    run_name run{};
    std::int64_t token = 0;
};

/// Sets the share of its speed at which a run works.
struct pace_order
{
    std::string worker{};
    std::string address{};
    run_name run{};
    int percent = 100;
    std::int64_t token = 0;
};

/// Asks the adviser of a queue which of these workers may run the step.
struct advice_order
{
    step_name step{};
    std::vector<std::string> workers{};
    base::duration time_limit{};
};

/// What an adviser answers: the workers that may run the step, each with the
/// ticket that its starts carry.
struct advice
{
    struct ticket
    {
        std::string worker{};
        std::string value{};
    };
    std::vector<ticket> allowed{};
    base::duration validity{}; ///< of the tickets
};

using worker_order =
    std::variant<look_order, start_order, stop_order, pace_order, advice_order>;

} // namespace foxtaillift::jobs
