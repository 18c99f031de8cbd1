// Reading the rows of all hosts and owners.

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/event_line.hpp"
#include "ownership_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::cluster
{

namespace
{

// Lapsed leases are judged only by a view that is not older than
// this many scan intervals.
constexpr std::int64_t fresh_intervals = 3;

} // namespace

bool ownership::state::has_fresh_view(base::instant now) const
{
    auto const oldest = now - this->options.scan_interval * fresh_intervals;
    return this->host_scan.last_success && this->owner_scan.last_success &&
           *this->host_scan.last_success > oldest &&
           *this->owner_scan.last_success > oldest;
}

void ownership::state::start_scans(context& call)
{
    for (auto* scan : {&this->host_scan, &this->owner_scan}) {
        if (scan->request != 0 &&
            call.now >= scan->sent + this->options.scan_timeout) {
            scan->request = 0;
            ++this->counts.failed_scans;
        }
    }
    if (!this->next_scan) {
        // Spreads the scans of hosts that start together.
        this->next_scan =
            call.now + base::jitter(call.random, this->options.scan_interval);
    }
    if (call.now < *this->next_scan || this->host_scan.request != 0 ||
        this->owner_scan.request != 0) {
        return;
    }
    this->next_scan = call.now + this->options.scan_interval;
    for (auto* scan : {&this->host_scan, &this->owner_scan}) {
        scan->rows.clear();
        scan->started = call.now;
        this->send_scan(*scan, {}, call);
    }
}

void ownership::state::send_scan(
    prefix_scan& scan, std::string after, context& call)
{
    scan.request = ++this->last_number;
    scan.sent = call.now;
    call.out.emplace_back(scan_rows{
        scan.request,
        {.prefix = scan.prefix,
         .after = std::move(after),
         .limit = this->options.scan_limit}});
}

void ownership::state::on(ownership_scan_finished const& event, context& call)
{
    auto* const scan =
        event.request == 0                          ? nullptr
        : event.request == this->host_scan.request  ? &this->host_scan
        : event.request == this->owner_scan.request ? &this->owner_scan
                                                    : nullptr;
    if (scan == nullptr) {
        return; // answered after its timeout
    }
    scan->request = 0;
    if (!event.result.is_answered) {
        ++this->counts.failed_scans;
        return;
    }
    scan->rows.insert(
        scan->rows.end(), event.result.rows.begin(), event.result.rows.end());
    auto const bound = this->options.max_hosts + this->options.max_cells;
    if (event.result.has_more && !event.result.rows.empty() &&
        scan->rows.size() < bound) {
        this->send_scan(*scan, scan->rows.back().key, call);
        return;
    }
    this->finish_scan(*scan, call);
}

void ownership::state::finish_scan(prefix_scan& scan, context& call)
{
    if (&scan == &this->host_scan) {
        this->take_host_rows(call);
    } else {
        this->take_owner_rows(call);
    }
    scan.last_success = call.now;
    this->next_check = call.now;
    scan.rows.clear();
}

void ownership::state::take_host_rows(context& call)
{
    // A row that could not be seen for a while may have been renewed unseen:
    // after an outage of the store every holder gets a whole lease again.
    auto const& last = this->host_scan.last_success;
    bool const has_gap =
        last &&
        call.now - *last > this->options.scan_interval * fresh_intervals;
    std::map<base::host_id, host_view> seen;
    for (auto const& row : this->host_scan.rows) {
        host_view view{
            .record = {}, .version = row.version, .unchanged_since = call.now};
        try {
            view.record = parse_host_record(row.value);
        } catch (base::error const& failure) {
            ++this->counts.rows_ignored;
            this->log(
                base::event_line{"ownership_row_ignored"}
                    .add("key", row.key)
                    .add("reason", failure.what())
                    .str(),
                call);
            continue;
        }
        if (seen.size() == this->options.max_hosts) {
            ++this->counts.rows_ignored;
            continue;
        }
        auto const known = this->hosts.find(view.record.host);
        if (known != this->hosts.end() && !has_gap &&
            known->second.version >= view.version) {
            view = known->second;
        }
        seen.emplace(view.record.host, std::move(view));
    }
    this->hosts = std::move(seen);
    auto const own = this->hosts.find(this->options.host);
    if (this->current != phase::registered || own == this->hosts.end()) {
        return;
    }
    auto const& record = own->second.record;
    if (record.incarnation > this->incarnation ||
        (record.incarnation == this->incarnation && record.is_fenced &&
         !this->has_signed_off)) {
        this->become_fenced("row of this host is fenced", call);
    }
}

void ownership::state::take_owner_rows(context& call)
{
    std::map<base::cell_id, owner_view> seen;
    for (auto const& row : this->owner_scan.rows) {
        base::cell_id cell{row.key.substr(this->owner_scan.prefix.size())};
        owner_view view{.record = {}, .version = row.version};
        try {
            view.record = parse_owner_record(row.value);
        } catch (base::error const&) {
            ++this->counts.rows_ignored;
            continue;
        }
        if (seen.size() == this->options.max_cells) {
            ++this->counts.rows_ignored;
            continue;
        }
        // A scan that was sent before an own write was answered is older.
        auto const known = this->owners.find(cell);
        if (known != this->owners.end() &&
            known->second.version > view.version) {
            view = known->second;
        }
        seen.emplace(std::move(cell), std::move(view));
    }
    for (auto const& [cell, held] : this->held_cells) {
        auto const known = this->owners.find(cell);
        if (known != this->owners.end()) {
            seen.try_emplace(cell, known->second);
        }
    }
    this->owners = std::move(seen);
    std::vector<base::cell_id> taken;
    for (auto const& [cell, held] : this->held_cells) {
        auto const& view = this->owners.at(cell);
        if (view.version > held.owner_row &&
            !this->pending_cells.contains(cell)) {
            taken.push_back(cell);
        }
    }
    for (auto const& cell : taken) {
        auto const& held = this->held_cells.at(cell);
        bool const is_accepted =
            held.draining_since &&
            this->owners.at(cell).record.host == held.offered_to;
        this->lose(cell, is_accepted ? "handed-over" : "taken", call);
    }
}

} // namespace foxtaillift::cluster
