/// The attempts of one call: at most one slot claim or forwarded stream each.
#pragma once

#include "call_environment.hpp"

#include <string>
#include <vector>

namespace foxtaillift::routing::detail
{

struct call_attempt
{
    base::worker_id worker; ///< empty if forwarded
    base::cell_id cell;
    slot_claim claim;
    cell_load* forwarded_to = nullptr;
    base::instant started{};
    bool is_active = true;
};

/// Owns slots and forwarded streams; all are released with it.
class call_attempts
{
public:
    explicit call_attempts(call_attributes const& attributes);
    ~call_attempts();
    call_attempts(call_attempts const&) = delete;
    call_attempts& operator=(call_attempts const&) = delete;

    /// Looks for a worker that had no attempt of this call. With `released`,
    /// only that worker is considered.
    choice choose(
        call_environment& environment,
        routing_snapshot const& snapshot,
        service_view const& service,
        run_class kind,
        base::worker_id const* released) const;
    /// Starts an attempt on a choice; emits its dispatch or forward.
    void
    start(call_environment& environment, choice chosen, call_handle handle);
    /// Ends an attempt, reports its result and releases its slot. Returns
    /// false if it is not active.
    bool finish(
        call_environment& environment,
        attempt_index attempt,
        call_result result);
    /// Cancels all active attempts.
    void cancel_all(call_environment& environment, call_handle handle);
    /// Counts active attempts that run longer than `limit` as long calls.
    void mark_long(base::instant now, base::duration limit);

    [[nodiscard]] bool is_active(attempt_index attempt) const;
    [[nodiscard]] std::uint32_t active() const;
    [[nodiscard]] std::uint32_t size() const;
    [[nodiscard]] call_attempt const& last() const { return this->all.back(); }
    [[nodiscard]] call_attempt const& at(attempt_index attempt) const
    {
        return this->all[attempt];
    }

private:
    void report(
        call_environment& environment,
        call_attempt const& ended,
        call_result result) const;

    call_attributes const& attributes;
    std::vector<call_attempt> all;
};

} // namespace foxtaillift::routing::detail
