/// Versioned fleet configuration: accepts changes and keeps every host at the
/// highest version. The version of a host never goes down.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/random.hpp"
#include "foxtaillift/cluster/configuration_document.hpp"
#include "foxtaillift/cluster/configuration_messages.hpp"
#include "foxtaillift/cluster/configuration_query.hpp"
#include "foxtaillift/store/concepts.hpp"
#include "foxtaillift/store/submission.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace foxtaillift::cluster
{

struct configuration_options
{
    base::host_id host = {};
    /// Unique to this process, from base::make_unique_id().
    std::string process = {};
    std::vector<base::host_id> seeds =
        {}; ///< asked if the store is down at start
    configuration_version snapshot_interval = 256;
    /// Deltas kept in memory and as rows. A multiple of the interval.
    std::size_t history = 512;
    base::duration acknowledge_wait = base::milliseconds(1000);
    /// A change that the store did not take by then is refused.
    base::duration accept_deadline = base::milliseconds(2000);
    base::duration request_timeout = base::milliseconds(2000);
    base::duration pull_timeout = base::milliseconds(1000);
    /// All hosts together read the head row once in this time. Only this read
    /// finds a version whose accepting host died before it could push it.
    base::duration head_read_interval = base::milliseconds(1000);
    base::duration expiry_check_interval = base::seconds(30);
    /// A push that was not acknowledged is repeated after this, so often.
    base::duration push_repeat = base::milliseconds(300);
    std::size_t push_repeats = 3;
    std::size_t forward_to = 2; ///< peers that get a copy of a pushed delta
    std::size_t deltas_per_message = 64;
    std::size_t waiting_changes = 32; ///< further ones are refused
    /// Rows of changes read in one request while catching up.
    std::size_t deltas_per_read = 16;
    std::size_t edits_per_change = 256;
    std::size_t overrides = 20'000; ///< a change beyond this is refused
    /// Peers whose versions are kept; messages of further ones are used, but
    /// their versions are not listed.
    std::size_t max_peers = 1000;
};

// Events.

struct configuration_tick
{};

/// Live members without this host, from the membership.
struct peers_changed
{
    std::vector<base::host_id> peers = {};
};

/// A heartbeat of a peer carried its version.
struct peer_version_seen
{
    base::host_id peer = {};
    configuration_version version = 0;
};

/// What the check before acceptance is made against.
struct fleet_changed
{
    fleet_view fleet = {};
};

struct change_requested
{
    std::uint64_t request = 0;          ///< returned in the answer
    configuration_version expected = 0; ///< the version the operator saw
    std::string author = {};
    std::string reason = {};
    std::vector<configuration_edit> edits = {};
    bool is_forced = false; ///< accept although a need is lost
};

/// Makes a new version with the content of an earlier one.
struct rollback_requested
{
    std::uint64_t request = 0;
    configuration_version expected = 0;
    configuration_version target = 0;
    std::string author = {};
    std::string reason = {};
};

struct configuration_rows_read
{
    std::uint64_t request = 0;
    formats::rows_result result = {};
};

struct configuration_object_finished
{
    std::uint64_t request = 0;
    store::object_result result = {};
};

using configuration_event = std::variant<
    configuration_tick,
    peers_changed,
    peer_version_seen,
    fleet_changed,
    change_requested,
    rollback_requested,
    configuration_rows_read,
    configuration_object_finished,
    store::completion,
    configuration_push,
    configuration_pull,
    configuration_acknowledge>;

// Actions.

struct read_configuration_rows
{
    std::uint64_t request = 0;
    std::vector<std::string> keys = {};
};

struct get_configuration_object
{
    std::uint64_t request = 0;
    std::string name = {};
};

struct put_configuration_object
{
    std::uint64_t request = 0;
    std::string name = {};
    std::string body = {};
};

struct send_configuration_push
{
    base::host_id to = {};
    configuration_push content = {};
};

struct send_configuration_pull
{
    base::host_id to = {};
    configuration_pull content = {};
};

struct send_configuration_acknowledge
{
    base::host_id to = {};
    configuration_acknowledge content = {};
};

enum class change_result
{
    accepted,
    outdated,    ///< somebody else changed it first, see `changes`
    refused,     ///< the check failed, see `messages`
    unavailable, ///< the store does not answer or too many wait; try again
    undecided,   ///< the store stopped answering: read the version again later
};

struct change_answer
{
    std::uint64_t request = 0;
    change_result result = change_result::unavailable;
    configuration_version version = 0; ///< accepted, or in force at this host
    std::vector<base::host_id> acknowledged =
        {}; ///< hosts that have it in force
    std::vector<std::string> messages = {};
    /// `outdated`: what others changed since the version the operator saw.
    std::vector<configuration_delta> changes = {};
    std::vector<std::string> differences = {}; ///< one line a setting
};

/// The document of a new version is in force on this host.
struct configuration_in_force
{
    configuration_version version = 0;
};

using configuration_action = std::variant<
    store::submission,
    read_configuration_rows,
    get_configuration_object,
    put_configuration_object,
    send_configuration_push,
    send_configuration_pull,
    send_configuration_acknowledge,
    change_answer,
    configuration_in_force,
    store::log_line>;

struct configuration_statistics
{
    std::uint64_t accepted = 0;
    std::uint64_t outdated = 0;
    std::uint64_t refused = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t pushes = 0;
    std::uint64_t pulls = 0;
    std::uint64_t head_reads = 0;
    std::uint64_t snapshots_written = 0;
    std::uint64_t messages_ignored = 0; ///< not decodable or out of order
};

/// The engine. Used by one thread. Submissions have the source
/// `store::submitter::configuration`. `wall_ms` is the wall clock, for records
/// and for the expiry of overrides.
class configuration
{
public:
    explicit configuration(configuration_options options);
    ~configuration();
    configuration(configuration&&) noexcept;
    configuration& operator=(configuration&&) noexcept;

    /// Appends the resulting actions to `out`.
    void handle(
        configuration_event const& event,
        base::instant now,
        std::int64_t wall_ms,
        base::random_engine& random,
        std::vector<configuration_action>& out);

    /// When the next tick is due.
    [[nodiscard]] base::instant wake_at() const;

    /// False until a fresh host has read a configuration.
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] configuration_document const& document() const;
    /// Changes that are kept, oldest first.
    [[nodiscard]] std::vector<configuration_delta> history() const;
    /// Highest version known of each live host, this one included.
    [[nodiscard]] std::map<base::host_id, configuration_version>
    versions() const;
    [[nodiscard]] configuration_statistics const& statistics() const;

private:
    class state;
    std::unique_ptr<state> self;
};

} // namespace foxtaillift::cluster
