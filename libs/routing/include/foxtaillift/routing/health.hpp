/// Passive ejection of workers whose calls fail, and their return.
#pragma once

#include "foxtaillift/routing/snapshot.hpp"

#include "foxtaillift/base/clock.hpp"

#include <atomic>
#include <cstdint>

namespace foxtaillift::routing
{

struct health_options
{
    std::uint32_t points_to_eject = 6; ///< errors in a row
    std::uint32_t error_points = 2;
    std::uint32_t refusal_points = 1;
    /// An error counts this much if it came in less than `fast_share` of the
    /// service's usual latency: such a worker attracts calls by its speed.
    std::uint32_t fast_error_points = 3;
    double fast_share = 0.25;
    /// Moving average of errors that ejects a worker that fails in between,
    /// if it is also three times the service's average.
    double error_rate_to_eject = 0.5;
    base::duration eject_for = base::seconds(5); ///< doubles, up to:
    base::duration eject_at_most = base::seconds(60);
};

enum class call_result
{
    success,
    error,
    /// "Not run" by the worker. Some are a matter of load, but a worker that
    /// refuses everything has free slots and would draw most calls.
    refused,
    no_information, ///< cancelled
};

enum class health_change
{
    none,
    ejected,
    returned,
    kept_by_limit, ///< not ejected: a third of a service's workers already is
};

/// Safe for concurrent use; `record` takes no lock. Two ejections never run at
/// once (the second is left to the worker's next error), so the limit of one
/// third holds.
class health_monitor
{
public:
    explicit health_monitor(health_options options = {});

    /// Result of the call that holds `claim`. Call it before the claim is
    /// released, inside the read-side section of `snapshot`.
    health_change record(
        routing_snapshot const& snapshot,
        service_view const& service,
        slot_claim const& claim,
        call_result result,
        base::duration elapsed,
        base::instant now);

    /// Brings workers back if, after a change of the snapshot, more than one
    /// third of a service's workers is ejected. Control thread, after publish.
    std::uint32_t
    reconcile(routing_snapshot const& snapshot, base::instant now);

private:
    bool try_eject(
        routing_snapshot const& snapshot,
        service_view const& service,
        worker_load& load,
        base::instant now);
    health_change on_success(
        service_view const& service,
        slot_claim const& claim,
        base::duration elapsed,
        base::instant now);
    health_change on_error(
        routing_snapshot const& snapshot,
        service_view const& service,
        slot_claim const& claim,
        call_result result,
        base::duration elapsed,
        base::instant now);

    health_options options;
    std::atomic_flag ejecting;
};

/// Most workers of a service that may be ejected at once.
std::uint32_t ejection_limit(std::uint32_t workers);

/// True if a new call may go to the worker: it is not ejected, or its return
/// is due and no other call decides on it.
bool is_available(worker_load const& load, base::instant now);

} // namespace foxtaillift::routing
