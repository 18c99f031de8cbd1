/// Which filling tasks a fleet has, and where they can work.
#pragma once

#include "foxtaillift/jobs/interference.hpp"

#include <cstdint>
#include <map>
#include <span>

namespace foxtaillift::jobs
{

/// The processors of the filling tasks that were started lately, by image.
class filling_mix
{
public:
    void add(image_number image, std::int64_t processors);

    /// Part of the filling work that can use the unused processors of a worker
    /// with serving tasks of these images; 0 to 1.
    [[nodiscard]] double versatility(
        interference_model const& model,
        std::span<image_number const> serving) const;

private:
    std::map<image_number, std::int64_t> demand{};
    std::int64_t total = 0;
};

} // namespace foxtaillift::jobs
