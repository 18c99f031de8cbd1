/// What keeps a worker from getting a task.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace foxtaillift::jobs
{

/// Why a worker does not get a task.
enum class obstacle
{
    none,
    unusable,     ///< silent, draining, barred, of another service
    evacuated,    ///< its failure domain is
    not_allowed,  ///< by a label or a limit of tasks on one worker
    no_ticket,    ///< by the queue's adviser, or it was not asked yet
    processors,   ///< too few are free
    memory,       ///< too little is free
    accelerators, ///< too few are free
    speed,        ///< the task would be too slow there
};

std::string_view to_string(obstacle why);

/// Workers of a search, by what kept them from getting the task.
class obstacle_counts
{
public:
    void add(obstacle why, std::size_t workers = 1);
    [[nodiscard]] std::size_t of(obstacle why) const;

private:
    static constexpr std::size_t kinds =
        static_cast<std::size_t>(obstacle::speed) + 1;
    std::array<std::size_t, kinds> counts{};
};

} // namespace foxtaillift::jobs
