#include "foxtaillift/transport/message.hpp"

#include <algorithm>

namespace foxtaillift::transport
{

namespace
{

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

} // namespace

std::string_view find_header(header_list const& headers, std::string_view name)
{
    for (auto const& field : headers) {
        if (std::ranges::equal(field.name, name, {}, lower, lower)) {
            return field.value;
        }
    }
    return {};
}

} // namespace foxtaillift::transport
