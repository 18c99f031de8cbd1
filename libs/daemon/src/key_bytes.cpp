#include "key_bytes.hpp"

#include <boost/algorithm/hex.hpp>

#include <iterator>

namespace foxtaillift::daemon
{

std::string key_bytes(std::string_view hexadecimal)
{
    std::string bytes;
    boost::algorithm::unhex(hexadecimal, std::back_inserter(bytes));
    return bytes;
}

} // namespace foxtaillift::daemon
