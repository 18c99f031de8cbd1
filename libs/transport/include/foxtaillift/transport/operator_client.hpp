/// Synchronous client of the operator listener, for the command line.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/transport/exchange.hpp"

#include <cstddef>
#include <string>

namespace foxtaillift::transport
{

struct operator_client_options
{
    std::string address{}; ///< "10.0.0.1:7002"
    std::string key{};     ///< pre-shared key of the operator listener
    base::duration timeout = base::seconds(10); ///< of one whole request
    std::size_t body_limit = 64UL * 1024 * 1024;
};

/// Sends requests over TLS 1.3, one connection each, and blocks for the answer.
///
///     operator_client client{{.address = address, .key = key}};
///     auto result = client.send({.target = "/v1/status"});
class operator_client
{
public:
    /// Throws base::error if the address is malformed or the key too short.
    explicit operator_client(operator_client_options client_options);

    [[nodiscard]] exchange_result send(request const& message) const;

private:
    operator_client_options options;
};

} // namespace foxtaillift::transport
