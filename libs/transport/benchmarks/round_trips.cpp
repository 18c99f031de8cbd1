/// Round trips per second on loopback: the HTTP/2 peer link (one connection,
/// TLS) against the HTTP/1.1 pool (plain TCP, one connection for each request
/// in flight). Both run in turn in one process; the result is their ratio.

#include <utility>

#include "foxtaillift/transport/http_client_pool.hpp"
#include "foxtaillift/transport/http_server.hpp"
#include "foxtaillift/transport/peer_client.hpp"
#include "foxtaillift/transport/peer_server.hpp"

#include <boost/asio.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace
{

namespace base = foxtaillift::base;
namespace net = boost::asio;
namespace transport = foxtaillift::transport;

constexpr int repeats = 7;
constexpr int threads = 4;
constexpr std::size_t body_size = 1024;
char const* const key = "key of the benchmark";

using send_function = std::function<void(transport::exchange_callback)>;

void echo(transport::received_request request, transport::responder reply)
{
    reply.send({.status = 200, .body = std::move(request.body)});
}

/// Keeps `in_flight` requests open until `total` were answered.
class load
{
public:
    load(send_function sender, int count)
        : send(std::move(sender))
        , total(count)
    {}

    /// Round trips per second; ends the process if a request fails.
    double run(int in_flight)
    {
        auto const start = std::chrono::steady_clock::now();
        for (int i = 0; i < in_flight; ++i) {
            this->next();
        }
        this->done->get_future().wait();
        std::chrono::duration<double> const took =
            std::chrono::steady_clock::now() - start;
        return this->total / took.count();
    }

private:
    void next()
    {
        if (this->started++ < this->total) {
            this->send([this](transport::exchange_result const& result) {
                this->on_result(result);
            });
        }
    }

    void on_result(transport::exchange_result const& result)
    {
        if (result.outcome != transport::delivery::answered) {
            std::fprintf(stderr, "failed: %s\n", result.message.c_str());
            std::_Exit(1);
        }
        this->next();
        // The load may be destroyed as soon as the promise has its value.
        auto const finished = this->done;
        if (++this->answered == this->total) {
            finished->set_value();
        }
    }

    send_function send;
    int total;
    std::atomic<int> started{0};
    std::atomic<int> answered{0};
    std::shared_ptr<std::promise<void>> done =
        std::make_shared<std::promise<void>>();
};

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

void compare(
    send_function const& peer, send_function const& pool, int in_flight)
{
    int const total = in_flight == 1 ? 3'000 : 20'000;
    std::vector<double> peer_rates;
    std::vector<double> pool_rates;
    std::vector<double> ratios;
    for (int i = 0; i < repeats; ++i) {
        peer_rates.push_back(load{peer, total}.run(in_flight));
        pool_rates.push_back(load{pool, total}.run(in_flight));
        ratios.push_back(peer_rates.back() / pool_rates.back());
    }
    auto const [lowest, highest] = std::ranges::minmax(ratios);
    std::printf(
        "in_flight=%d peer=%.0f/s pool=%.0f/s ratio=%.2f (%.2f to %.2f)\n",
        in_flight, median(peer_rates), median(pool_rates), median(ratios),
        lowest, highest);
}

} // namespace

int main()
{
    net::io_context io;
    auto guard = net::make_work_guard(io);
    std::vector<std::thread> workers;
    workers.reserve(threads);
    for (int i = 0; i < threads; ++i) {
        workers.emplace_back([&io] { io.run(); });
    }
    {
        transport::peer_server peer_server{io, {.key = key}, echo};
        transport::http_server http_server{io, {}, echo};
        transport::peer_client client{
            io,
            {.address = "127.0.0.1:" + std::to_string(peer_server.port()),
             .key = key}};
        transport::http_client_pool pool{io, {.connections_per_address = 64}};
        auto const address = "127.0.0.1:" + std::to_string(http_server.port());
        transport::request const message{
            .method = "POST", .body = std::string(body_size, 'b')};
        auto const by_peer = [&](transport::exchange_callback callback) {
            client.send(message, base::seconds(30), std::move(callback));
        };
        auto const by_pool = [&](transport::exchange_callback callback) {
            pool.send(address, message, base::seconds(30), std::move(callback));
        };
        for (int const in_flight : {1, 64}) {
            compare(by_peer, by_pool, in_flight);
        }
        guard.reset();
        io.stop();
        for (auto& worker : workers) {
            worker.join();
        }
    }
    return 0;
}
