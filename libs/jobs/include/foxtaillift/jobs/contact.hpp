/// Whether an entry host still reaches anything of the system.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::jobs
{

struct contact_options
{
    /// Without contact for this long the host counts as isolated: the others
    /// had time to answer.
    base::duration isolation = base::milliseconds(1500);
    base::duration ask_interval = base::milliseconds(400);
    /// A host that pinged this leader no later is named to others.
    base::duration named_for = base::seconds(3);
};

/// A host that reaches neither the store nor any other host serves no caller,
/// while others may; one that only lost the store or the leader goes on, since
/// the others are no better off. Not thread-safe.
class contact
{
public:
    /// Names that one answer holds, so that its size does not grow with the
    /// number of hosts.
    static constexpr std::size_t peers_named = 3;

    explicit contact(contact_options settings = {})
        : options(settings)
    {}

    // Commands

    /// The store or another host has answered, or another host has asked.
    void on_contact(base::instant at);
    /// The leader has named other hosts.
    void on_peers(std::vector<std::string> peers);
    /// A host has pinged this leader.
    void on_pinged(std::string const& address, base::instant now);
    /// Hosts to be asked while no leader answers; empty if none is due.
    std::vector<std::string> take_questions(base::instant now);

    // Queries

    /// Some of the hosts that pinged this leader, spread over their addresses,
    /// since near ones may be cut off together. Never `asker`.
    [[nodiscard]] std::vector<std::string>
    peers_for(std::string_view asker, base::instant now) const;
    /// False while no other host is known.
    [[nodiscard]] bool is_isolated(base::instant now) const;

private:
    contact_options options;
    std::optional<base::instant> contact_at{};
    base::instant asked_at{-1'000'000};
    std::vector<std::string> known{};
    std::map<std::string, base::instant> pinged{}; ///< by address
};

} // namespace foxtaillift::jobs
