// Cost of a routing decision: 13,000 against 66 workers, 8 threads against 1.
// A decision enters a read-side section, finds the service, chooses a worker,
// claims its slot and releases it.
#include "foxtaillift/routing/policy.hpp"
#include "foxtaillift/routing/routing_table.hpp"

#include "../tests/inputs.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <thread>
#include <vector>

namespace routing = foxtaillift::routing;
namespace base = foxtaillift::base;
using namespace foxtaillift::routing::testing;

namespace
{

constexpr int decisions = 200'000;
constexpr int repeats = 9;

struct fleet
{
    explicit fleet(std::uint32_t workers)
    {
        this->table.publish(local_fleet(workers));
        routing::snapshot_reader const snapshot{this->table};
        snapshot->find_service(service())->load->latency_ms = 10;
        float latency = 5;
        for (auto const& worker : snapshot->workers) {
            worker.load->latency_ms = latency;
            worker.load->latency_at = 1;
            latency = latency > 15 ? 5 : latency + 1;
        }
    }

    routing::routing_table table;
    routing::adaptive_policy policy;
};

/// Processor time of the calling thread in nanoseconds.
double thread_time()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e9 +
           static_cast<double>(now.tv_nsec);
}

struct totals
{
    std::atomic<std::uint64_t> decisions{0};
    std::atomic<double> processor_ns{0};
};

void decide(fleet& target, std::uint32_t seed, totals& done)
{
    auto random = make_engine(seed);
    auto const name = service();
    std::uint64_t found = 0;
    auto const start = thread_time();
    for (int i = 0; i < decisions; ++i) {
        routing::snapshot_reader const snapshot{target.table};
        auto const chosen = target.policy.choose(
            *snapshot, *snapshot->find_service(name), {}, {1000 + i / 1000},
            random);
        found += chosen ? 1 : 0;
    }
    done.processor_ns += thread_time() - start;
    done.decisions += found;
}

/// Cost of one decision.
struct cost
{
    double wall_ns;      ///< over all threads
    double processor_ns; ///< of one thread
};

template <class Target>
cost measure(Target target_of, std::uint32_t threads)
{
    totals done;
    auto const start = std::chrono::steady_clock::now();
    std::vector<std::thread> running;
    running.reserve(threads);
    for (std::uint32_t i = 0; i < threads; ++i) {
        running.emplace_back([&, i] { decide(target_of(i), i + 1, done); });
    }
    for (auto& thread : running) {
        thread.join();
    }
    auto const spent = std::chrono::steady_clock::now() - start;
    auto const count = static_cast<double>(done.decisions.load());
    return {
        std::chrono::duration<double, std::nano>(spent).count() / count,
        done.processor_ns.load() / count};
}

cost measure(fleet& target, std::uint32_t threads)
{
    return measure([&](std::uint32_t) -> fleet& { return target; }, threads);
}

struct summary
{
    double least;
    double median;
    double most;
};

summary summarise(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {values.front(), values[values.size() / 2], values.back()};
}

void print(
    char const* what, std::vector<double> const& values, char const* unit)
{
    auto const result = summarise(values);
    std::printf(
        "%-34s median %8.2f %-3s (%.2f to %.2f)\n", what, result.median, unit,
        result.least, result.most);
}

void compare_sizes(fleet& small, fleet& large)
{
    std::vector<double> at_small;
    std::vector<double> at_large;
    std::vector<double> ratios;
    for (int i = 0; i < repeats; ++i) {
        at_small.push_back(measure(small, 1).processor_ns);
        at_large.push_back(measure(large, 1).processor_ns);
        ratios.push_back(at_large.back() / at_small.back());
    }
    print("decision at 66 workers", at_small, "ns");
    print("decision at 13,000 workers", at_large, "ns");
    print("ratio (target at most 2)", ratios, "x");
}

/// What the machine allows at this moment: the same work on `threads` tables
/// that share nothing.
cost measure_unshared(std::uint32_t threads)
{
    std::vector<std::unique_ptr<fleet>> own;
    own.reserve(threads);
    for (std::uint32_t i = 0; i < threads; ++i) {
        own.push_back(std::make_unique<fleet>(66));
    }
    return measure(
        [&](std::uint32_t thread) -> fleet& { return *own[thread]; }, threads);
}

struct scaling
{
    std::vector<double> wall;
    std::vector<double> processor; ///< as if no other program ran

    void add(cost const& one, cost const& eight)
    {
        this->wall.push_back(one.wall_ns / eight.wall_ns);
        this->processor.push_back(8 * one.processor_ns / eight.processor_ns);
    }
};

void compare_threads(fleet& target, char const* name)
{
    scaling shared;
    scaling control;
    for (int i = 0; i < repeats; ++i) {
        shared.add(measure(target, 1), measure(target, 8));
        control.add(measure_unshared(1), measure_unshared(8));
    }
    std::printf("%s, 8 threads against 1 (target at least 6):\n", name);
    print("  one table, time", shared.wall, "x");
    print("  one table, processor time", shared.processor, "x");
    print("  control: own tables, time", control.wall, "x");
    print("  control: processor time", control.processor, "x");
}

} // namespace

int main()
{
    fleet small{66};
    fleet large{13'000};
    compare_sizes(small, large);
    compare_threads(small, "66 workers");
    compare_threads(large, "13,000 workers");
}
