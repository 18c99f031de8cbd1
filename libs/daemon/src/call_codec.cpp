#include "call_codec.hpp"

#include "foxtaillift/base/error.hpp"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>

namespace foxtaillift::daemon
{

namespace
{

constexpr std::int64_t longest_deadline_ms = 24LL * 3600 * 1000;
constexpr std::size_t longest_name = 256; ///< bytes of a caller or key

constexpr std::array<std::string_view, 5> idempotent_methods{
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS"};

/// Fields that this host sets itself; a caller must not set them.
constexpr std::array<std::string_view, 4> own_fields{
    "Foxtail-Call", "Foxtail-Cell", "Foxtail-Epoch", "Foxtail-Outcome"};

bool is_own_field(std::string const& name)
{
    return std::any_of(own_fields.begin(), own_fields.end(), [&](auto own) {
        return boost::iequals(own, name);
    });
}

std::string first_segment(std::string_view target)
{
    auto const path = target.substr(0, target.find('?'));
    if (path.empty() || path.front() != '/') {
        return {};
    }
    auto const rest = path.substr(1);
    return std::string{rest.substr(0, rest.find('/'))};
}

std::optional<bool> read_idempotence(transport::request const& request)
{
    auto const field =
        transport::find_header(request.headers, "Foxtail-Idempotent");
    if (field.empty()) {
        return std::find(
                   idempotent_methods.begin(), idempotent_methods.end(),
                   request.method) != idempotent_methods.end();
    }
    if (field == "true" || field == "false") {
        return field == "true";
    }
    return std::nullopt;
}

std::optional<base::duration> read_deadline(
    transport::request const& request, base::duration default_deadline)
{
    auto const field =
        transport::find_header(request.headers, "Foxtail-Deadline-Ms");
    if (field.empty()) {
        return default_deadline;
    }
    std::int64_t ms = 0;
    auto const* const first = std::to_address(field.begin());
    auto const* const last = std::to_address(field.end());
    auto const [end, failure] = std::from_chars(first, last, ms);
    if (failure != std::errc{} || end != last || ms < 1 ||
        ms > longest_deadline_ms) {
        return std::nullopt;
    }
    return base::milliseconds(ms);
}

/// Names become parts of row keys, in which '/' separates.
bool is_row_name(std::string_view text)
{
    return text.size() <= longest_name &&
           std::none_of(text.begin(), text.end(), [](char c) {
               return c <= ' ' || c == '/' || c == '\x7f';
           });
}

} // namespace

std::optional<parsed_call> parse_call(
    transport::received_request received,
    std::string call,
    base::duration default_deadline,
    base::instant now,
    call_refusal& refusal)
{
    auto const refuse = [&](char const* reason) {
        refusal = {400, reason};
        return std::nullopt;
    };
    parsed_call out;
    auto& attributes = out.attributes;
    attributes.call = base::call_id{std::move(call)};
    attributes.service = base::service_id{first_segment(received.target)};
    if (attributes.service.empty()) {
        return refuse("the first path segment must name a service");
    }
    auto const caller =
        transport::find_header(received.headers, "Foxtail-Caller");
    attributes.caller = base::caller_id{
        caller.empty() ? received.remote_address : std::string{caller}};
    attributes.key =
        transport::find_header(received.headers, "Idempotency-Key");
    if (!is_row_name(attributes.caller.view()) ||
        !is_row_name(attributes.key)) {
        return refuse("Foxtail-Caller and Idempotency-Key must have at most "
                      "256 characters without '/' and white space");
    }
    auto const idempotence = read_idempotence(received);
    if (!idempotence) {
        return refuse("Foxtail-Idempotent must be true or false");
    }
    attributes.is_idempotent = *idempotence;
    auto const deadline = read_deadline(received, default_deadline);
    if (!deadline) {
        return refuse("Foxtail-Deadline-Ms must be a whole number from 1 to "
                      "86400000");
    }
    attributes.deadline = now + *deadline;
    attributes.path = received.target.substr(0, received.target.find('?'));
    out.request = std::move(static_cast<transport::request&>(received));
    std::erase_if(out.request.headers, [](auto const& field) {
        return is_own_field(field.name);
    });
    return out;
}

forwarded_call to_forwarded(
    parsed_call const& call,
    std::vector<base::worker_id> const& avoid,
    base::duration remaining)
{
    forwarded_call out{
        .call = call.attributes.call.str(),
        .service = call.attributes.service.str(),
        .caller = call.attributes.caller.str(),
        .method = call.request.method,
        .target = call.request.target,
        .headers = {},
        .body = call.request.body,
        .is_idempotent = call.attributes.is_idempotent,
        .remaining_ms = remaining.ms,
        .avoid = {}};
    for (auto const& field : call.request.headers) {
        out.headers.emplace_back(field.name, field.value);
    }
    for (auto const& worker : avoid) {
        out.avoid.push_back(worker.str());
    }
    return out;
}

parsed_call from_forwarded(forwarded_call message, base::instant now)
{
    parsed_call out;
    auto& attributes = out.attributes;
    attributes.call = base::call_id{std::move(message.call)};
    attributes.service = base::service_id{std::move(message.service)};
    attributes.caller = base::caller_id{std::move(message.caller)};
    attributes.path = message.target.substr(0, message.target.find('?'));
    attributes.is_idempotent = message.is_idempotent;
    attributes.is_forwarded = true;
    attributes.deadline = now + base::milliseconds(message.remaining_ms);
    for (auto& worker : message.avoid) {
        attributes.avoid.emplace_back(std::move(worker));
    }
    out.request.method = std::move(message.method);
    out.request.target = std::move(message.target);
    out.request.body = std::move(message.body);
    for (auto& [name, value] : message.headers) {
        out.request.headers.push_back({std::move(name), std::move(value)});
    }
    return out;
}

transport::request to_upstream(
    transport::request request,
    routing::call_attributes const& attributes,
    base::cell_id const& cell,
    std::uint64_t epoch)
{
    request.headers.push_back({"Foxtail-Call", attributes.call.str()});
    request.headers.push_back({"Foxtail-Cell", cell.str()});
    request.headers.push_back({"Foxtail-Epoch", std::to_string(epoch)});
    return request;
}

transport::header_list answer_headers(transport::header_list headers)
{
    constexpr std::array<std::string_view, 8> hop_fields{
        "Connection",        "Keep-Alive",     "Transfer-Encoding",
        "Content-Length",    "Upgrade",        "Proxy-Connection",
        "Foxtail-Cell-Load", "Foxtail-Outcome"};
    std::erase_if(headers, [&](auto const& field) {
        return std::any_of(
            hop_fields.begin(), hop_fields.end(),
            [&](auto name) { return boost::iequals(name, field.name); });
    });
    return headers;
}

std::string encode_headers(transport::header_list const& headers)
{
    auto out = nlohmann::json::array();
    for (auto const& field : headers) {
        out.push_back({field.name, field.value});
    }
    // Header values may hold bytes that are not UTF-8.
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

transport::header_list decode_headers(std::string const& text)
{
    transport::header_list headers;
    if (text.empty()) {
        return headers;
    }
    for (auto const& field : nlohmann::json::parse(text)) {
        headers.push_back(
            {field.at(0).get<std::string>(), field.at(1).get<std::string>()});
    }
    return headers;
}

std::string claim_key(routing::call_attributes const& attributes)
{
    return "call/" + attributes.caller.str() + "/" + attributes.key;
}

std::string encode_claim(routing::claim_row const& claim)
{
    nlohmann::json out = {{"operation", claim.operation}};
    if (claim.answer) {
        auto const* const first = claim.answer->body.data();
        auto const* const last = first + claim.answer->body.size();
        out["answer"] = {
            {"status", claim.answer->status},
            {"headers", claim.answer->headers},
            // Bodies are arbitrary bytes; JSON strings are not.
            {"body", std::vector<std::uint8_t>(first, last)},
            {"has_body", claim.answer->has_body}};
    }
    return out.dump();
}

routing::claim_row decode_claim(std::string const& text, std::uint64_t version)
{
    try {
        auto const in = nlohmann::json::parse(text);
        routing::claim_row claim{
            .operation = in.at("operation").get<std::string>(),
            .answer = {},
            .version = version};
        if (in.contains("answer")) {
            auto const& answer = in.at("answer");
            auto const body =
                answer.at("body").get<std::vector<std::uint8_t>>();
            claim.answer = routing::stored_answer{
                .status = answer.at("status").get<std::uint16_t>(),
                .headers = answer.at("headers").get<std::string>(),
                .body = std::string(body.begin(), body.end()),
                .has_body = answer.at("has_body").get<bool>()};
        }
        return claim;
    } catch (nlohmann::json::exception const& failure) {
        throw base::error(base::error_code::corrupt_data, failure.what());
    }
}

} // namespace foxtaillift::daemon
