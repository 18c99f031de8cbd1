/// Socket calls whose failure changes nothing for the caller.
#pragma once

#include "asio.hpp"

#include <netinet/tcp.h>

namespace foxtaillift::transport
{

using user_timeout_option =
    net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using unsent_option =
    net::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

/// Closes the socket. The descriptor is released even if close reports an
/// error.
template <class Socket>
void close_socket(Socket& socket)
{
    error_code failure;
    failure = socket.close(failure);
}

/// Sets an option that only improves timing. It fails on a socket that the
/// other side has just reset; the next read or write reports that.
template <class Socket, class Option>
void tune(Socket& socket, Option const& option)
{
    error_code failure;
    failure = socket.set_option(option, failure);
}

} // namespace foxtaillift::transport
