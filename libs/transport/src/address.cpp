#include "address.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/transport/address_text.hpp"

#include <charconv>
#include <string>

namespace foxtaillift::transport
{

std::optional<tcp::endpoint> parse_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto const digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto const parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (digits.empty() || parsed.ec != std::errc{} ||
        parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    auto number = text.substr(0, colon);
    if (number.size() > 2 && number.front() == '[' && number.back() == ']') {
        number = number.substr(1, number.size() - 2);
    }
    error_code failure;
    auto const ip = net::ip::make_address(std::string{number}, failure);
    if (failure) {
        return std::nullopt;
    }
    return tcp::endpoint{ip, port};
}

bool is_address(std::string_view text)
{
    auto const endpoint = parse_address(text);
    return endpoint && endpoint->port() != 0;
}

tcp::endpoint require_address(std::string_view text)
{
    auto const endpoint = parse_address(text);
    if (!endpoint) {
        throw base::error(
            base::error_code::invalid_argument,
            "address '" + std::string{text} +
                "' is not an IP number and a port, for example 10.0.0.1:80");
    }
    return *endpoint;
}

} // namespace foxtaillift::transport
