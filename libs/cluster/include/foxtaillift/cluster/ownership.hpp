/// Ownership of cells under leases with fencing epochs.
///
/// The engine registers this host, renews its row, watches the rows of all
/// hosts and owners, takes free and lapsed cells, and hands cells over.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/random.hpp"
#include "foxtaillift/cluster/ownership_messages.hpp"
#include "foxtaillift/store/submission.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace foxtaillift::cluster
{

struct ownership_options
{
    base::host_id host = {};
    std::string address = {};
    base::failure_domain_id failure_domain = {};
    double capacity = 1.0; ///< cores; the share of cells is proportional
    /// Unique to this process, from base::make_unique_id().
    std::string process = {};
    base::duration renewal_interval = base::milliseconds(2000);
    base::duration scan_interval = base::milliseconds(1000);
    base::duration scan_timeout = base::milliseconds(2000);
    base::duration lease = base::milliseconds(6000);
    /// 600 ms below the lease: 1% drift of both clocks and scheduling delays.
    base::duration unconfirmed_after = base::milliseconds(5400);
    /// After the registration no cell is taken for this long, so that hosts
    /// that start together do not leave all cells to the first of them.
    base::duration settle_time = base::milliseconds(2500);
    base::duration handover_timeout = base::milliseconds(5000);
    /// On a planned stop a cell that nobody took is released after this.
    base::duration stop_timeout = base::milliseconds(3000);
    base::duration move_interval = base::milliseconds(1000);
    std::size_t voluntary_moves = 2;     ///< in flight
    std::size_t incoming_moves = 4;      ///< offers accepted at a time
    std::size_t cells_per_takeover = 32; ///< in one transaction
    /// Rows of hosts that stopped or were fenced are deleted after this.
    base::duration forget_host_after = base::seconds(3600);
    /// Bounds of the tables built from rows; further rows are ignored, counted
    /// and logged.
    std::size_t max_hosts = 1000;
    std::size_t max_cells = 10'000;
    std::uint32_t scan_limit = 1000; ///< rows of one request
};

// Events.

struct ownership_tick
{};

/// All cells, from the platform's list of workers. Cells with an owner row that
/// the list does not have stay owned, and are taken when their owner is gone.
struct cells_changed
{
    struct cell
    {
        base::cell_id id;
        double weight = 1.0; ///< cores
    };
    std::vector<cell> cells = {};
};

struct ownership_scan_finished
{
    std::uint64_t request = 0;
    formats::rows_result result = {};
};

/// Another part of the daemon had a write refused because of an owner row.
struct owner_row_refused
{
    base::cell_id cell = {};
    formats::row_version version = 0; ///< that the table has
};

/// A planned stop: hand over or release everything.
struct stop_requested
{};

using ownership_event = std::variant<
    ownership_tick,
    cells_changed,
    ownership_scan_finished,
    store::completion,
    handover_offer,
    handover_answer,
    owner_row_refused,
    stop_requested>;

// Actions.

struct scan_rows
{
    std::uint64_t request = 0;
    formats::scan_request content = {};
};

/// The cell is owned from now on: adopt its workers with `epoch`.
struct cell_gained
{
    base::cell_id cell = {};
    std::uint64_t epoch = 0;
    formats::row_version owner_row = 0;
    bool is_handover = false; ///< the former owner stopped starting work
};

/// Start no new work in the cell; it is offered to another host.
struct cell_draining
{
    base::cell_id cell = {};
};

/// The offer failed; go on as before.
struct cell_resumed
{
    base::cell_id cell = {};
};

/// Somebody else may own the cell: stop everything but calls in progress.
struct cell_lost
{
    base::cell_id cell = {};
    std::uint64_t epoch = 0;
    std::string reason = {}; ///< fenced, taken, handed-over, released
};

struct send_handover_offer
{
    base::host_id to = {};
    handover_offer content = {};
};

struct send_handover_answer
{
    base::host_id to = {};
    handover_answer content = {};
};

/// Nothing is owned any more and the row of the host says so.
struct ownership_stopped
{};

using ownership_action = std::variant<
    store::submission,
    scan_rows,
    cell_gained,
    cell_draining,
    cell_resumed,
    cell_lost,
    send_handover_offer,
    send_handover_answer,
    ownership_stopped,
    store::log_line>;

enum class lease_state
{
    unregistered, ///< starting, fenced or stopped: owns nothing
    confirmed,
    unconfirmed, ///< accept no submission and make no move
};

struct owned_cell
{
    base::cell_id cell = {};
    std::uint64_t epoch = 0;
    formats::row_version owner_row = 0;
    bool is_draining = false;
};

/// What the rows of the table say, for routing calls to owners.
struct known_owner
{
    base::cell_id cell = {};
    base::host_id host = {}; ///< empty if nobody owns the cell
    std::uint64_t epoch = 0;
};

struct ownership_statistics
{
    std::uint64_t renewals = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t takeover_conflicts = 0;
    std::uint64_t handovers_out = 0;
    std::uint64_t handovers_in = 0;
    std::uint64_t times_fenced = 0;
    std::uint64_t rows_ignored = 0; ///< beyond a bound, or not readable
    std::uint64_t failed_scans = 0;
};

/// The engine. Used by one thread. Submissions have the source
/// `store::submitter::ownership`.
class ownership
{
public:
    explicit ownership(ownership_options options);
    ~ownership();
    ownership(ownership&&) noexcept;
    ownership& operator=(ownership&&) noexcept;

    /// Appends the resulting actions to `out`.
    void handle(
        ownership_event const& event,
        base::instant now,
        base::random_engine& random,
        std::vector<ownership_action>& out);

    /// When the next tick is due.
    [[nodiscard]] base::instant wake_at() const;

    [[nodiscard]] lease_state lease(base::instant now) const;
    [[nodiscard]] std::uint64_t incarnation() const;
    /// The cell with its owner row version, if this host owns it.
    [[nodiscard]] std::optional<owned_cell>
    find(base::cell_id const& cell) const;
    [[nodiscard]] std::vector<owned_cell> owned() const;
    [[nodiscard]] std::vector<known_owner> owners() const;
    /// Registered hosts that are neither fenced nor stopping, as seeds of the
    /// membership.
    [[nodiscard]] std::vector<host_record> hosts() const;
    /// Other hosts that may take cells of this host, in the last rows read:
    /// neither fenced nor stopping, and their own leases had not lapsed.
    [[nodiscard]] std::vector<base::host_id> possible_successors() const;
    [[nodiscard]] ownership_statistics const& statistics() const;

private:
    class state;
    std::unique_ptr<state> self;
};

} // namespace foxtaillift::cluster
