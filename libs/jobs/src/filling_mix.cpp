#include "filling_mix.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

namespace
{

/// Processors of started filling tasks after which older ones count half: some
/// 300 tasks, which is ten seconds of a busy deployment.
constexpr std::int64_t demand_remembered = 1'000'000;

/// An image with this harm keeps its speed beside a service at its crest, and
/// one with that harm takes the margin of a mean load by a tenth of the
/// worker's processors.
constexpr double harmless = 1.0;
constexpr double disturbing_harm = 6.0;

/// An image that disturbs still uses this part of what is unused, while the
/// services are far from their crest.
constexpr double least_use = 0.2;

/// Of a pair that was not seen yet, like interference_model's first estimate.
constexpr double unknown_tolerance = 0.4;

double tolerance(double harm)
{
    return std::clamp(
        1 - (harm - harmless) / (disturbing_harm - harmless), 0.0, 1.0);
}

double use_of(double tolerated)
{
    return least_use + (1 - least_use) * tolerated;
}

} // namespace

void filling_mix::add(image_number image, std::int64_t processors)
{
    this->demand[image] += processors;
    this->total += processors;
    if (this->total > demand_remembered) {
        this->total = 0;
        for (auto& [other, wanted] : this->demand) {
            wanted /= 2;
            this->total += wanted;
        }
    }
}

double filling_mix::versatility(
    interference_model const& model,
    std::span<image_number const> serving) const
{
    if (this->total == 0) {
        double tolerated = 1;
        for (std::size_t i = 0; i < serving.size(); ++i) {
            tolerated *= unknown_tolerance;
        }
        return use_of(tolerated);
    }
    double sum = 0;
    for (auto const& [image, wanted] : this->demand) {
        // All serving tasks have to bear it.
        double tolerated = 1;
        for (auto const each : serving) {
            tolerated *= tolerance(model.harm(each, image));
        }
        sum += static_cast<double>(wanted) * use_of(tolerated);
    }
    return sum / static_cast<double>(this->total);
}

} // namespace foxtaillift::jobs
