// Crest response: how batch work gives way to services.
#include "cell_state.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace foxtaillift::batch
{

namespace
{

constexpr base::duration fresh = base::milliseconds(5'000);
constexpr base::duration noisy_for = base::milliseconds(10'000);
constexpr base::duration wave_window = base::milliseconds(2'000);
constexpr std::size_t wave_workers = 3;
constexpr double wave_throttle = 0.5;
// First step up of a run that a floor of 0 stopped.
constexpr double least_relaxed = 0.05;
// The remembered crest halves about every two minutes at two reports a second.
constexpr double crest_fading = 0.997;
// Throttling has this long to bring the ratio down before runs are evicted.
constexpr std::int64_t holds_before_eviction = 6;

} // namespace

double cell_state::harm_of(run const& value) const
{
    return this->harm_on(
        this->owned.workers[value.worker], value.task_class,
        static_cast<double>(value.size.processors) / 1000, false);
}

void cell_state::on(service_pressure const& input)
{
    auto& own = this->owned;
    auto const found = own.worker_by_id.find(input.worker);
    if (found == own.worker_by_id.end()) {
        return;
    }
    auto& on = own.workers[found->second];
    this->learn_pressure(on, input);
    auto& pressure = on.pressure;
    pressure.ratio = 1;
    pressure.level = 0;
    for (auto const& one : pressure.services) {
        if (this->now - one.measured <= fresh) {
            pressure.ratio = std::max(pressure.ratio, one.ratio);
            pressure.level = std::max(pressure.level, one.level);
        }
    }
    if (own.phase == cell_phase::active) {
        this->respond(found->second);
    }
}

void cell_state::learn_pressure(worker& on, service_pressure const& input)
{
    std::uint64_t shared = 0;
    auto const service = this->services.number(
        input.service.str(), interference_model::max_services, shared);
    auto const measured = this->now - base::milliseconds(input.age_ms);
    auto const level = load_level(input.slots_in_use, input.slots);
    // The measurement belongs to what ran when it was taken.
    load_sample const* sample = nullptr;
    for (auto const& one : on.history) {
        if (one.from <= measured) {
            sample = &one;
        }
    }
    if (sample != nullptr) {
        this->interference.learn(
            service, level, input.latency_ratio, sample->loads, this->now);
    }
    auto& pressure = on.pressure;
    double const crest =
        static_cast<double>(level) / (interference_model::levels - 1);
    pressure.crest_share = std::max(crest, pressure.crest_share * crest_fading);
    for (auto& one : pressure.services) {
        if (one.service == service) {
            if (measured > one.measured) { // reports may come out of order
                one = {service, input.latency_ratio, level, measured};
            }
            return;
        }
    }
    if (pressure.services.size() < interference_model::max_services) {
        pressure.services.push_back(
            {service, input.latency_ratio, level, measured});
    }
}

void cell_state::respond(worker_index index)
{
    auto& pressure = this->owned.workers[index].pressure;
    auto const& settings = this->options.settings;
    this->expect_level(this->owned.workers[index]);
    base::instant newest{};
    for (auto const& one : pressure.services) {
        newest = std::max(newest, one.measured);
    }
    if (this->now - newest > fresh) {
        pressure.ratio = 1; // silence is calm: services are not called
        pressure.level = 0;
    }
    bool const is_judged = newest >= pressure.acted + settings.pressure_hold;
    if (pressure.ratio > settings.pressure_high) {
        if (!pressure.is_high) {
            pressure.is_high = true;
            pressure.high_since = this->now;
        }
        pressure.calm_since = this->now;
        if (is_judged || pressure.acted == base::instant{}) {
            this->relieve(index, pressure.ratio - settings.pressure_low);
        }
        return;
    }
    if (pressure.ratio > settings.pressure_low) {
        pressure.calm_since = this->now;
        return;
    }
    pressure.is_high = false;
    if (this->now - pressure.calm_since >= settings.pressure_calm &&
        this->now - pressure.acted >= settings.pressure_hold) {
        this->relax(index);
    }
}

void cell_state::relieve(worker_index index, double excess)
{
    auto& on = this->owned.workers[index];
    auto& pressure = on.pressure;
    if (this->options.settings.crest == crest_policy::evict_newest) {
        this->evict_newest(index);
        pressure.acted = this->now;
        return;
    }
    bool const is_throttled = this->throttle_for(index, excess);
    auto const patience =
        this->options.settings.pressure_hold * holds_before_eviction;
    bool const is_evicted =
        !is_throttled && this->now - pressure.high_since >= patience;
    if (is_evicted) {
        this->evict_for(index, excess);
    }
    if (is_throttled || is_evicted) {
        pressure.acted = this->now;
    }
}

void cell_state::evict_newest(worker_index index)
{
    run* newest = nullptr;
    for (auto const serial : this->owned.workers[index].runs) {
        auto& value = this->owned.runs.at(serial);
        bool const is_later =
            newest == nullptr || value.started > newest->started;
        if (this->may_disrupt(value, true) && is_later) {
            newest = &value;
        }
    }
    if (newest != nullptr) {
        this->evict(*newest, end_reason::pressure, {});
    }
}

bool cell_state::throttle_for(worker_index index, double& excess)
{
    auto& own = this->owned;
    std::vector<std::pair<double, run_serial>> harms;
    for (auto const serial : own.workers[index].runs) {
        auto const& value = own.runs.at(serial);
        bool const is_possible =
            value.phase == run_phase::running && value.task != no_index &&
            !value.is_urgent &&
            value.wanted_throttle > this->limits_of(value).throttle_floor;
        if (is_possible) {
            harms.emplace_back(this->harm_of(value), serial);
        }
    }
    std::sort(harms.rbegin(), harms.rend());
    bool is_any = false;
    for (auto const& [harm, serial] : harms) {
        if (excess <= 0) {
            break;
        }
        auto& value = own.runs.at(serial);
        double const floor = this->limits_of(value).throttle_floor;
        double const available = harm * (value.wanted_throttle - floor);
        double const share =
            available <= excess ? floor : value.wanted_throttle - excess / harm;
        excess -= harm * (value.wanted_throttle - share);
        this->suspect(value.task_class);
        this->set_throttle(value, share);
        is_any = true;
    }
    return is_any;
}

void cell_state::set_throttle(run& value, double share)
{
    value.wanted_throttle = share;
    ++this->counters.throttles;
    this->send_runs(runs_verb::throttle, value.worker, {value.serial});
}

void cell_state::evict_for(worker_index index, double excess)
{
    auto& own = this->owned;
    run* best = nullptr;
    double best_cost = 0;
    for (auto const serial : own.workers[index].runs) {
        auto& value = own.runs.at(serial);
        if (!this->may_disrupt(value, false)) {
            continue;
        }
        // Cheapest work lost for the relief that is needed; relief beyond the
        // need is worth nothing.
        double const relief = std::min(
            this->harm_of(value) * this->limits_of(value).throttle_floor,
            std::max(excess, 0.0));
        double const cost = this->victim_cost(value) / (relief + 1e-3);
        if (best == nullptr || cost < best_cost) {
            best = &value;
            best_cost = cost;
        }
    }
    if (best == nullptr) {
        return;
    }
    this->log(base::event_line{"eviction"}
                  .add("task", best->task_name)
                  .add("worker", own.workers[index].id)
                  .add("ratio", own.workers[index].pressure.ratio)
                  .add("reason", "pressure"));
    this->evict(*best, end_reason::pressure, this->options.checkpoint_limit);
}

void cell_state::relax(worker_index index)
{
    auto& own = this->owned;
    auto& on = own.workers[index];
    auto const& settings = this->options.settings;
    double room = on.pressure.is_idle
                      ? std::numeric_limits<double>::infinity()
                      : settings.pressure_high - on.pressure.ratio;
    std::vector<std::pair<double, run_serial>> harms;
    for (auto const serial : on.runs) {
        auto const& value = own.runs.at(serial);
        if (value.phase == run_phase::running && value.wanted_throttle < 1 &&
            value.task != no_index) {
            harms.emplace_back(this->harm_of(value), serial);
        }
    }
    std::sort(harms.begin(), harms.end());
    for (auto const& [harm, serial] : harms) {
        auto& value = own.runs.at(serial);
        double const share =
            std::min(1.0, std::max(value.wanted_throttle * 2, least_relaxed));
        double const rise = harm * (share - value.wanted_throttle);
        if (rise > room) {
            break;
        }
        room -= rise;
        this->set_throttle(value, share);
        on.pressure.acted = this->now;
    }
}

void cell_state::suspect(std::uint32_t task_class)
{
    auto& own = this->owned;
    auto& recent = own.suspicions[task_class];
    recent.push_back(this->now);
    while (this->now - recent.front() > wave_window || recent.size() > 256) {
        recent.pop_front();
    }
    auto& until = own.noisy_until[task_class];
    if (recent.size() >= wave_workers * 2 && this->now >= until) {
        until = this->now + noisy_for;
        this->log(base::event_line{"noisy_class"}
                      .add("class", this->classes.name(task_class))
                      .add("for", noisy_for));
        this->calm_class(task_class);
    }
}

void cell_state::calm_class(std::uint32_t task_class)
{
    auto& own = this->owned;
    for (auto& [serial, value] : own.runs) {
        auto const& on = own.workers[value.worker];
        bool const is_concerned =
            value.task_class == task_class && value.task != no_index &&
            value.phase == run_phase::running && !value.is_urgent &&
            on.pressure.ratio > this->options.settings.pressure_low;
        if (!is_concerned) {
            continue;
        }
        auto const share =
            std::max(wave_throttle, this->limits_of(value).throttle_floor);
        if (value.wanted_throttle > share) {
            this->set_throttle(value, share);
        }
    }
}

void cell_state::lift_to_floors()
{
    if (this->owned.phase != cell_phase::active) {
        return;
    }
    for (auto& [serial, value] : this->owned.runs) {
        if (value.phase != run_phase::running || value.task == no_index) {
            continue;
        }
        auto const floor = this->limits_of(value).throttle_floor;
        if (value.wanted_throttle < floor) {
            this->set_throttle(value, floor);
        }
    }
}

} // namespace foxtaillift::batch
