/// Addresses as text, "127.0.0.1:4000".
#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace foxtaillift::standin
{

/// Throws std::invalid_argument if the text is not an IP number and a port.
boost::asio::ip::tcp::endpoint parse_endpoint(std::string const& address);

std::string to_text(boost::asio::ip::tcp::endpoint const& endpoint);

} // namespace foxtaillift::standin
