#include "run_time_model.hpp"

#include <algorithm>
#include <cmath>

namespace foxtaillift::batch
{

namespace
{

constexpr double shortest_ms = 50;
constexpr double bucket_ratio = 1.2; // 96 buckets reach about 23 days
constexpr double enough = 5;
// At this many observations all counts are halved, so that old ones fade.
constexpr double window = 400;
constexpr std::int64_t unknown_ms = 60'000;

} // namespace

void run_time_model::add(std::uint32_t task_class, base::duration ran)
{
    if (task_class >= this->classes.size()) {
        this->classes.resize(task_class + std::size_t{1});
    }
    auto& known = this->classes[task_class];
    double const ratio =
        std::max(static_cast<double>(ran.ms), shortest_ms) / shortest_ms;
    auto const bucket = std::min<std::size_t>(
        static_cast<std::size_t>(std::log(ratio) / std::log(bucket_ratio)),
        buckets - 1);
    known.counts[bucket] += 1;
    known.total += 1;
    if (known.total >= window) {
        known.total = 0;
        for (auto& count : known.counts) {
            count /= 2;
            known.total += count;
        }
    }
}

bool run_time_model::is_known(std::uint32_t task_class) const
{
    return task_class < this->classes.size() &&
           this->classes[task_class].total >= enough;
}

base::duration run_time_model::quantile(
    std::uint32_t task_class, double share, base::duration declared) const
{
    if (!this->is_known(task_class)) {
        return declared.ms > 0 ? declared : base::milliseconds(unknown_ms);
    }
    auto const& known = this->classes[task_class];
    double left = known.total * share;
    std::size_t bucket = 0;
    while (bucket + 1 < buckets && left > known.counts[bucket]) {
        left -= known.counts[bucket];
        ++bucket;
    }
    return base::milliseconds(static_cast<std::int64_t>(
        shortest_ms *
        std::pow(bucket_ratio, static_cast<double>(bucket) + 0.5)));
}

} // namespace foxtaillift::batch
