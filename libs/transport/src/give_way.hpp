/// Decides which sessions give way when a limit of the server is reached.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace foxtaillift::transport
{

/// A session without a whole request.
struct give_way_candidate
{
    base::instant progress{}; ///< when it last made progress
    std::size_t amount = 0;   ///< of what is short, that it holds
};

/// Indices of the candidates that made no progress for longest and hold
/// `amount` together, or nothing if all of them hold less.
std::optional<std::vector<std::size_t>> choose_to_give_way(
    std::span<give_way_candidate const> candidates, std::size_t amount);

} // namespace foxtaillift::transport
