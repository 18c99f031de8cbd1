/// Run times learned by class, with forgetting.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace foxtaillift::batch
{

/// Quantiles from a histogram with logarithmic buckets. Declared run times are
/// far off, so that they count only until a class has been seen a few times.
class run_time_model
{
public:
    void add(std::uint32_t task_class, base::duration ran);

    /// Quantile in (0, 1); the declared time if the class is not known yet,
    /// and one minute if nothing is declared either.
    [[nodiscard]] base::duration quantile(
        std::uint32_t task_class, double share, base::duration declared) const;
    [[nodiscard]] bool is_known(std::uint32_t task_class) const;

private:
    static constexpr std::size_t buckets = 96;
    struct histogram
    {
        std::array<float, buckets> counts{};
        double total = 0;
    };

    std::vector<histogram> classes;
};

} // namespace foxtaillift::batch
