#include "foxtaillift/settings/address.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace foxtaillift::settings
{

namespace
{

bool is_ip_number(std::string const& text, int family)
{
    unsigned char buffer[sizeof(in6_addr)];
    return inet_pton(family, text.c_str(), buffer) == 1;
}

} // namespace

std::string ip_address::str() const
{
    bool const is_v6 = this->ip.find(':') != std::string::npos;
    auto const shown = is_v6 ? "[" + this->ip + "]" : this->ip;
    return shown + ":" + std::to_string(this->port);
}

std::optional<ip_address> parse_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos || colon + 1 == text.size()) {
        return std::nullopt;
    }
    auto const digits = text.substr(colon + 1);
    ip_address result;
    auto const [end, failure] = std::from_chars(
        digits.data(), digits.data() + digits.size(), result.port);
    if (failure != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    int family = AF_INET;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        family = AF_INET6;
    }
    result.ip = host;
    if (!is_ip_number(result.ip, family)) {
        return std::nullopt;
    }
    return result;
}

std::optional<peer_route> parse_route(std::string_view text)
{
    auto const equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0 ||
        !parse_address(text.substr(equals + 1))) {
        return std::nullopt;
    }
    return peer_route{
        std::string{text.substr(0, equals)},
        std::string{text.substr(equals + 1)}};
}

} // namespace foxtaillift::settings
