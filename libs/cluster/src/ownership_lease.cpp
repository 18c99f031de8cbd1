// The row of this host: registration, renewal, fencing.

#include "foxtaillift/base/event_line.hpp"
#include "ownership_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::cluster
{

namespace
{

// A registration or sign-off that the store did not take by then is rejected
// and built anew.
constexpr auto write_deadline = base::milliseconds(3000);

} // namespace

host_record ownership::state::own_record() const
{
    host_record record;
    record.host = this->options.host;
    record.address = this->options.address;
    record.failure_domain = this->options.failure_domain;
    record.capacity = this->options.capacity;
    record.incarnation = this->incarnation;
    record.renewals = this->renewals;
    record.is_stopping = this->stopping_since.has_value();
    return record;
}

void ownership::state::register_host(context& call)
{
    // The version of the row must have been read since the start.
    if (this->stopping_since || !this->host_scan.last_success ||
        this->host_scan.started < this->starting_since ||
        this->host_scan.request != 0) {
        return;
    }
    auto const found = this->hosts.find(this->options.host);
    if (found != this->hosts.end()) {
        this->own_row = found->second.version;
        this->incarnation =
            std::max(this->incarnation, found->second.record.incarnation);
    } else {
        this->own_row = 0;
    }
    ++this->incarnation;
    this->current = phase::registering;
    store::submission item;
    item.level = store::priority::lease_renewal;
    auto const key = host_key(this->options.host);
    item.conditions = {{key, this->own_row}};
    item.writes = {{key, to_text(this->own_record())}};
    this->submit(
        std::move(item), {.kind = purpose::registration}, write_deadline, call);
}

void ownership::state::finish_registration(
    pending_write const& write, store::completion const& done, context& call)
{
    auto const version = store::version_in(done, host_key(this->options.host));
    if (done.result != store::outcome::committed || !version) {
        this->current = phase::starting;
        this->starting_since = call.now;
        return;
    }
    this->current = phase::registered;
    this->own_row = *version;
    this->lease_from = write.submitted;
    this->next_renewal = write.submitted + this->options.renewal_interval;
    this->settled_at = call.now + this->options.settle_time;
    this->next_move = this->settled_at + this->options.lease;
    this->hosts.insert_or_assign(
        this->options.host, host_view{this->own_record(), *version, call.now});
    this->log(
        base::event_line{"host_registered"}
            .add("host", this->options.host)
            .add("incarnation", this->incarnation)
            .str(),
        call);
}

void ownership::state::renew(context& call)
{
    if (this->current != phase::registered || call.now < this->next_renewal ||
        this->has_signed_off || this->count_pending(purpose::renewal) > 0) {
        return;
    }
    ++this->renewals;
    this->next_renewal = call.now + this->options.renewal_interval;
    store::submission item;
    item.level = store::priority::lease_renewal;
    auto const key = host_key(this->options.host);
    item.conditions = {{key, this->own_row}};
    item.writes = {{key, to_text(this->own_record())}};
    this->submit(
        std::move(item), {.kind = purpose::renewal},
        this->options.renewal_interval, call);
}

void ownership::state::finish_renewal(
    pending_write const& write, store::completion const& done, context& call)
{
    if (this->current != phase::registered ||
        write.incarnation != this->incarnation) {
        return;
    }
    if (done.result == store::outcome::rejected) {
        this->next_renewal = call.now;
        return;
    }
    auto const version = store::version_in(done, host_key(this->options.host));
    if (done.result == store::outcome::conflict || !version) {
        this->become_fenced("renewal refused", call);
        return;
    }
    ++this->counts.renewals;
    this->own_row = *version;
    this->lease_from = write.submitted;
    auto& own = this->hosts[this->options.host];
    own = host_view{this->own_record(), *version, call.now};
}

void ownership::state::become_fenced(std::string_view reason, context& call)
{
    ++this->counts.times_fenced;
    this->log(
        base::event_line{"host_fenced"}
            .add("host", this->options.host)
            .add("incarnation", this->incarnation)
            .add("cells", this->held_cells.size())
            .add("reason", reason)
            .str(),
        call);
    while (!this->held_cells.empty()) {
        auto const cell = this->held_cells.begin()->first;
        this->lose(cell, "fenced", call);
    }
    this->current = phase::starting;
    this->starting_since = call.now;
    this->next_scan = call.now;
}

void ownership::state::sign_off(context& call)
{
    if (this->current != phase::registered || this->has_signed_off) {
        return;
    }
    this->has_signed_off = true;
    auto record = this->own_record();
    record.is_fenced = true;
    store::submission item;
    item.level = store::priority::lease_renewal;
    auto const key = host_key(this->options.host);
    item.conditions = {{key, this->own_row}};
    item.writes = {{key, to_text(record)}};
    this->submit(
        std::move(item), {.kind = purpose::sign_off}, write_deadline, call);
}

} // namespace foxtaillift::cluster
