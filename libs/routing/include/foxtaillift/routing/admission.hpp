/// Bounded queues of calls that wait for a slot.
#pragma once

#include "foxtaillift/routing/concurrency_limit.hpp"
#include "foxtaillift/routing/run_time_classes.hpp"
#include "foxtaillift/routing/service_options.hpp"

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/identifier.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace foxtaillift::routing
{

struct admission_options
{
    std::uint32_t max_waiting_per_caller = 64; ///< in one service and class
    std::uint32_t max_waiting_per_class = 512; ///< in one service
    std::uint32_t max_waiting = 4096;          ///< all services together
    std::uint32_t max_services = 4096;
    service_order order = service_order::earliest_deadline;
    base::duration retry_after_least = base::seconds(1);
    base::duration retry_after_most = base::seconds(30);
    concurrency_limit_options concurrency = {};
};

using call_handle = std::uint64_t; ///< chosen by the daemon, unique per router

struct waiting_call
{
    call_handle call = 0;
    base::service_id service;
    base::caller_id caller = {};
    run_class kind = run_class::short_call;
    base::instant deadline{};
    double typical_ms = 0; ///< expected run time once it has a slot
};

enum class refusal
{
    none,
    deadline,      ///< cannot be answered in time
    caller_queue,  ///< the caller has too many calls waiting
    service_queue, ///< and no other caller has more of them than this one
    too_many_services,
    pushed_out, ///< replaced by a call of a caller with fewer waiting
    no_worker,  ///< no worker offers the service
};

std::string_view to_string(refusal value);

struct admission_counters
{
    std::uint64_t queued = 0;
    std::uint64_t refused = 0;
    std::uint64_t pushed_out = 0;
    std::uint64_t expired = 0;
};

/// Queues per service, class and caller. Callers of a queue are served in
/// turn, and so are services. If a class's queue is full, the caller with the
/// most waiting calls loses its latest one. One thread.
class admission
{
public:
    explicit admission(admission_options options = {});
    ~admission();
    admission(admission const&) = delete;
    admission& operator=(admission const&) = delete;

    /// Sets the order of a service; calls that wait are sorted again. Services
    /// without a call of this follow the options.
    void set_order(base::service_id const& service, service_order order);
    /// Whether the call would be refused now; changes nothing.
    [[nodiscard]] refusal check(waiting_call const& call, base::instant now);
    /// Queues the call or refuses it. A call that is pushed out to make room is
    /// appended to `pushed_out`.
    refusal enter(
        waiting_call const& call,
        base::instant now,
        std::vector<call_handle>& pushed_out);
    /// True if a call of the service may start at once: none waits before it
    /// and the concurrency limit has room.
    [[nodiscard]] bool
    is_open(base::service_id const& service, run_class kind) const;

    /// Services with waiting calls, beginning with the one whose turn it is.
    void waiting_services(std::vector<base::service_id>& out) const;
    /// The call to serve next, if the limit has room. Skips nothing else.
    [[nodiscard]] std::optional<call_handle>
    peek(base::service_id const& service, run_class kind) const;
    /// Removes the call that peek returned, because it got a slot.
    void
    take(base::service_id const& service, run_class kind, base::instant now);
    /// Removes a call wherever it waits; false if it does not wait.
    bool cancel(call_handle call);
    /// Removes all calls that can no longer be answered in time.
    void expire(base::instant now, std::vector<call_handle>& out);

    void on_started(base::service_id const& service);
    void on_finished(
        base::service_id const& service,
        base::duration latency,
        base::instant now);

    /// Calls of the service had to wait within the last second.
    [[nodiscard]] bool
    is_crest(base::service_id const& service, base::instant now) const;
    [[nodiscard]] base::duration
    retry_after(base::service_id const& service) const;
    [[nodiscard]] std::uint32_t waiting() const;
    [[nodiscard]] std::uint32_t waiting(base::service_id const& service) const;
    [[nodiscard]] std::uint32_t limit(base::service_id const& service) const;
    [[nodiscard]] admission_counters counters() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace foxtaillift::routing
