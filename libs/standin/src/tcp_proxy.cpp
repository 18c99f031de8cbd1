#include "foxtaillift/standin/tcp_proxy.hpp"

#include "endpoint.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace foxtaillift::standin
{

namespace asio = boost::asio;
using asio::use_awaitable;
using asio::ip::tcp;
using nlohmann::json;

namespace
{

struct proxy_connection
{
    explicit proxy_connection(tcp::socket accepted)
        : client(std::move(accepted))
        , target(client.get_executor())
    {}

    void close()
    {
        boost::system::error_code failure;
        failure = this->client.close(failure);
        failure = this->target.close(failure);
    }

    /// Closes with RST instead of FIN.
    void reset()
    {
        boost::system::error_code failure;
        asio::socket_base::linger const at_once{true, 0};
        failure = this->client.set_option(at_once, failure);
        failure = this->target.set_option(at_once, failure);
        this->close();
    }

    tcp::socket client;
    tcp::socket target;
    bool is_silent = false;
};

using connection_pointer = std::shared_ptr<proxy_connection>;

void read_faults(json const& in, proxy_faults& value)
{
    value.direction = in.value("direction", value.direction);
    value.delay_ms = in.value("delay_ms", value.delay_ms);
    value.cut_after_bytes = in.value("cut_after_bytes", value.cut_after_bytes);
    value.stall = in.value("stall", value.stall);
    value.drop_silently = in.value("drop_silently", value.drop_silently);
    value.reset = in.value("reset", value.reset);
    value.refuse = in.value("refuse", value.refuse);
    value.new_connections = in.value("new_connections", value.new_connections);
    value.target = in.value("target", value.target);
}

} // namespace

class tcp_proxy::implementation
{
public:
    implementation(asio::io_context& context, tcp_proxy_options proxy_options)
        : options(std::move(proxy_options))
        , endpoint(
              asio::ip::make_address(this->options.address), this->options.port)
        , acceptor(context)
        , control(
              context,
              {this->options.address, this->options.control_port},
              [this](http_request request) {
                  return this->handle(std::move(request));
              })
    {
        this->listen();
        this->endpoint = this->acceptor.local_endpoint();
    }

    [[nodiscard]] std::string address() const
    {
        return to_text(this->endpoint);
    }
    [[nodiscard]] std::string control_address() const
    {
        return this->control.address();
    }

private:
    void listen();
    asio::awaitable<http_answer> handle(http_request request);
    void apply(json const& in);
    asio::awaitable<void> accept_connections();
    asio::awaitable<void> connect(connection_pointer connection);
    asio::awaitable<void>
    pump(connection_pointer connection, std::string direction);
    asio::awaitable<bool> forward(
        connection_pointer connection,
        std::string direction,
        std::string bytes,
        std::int64_t already);
    asio::awaitable<void> wait_for_stall(std::string direction);

    [[nodiscard]] bool is_new_affected() const
    {
        return this->faults.new_connections != "pass";
    }
    [[nodiscard]] bool has_direction(std::string const& direction) const
    {
        return this->faults.direction == "both" ||
               this->faults.direction == direction;
    }

    tcp_proxy_options options;
    proxy_faults faults;
    tcp::endpoint endpoint;
    tcp::acceptor acceptor;
    std::set<connection_pointer> connections;
    std::int64_t accepted = 0;
    std::int64_t bytes_to_target = 0;
    std::int64_t bytes_to_client = 0;
    http_server control;
};

void tcp_proxy::implementation::listen()
{
    this->acceptor.open(this->endpoint.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address{true});
    this->acceptor.bind(this->endpoint);
    this->acceptor.listen();
    asio::co_spawn(
        this->acceptor.get_executor(), this->accept_connections(),
        asio::detached);
}

asio::awaitable<void> tcp_proxy::implementation::accept_connections()
{
    for (;;) { // ends with an exception when the acceptor is closed
        auto const connection = std::make_shared<proxy_connection>(
            co_await this->acceptor.async_accept(use_awaitable));
        ++this->accepted;
        if (this->connections.size() >= this->options.max_connections) {
            continue;
        }
        if (this->faults.reset && this->is_new_affected()) {
            connection->reset();
            continue;
        }
        connection->is_silent =
            this->faults.drop_silently && this->is_new_affected();
        this->connections.insert(connection);
        asio::co_spawn(
            this->acceptor.get_executor(), this->connect(connection),
            asio::detached);
    }
}

asio::awaitable<void>
tcp_proxy::implementation::connect(connection_pointer connection)
{
    try {
        auto const& target = this->faults.target.empty() ? this->options.target
                                                         : this->faults.target;
        co_await connection->target.async_connect(
            parse_endpoint(target), use_awaitable);
        connection->client.set_option(tcp::no_delay{true});
        connection->target.set_option(tcp::no_delay{true});
        asio::co_spawn(
            this->acceptor.get_executor(), this->pump(connection, "to_target"),
            asio::detached);
        co_await this->pump(connection, "to_client");
    } catch (boost::system::system_error const&) {
        connection->reset(); // like a target that does not listen
    }
    this->connections.erase(connection);
}

asio::awaitable<void> tcp_proxy::implementation::pump(
    connection_pointer connection, std::string direction)
{
    bool const is_to_target = direction == "to_target";
    auto& from = is_to_target ? connection->client : connection->target;
    auto& to = is_to_target ? connection->target : connection->client;
    std::array<char, 16384> buffer{};
    std::int64_t forwarded = 0;
    bool is_open = true;
    while (is_open) {
        co_await this->wait_for_stall(direction);
        boost::system::error_code failure;
        auto const count = co_await from.async_read_some(
            asio::buffer(buffer), asio::redirect_error(use_awaitable, failure));
        if (failure && connection->is_silent) {
            co_return; // the other side sees nothing of the end either
        }
        if (failure == asio::error::eof) {
            failure = to.shutdown(tcp::socket::shutdown_send, failure);
            co_return;
        }
        if (failure) {
            connection->reset();
            co_return;
        }
        std::string bytes{buffer.data(), count};
        is_open = co_await this->forward(
            connection, direction, std::move(bytes), forwarded);
        forwarded += static_cast<std::int64_t>(count);
    }
    connection->close();
}

// Returns false if the connection must be closed.
asio::awaitable<bool> tcp_proxy::implementation::forward(
    connection_pointer connection,
    std::string direction,
    std::string bytes,
    std::int64_t already)
{
    bool const is_to_target = direction == "to_target";
    if (this->faults.delay_ms > 0 && this->has_direction(direction)) {
        co_await sleep_for(base::milliseconds(this->faults.delay_ms));
    }
    co_await this->wait_for_stall(direction);
    if (connection->is_silent) {
        co_return true;
    }
    auto const limit = this->faults.cut_after_bytes;
    bool const is_cut =
        limit > 0 && this->has_direction(direction) &&
        already + static_cast<std::int64_t>(bytes.size()) >= limit;
    if (is_cut) {
        bytes.resize(static_cast<std::size_t>(
            std::clamp<std::int64_t>(limit - already, 0, limit)));
    }
    boost::system::error_code failure;
    auto& to = is_to_target ? connection->target : connection->client;
    co_await asio::async_write(
        to, asio::buffer(bytes), asio::redirect_error(use_awaitable, failure));
    (is_to_target ? this->bytes_to_target : this->bytes_to_client) +=
        static_cast<std::int64_t>(bytes.size());
    co_return !failure && !is_cut;
}

asio::awaitable<void>
tcp_proxy::implementation::wait_for_stall(std::string direction)
{
    while (this->faults.stall == direction) {
        co_await sleep_for(base::milliseconds(10));
    }
}

void tcp_proxy::implementation::apply(json const& in)
{
    bool const was_refusing = this->faults.refuse;
    read_faults(in, this->faults);
    for (auto const& connection : this->connections) {
        connection->is_silent =
            connection->is_silent || this->faults.drop_silently;
        if (this->faults.reset) {
            connection->reset();
        }
    }
    if (this->faults.refuse && !was_refusing) {
        this->acceptor.close();
    } else if (!this->faults.refuse && was_refusing) {
        this->listen();
    }
}

asio::awaitable<http_answer>
tcp_proxy::implementation::handle(http_request request)
{
    if (request.method == "POST") {
        this->apply(json::parse(request.body));
    }
    http_answer answer;
    answer.body =
        json{
            {"accepted", this->accepted},
            {"open", this->connections.size()},
            {"bytes_to_target", this->bytes_to_target},
            {"bytes_to_client", this->bytes_to_client}}
            .dump();
    co_return answer;
}

tcp_proxy::tcp_proxy(asio::io_context& context, tcp_proxy_options options)
    : impl(std::make_unique<implementation>(context, std::move(options)))
{}

tcp_proxy::~tcp_proxy() = default;

std::string tcp_proxy::address() const
{
    return this->impl->address();
}

std::string tcp_proxy::control_address() const
{
    return this->impl->control_address();
}

} // namespace foxtaillift::standin
