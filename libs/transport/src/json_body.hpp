/// JSON bodies of requests and answers for the platform adapters.
#pragma once

#include "foxtaillift/base/bounded_json.hpp"
#include "foxtaillift/transport/exchange.hpp"

#include <nlohmann/json.hpp>

#include <exception>
#include <optional>
#include <string>
#include <string_view>

namespace foxtaillift::transport
{

inline request
make_json_request(std::string_view target, nlohmann::json const& body)
{
    return {
        .method = "POST",
        .target = std::string{target},
        .headers = {{"Content-Type", "application/json"}},
        // Bytes that are not UTF-8 are replaced; they cannot be sent as JSON.
        .body = body.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

/// Reads the body with `read`; no value if it is not the expected JSON, with
/// the reason in `message`.
template <class Read>
auto read_json(response const& answer, Read read, std::string& message)
    -> std::optional<decltype(read(nlohmann::json{}))>
{
    try {
        return read(base::parse_json(answer.body));
    } catch (std::exception const& failure) {
        message = "unreadable answer with status " +
                  std::to_string(answer.status) + ": " + failure.what();
        return std::nullopt;
    }
}

/// Describes an answer with an unexpected status, with the start of its body.
std::string describe(response const& answer);

/// True if the answer states that the request had no effect.
bool states_not_run(response const& answer);

} // namespace foxtaillift::transport
