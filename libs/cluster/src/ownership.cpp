#include "foxtaillift/cluster/ownership.hpp"

#include "foxtaillift/base/error.hpp"
#include "ownership_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::cluster
{

namespace
{

// How often lapsed leases and offers are looked for.
constexpr auto check_interval = base::milliseconds(100);

} // namespace

ownership::state::state(ownership_options initial)
    : options(std::move(initial))
{
    if (this->options.host.empty() || this->options.process.empty()) {
        throw base::error(
            base::error_code::invalid_argument,
            "ownership needs the names of the host and of the process");
    }
    if (this->options.unconfirmed_after >= this->options.lease ||
        this->options.renewal_interval * 2 >= this->options.unconfirmed_after) {
        throw base::error(
            base::error_code::invalid_argument,
            "the lease must be longer than its use by the holder, which must "
            "last for two renewals");
    }
}

void ownership::state::on(ownership_tick const&, context&) {}

void ownership::state::on(cells_changed const& event, context& call)
{
    this->has_cells = true;
    this->cells.clear();
    for (auto const& cell : event.cells) {
        if (this->cells.size() == this->options.max_cells) {
            ++this->counts.rows_ignored;
            this->log("event=ownership_cells_beyond_bound", call);
            break;
        }
        this->cells.emplace(cell.id, cell.weight);
    }
}

void ownership::state::on(owner_row_refused const& event, context& call)
{
    auto const found = this->held_cells.find(event.cell);
    if (found != this->held_cells.end() &&
        found->second.owner_row < event.version) {
        this->lose(event.cell, "taken", call);
        this->next_scan = call.now;
    }
}

void ownership::state::on(stop_requested const&, context& call)
{
    if (!this->stopping_since) {
        this->stopping_since = call.now;
        // The row tells the others not to hand cells to this host.
        this->next_renewal = call.now;
    }
}

void ownership::state::on(store::completion const& event, context& call)
{
    auto node = this->pending.extract(event.id.number);
    if (event.id.source != store::submitter::ownership || node.empty()) {
        return;
    }
    this->next_check = call.now;
    auto const& write = node.mapped();
    for (auto const& [cell, record] : write.cells) {
        this->pending_cells.erase(cell);
    }
    switch (write.kind) {
    case purpose::registration:
        this->finish_registration(write, event, call);
        break;
    case purpose::renewal:
        this->finish_renewal(write, event, call);
        break;
    case purpose::takeover:
    case purpose::handover:
        this->finish_takeover(write, event, call);
        break;
    case purpose::release:
        this->finish_release(write, event, call);
        break;
    case purpose::sign_off:
    case purpose::forget:
        break;
    }
}

void ownership::state::advance(context& call)
{
    this->last_now = call.now;
    if (this->current == phase::stopped) {
        return;
    }
    this->start_scans(call);
    if (this->current == phase::starting) {
        this->register_host(call);
    }
    this->renew(call);
    this->expire_offers(call);
    if (this->stopping_since) {
        this->stop_cells(call);
        return;
    }
    if (call.now < this->next_check) {
        return;
    }
    this->next_check = call.now + check_interval;
    if (this->lease(call.now) == lease_state::confirmed &&
        call.now >= this->settled_at && this->has_fresh_view(call.now)) {
        this->take_cells(call);
        this->move_cells(call);
        this->forget_hosts(call);
    }
}

base::instant ownership::state::wake_at() const
{
    auto const check = this->last_now + check_interval;
    // A scan that is due waits for the one in flight.
    auto const soonest = this->last_now + base::milliseconds(10);
    return std::min(check, std::max(soonest, this->next_scan.value_or(check)));
}

lease_state ownership::state::lease(base::instant now) const
{
    if (this->current != phase::registered) {
        return lease_state::unregistered;
    }
    return now < this->lease_from + this->options.unconfirmed_after
               ? lease_state::confirmed
               : lease_state::unconfirmed;
}

void ownership::state::submit(
    store::submission item,
    pending_write write,
    base::duration deadline,
    context& call)
{
    item.id = {store::submitter::ownership, ++this->last_number};
    item.deadline = call.now + deadline;
    write.submitted = call.now;
    write.incarnation = this->incarnation;
    for (auto const& [cell, record] : write.cells) {
        this->pending_cells.insert(cell);
    }
    this->pending.emplace(this->last_number, std::move(write));
    call.out.emplace_back(std::move(item));
}

std::string ownership::state::next_operation()
{
    return this->options.process + "-" + std::to_string(++this->last_number);
}

void ownership::state::log(std::string text, context& call)
{
    call.out.emplace_back(store::log_line{std::move(text)});
}

ownership::ownership(ownership_options options)
    : self(std::make_unique<state>(std::move(options)))
{}
ownership::~ownership() = default;
ownership::ownership(ownership&&) noexcept = default;
ownership& ownership::operator=(ownership&&) noexcept = default;

void ownership::handle(
    ownership_event const& event,
    base::instant now,
    base::random_engine& random,
    std::vector<ownership_action>& out)
{
    state::context call{now, random, out};
    std::visit(
        [this, &call](auto const& content) { this->self->on(content, call); },
        event);
    this->self->advance(call);
}

base::instant ownership::wake_at() const
{
    return this->self->wake_at();
}

lease_state ownership::lease(base::instant now) const
{
    return this->self->lease(now);
}

std::uint64_t ownership::incarnation() const
{
    return this->self->incarnation;
}

std::optional<owned_cell> ownership::find(base::cell_id const& cell) const
{
    auto const found = this->self->held_cells.find(cell);
    if (found == this->self->held_cells.end()) {
        return std::nullopt;
    }
    auto const& held = found->second;
    return owned_cell{
        cell, held.epoch, held.owner_row, held.draining_since.has_value()};
}

std::vector<owned_cell> ownership::owned() const
{
    std::vector<owned_cell> result;
    for (auto const& [cell, held] : this->self->held_cells) {
        result.push_back(
            {cell, held.epoch, held.owner_row,
             held.draining_since.has_value()});
    }
    return result;
}

std::vector<known_owner> ownership::owners() const
{
    std::vector<known_owner> result;
    for (auto const& [cell, view] : this->self->owners) {
        result.push_back({cell, view.record.host, view.record.epoch});
    }
    return result;
}

std::vector<host_record> ownership::hosts() const
{
    std::vector<host_record> result;
    for (auto const& [host, view] : this->self->hosts) {
        if (!view.record.is_fenced && !view.record.is_stopping) {
            result.push_back(view.record);
        }
    }
    return result;
}

std::vector<base::host_id> ownership::possible_successors() const
{
    std::vector<base::host_id> result;
    auto const& seen = this->self->host_scan.last_success;
    if (!seen) {
        return result;
    }
    for (auto const& [host, view] : this->self->hosts) {
        bool const is_gone = view.record.is_fenced || view.record.is_stopping ||
                             this->self->is_lapsed(view, *seen);
        if (host != this->self->options.host && !is_gone) {
            result.push_back(host);
        }
    }
    return result;
}

ownership_statistics const& ownership::statistics() const
{
    return this->self->counts;
}

} // namespace foxtaillift::cluster
