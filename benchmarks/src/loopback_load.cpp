/// Calls on loopback, direct and through foxtaild in turn, for
/// benchmarks/loopback. Prints the latency of both and their difference, then
/// calls a second and a core of the foxtaild process.

// Boost.Asio uses std::exchange without this include.
#include <utility>

#include "foxtaillift/transport/http_client_pool.hpp"

#include <boost/asio.hpp>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
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

constexpr int rounds = 10;
constexpr int calls_per_round = 500;
constexpr int calls_of_load = 20'000;
constexpr std::size_t loaded_connections = 16;

using microseconds = std::chrono::duration<double, std::micro>;

class client
{
public:
    explicit client(std::size_t connections)
        : pool(
              this->io,
              {.connections_per_address = connections,
               .queue_per_address = calls_of_load})
        , thread([this] { this->io.run(); })
    {}

    client(client const&) = delete;
    client& operator=(client const&) = delete;

    ~client()
    {
        this->pool.stop();
        this->work.reset();
        this->thread.join();
    }

    std::future<transport::exchange_result> send(std::string const& address)
    {
        auto promise =
            std::make_shared<std::promise<transport::exchange_result>>();
        this->pool.send(
            address, {.target = "/s/x"}, base::seconds(30),
            [promise](transport::exchange_result result) {
                promise->set_value(std::move(result));
            });
        return promise->get_future();
    }

private:
    net::io_context io;
    net::executor_work_guard<net::io_context::executor_type> work{
        this->io.get_executor()};
    transport::http_client_pool pool;
    std::thread thread;
};

bool is_success(transport::exchange_result const& result)
{
    return result.outcome == transport::delivery::answered &&
           result.answer.status == 200;
}

// One call after the other; latencies in microseconds, failed calls left out.
std::vector<double> measure(client& from, std::string const& address)
{
    std::vector<double> latencies;
    for (int i = 0; i < calls_per_round; ++i) {
        auto const start = std::chrono::steady_clock::now();
        auto const result = from.send(address).get();
        microseconds const took = std::chrono::steady_clock::now() - start;
        if (is_success(result)) {
            latencies.push_back(took.count());
        }
    }
    std::sort(latencies.begin(), latencies.end());
    return latencies;
}

double quantile(std::vector<double> const& sorted, double share)
{
    auto const rank = share * static_cast<double>(sorted.size() - 1);
    return sorted.at(static_cast<std::size_t>(rank));
}

// User and system time of a process in seconds, from /proc.
double processor_seconds(std::string const& process)
{
    std::ifstream in{"/proc/" + process + "/stat"};
    std::string field;
    double ticks = 0;
    for (int i = 1; i <= 15 && in >> field; ++i) {
        ticks += i >= 14 ? std::stod(field) : 0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void compare_latency(std::string const& direct, std::string const& through)
{
    client caller{1};
    for (auto const share : {0.5, 0.99}) {
        std::vector<double> plain;
        std::vector<double> added;
        for (int round = 0; round < rounds; ++round) {
            auto const base_line = quantile(measure(caller, direct), share);
            plain.push_back(base_line);
            added.push_back(
                quantile(measure(caller, through), share) - base_line);
        }
        std::sort(plain.begin(), plain.end());
        std::sort(added.begin(), added.end());
        std::printf(
            "p%.0f direct %.0f us, added %.0f us (%.0f to %.0f), ratio %.2f\n",
            share * 100, quantile(plain, 0.5), quantile(added, 0.5),
            added.front(), added.back(),
            (quantile(plain, 0.5) + quantile(added, 0.5)) /
                quantile(plain, 0.5));
    }
}

void measure_throughput(std::string const& through, std::string const& process)
{
    client caller{loaded_connections};
    std::vector<std::future<transport::exchange_result>> waiting;
    waiting.reserve(calls_of_load);
    auto const before = processor_seconds(process);
    auto const start = std::chrono::steady_clock::now();
    int succeeded = 0;
    for (int i = 0; i < calls_of_load; ++i) {
        waiting.push_back(caller.send(through));
    }
    for (auto& each : waiting) {
        succeeded += is_success(each.get()) ? 1 : 0;
    }
    std::chrono::duration<double> const took =
        std::chrono::steady_clock::now() - start;
    auto const used = processor_seconds(process) - before;
    std::printf(
        "%d connections: %d of %d calls succeeded, %.0f calls/s, %.0f calls/s "
        "a core of foxtaild\n",
        static_cast<int>(loaded_connections), succeeded, calls_of_load,
        succeeded / took.count(), succeeded / used);
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 4) {
        std::fprintf(
            stderr, "usage: loopback_load DIRECT THROUGH PROCESS_ID\n");
        return 2;
    }
    compare_latency(arguments[1], arguments[2]);
    measure_throughput(arguments[2], arguments[3]);
    return 0;
}
