/// Parses "10.0.0.1:80" and "[::1]:80".
#pragma once

#include "asio.hpp"

#include <optional>
#include <string_view>

namespace foxtaillift::transport
{

std::optional<tcp::endpoint> parse_address(std::string_view text);

/// Like parse_address, but throws base::error for a malformed address.
tcp::endpoint require_address(std::string_view text);

} // namespace foxtaillift::transport
