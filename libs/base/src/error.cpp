#include "foxtaillift/base/error.hpp"

namespace foxtaillift::base
{

std::string_view to_string(error_code code)
{
    switch (code) {
    case error_code::invalid_argument:
        return "invalid_argument";
    case error_code::invalid_state:
        return "invalid_state";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::unavailable:
        return "unavailable";
    case error_code::corrupt_data:
        return "corrupt_data";
    }
    return "unknown";
}

error::error(error_code code, std::string const& message)
    : std::runtime_error(message)
    , value(code)
{}

} // namespace foxtaillift::base
