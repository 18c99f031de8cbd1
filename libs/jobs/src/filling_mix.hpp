/// Which filling tasks a fleet has, and where they can work.
#pragma once

#include "foxtaillift/jobs/interference.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace foxtaillift::jobs
{

/// What a worker has for filling tasks.
struct filling_room
{
    std::vector<image_number> serving{}; ///< images of its serving tasks
    double processors = 0;               ///< unused; thousandths of a core
};

/// The processors of the filling tasks that were started lately, by image.
class filling_mix
{
public:
    void add(image_number image, std::int64_t processors);

    /// Takes the fleet's present rooms over, and the processors that its
    /// filling tasks ask for. Images for which there is little room count more
    /// from now on.
    void update(
        interference_model const& model,
        std::span<filling_room const> rooms,
        double wanted_processors);

    /// Part of the filling work that can use the unused processors of a worker
    /// with serving tasks of these images; 0 to 1.
    [[nodiscard]] double versatility(
        interference_model const& model,
        std::span<image_number const> serving) const;

    /// Processors of the room that filling tasks are expected to use, in
    /// thousandths of a core.
    [[nodiscard]] double
    usable(interference_model const& model, filling_room const& room) const;

private:
    /// Of all weights 1; what was asked for, by what there is for it.
    [[nodiscard]] double weight_of(image_number image) const;

    std::map<image_number, std::int64_t> demand{};
    std::int64_t total = 0;
    std::map<image_number, double> weights{}; ///< by the last update
    double pressure = 1; ///< part of the usable rooms that is asked for
};

} // namespace foxtaillift::jobs
