// Taking and losing cells.

#include "foxtaillift/base/event_line.hpp"
#include "ownership_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::cluster
{

namespace
{

constexpr auto takeover_deadline = base::milliseconds(3000);

} // namespace

bool ownership::state::is_lapsed(host_view const& host, base::instant now) const
{
    return now - host.unchanged_since >= this->options.lease;
}

// True if the incarnation that the owner row names is still registered. It may
// be lapsed.
bool ownership::state::is_current(owner_record const& owner) const
{
    auto const found = this->hosts.find(owner.host);
    return !owner.host.empty() && found != this->hosts.end() &&
           !found->second.record.is_fenced &&
           found->second.record.incarnation == owner.incarnation;
}

// The host that the cell counts for, or empty if it may be taken.
base::host_id
ownership::state::owner_of(base::cell_id const& cell, base::instant now) const
{
    if (this->held_cells.contains(cell) || this->pending_cells.contains(cell)) {
        return this->options.host;
    }
    auto const found = this->owners.find(cell);
    if (found == this->owners.end()) {
        return {};
    }
    auto const& owner = found->second.record;
    // A row that names this incarnation without the cell being held stems from
    // a write whose result was discarded.
    if (!this->is_current(owner) || owner.host == this->options.host ||
        this->is_lapsed(this->hosts.at(owner.host), now)) {
        return {};
    }
    return owner.host;
}

std::vector<balance_host>
ownership::state::balance_hosts(base::instant now) const
{
    std::map<base::host_id, double> loads;
    for (auto const& [cell, weight] : this->cells) {
        loads[this->owner_of(cell, now)] += weight;
    }
    std::vector<balance_host> result;
    for (auto const& [host, view] : this->hosts) {
        bool const is_self = host == this->options.host;
        if (view.record.is_fenced || view.record.is_stopping ||
            (!is_self && this->is_lapsed(view, now))) {
            continue;
        }
        result.push_back(
            {host, std::max(view.record.capacity, 0.001), loads[host]});
    }
    return result;
}

void ownership::state::take_cells(context& call)
{
    std::vector<balance_cell> available;
    double total = 0.0;
    for (auto const& [cell, weight] : this->cells) {
        total += weight;
        if (this->owner_of(cell, call.now).empty()) {
            available.push_back({cell, weight});
        }
    }
    // Cells that the list does not have any more may hold tasks, so that they
    // keep an owner. Without a list nothing is known to have left it.
    for (auto const& [cell, view] : this->owners) {
        if (this->has_cells && !this->cells.contains(cell) &&
            this->owner_of(cell, call.now).empty()) {
            available.push_back({cell, 0.0});
        }
    }
    if (available.empty()) {
        return;
    }
    auto candidates = this->balance_hosts(call.now);
    auto const chosen = assign_cells(candidates, available, total);
    // One transaction for each former owner, as each fences one host row.
    std::map<base::host_id, std::vector<base::cell_id>> takeovers;
    for (std::size_t i = 0; i < available.size(); ++i) {
        if (chosen[i] != this->options.host) {
            continue;
        }
        auto const& cell = available[i].cell;
        auto const found = this->owners.find(cell);
        bool const must_fence =
            found != this->owners.end() &&
            found->second.record.host != this->options.host &&
            this->is_current(found->second.record);
        takeovers[must_fence ? found->second.record.host : base::host_id{}]
            .push_back(cell);
    }
    for (auto& [former, taken] : takeovers) {
        // The rest follows when the former owner is fenced.
        taken.resize(std::min(taken.size(), this->options.cells_per_takeover));
        this->submit_takeover(former, taken, call);
    }
}

void ownership::state::submit_takeover(
    base::host_id const& former,
    std::vector<base::cell_id> const& chosen,
    context& call)
{
    store::submission item;
    item.level = store::priority::ownership;
    pending_write write{.kind = purpose::takeover};
    write.other = former;
    for (auto const& cell : chosen) {
        auto const found = this->owners.find(cell);
        owner_record record;
        record.host = this->options.host;
        record.incarnation = this->incarnation;
        record.epoch = 1;
        record.operation = this->next_operation();
        formats::row_version version = 0;
        if (found != this->owners.end()) {
            record.epoch = found->second.record.epoch + 1;
            version = found->second.version;
        }
        item.conditions.push_back({owner_key(cell), version});
        item.writes.push_back({owner_key(cell), to_text(record)});
        write.cells.emplace(cell, std::move(record));
    }
    if (!former.empty()) {
        auto const& view = this->hosts.at(former);
        auto record = view.record;
        record.is_fenced = true;
        item.conditions.push_back({host_key(former), view.version});
        item.writes.push_back({host_key(former), to_text(record)});
    }
    this->submit(std::move(item), std::move(write), takeover_deadline, call);
}

void ownership::state::finish_takeover(
    pending_write const& write, store::completion const& done, context& call)
{
    bool const is_handover = write.kind == purpose::handover;
    // Rows that name an earlier incarnation of this host may be taken by
    // anybody at once, so that their cells are not held.
    bool const is_valid = done.result == store::outcome::committed &&
                          this->current == phase::registered &&
                          write.incarnation == this->incarnation;
    if (!is_valid) {
        this->counts.takeover_conflicts +=
            done.result == store::outcome::conflict ? 1 : 0;
        this->next_scan = call.now;
    }
    if (is_valid && !write.other.empty() && !is_handover) {
        auto const version = store::version_in(done, host_key(write.other));
        auto const view = this->hosts.find(write.other);
        if (version && view != this->hosts.end()) {
            view->second.record.is_fenced = true;
            view->second.version = *version;
        }
    }
    for (auto const& [cell, record] : write.cells) {
        auto const version = store::version_in(done, owner_key(cell));
        bool const is_gained = is_valid && version;
        if (is_gained) {
            ++(is_handover ? this->counts.handovers_in
                           : this->counts.takeovers);
            this->gain(cell, record, *version, is_handover, call);
        }
        if (is_handover) {
            handover_answer answer;
            answer.from = this->options.host;
            answer.cell = cell;
            answer.is_taken = is_gained;
            answer.epoch = record.epoch;
            answer.reason = is_gained ? "" : "not committed: " + done.reason;
            call.out.emplace_back(
                send_handover_answer{write.other, std::move(answer)});
        }
    }
}

void ownership::state::gain(
    base::cell_id const& cell,
    owner_record const& record,
    formats::row_version version,
    bool is_handover,
    context& call)
{
    this->owners.insert_or_assign(cell, owner_view{record, version});
    this->held_cells.insert_or_assign(
        cell, held_cell{record.epoch, version, std::nullopt, {}});
    call.out.emplace_back(
        cell_gained{cell, record.epoch, version, is_handover});
    this->log(
        base::event_line{"cell_gained"}
            .add("cell", cell)
            .add("epoch", record.epoch)
            .add("handover", is_handover)
            .str(),
        call);
}

void ownership::state::lose(
    base::cell_id const& cell, std::string_view reason, context& call)
{
    auto const node = this->held_cells.extract(cell);
    if (node.empty()) {
        return;
    }
    auto const epoch = node.mapped().epoch;
    call.out.emplace_back(cell_lost{cell, epoch, std::string{reason}});
    this->log(
        base::event_line{"cell_lost"}
            .add("cell", cell)
            .add("epoch", epoch)
            .add("reason", reason)
            .str(),
        call);
}

void ownership::state::finish_release(
    pending_write const& write, store::completion const& done, context& call)
{
    for (auto const& [cell, record] : write.cells) {
        auto const found = this->held_cells.find(cell);
        if (found == this->held_cells.end() ||
            found->second.epoch != record.epoch) {
            continue;
        }
        if (done.result == store::outcome::committed) {
            this->lose(cell, "released", call);
        } else if (done.result == store::outcome::conflict) {
            this->lose(cell, "taken", call);
        }
    }
}

} // namespace foxtaillift::cluster
