/// Count, sum, largest value and quantiles of observed values.
#pragma once

#include <cstdint>
#include <memory>

namespace foxtaillift::metrics
{

struct summary_view
{
    std::uint64_t count = 0;
    double sum = 0;
    double max = 0;
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
};

/// Quantiles are estimated with the P-square algorithm of Boost.Accumulators,
/// over all values since the start of the process. Safe for concurrent use:
/// values go to one of several shards, each with a lock of its own that is held
/// for the update of a few numbers.
class summary
{
public:
    summary();
    ~summary();

    void observe(double value);

    /// Merges the shards; quantiles are averaged by their counts.
    [[nodiscard]] summary_view view() const;

private:
    struct shard;
    static constexpr std::size_t shard_count = 8;
    std::unique_ptr<shard[]> shards;
};

} // namespace foxtaillift::metrics
