/// Leases that this host may give to runs of tasks.
#pragma once

#include "context.hpp"
#include "ownership_driver.hpp"
#include "peer_links.hpp"
#include "takeover_guard.hpp"

#include <cstdint>

namespace foxtaillift::daemon
{

/// Without the store, this host may have been replaced by a peer that it cannot
/// reach. That peer starts the tasks of an unreachable worker again when their
/// leases have ended, so they must not be renewed or started from here then
/// (design section 4.1). Control thread only.
class run_lease_policy
{
public:
    run_lease_policy(
        context& shared, ownership_driver& ownership, peer_links& links);

    /// Notes renewals of this host's row and changes of the links. Called at
    /// least every second.
    void update();

    [[nodiscard]] bool is_confirmed() const;
    /// Of a start or a renewal that is sent now; zero if neither is allowed.
    [[nodiscard]] base::duration length() const;

private:
    [[nodiscard]] bool is_allowed() const;

    context& shared;
    ownership_driver& ownership;
    takeover_guard guard;
    std::uint64_t confirmed_renewals = 0;
    bool was_allowed = true;
};

} // namespace foxtaillift::daemon
