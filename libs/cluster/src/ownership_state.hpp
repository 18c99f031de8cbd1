/// State machine of the ownership of cells.
#pragma once

#include "foxtaillift/cluster/balance.hpp"
#include "foxtaillift/cluster/ownership.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::cluster
{

class ownership::state
{
public:
    explicit state(ownership_options initial);

    struct context
    {
        base::instant now;
        base::random_engine& random;
        std::vector<ownership_action>& out;
    };

    void on(ownership_tick const& event, context& call);
    void on(cells_changed const& event, context& call);
    void on(ownership_scan_finished const& event, context& call);
    void on(store::completion const& event, context& call);
    void on(handover_offer const& event, context& call);
    void on(handover_answer const& event, context& call);
    void on(owner_row_refused const& event, context& call);
    void on(stop_requested const& event, context& call);

    /// Does whatever is due.
    void advance(context& call);

    [[nodiscard]] base::instant wake_at() const;
    [[nodiscard]] lease_state lease(base::instant now) const;

    enum class phase
    {
        starting,    ///< the own row has to be read
        registering, ///< the own row is being written
        registered,
        stopped,
    };
    struct host_view
    {
        host_record record;
        formats::row_version version = 0;
        base::instant unchanged_since; ///< on the local clock
    };
    struct owner_view
    {
        owner_record record;
        formats::row_version version = 0;
    };
    struct held_cell
    {
        std::uint64_t epoch = 0;
        formats::row_version owner_row = 0;
        /// Set while the cell is offered or released.
        std::optional<base::instant> draining_since;
        base::host_id offered_to;
    };
    enum class purpose
    {
        registration,
        renewal,
        takeover,
        handover,
        release,
        sign_off, ///< last write of the own row on a planned stop
        forget,
    };
    struct pending_write
    {
        purpose kind = purpose::renewal;
        std::uint64_t incarnation = 0;
        base::instant submitted = {};
        std::map<base::cell_id, owner_record> cells = {};
        base::host_id other =
            {}; ///< former owner, offering host or forgotten one
    };
    /// A scan of one prefix, which may take several requests.
    struct prefix_scan
    {
        std::string prefix;
        std::uint64_t request = 0; ///< 0: none in flight
        base::instant sent = {};
        base::instant started = {};
        std::optional<base::instant> last_success = {};
        std::vector<formats::row> rows = {};
    };

    ownership_options options;
    ownership_statistics counts;
    std::uint64_t incarnation = 0;
    std::map<base::cell_id, held_cell> held_cells;
    std::map<base::host_id, host_view> hosts;
    std::map<base::cell_id, owner_view> owners;
    prefix_scan host_scan{.prefix = "host/"};

    [[nodiscard]] bool
    is_lapsed(host_view const& host, base::instant now) const;

private:
    // Scans (ownership_scan.cpp).
    void start_scans(context& call);
    void send_scan(prefix_scan& scan, std::string after, context& call);
    void finish_scan(prefix_scan& scan, context& call);
    void take_host_rows(context& call);
    void take_owner_rows(context& call);
    [[nodiscard]] bool has_fresh_view(base::instant now) const;

    // Lease (ownership_lease.cpp).
    void register_host(context& call);
    void renew(context& call);
    void sign_off(context& call);
    void finish_registration(
        pending_write const& write,
        store::completion const& done,
        context& call);
    void finish_renewal(
        pending_write const& write,
        store::completion const& done,
        context& call);
    void become_fenced(std::string_view reason, context& call);
    [[nodiscard]] host_record own_record() const;

    // Cells (ownership_cells.cpp).
    void take_cells(context& call);
    void submit_takeover(
        base::host_id const& former,
        std::vector<base::cell_id> const& chosen,
        context& call);
    void finish_takeover(
        pending_write const& write,
        store::completion const& done,
        context& call);
    void finish_release(
        pending_write const& write,
        store::completion const& done,
        context& call);
    void gain(
        base::cell_id const& cell,
        owner_record const& record,
        formats::row_version version,
        bool is_handover,
        context& call);
    void
    lose(base::cell_id const& cell, std::string_view reason, context& call);
    [[nodiscard]] bool is_current(owner_record const& owner) const;
    [[nodiscard]] std::vector<balance_host>
    balance_hosts(base::instant now) const;
    [[nodiscard]] base::host_id
    owner_of(base::cell_id const& cell, base::instant now) const;

    // Moves (ownership_moves.cpp).
    void move_cells(context& call);
    void
    offer(base::cell_id const& cell, base::host_id const& to, context& call);
    void expire_offers(context& call);
    void stop_cells(context& call);
    void release(base::cell_id const& cell, context& call);
    void forget_hosts(context& call);
    void refuse(
        handover_offer const& offered, std::string_view reason, context& call);
    [[nodiscard]] std::string_view
    find_obstacle(handover_offer const& offered, base::instant now) const;
    [[nodiscard]] std::size_t count_pending(purpose kind) const;

    void submit(
        store::submission item,
        pending_write write,
        base::duration deadline,
        context& call);
    std::string next_operation();
    void log(std::string text, context& call);

    phase current = phase::starting;
    formats::row_version own_row = 0;
    std::uint64_t renewals = 0;
    base::instant lease_from{};
    base::instant next_renewal{};
    base::instant settled_at{};
    std::optional<base::instant> next_scan;
    base::instant next_check{};
    base::instant next_move{};
    base::instant next_forget{};
    base::instant starting_since{};
    std::optional<base::instant> stopping_since;
    bool has_signed_off = false;

    prefix_scan owner_scan{.prefix = "owner/"};
    std::map<base::cell_id, double> cells;
    bool has_cells = false; ///< the list of cells has come
    std::map<std::uint64_t, pending_write> pending;
    std::set<base::cell_id> pending_cells;
    std::uint64_t last_number = 0;
    base::instant last_now{};
};

} // namespace foxtaillift::cluster
