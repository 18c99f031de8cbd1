/// The list of live entry hosts, kept by heartbeats.
///
/// Removal from this list never moves a cell; only the lease does.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/random.hpp"
#include "foxtaillift/cluster/membership_messages.hpp"
#include "foxtaillift/store/submission.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace foxtaillift::cluster
{

struct membership_options
{
    base::host_id host = {};
    std::string address = {};
    std::uint64_t incarnation = 1;
    base::duration ping_interval = base::milliseconds(500);
    base::duration ping_timeout = base::milliseconds(500);
    base::duration suspicion = base::milliseconds(2000);
    std::size_t indirect_pings = 2;
    std::size_t updates_per_message = 6;
    /// An update is attached to this many messages for each doubling of the
    /// number of members.
    std::size_t repeats_per_doubling = 3;
    /// First delay of a starting host is random up to this, so that hosts that
    /// start together spread.
    base::duration first_delay = base::milliseconds(500);
    /// Removed members are remembered, so that old news does not revive them.
    base::duration remember_removed = base::seconds(60);
    /// A seed that does not answer is tried again after this.
    base::duration seed_retry = base::seconds(2);
    /// Bounds. News of further hosts and longer attachments are dropped and
    /// counted.
    std::size_t max_members = 1000;
    std::size_t max_attachment = 1024;
};

// Events.

struct membership_tick
{};

/// Hosts that may be live: the platform's list and the `host/` rows.
struct seeds_changed
{
    struct seed
    {
        base::host_id host;
        std::string address;
    };
    std::vector<seed> seeds = {};
};

/// Attached to every message from now on.
struct attachment_changed
{
    std::uint64_t configuration_version = 0;
    std::string attachment = {};
};

/// A planned stop: tells some members at once.
struct leave_requested
{};

using membership_event = std::variant<
    membership_tick,
    seeds_changed,
    attachment_changed,
    leave_requested,
    heartbeat>;

// Actions.

struct send_heartbeat
{
    base::host_id to = {};
    std::string address = {};
    heartbeat content = {};
};

struct member_joined
{
    base::host_id host = {};
    std::string address = {};
};

struct member_suspected
{
    base::host_id host = {};
};

struct member_removed
{
    base::host_id host = {};
};

/// Any message of a member arrived.
struct member_heard
{
    base::host_id host = {};
    std::uint64_t configuration_version = 0;
    std::string attachment = {};
};

using membership_action = std::variant<
    send_heartbeat,
    member_joined,
    member_suspected,
    member_removed,
    member_heard,
    store::log_line>;

struct member
{
    base::host_id host = {};
    std::string address = {};
    member_state state = member_state::alive;
    std::uint64_t incarnation = 0;
};

struct membership_statistics
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t removals = 0;
    std::uint64_t refutations = 0;
    std::uint64_t dropped = 0; ///< updates and attachments beyond a bound
};

/// The engine. Used by one thread.
class membership
{
public:
    explicit membership(membership_options options);
    ~membership();
    membership(membership&&) noexcept;
    membership& operator=(membership&&) noexcept;

    /// Appends the resulting actions to `out`.
    void handle(
        membership_event const& event,
        base::instant now,
        base::random_engine& random,
        std::vector<membership_action>& out);

    /// When the next tick is due.
    [[nodiscard]] base::instant wake_at() const;

    /// Live and suspected members without this host, ordered by name.
    [[nodiscard]] std::vector<member> members() const;
    [[nodiscard]] std::uint64_t incarnation() const;
    [[nodiscard]] membership_statistics const& statistics() const;

private:
    class state;
    std::unique_ptr<state> self;
};

} // namespace foxtaillift::cluster
