/// Asio with the names that the sources of the transport use. Not included by
/// headers that can do without: a source file with it compiles for 8 to 10 s.
#pragma once

// Asio 1.74 uses std::exchange without including its header.
#include <utility>

#include <boost/asio.hpp>

namespace foxtaillift::transport
{

namespace net = boost::asio;
using tcp = net::ip::tcp;
using boost::system::error_code;

} // namespace foxtaillift::transport
