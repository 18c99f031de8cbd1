/// Harm that batch classes do to services, learned online.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace foxtaillift::batch
{

/// Cores of one batch class that ran on a worker at some time.
struct class_load
{
    std::uint32_t task_class = 0;
    double cores = 0;
};

/// Load level of a service by its slots in use: 0 idle .. 3 crest.
std::uint32_t load_level(std::int32_t slots_in_use, std::int32_t slots);

/// For each (class, service, load level): by how much one core of the class
/// raises the latency ratio of the service. Fitted by normalised least mean
/// squares, with a step that falls with the weight of the evidence; the weight
/// fades with time, so that a changed pairing is learned again.
class interference_model
{
public:
    static constexpr std::uint32_t levels = 4;
    static constexpr std::uint32_t max_services = 64; ///< further ones share

    /// One measurement and what ran at the time it was taken.
    void learn(
        std::uint32_t service,
        std::uint32_t level,
        double latency_ratio,
        std::span<class_load const> loads,
        base::instant now);

    /// Expected rise of the latency ratio by one core.
    [[nodiscard]] double harm(
        std::uint32_t task_class,
        std::uint32_t service,
        std::uint32_t level) const;
    /// Weight of the evidence for it; 0 if it was never seen.
    [[nodiscard]] double evidence(
        std::uint32_t task_class,
        std::uint32_t service,
        std::uint32_t level) const;

private:
    struct estimate
    {
        float harm = 0;
        float weight = 0;
        base::instant seen;
    };

    [[nodiscard]] estimate const* find(
        std::uint32_t task_class,
        std::uint32_t service,
        std::uint32_t level) const;
    estimate&
    at(std::uint32_t task_class, std::uint32_t service, std::uint32_t level);

    std::vector<std::vector<estimate>> classes;
};

} // namespace foxtaillift::batch
