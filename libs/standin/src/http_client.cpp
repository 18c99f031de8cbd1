#include "foxtaillift/standin/http.hpp"

#include "endpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <stdexcept>

namespace foxtaillift::standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

namespace
{

http::request<http::string_body>
convert(http_request&& request, std::string const& address)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.path);
    message.set(http::field::host, address);
    message.set(http::field::connection, "close");
    for (auto const& [name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

http_answer convert(http::response<http::string_body>&& message)
{
    http_answer answer;
    answer.status = message.result_int();
    for (auto const& field : message) {
        std::string name{field.name_string()};
        for (char& c : name) {
            c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        }
        answer.headers.emplace(std::move(name), field.value());
    }
    answer.body = std::move(message.body());
    return answer;
}

} // namespace

tcp::endpoint parse_endpoint(std::string const& address)
{
    auto const colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        char const* const end = address.data() + address.size();
        std::from_chars(address.data() + colon + 1, end, port);
    }
    if (port == 0) {
        throw std::invalid_argument("'" + address + "' is not IP:PORT");
    }
    return {asio::ip::make_address(address.substr(0, colon)), port};
}

std::string to_text(tcp::endpoint const& endpoint)
{
    return endpoint.address().to_string() + ":" +
           std::to_string(endpoint.port());
}

asio::awaitable<fetch_result>
fetch(std::string address, http_request request, base::duration timeout)
{
    constexpr std::uint64_t max_answer_bytes = std::uint64_t{256}
                                               << 20U; // audits
    fetch_result result;
    try {
        beast::tcp_stream stream{co_await asio::this_coro::executor};
        stream.expires_after(timeout.to_chrono());
        co_await stream.async_connect(parse_endpoint(address), use_awaitable);
        result.status = fetch_status::lost;
        bool const is_head = request.method == "HEAD";
        auto message = convert(std::move(request), address);
        co_await http::async_write(stream, message, use_awaitable);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_answer_bytes);
        parser.skip(is_head);
        co_await http::async_read(stream, buffer, parser, use_awaitable);
        result.answer = convert(parser.release());
        result.status = fetch_status::answered;
    } catch (std::exception const& failure) {
        result.message = failure.what();
    }
    co_return result;
}

fetch_result fetch_blocking(
    std::string const& address, http_request request, base::duration timeout)
{
    asio::io_context context;
    fetch_result result;
    auto const run = [&]() -> asio::awaitable<void> {
        result = co_await fetch(address, std::move(request), timeout);
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return result;
}

} // namespace foxtaillift::standin
