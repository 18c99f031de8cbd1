#include "foxtaillift/standin/http.hpp"

#include "endpoint.hpp"

#include "foxtaillift/base/event_line.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <iostream>

namespace foxtaillift::standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

namespace
{

constexpr std::uint64_t max_body_bytes = std::uint64_t{16} << 20U;

void split_target(std::string_view target, http_request& request)
{
    auto const mark = target.find('?');
    request.path = std::string{target.substr(0, mark)};
    while (mark != std::string_view::npos && !target.empty()) {
        target.remove_prefix(std::min(target.size(), target.find('?') + 1));
        while (!target.empty()) {
            auto const end = std::min(target.find('&'), target.size());
            auto const item = target.substr(0, end);
            auto const equals = std::min(item.find('='), item.size());
            auto const value = std::min(equals + 1, item.size());
            request.query.emplace(item.substr(0, equals), item.substr(value));
            target.remove_prefix(std::min(end + 1, target.size()));
        }
    }
}

http_request convert(http::request<http::string_body>&& message)
{
    http_request request;
    request.method = std::string{message.method_string()};
    split_target({message.target().data(), message.target().size()}, request);
    for (auto const& field : message) {
        std::string name{field.name_string()};
        std::transform(name.begin(), name.end(), name.begin(), [](char c) {
            return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        });
        request.headers.emplace(std::move(name), field.value());
    }
    request.body = std::move(message.body());
    return request;
}

http::response<http::string_body>
convert(http_answer&& answer, http::verb method, bool is_keep_alive)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(answer.status);
    message.set(http::field::content_type, "application/json");
    for (auto const& [name, value] : answer.headers) {
        message.set(name, value);
    }
    message.keep_alive(is_keep_alive);
    message.content_length(answer.body.size());
    if (method != http::verb::head) {
        message.body() = std::move(answer.body);
    }
    return message;
}

asio::awaitable<void>
send_half(beast::tcp_stream& stream, http::response<http::string_body>& message)
{
    message.body().resize(message.body().size() / 2);
    http::response_serializer<http::string_body> serializer{message};
    co_await http::async_write(stream, serializer, use_awaitable);
    stream.socket().shutdown(tcp::socket::shutdown_both);
}

asio::awaitable<void> wait_for_close(beast::tcp_stream& stream)
{
    std::array<char, 512> ignored{};
    for (;;) { // ends with the exception of the closed connection
        co_await stream.async_read_some(asio::buffer(ignored), use_awaitable);
    }
}

} // namespace

std::string http_request::header(std::string const& name) const
{
    auto const found = this->headers.find(name);
    return found == this->headers.end() ? std::string{} : found->second;
}

std::int64_t
http_request::query_number(std::string const& name, std::int64_t fallback) const
{
    auto const found = this->query.find(name);
    if (found == this->query.end()) {
        return fallback;
    }
    std::string const& text = found->second;
    std::int64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http_server::http_server(
    asio::io_context& context,
    http_server_options server_options,
    http_handler request_handler)
    : options(std::move(server_options))
    , handler(std::move(request_handler))
    , acceptor(
          context,
          tcp::endpoint{
              asio::ip::make_address(this->options.address),
              this->options.port})
{
    asio::co_spawn(context, this->accept_connections(), asio::detached);
}

std::string http_server::address() const
{
    return to_text(this->acceptor.local_endpoint());
}

asio::awaitable<void> http_server::accept_connections()
{
    for (;;) {
        tcp::socket socket =
            co_await this->acceptor.async_accept(use_awaitable);
        if (this->open_connections >= this->options.max_connections) {
            ++this->refused_connections;
            continue;
        }
        ++this->open_connections;
        this->peak_connections =
            std::max(this->peak_connections, this->open_connections);
        asio::co_spawn(
            this->acceptor.get_executor(),
            this->serve_connection(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> http_server::serve_connection(tcp::socket socket)
{
    beast::tcp_stream stream{std::move(socket)};
    stream.socket().set_option(tcp::no_delay{true});
    beast::flat_buffer buffer;
    try {
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(max_body_bytes);
            co_await http::async_read(stream, buffer, parser, use_awaitable);
            auto message = parser.release();
            auto const method = message.method();
            bool const is_keep_alive = message.keep_alive();
            http_request request = convert(std::move(message));
            http_answer answer;
            try {
                answer = co_await this->handler(std::move(request));
            } catch (std::exception const& failure) {
                answer = not_run_answer(400, failure.what());
            }
            auto const sent = answer.sent;
            if (sent == delivery::keep_silent) {
                co_await wait_for_close(stream);
            }
            if (sent == delivery::close) {
                break;
            }
            auto response = convert(std::move(answer), method, is_keep_alive);
            if (sent == delivery::cut_body) {
                co_await send_half(stream, response);
                break;
            }
            co_await http::async_write(stream, response, use_awaitable);
            if (!is_keep_alive) {
                stream.socket().shutdown(tcp::socket::shutdown_send);
                break;
            }
        }
    } catch (boost::system::system_error const&) {
        // The client closed the connection or sent something else than HTTP.
        ++this->broken_connections;
    }
    --this->open_connections;
}

asio::awaitable<void> sleep_for(base::duration time)
{
    asio::steady_timer timer{
        co_await asio::this_coro::executor, time.to_chrono()};
    co_await timer.async_wait(use_awaitable);
}

http_answer not_run_answer(unsigned status, std::string_view message)
{
    http_answer answer;
    answer.status = status;
    answer.headers["Foxtail-Outcome"] = "not-run";
    answer.body = nlohmann::json{{"message", message}}.dump();
    return answer;
}

void announce(std::string_view role, std::string_view address)
{
    base::event_line line{"listening"};
    line.add("role", role).add("address", address);
    std::cout << line.str() << '\n' << std::flush;
}

void run_until_signal(asio::io_context& context)
{
    asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait(
        [&context](boost::system::error_code, int) { context.stop(); });
    context.run();
}

} // namespace foxtaillift::standin
