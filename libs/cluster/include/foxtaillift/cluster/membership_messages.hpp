/// Heartbeat messages between peers.
#pragma once

#include "foxtaillift/cluster/msgpack_identifier.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace foxtaillift::cluster
{

enum class member_state : std::uint8_t
{
    alive,
    suspected,
    removed, ///< suspected for too long, or left
};

/// One piece of news about a member.
struct member_update
{
    base::host_id host = {};
    std::string address = {}; ///< of the peer listener
    member_state state = member_state::alive;
    std::uint64_t incarnation = 0;
    MSGPACK_DEFINE(host, address, state, incarnation)
};

enum class heartbeat_kind : std::uint8_t
{
    ping, ///< asks for an `acknowledge` with the same sequence
    acknowledge,
    ping_request, ///< asks to ping `target` and to pass its answer on
    leave,        ///< the sender stops
};

/// Every heartbeat has this form.
struct heartbeat
{
    heartbeat_kind kind = heartbeat_kind::ping;
    base::host_id from = {};
    std::string address = {}; ///< of the sender's peer listener
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    base::host_id target = {}; ///< ping_request only
    std::string target_address = {};
    std::uint64_t configuration_version = 0;
    std::vector<member_update> updates = {};
    std::string attachment =
        {}; ///< summaries of the sender's cells, opaque here
    MSGPACK_DEFINE(
        kind,
        from,
        address,
        incarnation,
        sequence,
        target,
        target_address,
        configuration_version,
        updates,
        attachment)
};

} // namespace foxtaillift::cluster

MSGPACK_ADD_ENUM(foxtaillift::cluster::member_state);
MSGPACK_ADD_ENUM(foxtaillift::cluster::heartbeat_kind);
