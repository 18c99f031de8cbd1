#include "run_lease_policy.hpp"

#include <algorithm>

namespace foxtaillift::daemon
{

run_lease_policy::run_lease_policy(
    context& context, ownership_driver& owned, peer_links& links)
    : shared(context)
    , ownership(owned)
    , guard(
          [&links](base::host_id const& host) { return links.state_of(host); })
{}

void run_lease_policy::update()
{
    auto const& state = this->ownership.state();
    if (state.statistics().renewals != this->confirmed_renewals) {
        this->confirmed_renewals = state.statistics().renewals;
        this->guard.confirm(state.possible_successors());
    }
    bool const is_now_allowed = this->is_allowed();
    if (is_now_allowed != this->was_allowed) {
        this->was_allowed = is_now_allowed;
        base::event_line line{"run_leases_changed"};
        this->shared.log.write(line.add("renewed", is_now_allowed));
    }
}

bool run_lease_policy::is_confirmed() const
{
    return this->ownership.state().lease(this->shared.now()) ==
           cluster::lease_state::confirmed;
}

bool run_lease_policy::is_allowed() const
{
    return this->is_confirmed() || this->guard.is_intact();
}

base::duration run_lease_policy::length() const
{
    auto const& settings = this->shared.settings;
    auto const lease = settings.batch.task_lease;
    if (this->is_confirmed()) {
        return lease;
    }
    if (!this->is_allowed()) {
        return {};
    }
    // A link may have been silent for this long without being noticed, and a
    // takeover been announced in that time.
    return std::max(lease - settings.peer.ping_timeout, base::duration{});
}

} // namespace foxtaillift::daemon
