// News about members: what is taken from messages and attached to them.

#include "foxtaillift/base/event_line.hpp"
#include "membership_state.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace foxtaillift::cluster
{

namespace
{

// A member that was unknown so far gets this many updates at once.
constexpr std::size_t join_updates = 32;
constexpr std::size_t max_relays = 256;
// More than any sender attaches; the rest of a longer list is ignored.
constexpr std::size_t max_updates_taken = 64;

} // namespace

void membership::state::on(heartbeat const& event, context& call)
{
    if (this->has_left || event.from == this->options.host) {
        return;
    }
    ++this->counts.received;
    auto const before = this->entries.find(event.from);
    bool const is_new = before == this->entries.end();
    bool const is_leaving = event.kind == heartbeat_kind::leave;
    this->take_update(
        {event.from, event.address,
         is_leaving ? member_state::removed : member_state::alive,
         event.incarnation},
        call);
    auto const count = std::min(event.updates.size(), max_updates_taken);
    for (std::size_t i = 0; i < count; ++i) {
        this->take_update(event.updates[i], call);
    }
    auto const known = this->entries.find(event.from);
    if (known != this->entries.end() &&
        known->second.state != member_state::removed) {
        call.out.emplace_back(member_heard{
            event.from, event.configuration_version, event.attachment});
    }
    switch (event.kind) {
    case heartbeat_kind::ping:
        this->answer(event, is_new, call);
        break;
    case heartbeat_kind::acknowledge:
        this->take_acknowledge(event, call);
        break;
    case heartbeat_kind::ping_request:
        this->relay_ping(event, call);
        break;
    case heartbeat_kind::leave:
        break;
    }
}

void membership::state::answer(
    heartbeat const& event, bool is_new, context& call)
{
    heartbeat content;
    content.kind = heartbeat_kind::acknowledge;
    content.sequence = event.sequence;
    if (is_new) {
        auto const told = this->choose_members(join_updates, event.from, call);
        for (auto const& host : told) {
            auto const& known = this->entries.at(host);
            content.updates.push_back(
                {host, known.address, known.state, known.incarnation});
        }
    }
    this->send(event.from, event.address, std::move(content), call);
}

void membership::state::relay_ping(heartbeat const& event, context& call)
{
    if (this->relays.size() >= max_relays) {
        ++this->counts.dropped;
        return;
    }
    heartbeat content;
    content.kind = heartbeat_kind::ping;
    content.sequence = ++this->last_sequence;
    this->relays.emplace(
        content.sequence, relay{
                              event.from, event.address, event.sequence,
                              call.now + this->options.ping_timeout});
    this->send(event.target, event.target_address, std::move(content), call);
}

void membership::state::take_acknowledge(heartbeat const& event, context& call)
{
    this->probes.erase(event.sequence);
    auto const node = this->relays.extract(event.sequence);
    if (node.empty()) {
        return;
    }
    heartbeat content;
    content.kind = heartbeat_kind::acknowledge;
    content.sequence = node.mapped().sequence;
    this->send(
        node.mapped().requester, node.mapped().address, std::move(content),
        call);
}

void membership::state::take_update(member_update const& update, context& call)
{
    if (update.host == this->options.host) {
        this->take_own_update(update);
        return;
    }
    auto const known = this->entries.find(update.host);
    if (known == this->entries.end()) {
        if (update.state != member_state::removed) {
            this->add_member(update, call);
        }
        return;
    }
    auto const& present = known->second;
    bool const is_newer = update.incarnation > present.incarnation;
    // At the same incarnation a worse state takes precedence.
    bool const is_worse = update.incarnation == present.incarnation &&
                          update.state > present.state;
    if (is_newer || is_worse) {
        this->change_member(known->second, update, call);
    }
}

// Refutes what others say about this host, and news of an earlier process.
void membership::state::take_own_update(member_update const& update)
{
    bool const is_false = update.state != member_state::alive &&
                          update.incarnation >= this->incarnation;
    if (!is_false && update.incarnation <= this->incarnation) {
        return;
    }
    this->incarnation = update.incarnation + 1;
    ++this->counts.refutations;
    this->spread(
        {this->options.host, this->options.address, member_state::alive,
         this->incarnation});
}

void membership::state::add_member(member_update const& update, context& call)
{
    if (this->entries.size() >= this->options.max_members) {
        ++this->counts.dropped;
        return;
    }
    this->entries.emplace(
        update.host, entry{
                         update.address, update.state, update.incarnation,
                         call.now + this->options.suspicion});
    this->spread(update);
    call.out.emplace_back(member_joined{update.host, update.address});
    this->log_member("member_joined", update.host, call);
}

void membership::state::change_member(
    entry& known, member_update const& update, context& call)
{
    auto const before = known.state;
    known.state = update.state;
    known.incarnation = update.incarnation;
    if (!update.address.empty()) {
        known.address = update.address;
    }
    this->spread(update);
    if (before == update.state) {
        return;
    }
    if (before == member_state::removed) {
        call.out.emplace_back(member_joined{update.host, known.address});
        this->log_member("member_joined", update.host, call);
    }
    if (update.state == member_state::suspected) {
        ++this->counts.suspicions;
        known.until = call.now + this->options.suspicion;
        call.out.emplace_back(member_suspected{update.host});
        this->log_member("member_suspected", update.host, call);
    } else if (update.state == member_state::removed) {
        ++this->counts.removals;
        known.until = call.now + this->options.remember_removed;
        call.out.emplace_back(member_removed{update.host});
        this->log_member("member_removed", update.host, call);
    }
}

void membership::state::spread(member_update update)
{
    auto const doublings =
        static_cast<std::size_t>(std::bit_width(this->entries.size() + 1));
    auto host = update.host;
    this->updates.insert_or_assign(
        std::move(host),
        queued_update{
            std::move(update), this->options.repeats_per_doubling * doublings});
}

void membership::state::attach_updates(heartbeat& content)
{
    // Those that were sent the least first.
    std::vector<queued_update*> chosen;
    chosen.reserve(this->updates.size());
    for (auto& [host, queued] : this->updates) {
        chosen.push_back(&queued);
    }
    auto const count =
        std::min(chosen.size(), this->options.updates_per_message);
    std::partial_sort(
        chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(count),
        chosen.end(), [](auto const* a, auto const* b) {
            return a->remaining > b->remaining;
        });
    for (std::size_t i = 0; i < count; ++i) {
        content.updates.push_back(chosen[i]->content);
        --chosen[i]->remaining;
    }
    std::erase_if(this->updates, [](auto const& each) {
        return each.second.remaining == 0;
    });
}

void membership::state::log_member(
    char const* what, base::host_id const& host, context& call)
{
    call.out.emplace_back(
        store::log_line{base::event_line{what}
                            .add("host", host)
                            .add("members", this->count_present())
                            .str()});
}

} // namespace foxtaillift::cluster
