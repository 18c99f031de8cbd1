/// Addresses as foreign lists and settings write them.
#pragma once

#include <string_view>

namespace foxtaillift::transport
{

/// True for an IP number and a port that a connection can be opened to:
/// "10.0.0.1:80" or "[::1]:80", ports 1 to 65535.
[[nodiscard]] bool is_address(std::string_view text);

} // namespace foxtaillift::transport
