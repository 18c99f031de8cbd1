#include "foxtaillift/metrics/summary.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <vector>

namespace foxtaillift::metrics
{

namespace
{

namespace acc = boost::accumulators;

using accumulator = acc::accumulator_set<
    double,
    acc::stats<
        acc::tag::count,
        acc::tag::sum,
        acc::tag::max,
        acc::tag::extended_p_square>>;

constexpr std::array<double, 3> probabilities{0.5, 0.9, 0.99};

/// Threads are spread over the shards in the order in which they first observe.
std::size_t next_thread_number()
{
    static std::atomic<std::size_t> next{0};
    thread_local std::size_t const number = next.fetch_add(1);
    return number;
}

} // namespace

struct summary::shard
{
    std::mutex mutex;
    accumulator values{
        acc::tag::extended_p_square::probabilities = probabilities};
};

summary::summary()
    : shards(std::make_unique<shard[]>(shard_count))
{}

summary::~summary() = default;

void summary::observe(double value)
{
    auto& part = this->shards[next_thread_number() % shard_count];
    std::lock_guard const lock{part.mutex};
    part.values(value);
}

summary_view summary::view() const
{
    summary_view total;
    for (std::size_t i = 0; i < shard_count; ++i) {
        auto& part = this->shards[i];
        std::lock_guard const lock{part.mutex};
        auto const count = acc::count(part.values);
        if (count == 0) {
            continue;
        }
        auto const quantiles = acc::extended_p_square(part.values);
        auto const weight = static_cast<double>(count);
        total.count += count;
        total.sum += acc::sum(part.values);
        total.max = std::max(total.max, acc::max(part.values));
        total.p50 += quantiles[0] * weight;
        total.p90 += quantiles[1] * weight;
        total.p99 += quantiles[2] * weight;
    }
    if (total.count > 0) {
        auto const weight = static_cast<double>(total.count);
        total.p50 /= weight;
        total.p90 /= weight;
        total.p99 /= weight;
    }
    return total;
}

} // namespace foxtaillift::metrics
