#include "foxtaillift/client/connection.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/transport/http_client_pool.hpp"
#include "foxtaillift/transport/operator_client.hpp"

#include <boost/algorithm/hex.hpp>
#include <boost/asio/io_context.hpp>

#include <iterator>
#include <optional>
#include <utility>

namespace foxtaillift::client
{

namespace
{

std::string decode_key(std::string const& text)
{
    std::string bytes;
    try {
        boost::algorithm::unhex(text, std::back_inserter(bytes));
    } catch (boost::algorithm::hex_decode_error const&) {
        throw base::error(
            base::error_code::invalid_argument,
            "the operator key must be hexadecimal digits");
    }
    return bytes;
}

/// Entry hosts that only the deployment's own hosts can reach ask for no key.
transport::exchange_result send_plain(
    std::string const& address,
    transport::request message,
    base::duration limit)
{
    boost::asio::io_context io;
    transport::http_client_pool pool{io, {}};
    std::optional<transport::exchange_result> result;
    pool.send(
        address, std::move(message), limit,
        [&](transport::exchange_result received) {
            result = std::move(received);
            io.stop();
        });
    io.run();
    return std::move(*result);
}

} // namespace

connection::connection(connection_options given)
    : options(std::move(given))
{
    if (this->options.addresses.empty()) {
        throw base::error(
            base::error_code::invalid_argument,
            "no entry host: give --address or set FOXTAIL_ADDRESS");
    }
    this->options.key = decode_key(this->options.key);
}

answer connection::get(std::string const& path) const
{
    return this->send("GET", path, {});
}

answer
connection::post(std::string const& path, nlohmann::json const& body) const
{
    return this->send("POST", path, body.dump());
}

answer connection::remove(std::string const& path) const
{
    return this->send("DELETE", path, {});
}

transport::exchange_result connection::exchange(
    std::string const& address,
    std::string const& method,
    std::string const& path,
    std::string const& body) const
{
    transport::request message{
        .method = method, .target = path, .headers = {}, .body = body};
    if (this->options.key.empty()) {
        return send_plain(address, std::move(message), this->options.timeout);
    }
    transport::operator_client const client{
        {.address = address,
         .key = this->options.key,
         .timeout = this->options.timeout}};
    return client.send(message);
}

answer connection::get_from_leader(std::string const& path) const
{
    auto received = this->get(path);
    constexpr int misdirected = 421;
    if (received.status != misdirected || !received.body.is_object()) {
        return received;
    }
    auto const leader = received.body.value("leader", std::string{});
    if (leader.empty()) {
        return received;
    }
    auto redirected = *this;
    redirected.options.addresses = {leader};
    return redirected.get(path);
}

answer connection::send(
    std::string const& method,
    std::string const& path,
    std::string const& body) const
{
    std::string reasons;
    for (auto const& address : this->options.addresses) {
        auto result = this->exchange(address, method, path, body);
        if (result.outcome == transport::delivery::answered) {
            return {
                result.answer.status,
                nlohmann::json::parse(result.answer.body, nullptr, false)};
        }
        reasons +=
            (reasons.empty() ? "" : "; ") + address + ": " + result.message;
        if (result.outcome == transport::delivery::sent_unknown) {
            break;
        }
    }
    throw base::error(
        base::error_code::unavailable, "no entry host answers: " + reasons);
}

} // namespace foxtaillift::client
