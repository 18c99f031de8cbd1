/// Adaptive limit of concurrent calls of one service.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <cstdint>

namespace foxtaillift::routing
{

struct concurrency_limit_options
{
    double initial = 4096;
    double least = 4;
    double most = 4096;
    double tolerance = 3; ///< latency over the baseline before it shrinks
    base::duration window = base::milliseconds(100);
};

/// Shrinks while latency is far above its baseline and fewer calls make it
/// better; grows while the limit is in use. One thread.
class concurrency_limit
{
public:
    explicit concurrency_limit(concurrency_limit_options options = {});

    [[nodiscard]] bool has_room() const;
    [[nodiscard]] std::uint32_t limit() const;
    [[nodiscard]] std::uint32_t in_flight() const { return this->running; }

    void on_started();
    /// `latency` of a good answer; negative if there is none.
    void on_finished(base::duration latency, base::instant now);

private:
    void adjust(base::instant now);
    void learn_baseline(double recent_ms);
    void change_limit(double recent_ms);

    concurrency_limit_options options;
    double current;
    double log_sum = 0; ///< of the latencies in this window
    double baseline_ms = 0;
    std::uint32_t running = 0;
    std::uint32_t peak = 0;
    std::uint32_t samples = 0;
    std::uint32_t windows = 0;
    std::uint32_t cuts = 0; ///< in a row
    double latency_at_cut_ms = 0;
    base::instant window_start{};
};

} // namespace foxtaillift::routing
