/// Events and actions of calls.
#pragma once

#include "foxtaillift/routing/admission.hpp"
#include "foxtaillift/routing/call_claim.hpp"

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/identifier.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtaillift::routing
{

/// Value of the header Foxtail-Outcome.
enum class call_outcome
{
    ran,
    not_run, ///< certainly not executed
    unknown,
};

std::string_view to_string(call_outcome value);

/// What the daemon read from the request.
struct call_attributes
{
    base::call_id call = {};
    base::service_id service = {};
    base::caller_id caller = {};
    std::string path = {}; ///< request target without the query
    std::string key = {};  ///< Idempotency-Key, or empty
    bool is_idempotent = false;
    /// The call came from a peer: it is not forwarded, retried, hedged or
    /// claimed here, because the host that received it does that.
    bool is_forwarded = false;
    base::instant deadline{};
    /// Forwarded calls: workers that already had an attempt.
    std::vector<base::worker_id> avoid = {};
};

using attempt_index = std::uint32_t; ///< counts the attempts of one call

// Events.
struct call_arrived
{
    call_handle call = 0;
    call_attributes attributes;
    std::string operation = {}; ///< unique id for the claim of a keyed call
};
struct claim_result
{
    call_handle call = 0;
    claim_event result;
};
struct dispatch_failed ///< connecting or sending failed
{
    call_handle call = 0;
    attempt_index attempt = 0;
    bool may_have_left = true; ///< any byte of the request may have left
};
/// The worker, or the peer of a forwarded call, answered "not run".
struct attempt_refused
{
    call_handle call = 0;
    attempt_index attempt = 0;
    bool is_stale_epoch = false;
};
struct answer_complete
{
    call_handle call = 0;
    attempt_index attempt = 0;
    stored_answer answer = {}; ///< headers and body only for keyed calls
};
/// The answer ended early, was malformed, came too late, or a peer answered
/// "unknown" to a forwarded call.
struct answer_broken
{
    call_handle call = 0;
    attempt_index attempt = 0;
};
struct timer_expired ///< the instant of the last wait_until has come
{
    call_handle call = 0;
};
struct caller_gone
{
    call_handle call = 0;
};
using call_event = std::variant<
    call_arrived,
    claim_result,
    dispatch_failed,
    attempt_refused,
    answer_complete,
    answer_broken,
    timer_expired,
    caller_gone>;

// Actions.
struct claim_work ///< claim_create, claim_read, claim_store or claim_delete
{
    call_handle call = 0;
    claim_action work;
    std::string operation;
};
struct dispatch
{
    call_handle call = 0;
    attempt_index attempt = 0;
    base::worker_id worker;
    base::cell_id cell;
    std::uint64_t epoch = 0;
    base::instant deadline{};
};
struct forward
{
    call_handle call = 0;
    attempt_index attempt = 0;
    base::host_id host;
    base::cell_id cell; ///< for the log; the host picks the worker
    base::instant deadline{};
    std::vector<base::worker_id> avoid = {};
};
struct wait_until ///< replaces the call's former timer
{
    call_handle call = 0;
    base::instant when{};
};
struct cancel_attempt ///< close or reset its stream; drop its answer
{
    call_handle call = 0;
    attempt_index attempt = 0;
};
/// Exactly one for each call whose caller is not gone.
struct reply
{
    call_handle call = 0;
    std::uint16_t status = 0;
    call_outcome outcome = call_outcome::unknown;
    std::string_view reason;
    /// Pass on the answer of this attempt.
    std::optional<attempt_index> answer_of = std::nullopt;
    /// Answer stored under the call's key.
    std::optional<stored_answer> stored = std::nullopt;
    /// Retry-After; 0: without the header.
    base::duration retry_after{};
};
struct call_ended ///< the handle is free; no further action names it
{
    call_handle call = 0;
};
struct log_line
{
    std::string text;
};
using call_action = std::variant<
    claim_work,
    dispatch,
    forward,
    wait_until,
    cancel_attempt,
    reply,
    call_ended,
    log_line>;

} // namespace foxtaillift::routing
