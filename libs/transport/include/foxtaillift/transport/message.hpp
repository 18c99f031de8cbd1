/// HTTP messages with whole bodies, independent of the protocol version.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::transport
{

struct header_field
{
    std::string name{};
    std::string value{};

    bool operator==(header_field const&) const = default;
};

using header_list = std::vector<header_field>;

/// Returns the value of the first field of that name, compared without regard
/// to case, or an empty view.
std::string_view find_header(header_list const& headers, std::string_view name);

/// A request to send. The transport adds the fields that describe the
/// connection and the length of the body; those in `headers` are dropped.
struct request
{
    std::string method = "GET";
    std::string target = "/"; ///< path with query, starts with '/'
    header_list headers{};
    std::string body{};
};

/// A request as a server received it.
struct received_request : request
{
    std::string remote_address{}; ///< IP number of the sender, without port
};

struct response
{
    int status = 200;
    header_list headers{};
    std::string body{};
    /// A server closes the connection after this answer, so that the caller's
    /// next request may reach another host.
    bool closes_connection = false;
};

} // namespace foxtaillift::transport
