/// Tells whether a peer may have taken cells of this host unheard.
#pragma once

#include "foxtaillift/base/identifier.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace foxtaillift::daemon
{

/// State of the link to one peer.
struct link_state
{
    bool is_connected = false;
    std::uint64_t link = 0;        ///< differs for each link to the same host
    std::uint64_t connections = 0; ///< that the link opened so far

    bool operator==(link_state const&) const = default;
};

/// A takeover is announced over the links. Without the store, this host knows
/// that it was not replaced only while the link to each host that could replace
/// it has been up without a break since the row of this host was last renewed.
/// A link that comes back does not help: the announcement is not repeated.
///
///     guard.confirm(ownership.possible_successors());
///     if (!is_lease_confirmed && !guard.is_intact()) { ... }
class takeover_guard
{
public:
    /// Returns nothing if there is no link to the host.
    using link_query =
        std::function<std::optional<link_state>(base::host_id const&)>;

    explicit takeover_guard(link_query query);

    /// The row of this host was renewed; `successors` may take its cells later.
    void confirm(std::vector<base::host_id> const& successors);

    [[nodiscard]] bool is_intact() const;

private:
    link_query find_link;
    /// At the last confirmation.
    std::map<base::host_id, std::optional<link_state>> links;
};

} // namespace foxtaillift::daemon
