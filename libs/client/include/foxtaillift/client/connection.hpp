/// Requests to the operator listeners of entry hosts.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/transport/exchange.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace foxtaillift::client
{

struct connection_options
{
    std::vector<std::string> addresses; ///< tried in order
    /// Hexadecimal pre-shared key; empty: without TLS, as entry hosts of the
    /// job service answer.
    std::string key;
    base::duration timeout = base::seconds(10);
};

struct answer
{
    int status = 0; ///< of HTTP
    nlohmann::json body;

    [[nodiscard]] bool is_done() const
    {
        return this->status >= 200 && this->status < 300;
    }
};

/// Blocks for each answer. A request that may have been executed is not sent to
/// a second host.
class connection
{
public:
    /// \throws base::error (invalid_argument) if there is no address or the key
    /// is not hexadecimal.
    explicit connection(connection_options options);

    /// \throws base::error (unavailable) if no host answers.
    answer get(std::string const& path) const;
    /// The same, from the leader if the host names one.
    answer get_from_leader(std::string const& path) const;
    answer post(std::string const& path, nlohmann::json const& body) const;
    answer remove(std::string const& path) const;

private:
    transport::exchange_result exchange(
        std::string const& address,
        std::string const& method,
        std::string const& path,
        std::string const& body) const;
    answer send(
        std::string const& method,
        std::string const& path,
        std::string const& body) const;

    connection_options options;
};

} // namespace foxtaillift::client
