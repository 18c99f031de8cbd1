#include "takeover_guard.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::daemon
{

takeover_guard::takeover_guard(link_query query)
    : find_link(std::move(query))
{}

void takeover_guard::confirm(std::vector<base::host_id> const& successors)
{
    this->links.clear();
    for (auto const& host : successors) {
        this->links.emplace(host, this->find_link(host));
    }
}

bool takeover_guard::is_intact() const
{
    return std::all_of(
        this->links.begin(), this->links.end(), [this](auto const& entry) {
            auto const& before = entry.second;
            return before && before->is_connected &&
                   before == this->find_link(entry.first);
        });
}

} // namespace foxtaillift::daemon
