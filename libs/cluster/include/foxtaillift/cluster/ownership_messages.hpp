/// Messages between peers about planned handovers of cells, and the rows of the
/// table that record hosts and owners.
#pragma once

#include "foxtaillift/base/identifier.hpp"
#include "foxtaillift/cluster/msgpack_identifier.hpp"
#include "foxtaillift/formats/table.hpp"

#include <cstdint>
#include <string>

namespace foxtaillift::cluster
{

/// Asks a host to take a cell over from its present owner.
struct handover_offer
{
    base::host_id from = {};
    base::cell_id cell = {};
    std::uint64_t epoch = 0;            ///< of the present owner
    formats::row_version owner_row = 0; ///< condition of the takeover
    bool is_stopping = false;           ///< the owner is about to stop
    MSGPACK_DEFINE(from, cell, epoch, owner_row, is_stopping)
};

/// Result of an offer. Without `is_taken` the old owner goes on.
struct handover_answer
{
    base::host_id from = {};
    base::cell_id cell = {};
    bool is_taken = false;
    std::uint64_t epoch = 0; ///< new epoch, if taken
    std::string reason = {};
    MSGPACK_DEFINE(from, cell, is_taken, epoch, reason)
};

/// Value of the row `host/<host>`.
struct host_record
{
    base::host_id host = {};
    std::string address = {}; ///< of the peer listener
    base::failure_domain_id failure_domain = {};
    double capacity = 1.0; ///< cores
    std::uint64_t incarnation = 0;
    std::uint64_t renewals = 0;
    bool is_fenced = false;   ///< set by a successor: the incarnation is over
    bool is_stopping = false; ///< must be given no cells
};

/// Value of the row `owner/<cell>`. An empty `host` means that the cell is
/// free.
struct owner_record
{
    base::host_id host = {};
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
    std::string operation = {}; ///< unique id of the change of owner
};

std::string to_text(host_record const& record);
std::string to_text(owner_record const& record);

/// Throw base::error with `corrupt_data` if the text is not such a record.
host_record parse_host_record(std::string const& text);
owner_record parse_owner_record(std::string const& text);

std::string host_key(base::host_id const& host);
std::string owner_key(base::cell_id const& cell);

} // namespace foxtaillift::cluster
