/// The engine that drives all calls of one thread.
#pragma once

#include "foxtaillift/routing/admission.hpp"
#include "foxtaillift/routing/call_messages.hpp"
#include "foxtaillift/routing/health.hpp"
#include "foxtaillift/routing/policy.hpp"
#include "foxtaillift/routing/retry.hpp"
#include "foxtaillift/routing/routing_table.hpp"
#include "foxtaillift/routing/run_time_classes.hpp"
#include "foxtaillift/routing/service_options.hpp"

#include "foxtaillift/base/random.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace foxtaillift::routing
{

/// `policy`, `queues.order` and `retries.budget_share` are for services of
/// which the snapshot says nothing.
struct call_router_options
{
    policy_kind policy = policy_kind::adaptive;
    policy_options choice = {};
    admission_options queues = {};
    retry_options retries = {};
    std::uint32_t max_calls = 16384; ///< in progress; more are refused
};

struct call_counters
{
    std::uint64_t arrived = 0;
    std::uint64_t dispatched = 0; ///< first attempts, local
    std::uint64_t forwarded = 0;  ///< first attempts
    std::uint64_t retried = 0;
    std::uint64_t hedged = 0;
    std::uint64_t retries_denied = 0; ///< by the budget
    std::uint64_t late_answers = 0;   ///< dropped
    std::uint64_t ejected = 0;
    std::uint64_t returned = 0;
    std::uint64_t ran = 0; ///< replies by outcome
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t outcomes_lost = 0; ///< claims left "in progress"
};

/// Turns events of calls into actions. One router per thread that handles
/// calls; routers share the table, the run-time classes and the health
/// monitor, which must outlive them. Actions are appended to `out` in the
/// order in which they have to be carried out.
class call_router
{
public:
    call_router(
        routing_table const& table,
        run_time_classes& classes,
        health_monitor& health,
        base::random_engine random,
        call_router_options options = {});
    ~call_router();
    call_router(call_router const&) = delete;
    call_router& operator=(call_router const&) = delete;

    /// Throws base::error (invalid_argument) if a call arrives with a handle
    /// that is in use. Other events of unknown handles or attempts are dropped
    /// and counted as late answers.
    void handle(
        call_event const& event,
        base::instant now,
        std::vector<call_action>& out);

    /// Gives free slots to waiting calls and refuses those that can no longer
    /// be answered in time. Call it every millisecond while waiting() > 0, as
    /// slots that other threads release are not announced.
    void poll(base::instant now, std::vector<call_action>& out);

    [[nodiscard]] std::uint32_t waiting() const;
    [[nodiscard]] std::uint32_t waiting(base::service_id const& service) const;
    [[nodiscard]] std::size_t calls_in_progress() const;
    [[nodiscard]] call_counters counters() const;
    [[nodiscard]] admission_counters queue_counters() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace foxtaillift::routing
