// Planned moves of cells between hosts, and the planned stop.

#include "foxtaillift/base/event_line.hpp"
#include "ownership_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::cluster
{

namespace
{

constexpr auto handover_deadline = base::milliseconds(3000);
constexpr auto release_deadline = base::milliseconds(3000);
constexpr auto forget_interval = base::seconds(10);
// A stopping host hands over all its cells at once.
constexpr std::size_t incoming_from_stopping = 64;

} // namespace

std::size_t ownership::state::count_pending(purpose kind) const
{
    return static_cast<std::size_t>(std::count_if(
        this->pending.begin(), this->pending.end(),
        [kind](auto const& entry) { return entry.second.kind == kind; }));
}

void ownership::state::move_cells(context& call)
{
    auto const in_flight = std::count_if(
        this->held_cells.begin(), this->held_cells.end(),
        [](auto const& entry) {
            return entry.second.draining_since.has_value();
        });
    if (call.now < this->next_move ||
        static_cast<std::size_t>(in_flight) >= this->options.voluntary_moves) {
        return;
    }
    this->next_move = call.now + this->options.move_interval;
    std::vector<balance_cell> movable;
    auto candidates = this->balance_hosts(call.now);
    for (auto const& [cell, held] : this->held_cells) {
        auto const weight = this->cells.find(cell);
        if (weight == this->cells.end()) {
            continue;
        }
        if (!held.draining_since) {
            movable.push_back({cell, weight->second});
            continue;
        }
        for (auto& host : candidates) {
            host.load += host.host == held.offered_to ? weight->second : 0.0;
            host.load -= host.host == this->options.host ? weight->second : 0.0;
        }
    }
    auto const move = choose_move(candidates, this->options.host, movable);
    if (move) {
        this->offer(move->cell, move->to, call);
    }
}

void ownership::state::offer(
    base::cell_id const& cell, base::host_id const& to, context& call)
{
    auto& held = this->held_cells.at(cell);
    held.draining_since = call.now;
    held.offered_to = to;
    ++this->counts.handovers_out;
    handover_offer offered;
    offered.from = this->options.host;
    offered.cell = cell;
    offered.epoch = held.epoch;
    offered.owner_row = held.owner_row;
    offered.is_stopping = this->stopping_since.has_value();
    call.out.emplace_back(cell_draining{cell});
    call.out.emplace_back(send_handover_offer{to, std::move(offered)});
    this->log(
        base::event_line{"cell_offered"}
            .add("cell", cell)
            .add("epoch", held.epoch)
            .add("to", to)
            .str(),
        call);
}

void ownership::state::expire_offers(context& call)
{
    if (this->stopping_since) {
        return; // stop_cells releases what nobody took
    }
    for (auto& [cell, held] : this->held_cells) {
        if (held.draining_since &&
            call.now >= *held.draining_since + this->options.handover_timeout) {
            held.draining_since.reset();
            call.out.emplace_back(cell_resumed{cell});
        }
    }
}

void ownership::state::on(handover_answer const& event, context& call)
{
    auto const found = this->held_cells.find(event.cell);
    if (found == this->held_cells.end()) {
        return;
    }
    // Also when the offer was given up meanwhile. An answer to an earlier offer
    // names an epoch that is not above the present one.
    if (event.is_taken) {
        if (event.epoch > found->second.epoch) {
            this->lose(event.cell, "handed-over", call);
            this->next_scan = call.now;
        }
        return;
    }
    if (!found->second.draining_since ||
        found->second.offered_to != event.from) {
        return;
    }
    this->log(
        base::event_line{"handover_refused"}
            .add("cell", event.cell)
            .add("by", event.from)
            .add("reason", event.reason)
            .str(),
        call);
    if (this->stopping_since) {
        this->release(event.cell, call);
    } else {
        found->second.draining_since.reset();
        call.out.emplace_back(cell_resumed{event.cell});
    }
}

std::string_view ownership::state::find_obstacle(
    handover_offer const& offered, base::instant now) const
{
    if (this->lease(now) != lease_state::confirmed) {
        return "the lease is not confirmed";
    }
    if (this->stopping_since) {
        return "this host is stopping";
    }
    if (this->held_cells.contains(offered.cell) ||
        this->pending_cells.contains(offered.cell)) {
        return "the cell is being taken already";
    }
    auto const limit = offered.is_stopping ? incoming_from_stopping
                                           : this->options.incoming_moves;
    if (this->count_pending(purpose::handover) >= limit) {
        return "too many handovers in progress";
    }
    if (offered.is_stopping) {
        return {};
    }
    // Several hosts may offer at the same time.
    auto const weight = this->cells.find(offered.cell);
    auto const candidates = this->balance_hosts(now);
    auto const locate = [&candidates](base::host_id const& host) {
        return std::find_if(
            candidates.begin(), candidates.end(),
            [&host](auto const& each) { return each.host == host; });
    };
    auto const own = locate(this->options.host);
    auto const from = locate(offered.from);
    if (weight == this->cells.end() || own == candidates.end() ||
        from == candidates.end()) {
        return "the cell or its owner is not known here";
    }
    bool const is_balanced =
        (own->load + weight->second) / own->capacity >
        (from->load - weight->second) / from->capacity + 1e-6;
    return is_balanced ? "the load is even already" : std::string_view{};
}

void ownership::state::refuse(
    handover_offer const& offered, std::string_view reason, context& call)
{
    handover_answer answer;
    answer.from = this->options.host;
    answer.cell = offered.cell;
    answer.reason = std::string{reason};
    call.out.emplace_back(
        send_handover_answer{offered.from, std::move(answer)});
}

void ownership::state::on(handover_offer const& event, context& call)
{
    auto const obstacle = this->find_obstacle(event, call.now);
    if (!obstacle.empty()) {
        this->refuse(event, obstacle, call);
        return;
    }
    owner_record record;
    record.host = this->options.host;
    record.incarnation = this->incarnation;
    record.epoch = event.epoch + 1;
    record.operation = this->next_operation();
    store::submission item;
    item.level = store::priority::ownership;
    item.conditions = {{owner_key(event.cell), event.owner_row}};
    item.writes = {{owner_key(event.cell), to_text(record)}};
    pending_write write{.kind = purpose::handover};
    write.other = event.from;
    write.cells.emplace(event.cell, std::move(record));
    this->submit(std::move(item), std::move(write), handover_deadline, call);
}

void ownership::state::stop_cells(context& call)
{
    auto const since = *this->stopping_since;
    auto const patience = this->options.stop_timeout;
    auto targets = this->balance_hosts(call.now);
    std::erase_if(targets, [this](auto const& host) {
        return host.host == this->options.host;
    });
    std::vector<balance_cell> remaining;
    std::vector<base::cell_id> overdue;
    for (auto const& [cell, held] : this->held_cells) {
        auto const weight = this->cells.find(cell);
        if (!held.draining_since && !targets.empty()) {
            remaining.push_back(
                {cell, weight == this->cells.end() ? 1.0 : weight->second});
        } else if (
            (targets.empty() || call.now >= since + patience) &&
            !this->pending_cells.contains(cell)) {
            overdue.push_back(cell);
        }
    }
    double total = 0.0;
    for (auto const& [cell, weight] : this->cells) {
        total += weight;
    }
    auto const chosen = assign_cells(targets, remaining, total);
    for (std::size_t i = 0; i < remaining.size(); ++i) {
        this->offer(remaining[i].cell, *chosen[i], call);
    }
    for (auto const& cell : overdue) {
        this->release(cell, call);
    }
    bool const is_idle = this->held_cells.empty() && this->pending.empty();
    if (is_idle && !this->has_signed_off) {
        this->sign_off(call);
    }
    // Without the store nothing can be released: the leases lapse instead.
    if ((this->held_cells.empty() && this->pending.empty()) ||
        call.now >= since + patience * 3) {
        while (!this->held_cells.empty()) {
            auto const cell = this->held_cells.begin()->first;
            this->lose(cell, "released", call);
        }
        this->current = phase::stopped;
        call.out.emplace_back(ownership_stopped{});
    }
}

void ownership::state::release(base::cell_id const& cell, context& call)
{
    auto& held = this->held_cells.at(cell);
    if (!held.draining_since) {
        held.draining_since = call.now;
        call.out.emplace_back(cell_draining{cell});
    }
    owner_record record;
    record.epoch = held.epoch;
    record.operation = this->next_operation();
    store::submission item;
    item.level = store::priority::ownership;
    item.conditions = {{owner_key(cell), held.owner_row}};
    item.writes = {{owner_key(cell), to_text(record)}};
    pending_write write{.kind = purpose::release};
    write.cells.emplace(cell, std::move(record));
    this->submit(std::move(item), std::move(write), release_deadline, call);
}

void ownership::state::forget_hosts(context& call)
{
    if (call.now < this->next_forget) {
        return;
    }
    this->next_forget = call.now + forget_interval;
    std::set<base::host_id> owning;
    for (auto const& [cell, view] : this->owners) {
        owning.insert(view.record.host);
    }
    bool is_first_live = true;
    for (auto const& [host, view] : this->hosts) {
        if (!this->is_lapsed(view, call.now)) {
            // The live host with the lowest name does it.
            if (is_first_live && host != this->options.host) {
                return;
            }
            is_first_live = false;
        }
    }
    for (auto const& [host, view] : this->hosts) {
        if (call.now - view.unchanged_since < this->options.forget_host_after ||
            owning.contains(host) || host == this->options.host) {
            continue;
        }
        store::submission item;
        item.level = store::priority::history;
        item.conditions = {{host_key(host), view.version}};
        item.writes = {{host_key(host), std::nullopt}};
        pending_write write{.kind = purpose::forget};
        write.other = host;
        this->submit(std::move(item), std::move(write), release_deadline, call);
        return;
    }
}

} // namespace foxtaillift::cluster
