#include "team_queues.hpp"

#include <algorithm>

namespace foxtaillift::batch
{

namespace
{

// Of capacity beyond all quotas, teams get shares by weight. A borrowed core
// raises the share by 1; the scales of the other resources have the proportions
// of the default quotas, so that the resources are comparable.
constexpr double borrow_scale = 1000;
constexpr double memory_borrow_scale = 4'000;
constexpr double accelerator_borrow_scale = 0.016;

double share_of(std::int64_t amount, double quota, double scale, double weight)
{
    auto const used = static_cast<double>(amount);
    return used < quota ? used / quota
                        : 1 + (used - quota) / (scale * std::max(weight, 1e-6));
}

// A team without a quota for these two that uses none of them borrows none.
double share_of_optional(
    std::int64_t amount, double quota, double scale, double weight)
{
    return amount <= 0 ? 0 : share_of(amount, quota, scale, weight);
}

/// The first resource of which `wanted` is above the quota, or null.
char const* exceeded(formats::resources const& wanted, team_quota const& quota)
{
    if (static_cast<double>(wanted.processors) > quota.processors) {
        return "processors";
    }
    if (static_cast<double>(wanted.memory_mb) > quota.memory_mb) {
        return "memory_mb";
    }
    return static_cast<double>(wanted.accelerators) > quota.accelerators
               ? "accelerators"
               : nullptr;
}

} // namespace

team_index team_queues::team(base::team_id const& id)
{
    auto const next = static_cast<team_index>(this->teams.size());
    auto const [found, is_new] = this->by_id.try_emplace(id, next);
    if (is_new) {
        this->teams.emplace_back().id = id;
    }
    return found->second;
}

void team_queues::set_quota(team_index team, team_quota const& quota)
{
    this->teams[team].quota = quota;
    this->update_share(team);
}

void team_queues::insert(team_index team, queue_kind kind, queue_entry entry)
{
    auto const place = static_cast<std::size_t>(kind);
    auto& state = this->teams[team];
    if (state.queues[place].empty()) {
        this->orders[place].emplace(state.share, team);
    }
    state.queues[place].insert(entry);
}

void team_queues::erase(
    team_index team, queue_kind kind, queue_entry const& entry)
{
    auto const place = static_cast<std::size_t>(kind);
    auto& state = this->teams[team];
    if (state.queues[place].erase(entry) != 0 && state.queues[place].empty()) {
        this->orders[place].erase({state.share, team});
    }
}

void team_queues::add_used(team_index team, formats::resources const& size)
{
    this->teams[team].used += size;
    this->update_share(team);
}

void team_queues::remove_used(team_index team, formats::resources const& size)
{
    this->teams[team].used -= size;
    this->update_share(team);
}

void team_queues::update_share(team_index team)
{
    auto& state = this->teams[team];
    auto const& quota = state.quota;
    auto const share = std::max(
        {share_of(
             state.used.processors, quota.processors, borrow_scale,
             quota.weight),
         share_of_optional(
             state.used.memory_mb, quota.memory_mb, memory_borrow_scale,
             quota.weight),
         share_of_optional(
             state.used.accelerators, quota.accelerators,
             accelerator_borrow_scale, quota.weight)});
    if (share == state.share) {
        return;
    }
    for (std::size_t place = 0; place < state.queues.size(); ++place) {
        if (!state.queues[place].empty()) {
            this->orders[place].erase({state.share, team});
            this->orders[place].emplace(share, team);
        }
    }
    state.share = share;
}

bool team_queues::may_use(team_index team, formats::resources const& size) const
{
    auto const& state = this->teams[team];
    if (state.quota.may_borrow) {
        return true;
    }
    auto wanted = state.used;
    wanted += size;
    // A resource that the size does not need may be over its quota.
    wanted.memory_mb = size.memory_mb > 0 ? wanted.memory_mb : 0;
    wanted.accelerators = size.accelerators > 0 ? wanted.accelerators : 0;
    return exceeded(wanted, state.quota) == nullptr;
}

char const*
team_queues::short_quota(team_index team, formats::resources const& size) const
{
    auto const& state = this->teams[team];
    return state.quota.may_borrow ? nullptr : exceeded(size, state.quota);
}

} // namespace foxtaillift::batch
