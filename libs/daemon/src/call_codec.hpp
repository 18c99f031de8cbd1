/// Calls as they arrive from callers and travel between entry hosts.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/routing/call_messages.hpp"
#include "foxtaillift/transport/message.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtaillift::daemon
{

/// Body of `/peer/call`. The answer to it is the answer to the call, with
/// `Foxtail-Outcome`.
struct forwarded_call
{
    std::string call;
    std::string service;
    std::string caller;
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool is_idempotent = false;
    std::int64_t remaining_ms = 0; ///< until the caller's deadline
    std::vector<std::string> avoid;
    MSGPACK_DEFINE(
        call,
        service,
        caller,
        method,
        target,
        headers,
        body,
        is_idempotent,
        remaining_ms,
        avoid)
};

/// A request that is not a valid call, with the reason for the caller.
struct call_refusal
{
    int status = 400;
    std::string reason;
};

struct parsed_call
{
    routing::call_attributes attributes;
    transport::request request; ///< to send to the upstream
};

/// Reads service, caller, key, idempotence and deadline from a request.
/// \return nothing and the reason in `refusal` if a header is malformed.
std::optional<parsed_call> parse_call(
    transport::received_request received,
    std::string call,
    base::duration default_deadline,
    base::instant now,
    call_refusal& refusal);

forwarded_call to_forwarded(
    parsed_call const& call,
    std::vector<base::worker_id> const& avoid,
    base::duration remaining);
parsed_call from_forwarded(forwarded_call message, base::instant now);

/// Adds the fields that the worker checks and audits.
transport::request to_upstream(
    transport::request request,
    routing::call_attributes const& attributes,
    base::cell_id const& cell,
    std::uint64_t epoch);

/// Removes the fields that only concern the hop that is over.
transport::header_list answer_headers(transport::header_list headers);

/// Headers within a stored answer.
std::string encode_headers(transport::header_list const& headers);
transport::header_list decode_headers(std::string const& text);

/// Value of the row `call/<caller>/<key>`.
std::string encode_claim(routing::claim_row const& claim);
routing::claim_row decode_claim(std::string const& text, std::uint64_t version);
std::string claim_key(routing::call_attributes const& attributes);

} // namespace foxtaillift::daemon
