/// Minimal HTTP/1.1 server and client for the stand-ins. Single-threaded: all
/// functions run on the thread of their io_context.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::standin
{

struct http_request
{
    std::string method = "GET";
    std::string path; ///< without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    /// Value of a header (name in lower case) or an empty string.
    [[nodiscard]] std::string header(std::string const& name) const;
    /// Numeric query parameter, or `fallback` if it is absent or not a number.
    [[nodiscard]] std::int64_t
    query_number(std::string const& name, std::int64_t fallback) const;
};

/// How much of an answer the server sends.
enum class delivery
{
    whole,
    cut_body,    ///< header and half of the body, then the connection closes
    close,       ///< nothing, the connection closes
    keep_silent, ///< nothing, the connection stays open until the client closes
};

struct http_answer
{
    unsigned status = 200;
    std::string body = "{}";
    std::map<std::string, std::string> headers;
    delivery sent = delivery::whole;
};

using http_handler =
    std::function<boost::asio::awaitable<http_answer>(http_request)>;

struct http_server_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;             ///< 0: chosen by the system
    std::size_t max_connections = 4096; ///< one more is closed at once
};

/// Serves until its io_context stops; must outlive the run of the io_context.
/// If a handler throws, the answer is 400 "not run" with the message: handlers
/// throw only for input that they cannot read.
class http_server
{
public:
    http_server(
        boost::asio::io_context& context,
        http_server_options options,
        http_handler handler);

    [[nodiscard]] std::string address() const; ///< "127.0.0.1:4000"
    boost::asio::any_io_executor executor() { return acceptor.get_executor(); }

    std::size_t open_connections = 0;
    std::size_t peak_connections = 0;
    std::size_t refused_connections = 0; ///< beyond the bound
    std::size_t broken_connections = 0;  ///< closed by clients or not HTTP

private:
    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void>
    serve_connection(boost::asio::ip::tcp::socket socket);

    http_server_options options;
    http_handler handler;
    boost::asio::ip::tcp::acceptor acceptor;
};

enum class fetch_status
{
    answered,
    not_connected, ///< nothing was sent
    lost,          ///< sent at least in part, no complete answer in time
};

struct fetch_result
{
    fetch_status status = fetch_status::not_connected;
    http_answer answer;
    std::string message; ///< reason if not answered
};

/// Sends one request over a new connection. `address` is "127.0.0.1:4000";
/// `request.path` may contain a query. Bounded by `timeout`.
boost::asio::awaitable<fetch_result>
fetch(std::string address, http_request request, base::duration timeout);

/// Blocking variant on an io_context of its own.
fetch_result fetch_blocking(
    std::string const& address, http_request request, base::duration timeout);

boost::asio::awaitable<void> sleep_for(base::duration time);

/// Answer that the work was certainly not executed.
http_answer not_run_answer(unsigned status, std::string_view message);

/// Prints the line `event=listening role=... address=...` to stdout.
void announce(std::string_view role, std::string_view address);

/// Runs until SIGTERM or SIGINT arrives.
void run_until_signal(boost::asio::io_context& context);

} // namespace foxtaillift::standin
