/// The life of one call.
#pragma once

#include "attempts.hpp"

#include "foxtaillift/routing/call_claim.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace foxtaillift::routing::detail
{

/// State machine of one call, from its arrival to its only reply. Ties the
/// claim, the queues, the choice of a worker, retries and hedging together.
class call_flow
{
public:
    call_flow(call_handle call, call_attributes from);

    void arrive(call_environment& environment, std::string operation);
    void handle(call_environment& environment, claim_result const& event);
    void handle(call_environment& environment, dispatch_failed const& event);
    void handle(call_environment& environment, attempt_refused const& event);
    void handle(call_environment& environment, answer_complete const& event);
    void handle(call_environment& environment, answer_broken const& event);
    void handle(call_environment& environment, timer_expired const& event);
    void handle(call_environment& environment, caller_gone const& event);

    /// It is this waiting call's turn. With `released`, only that worker is
    /// considered. Returns false if there is no slot for it.
    bool try_start(
        call_environment& environment,
        base::worker_id const* released = nullptr);
    /// The queue gave this call up.
    void refuse(call_environment& environment, refusal why);

    [[nodiscard]] bool is_done() const { return this->current == step::done; }

private:
    enum class step
    {
        claiming, ///< the claim of the key is written or read
        waiting,  ///< in a queue
        backing_off,
        running,   ///< at least one attempt is active
        finishing, ///< replied; the final write of the claim is pending
        done,
    };

    void perform(call_environment& environment, claim_action action);
    void enter(call_environment& environment);
    void begin_attempt(call_environment& environment, choice chosen);
    [[nodiscard]] waiting_call as_waiting() const;

    void on_failure(
        call_environment& environment,
        attempt_index attempt,
        bool is_certainly_not_run,
        call_result result);
    bool may_retry(call_environment const& environment) const;
    bool take_token(call_environment& environment) const;
    void schedule_retry(call_environment& environment);
    void fail(call_environment& environment, std::string_view reason);

    void on_deadline(call_environment& environment);
    void report_overdue(call_environment& environment);
    void hedge(call_environment& environment);
    void set_timer(call_environment& environment);

    [[nodiscard]] call_outcome outcome() const;
    void answer(call_environment& environment, reply what);
    void
    end(call_environment& environment, std::optional<stored_answer> answer);
    void log_choice(
        call_environment& environment,
        choice const& chosen,
        std::uint64_t version,
        std::string_view purpose) const;
    void log_retry(call_environment& environment, base::duration wait) const;
    void log_reply(call_environment& environment, reply const& what) const;

    call_handle handle_number;
    call_attributes attributes;
    call_attempts attempts;
    std::optional<call_claim> claim;
    std::string operation;
    run_class kind = run_class::short_call;
    step current = step::claiming;
    bool has_replied = false; ///< or the caller is gone
    bool some_ran = false;
    bool some_unknown = false;
    bool has_hedged = false;
    std::uint32_t retries = 0;
    double typical_ms = 0;
    base::instant retry_at{};
    base::instant hedge_at{};
    base::instant long_at{};
    std::optional<base::instant> timer;
};

} // namespace foxtaillift::routing::detail
