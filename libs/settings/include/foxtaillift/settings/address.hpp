/// Addresses in settings: "IP:port" with an IPv4 number or "[IPv6]:port".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtaillift::settings
{

struct ip_address
{
    std::string ip;
    std::uint16_t port = 0;

    /// "IP:port", with brackets around an IPv6 number.
    [[nodiscard]] std::string str() const;
};

/// Returns nothing if `text` is not an IP number with a port. Names are not
/// resolved.
std::optional<ip_address> parse_address(std::string_view text);

struct peer_route
{
    std::string host;
    std::string address;
};

/// Splits "host=IP:port"; returns nothing if the text has another form.
std::optional<peer_route> parse_route(std::string_view text);

} // namespace foxtaillift::settings
