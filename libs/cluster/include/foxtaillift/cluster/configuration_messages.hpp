/// Messages between peers that distribute the fleet configuration.
#pragma once

#include "foxtaillift/cluster/configuration_document.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace foxtaillift::cluster
{

/// A delta on the wire; `text` is the row value of `config/change/<version>`.
struct packed_delta
{
    configuration_version version = 0;
    std::string text = {};
    MSGPACK_DEFINE(version, text)
};

/// Deltas in ascending order. Answers a pull, or announces a change.
struct configuration_push
{
    base::host_id from = {};
    /// Highest version of the sender; more than the deltas if they were cut.
    configuration_version version = 0;
    std::vector<packed_delta> deltas = {};
    /// Snapshot text for a host that is behind the sender's history, or empty.
    std::string snapshot = {};
    /// Live members known to the sender; only in answers to a bootstrap.
    std::vector<base::host_id> members = {};
    bool is_answer = false;
    /// The sender has read a configuration from the store or from peers.
    bool is_ready = false;
    MSGPACK_DEFINE(
        from, version, deltas, snapshot, members, is_answer, is_ready)
};

/// Asks for everything above `version`.
struct configuration_pull
{
    base::host_id from = {};
    configuration_version version = 0;
    bool is_bootstrap = false; ///< asks for the members, too
    MSGPACK_DEFINE(from, version, is_bootstrap)
};

/// Says which version is in force at the sender.
struct configuration_acknowledge
{
    base::host_id from = {};
    configuration_version version = 0;
    MSGPACK_DEFINE(from, version)
};

} // namespace foxtaillift::cluster
