/// State machine of the membership.
#pragma once

#include "foxtaillift/cluster/membership.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace foxtaillift::cluster
{

class membership::state
{
public:
    explicit state(membership_options initial);

    struct context
    {
        base::instant now;
        base::random_engine& random;
        std::vector<membership_action>& out;
    };

    void on(membership_tick const& event, context& call);
    void on(seeds_changed const& event, context& call);
    void on(attachment_changed const& event, context& call);
    void on(leave_requested const& event, context& call);
    void on(heartbeat const& event, context& call);

    /// Does whatever is due.
    void advance(context& call);

    [[nodiscard]] base::instant wake_at() const;

    struct entry
    {
        std::string address = {};
        member_state state = member_state::alive;
        std::uint64_t incarnation = 0;
        /// End of the suspicion, or when a removed member is forgotten.
        base::instant until = {};
    };

    membership_options options;
    membership_statistics counts;
    std::uint64_t incarnation = 1;
    std::map<base::host_id, entry> entries;

private:
    struct probe
    {
        base::host_id target = {};
        base::instant deadline = {};
        bool is_indirect = false;
        bool is_seed = false;
    };
    struct relay
    {
        base::host_id requester = {};
        std::string address = {};
        std::uint64_t sequence = 0;
        base::instant until = {};
    };
    struct candidate
    {
        std::string address = {};
        base::instant next_try = {};
    };
    struct queued_update
    {
        member_update content = {};
        std::size_t remaining = 0;
    };

    // Sending (membership.cpp).
    void ping_next(context& call);
    void ping_seed(context& call);
    void ping(
        base::host_id const& target,
        std::string const& address,
        bool is_seed,
        context& call);
    void check_probes(context& call);
    void
    ping_indirectly(std::uint64_t sequence, probe const& failed, context& call);
    void check_members(context& call);
    void forgive_own_pause(context& call);
    void send(
        base::host_id const& to,
        std::string const& address,
        heartbeat content,
        context& call);
    [[nodiscard]] std::vector<base::host_id> choose_members(
        std::size_t count, base::host_id const& except, context& call) const;
    [[nodiscard]] std::size_t count_present() const;

    // News (membership_updates.cpp).
    void take_update(member_update const& update, context& call);
    void take_own_update(member_update const& update);
    void add_member(member_update const& update, context& call);
    void
    change_member(entry& known, member_update const& update, context& call);
    void spread(member_update update);
    void attach_updates(heartbeat& content);
    void answer(heartbeat const& event, bool is_new, context& call);
    void relay_ping(heartbeat const& event, context& call);
    void take_acknowledge(heartbeat const& event, context& call);
    void log_member(char const* what, base::host_id const& host, context& call);

    std::map<base::host_id, candidate> seeds;
    std::vector<base::host_id> order; ///< shuffled; pinged from the back
    std::map<std::uint64_t, probe> probes;
    std::map<std::uint64_t, relay> relays;
    std::map<base::host_id, queued_update> updates;
    std::uint64_t configuration_version = 0;
    std::string attachment;
    std::uint64_t last_sequence = 0;
    std::optional<base::instant> next_ping;
    base::instant last_now{};
    bool has_left = false;
};

} // namespace foxtaillift::cluster
