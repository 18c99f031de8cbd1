// Crest response before a measurement shows the crest: a demand swing takes two
// seconds and latency reports are late, but the owner counts the calls itself.
#include "cell_state.hpp"

#include <algorithm>
#include <cmath>

namespace foxtaillift::batch
{

namespace
{

// A load that rose within this time is expected to rise on to its last crest.
constexpr base::duration rise_window = base::milliseconds(2'000);
// Counts that are older than this say nothing about the present.
constexpr base::duration count_lifetime = base::milliseconds(2'000);

// Without calls for so long, batch work harms nobody, whatever was learned.
constexpr base::duration idle_after = base::milliseconds(5'000);

} // namespace

void cell_state::on(service_load const& input)
{
    auto& own = this->owned;
    auto const found = own.worker_by_id.find(input.worker);
    if (found == own.worker_by_id.end() ||
        this->options.settings.crest != crest_policy::stepwise) {
        return;
    }
    auto& on = own.workers[found->second];
    this->count_load(on, input);
    this->expect_level(on);
    if (own.phase != cell_phase::active) {
        return;
    }
    auto const& settings = this->options.settings;
    double const predicted = this->predict_ratio(on);
    if (predicted <= settings.pressure_high) {
        return;
    }
    on.pressure.calm_since = this->now;
    double excess = predicted - settings.pressure_low;
    // Only measured pressure evicts: a wrong prediction must cost no work.
    if (this->throttle_for(found->second, excess)) {
        on.pressure.acted = this->now;
    }
}

void cell_state::count_load(worker& on, service_load const& input)
{
    bool const is_busy = input.slots_in_use > 0;
    std::uint64_t shared = 0;
    auto const service = this->services.number(
        input.service.str(), interference_model::max_services, shared);
    auto const level = load_level(input.slots_in_use, input.slots);
    for (auto& one : on.pressure.counted) {
        if (one.service == service) {
            if (level > one.level) {
                one.risen = this->now;
            }
            one.level = level;
            one.counted = this->now;
            one.busy = is_busy ? this->now : one.busy;
            return;
        }
    }
    if (on.pressure.counted.size() < interference_model::max_services) {
        on.pressure.counted.push_back(
            {.service = service,
             .level = level,
             .counted = this->now,
             .risen = {},
             .busy = is_busy ? this->now : base::instant{}});
    }
}

void cell_state::expect_level(worker& on)
{
    constexpr auto highest = interference_model::levels - 1;
    auto& pressure = on.pressure;
    auto const remembered = static_cast<std::uint32_t>(
        std::ceil(pressure.crest_share * static_cast<double>(highest)));
    pressure.expected_level = 0;
    pressure.is_idle = true;
    for (auto const& one : pressure.services) {
        bool const is_silent = this->now - one.measured > idle_after;
        pressure.is_idle = pressure.is_idle && is_silent;
    }
    for (auto const& one : pressure.counted) {
        bool const is_silent =
            one.busy == base::instant{} || this->now - one.busy > idle_after;
        pressure.is_idle = pressure.is_idle && is_silent;
        if (this->now - one.counted > count_lifetime) {
            continue;
        }
        auto expected = one.level;
        bool const is_rising = one.risen != base::instant{} &&
                               this->now - one.risen <= rise_window;
        if (is_rising) {
            expected = std::max({expected, one.level + 1, remembered});
        }
        pressure.expected_level =
            std::max(pressure.expected_level, std::min(expected, highest));
    }
}

double cell_state::predict_ratio(worker const& on) const
{
    double ratio = 1;
    if (on.pressure.is_idle) {
        return ratio;
    }
    for (auto const serial : on.runs) {
        auto const& value = this->owned.runs.at(serial);
        if (value.phase == run_phase::running && value.task != no_index) {
            ratio += this->harm_of(value) * value.wanted_throttle;
        }
    }
    return ratio;
}

} // namespace foxtaillift::batch
