#include "foxtaillift/routing/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace foxtaillift::routing
{

namespace
{

// The baseline follows a lasting rise of latency within about ten seconds.
constexpr double baseline_rise = 0.01;
constexpr double baseline_fall = 0.2;
constexpr std::uint32_t cuts_to_help = 3;
constexpr double least_improvement = 0.9;
constexpr double least_ms = 0.5;
constexpr double strongest_cut = 0.7;
// With 8 samples the smallest mean of many windows was so far below the usual
// one that the limit shrank without any overload.
constexpr std::uint32_t least_samples = 64;

} // namespace

concurrency_limit::concurrency_limit(concurrency_limit_options from)
    : options(from)
    , current(from.initial)
{}

bool concurrency_limit::has_room() const
{
    return this->running < this->limit();
}

std::uint32_t concurrency_limit::limit() const
{
    return static_cast<std::uint32_t>(this->current);
}

void concurrency_limit::on_started()
{
    this->running += 1;
    this->peak = std::max(this->peak, this->running);
}

void concurrency_limit::on_finished(base::duration latency, base::instant now)
{
    if (this->running > 0) {
        this->running -= 1;
    }
    if (latency.ms >= 0) {
        this->log_sum +=
            std::log(std::max(least_ms, static_cast<double>(latency.ms)));
        this->samples += 1;
    }
    if (now - this->window_start >= this->options.window &&
        this->samples >= least_samples) {
        this->adjust(now);
    }
}

void concurrency_limit::adjust(base::instant now)
{
    // The geometric mean, because single stragglers hardly move it.
    auto const recent_ms = std::exp(this->log_sum / this->samples);
    // The shortest calls are the first to finish: the first window is too low.
    if (this->windows++ > 0) {
        this->learn_baseline(recent_ms);
        this->change_limit(recent_ms);
    }
    this->window_start = now;
    this->samples = 0;
    this->log_sum = 0;
    this->peak = this->running;
}

void concurrency_limit::learn_baseline(double recent_ms)
{
    if (this->baseline_ms == 0) {
        this->baseline_ms = recent_ms;
    }
    if (recent_ms < this->baseline_ms) {
        this->baseline_ms += baseline_fall * (recent_ms - this->baseline_ms);
    } else if (this->peak * 2.0 < this->current) {
        // Only while the limit is not in use: the latency of a crowd would
        // become the baseline, and the limit would grow without end.
        this->baseline_ms += baseline_rise * (recent_ms - this->baseline_ms);
    }
}

void concurrency_limit::change_limit(double recent_ms)
{
    auto const tolerated = this->options.tolerance * this->baseline_ms;
    if (recent_ms > tolerated) {
        if (this->cuts == 0) {
            this->latency_at_cut_ms = recent_ms;
        } else if (
            this->cuts >= cuts_to_help &&
            recent_ms > least_improvement * this->latency_at_cut_ms) {
            // Fewer calls did not make them faster, so their number is not
            // the cause; without this the limit fell to its least value.
            this->baseline_ms = recent_ms;
            this->cuts = 0;
            return;
        }
        this->cuts += 1;
        // Starts from what was in use: cutting an unused limit has no effect.
        auto const used = std::min(
            this->current, static_cast<double>(std::max(this->peak, 1U)));
        this->current = used * std::max(strongest_cut, tolerated / recent_ms);
    } else {
        this->cuts = 0;
        if (this->peak * 2.0 >= this->current) {
            this->current += std::max(1.0, std::sqrt(this->current));
        }
    }
    this->current =
        std::clamp(this->current, this->options.least, this->options.most);
}

} // namespace foxtaillift::routing
