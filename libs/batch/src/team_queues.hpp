/// Queued tasks by team, and whose turn it is.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/identifier.hpp"
#include "foxtaillift/batch/settings.hpp"
#include "foxtaillift/formats/hosts.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace foxtaillift::batch
{

using task_index = std::uint32_t;
using team_index = std::uint32_t;

enum class queue_kind : std::uint8_t
{
    urgent,
    short_run,
    long_run
};

/// Place of a task in its queue; lower goes first.
struct queue_entry
{
    std::int64_t rank = 0;
    std::uint64_t order = 0;
    task_index task = 0;

    auto operator<=>(queue_entry const&) const = default;
};

/// One queue of each kind for each team. Among teams, the one with the lowest
/// share of its quota goes first, where the resource with the highest share
/// counts; short and long tasks have separate queues, so that no short task
/// waits behind a long one.
class team_queues
{
public:
    using queue = std::set<queue_entry>;
    using order = std::set<std::pair<double, team_index>>;

    /// Index of the team; made if it is new.
    team_index team(base::team_id const& id);
    [[nodiscard]] std::size_t team_count() const { return this->teams.size(); }
    [[nodiscard]] bool has_team(base::team_id const& id) const
    {
        return this->by_id.contains(id);
    }
    void set_quota(team_index team, team_quota const& quota);

    void insert(team_index team, queue_kind kind, queue_entry entry);
    void erase(team_index team, queue_kind kind, queue_entry const& entry);

    /// Changes the resources that a team's runs hold.
    void add_used(team_index team, formats::resources const& size);
    void remove_used(team_index team, formats::resources const& size);

    /// True if the team may start something of this size now.
    [[nodiscard]] bool
    may_use(team_index team, formats::resources const& size) const;
    /// False if the team's quota forbids the size for good.
    [[nodiscard]] bool
    could_use(team_index team, formats::resources const& size) const
    {
        return this->short_quota(team, size) == nullptr;
    }
    /// The resource of which the quota is below the size for a team that may
    /// not borrow, or null.
    [[nodiscard]] char const*
    short_quota(team_index team, formats::resources const& size) const;

    [[nodiscard]] order const& turn(queue_kind kind) const
    {
        return this->orders[static_cast<std::size_t>(kind)];
    }
    [[nodiscard]] queue const& of(team_index team, queue_kind kind) const
    {
        return this->teams[team].queues[static_cast<std::size_t>(kind)];
    }
    [[nodiscard]] base::team_id const& name(team_index team) const
    {
        return this->teams[team].id;
    }
    [[nodiscard]] formats::resources const& used(team_index team) const
    {
        return this->teams[team].used;
    }
    [[nodiscard]] team_quota const& quota(team_index team) const
    {
        return this->teams[team].quota;
    }
    [[nodiscard]] double share(team_index team) const
    {
        return this->teams[team].share;
    }

private:
    struct team_state
    {
        base::team_id id;
        team_quota quota;
        formats::resources used;
        double share = 0;
        std::array<queue, 3> queues;
    };

    void update_share(team_index team);

    std::vector<team_state> teams;
    std::unordered_map<base::team_id, team_index> by_id;
    std::array<order, 3> orders;
};

} // namespace foxtaillift::batch
