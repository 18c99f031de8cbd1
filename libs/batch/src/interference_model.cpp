#include "interference_model.hpp"

#include <algorithm>
#include <cmath>

namespace foxtaillift::batch
{

namespace
{

// Expected before anything was seen: a mild harm, so that an unknown class is
// neither trusted at a crest nor kept from running.
constexpr float prior_harm = 0.01F;
constexpr double forgetting_ms = 600'000; // half of the weight is gone
constexpr double least_step = 0.05;
constexpr double max_harm = 5;

} // namespace

std::uint32_t load_level(std::int32_t slots_in_use, std::int32_t slots)
{
    if (slots <= 0) {
        return 0;
    }
    auto const share =
        4 * std::max(slots_in_use, 0) / slots; // quarters of the slots
    return static_cast<std::uint32_t>(std::min(share, 3));
}

interference_model::estimate const* interference_model::find(
    std::uint32_t task_class, std::uint32_t service, std::uint32_t level) const
{
    std::size_t const place =
        std::size_t{std::min(service, max_services - 1)} * levels + level;
    if (task_class >= this->classes.size() ||
        place >= this->classes[task_class].size()) {
        return nullptr;
    }
    return &this->classes[task_class][place];
}

interference_model::estimate& interference_model::at(
    std::uint32_t task_class, std::uint32_t service, std::uint32_t level)
{
    std::size_t const place =
        std::size_t{std::min(service, max_services - 1)} * levels + level;
    if (task_class >= this->classes.size()) {
        this->classes.resize(task_class + std::size_t{1});
    }
    auto& known = this->classes[task_class];
    if (place >= known.size()) {
        known.resize(place + 1, estimate{prior_harm, 0, {}});
    }
    return known[place];
}

double interference_model::harm(
    std::uint32_t task_class, std::uint32_t service, std::uint32_t level) const
{
    if (auto const* known = this->find(task_class, service, level);
        known != nullptr && known->weight > 0) {
        return known->harm;
    }
    // A neighbouring level is a better guess than the prior.
    for (std::uint32_t below = level; below-- > 0;) {
        if (auto const* known = this->find(task_class, service, below);
            known != nullptr && known->weight > 0) {
            return known->harm;
        }
    }
    return prior_harm;
}

double interference_model::evidence(
    std::uint32_t task_class, std::uint32_t service, std::uint32_t level) const
{
    auto const* known = this->find(task_class, service, level);
    return known == nullptr ? 0 : known->weight;
}

void interference_model::learn(
    std::uint32_t service,
    std::uint32_t level,
    double latency_ratio,
    std::span<class_load const> loads,
    base::instant now)
{
    double expected = 1;
    double norm = 0.25; // keeps the step small while little runs
    for (auto const& load : loads) {
        expected += this->harm(load.task_class, service, level) * load.cores;
        norm += load.cores * load.cores;
    }
    double const error = std::clamp(latency_ratio - expected, -5.0, 5.0);
    for (auto const& load : loads) {
        double const current = this->harm(load.task_class, service, level);
        auto& known = this->at(load.task_class, service, level);
        double const idle = static_cast<double>((now - known.seen).ms);
        double const weight = known.weight * std::exp2(-idle / forgetting_ms);
        double const step = std::max(least_step, 1 / (1 + weight));
        double const updated = current + step * error * load.cores / norm;
        known.harm = static_cast<float>(std::clamp(updated, 0.0, max_harm));
        known.weight = static_cast<float>(std::min(weight + 1, 1000.0));
        known.seen = now;
    }
}

} // namespace foxtaillift::batch
