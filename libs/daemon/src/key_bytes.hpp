/// Keys of the settings file as bytes.
#pragma once

#include <string>
#include <string_view>

namespace foxtaillift::daemon
{

/// Decodes hexadecimal digits. The settings checker has verified them.
std::string key_bytes(std::string_view hexadecimal);

} // namespace foxtaillift::daemon
