// Spreading time of the configuration, and cost of the engines for each host.
// Times are virtual; the processor time is measured and includes the simulated
// links and the simulated store, so that it is an upper bound.

#include "../tests/simulation.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <functional>
#include <vector>

namespace base = foxtaillift::base;
namespace cluster = foxtaillift::cluster;
using cluster::tests::simulation;

namespace
{

constexpr std::uint32_t trials = 200;

enum class fault
{
    none,
    messages_lost,
    other_host_dead,
    accepting_host_dies_after_answer,
    store_down_after_acceptance,
    accepting_host_dies_before_push,
};

// Milliseconds from the acceptance until all live hosts have the version.
std::int64_t measure_spread(std::uint32_t seed, fault kind)
{
    simulation world{
        {.seed = seed, .hosts = 9, .has_cells = false, .has_peers = true}};
    world.run_for(base::seconds(10) + base::milliseconds(seed * 37 % 5000));
    auto& host = *world.hosts[seed % 9];
    world.loss = kind == fault::messages_lost ? 0.2 : 0.0;
    if (kind == fault::other_host_dead) {
        world.hosts[(seed + 1) % 9]->process.kill();
    }
    base::instant accepted{-1};
    base::instant last{-1};
    world.on_version = [&](base::host_id const& at, std::uint64_t) {
        last = world.time.now();
        if (at != host.id || accepted.ms >= 0) {
            return;
        }
        accepted = world.time.now();
        if (kind == fault::store_down_after_acceptance) {
            world.table.faults().set_down(true);
        } else if (kind == fault::accepting_host_dies_before_push) {
            for (auto const& each : world.hosts) {
                world.cut_links.emplace(host.id, each->id);
            }
            host.process.kill();
        }
    };
    auto const request = host.change(0, "ann", 1);
    bool const dies = kind == fault::accepting_host_dies_after_answer;
    for (int step = 0; step < 60'000; ++step) {
        world.run_for(base::milliseconds(1));
        if (dies && host.answers.contains(request)) {
            host.process.kill();
        }
        auto const is_done = std::all_of(
            world.hosts.begin(), world.hosts.end(), [](auto const& each) {
                return !each->process.is_alive() ||
                       each->fleet.document().version() == 1;
            });
        if (is_done && accepted.ms >= 0) {
            return (last - accepted).ms;
        }
    }
    return 60'000;
}

void report_spread(char const* name, fault kind, double target_ms)
{
    std::vector<std::int64_t> times;
    times.reserve(trials);
    for (std::uint32_t seed = 1; seed <= trials; ++seed) {
        times.push_back(measure_spread(seed, kind));
    }
    std::sort(times.begin(), times.end());
    std::printf(
        "in force, %-34s p50 %6lld ms  p99 %6lld ms  max %6lld ms", name,
        static_cast<long long>(times[trials / 2]),
        static_cast<long long>(times[trials * 99 / 100]),
        static_cast<long long>(times.back()));
    if (target_ms > 0) {
        std::printf(
            "  p99/target %.3f",
            static_cast<double>(times[trials * 99 / 100]) / target_ms);
    }
    std::printf("\n");
}

// Cost of a host at a number of members, with 19,000 changes a day and 87
// cells.
void report_cost(std::size_t hosts, std::uint32_t seed)
{
    constexpr std::int64_t span = 120;
    simulation world{
        {.seed = seed,
         .hosts = hosts,
         .cells = 87,
         .has_peers = true,
         .tick = base::milliseconds(100)}};
    world.run_for(base::seconds(60));
    std::uint64_t messages = 0;
    std::uint64_t scanned = 0;
    for (auto const& host : world.hosts) {
        messages += host->bytes_sent;
        scanned += host->scanned_bytes;
    }
    auto const transactions = world.table.counters().transactions;
    auto const reads = world.table.counters().reads;
    auto const started = std::clock();
    for (std::int64_t second = 0; second < span; ++second) {
        auto& host = *world.hosts[static_cast<std::size_t>(second) % hosts];
        if (second % 5 == 0) {
            host.change(host.fleet.document().version(), "ann", second);
        }
        world.run_for(base::seconds(1));
    }
    auto const processor = static_cast<double>(std::clock() - started) /
                           static_cast<double>(CLOCKS_PER_SEC);
    std::uint64_t messages_after = 0;
    std::uint64_t scanned_after = 0;
    for (auto const& host : world.hosts) {
        messages_after += host->bytes_sent;
        scanned_after += host->scanned_bytes;
    }
    auto const divisor = static_cast<double>(hosts) * span;
    std::printf(
        "members %3zu  peer messages %6.0f B/s a host  scanned rows %7.0f "
        "B/s a host  processor %.3f%% of a core a host  store writes %5.1f/s "
        "reads %5.1f/s\n",
        hosts, static_cast<double>(messages_after - messages) / divisor,
        static_cast<double>(scanned_after - scanned) / divisor,
        100.0 * processor / divisor,
        static_cast<double>(
            world.table.counters().transactions - transactions) /
            span,
        static_cast<double>(world.table.counters().reads - reads) / span);
}

} // namespace

int main()
{
    report_spread("no fault", fault::none, 2000);
    report_spread("a fifth of the messages lost", fault::messages_lost, 2000);
    report_spread("another host dead", fault::other_host_dead, 3000);
    report_spread(
        "accepting host dies after answer",
        fault::accepting_host_dies_after_answer, 3000);
    report_spread(
        "store down after acceptance", fault::store_down_after_acceptance,
        7000);
    report_spread(
        "accepting host dies before pushes",
        fault::accepting_host_dies_before_push, 3000);
    for (std::uint32_t repeat = 1; repeat <= 3; ++repeat) {
        for (std::size_t const hosts : {9U, 30U, 100U}) {
            report_cost(hosts, repeat);
        }
    }
    return 0;
}
