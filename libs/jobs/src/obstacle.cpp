#include "obstacle.hpp"

namespace foxtaillift::jobs
{

std::string_view to_string(obstacle why)
{
    switch (why) {
    case obstacle::none:
        return "none";
    case obstacle::unusable:
        return "unusable";
    case obstacle::evacuated:
        return "evacuated";
    case obstacle::not_allowed:
        return "not_allowed";
    case obstacle::no_ticket:
        return "no_ticket";
    case obstacle::processors:
        return "processors";
    case obstacle::memory:
        return "memory";
    case obstacle::accelerators:
        return "accelerators";
    case obstacle::speed:
        return "speed";
    }
    return "none";
}

void obstacle_counts::add(obstacle why, std::size_t workers)
{
    this->counts[static_cast<std::size_t>(why)] += workers;
}

std::size_t obstacle_counts::of(obstacle why) const
{
    return this->counts[static_cast<std::size_t>(why)];
}

} // namespace foxtaillift::jobs
