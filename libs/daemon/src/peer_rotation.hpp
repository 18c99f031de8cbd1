/// Chooses the peers that a periodic message goes to next.
#pragma once

#include "foxtaillift/base/identifier.hpp"

#include <algorithm>
#include <cstddef>
#include <span>
#include <vector>

namespace foxtaillift::daemon
{

/// Goes through the members in the order of their names, a few at a time, so
/// that each of n members is chosen once in n / count rounds. Members that join
/// or leave between two rounds do not make it skip others.
class peer_rotation
{
public:
    /// At most `count` members that follow those chosen before.
    [[nodiscard]] std::vector<base::host_id>
    next(std::span<base::host_id const> members, std::size_t count)
    {
        std::vector<base::host_id> sorted{members.begin(), members.end()};
        std::sort(sorted.begin(), sorted.end());
        auto const after =
            std::upper_bound(sorted.begin(), sorted.end(), this->last);
        std::rotate(sorted.begin(), after, sorted.end());
        sorted.resize(std::min(sorted.size(), count));
        if (!sorted.empty()) {
            this->last = sorted.back();
        }
        return sorted;
    }

private:
    base::host_id last;
};

} // namespace foxtaillift::daemon
