#include "foxtaillift/cluster/membership.hpp"

#include "foxtaillift/base/error.hpp"
#include "membership_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::cluster
{

namespace
{

constexpr auto check_interval = base::milliseconds(100);
// A longer time between two events means that this process was paused.
constexpr auto own_pause = base::milliseconds(1000);

} // namespace

membership::state::state(membership_options initial)
    : options(std::move(initial))
    , incarnation(this->options.incarnation)
{
    if (this->options.host.empty()) {
        throw base::error(
            base::error_code::invalid_argument,
            "the membership needs the name of the host");
    }
}

void membership::state::on(membership_tick const&, context&) {}

void membership::state::on(seeds_changed const& event, context& call)
{
    std::map<base::host_id, candidate> changed;
    for (auto const& seed : event.seeds) {
        if (seed.host == this->options.host) {
            continue;
        }
        if (changed.size() == this->options.max_members) {
            ++this->counts.dropped;
            continue;
        }
        auto const known = this->seeds.find(seed.host);
        auto const next_try =
            known == this->seeds.end() ? call.now : known->second.next_try;
        changed.insert_or_assign(seed.host, candidate{seed.address, next_try});
    }
    this->seeds = std::move(changed);
}

void membership::state::on(attachment_changed const& event, context&)
{
    this->configuration_version = event.configuration_version;
    if (event.attachment.size() > this->options.max_attachment) {
        ++this->counts.dropped;
        this->attachment.clear();
        return;
    }
    this->attachment = event.attachment;
}

void membership::state::on(leave_requested const&, context& call)
{
    constexpr std::size_t told = 8;
    this->has_left = true;
    for (auto const& host : this->choose_members(told, {}, call)) {
        heartbeat content;
        content.kind = heartbeat_kind::leave;
        this->send(host, this->entries.at(host).address, content, call);
    }
}

void membership::state::advance(context& call)
{
    if (this->has_left) {
        return;
    }
    this->forgive_own_pause(call);
    this->last_now = call.now;
    if (!this->next_ping) {
        this->next_ping =
            call.now + base::jitter(call.random, this->options.first_delay);
    }
    this->check_probes(call);
    this->check_members(call);
    if (call.now < *this->next_ping) {
        return;
    }
    *this->next_ping += this->options.ping_interval;
    this->next_ping = std::max(*this->next_ping, call.now);
    this->ping_next(call);
    this->ping_seed(call);
}

// While this process was paused, answers could not arrive.
void membership::state::forgive_own_pause(context& call)
{
    if (this->last_now == base::instant{} ||
        call.now - this->last_now < own_pause) {
        return;
    }
    this->probes.clear();
    for (auto& [host, known] : this->entries) {
        if (known.state == member_state::suspected) {
            known.until = call.now + this->options.suspicion;
        }
    }
}

void membership::state::ping_next(context& call)
{
    // Every member is pinged once in a random order before the next round.
    while (true) {
        if (this->order.empty()) {
            this->order =
                this->choose_members(this->options.max_members, {}, call);
        }
        if (this->order.empty()) {
            return;
        }
        auto const target = this->order.back();
        this->order.pop_back();
        auto const known = this->entries.find(target);
        if (known != this->entries.end() &&
            known->second.state != member_state::removed) {
            this->ping(target, known->second.address, false, call);
            return;
        }
    }
}

void membership::state::ping_seed(context& call)
{
    candidate* next = nullptr;
    base::host_id host;
    for (auto& [name, each] : this->seeds) {
        auto const known = this->entries.find(name);
        bool const is_member = known != this->entries.end() &&
                               known->second.state != member_state::removed;
        if (!is_member && each.next_try <= call.now &&
            (next == nullptr || each.next_try < next->next_try)) {
            next = &each;
            host = name;
        }
    }
    if (next != nullptr) {
        // Spread, so that hosts with the same list ping different seeds.
        next->next_try = call.now + this->options.seed_retry +
                         base::jitter(call.random, this->options.seed_retry);
        this->ping(host, next->address, true, call);
    }
}

void membership::state::ping(
    base::host_id const& target,
    std::string const& address,
    bool is_seed,
    context& call)
{
    heartbeat content;
    content.kind = heartbeat_kind::ping;
    content.sequence = ++this->last_sequence;
    this->probes.emplace(
        content.sequence,
        probe{target, call.now + this->options.ping_timeout, false, is_seed});
    this->send(target, address, std::move(content), call);
}

void membership::state::check_probes(context& call)
{
    std::vector<std::pair<std::uint64_t, probe>> failed;
    for (auto const& [sequence, each] : this->probes) {
        if (call.now >= each.deadline) {
            failed.emplace_back(sequence, each);
        }
    }
    for (auto const& [sequence, each] : failed) {
        if (each.is_seed) {
            this->probes.erase(sequence);
        } else if (!each.is_indirect && this->count_present() > 1) {
            this->ping_indirectly(sequence, each, call);
        } else {
            this->probes.erase(sequence);
            auto const known = this->entries.find(each.target);
            if (known != this->entries.end() &&
                known->second.state == member_state::alive) {
                this->take_update(
                    {each.target, known->second.address,
                     member_state::suspected, known->second.incarnation},
                    call);
            }
        }
    }
    std::erase_if(this->relays, [&call](auto const& each) {
        return call.now >= each.second.until;
    });
}

void membership::state::ping_indirectly(
    std::uint64_t sequence, probe const& failed, context& call)
{
    auto const known = this->entries.find(failed.target);
    if (known == this->entries.end()) {
        this->probes.erase(sequence);
        return;
    }
    auto& pending = this->probes.at(sequence);
    pending.is_indirect = true;
    pending.deadline = call.now + this->options.ping_timeout;
    auto const helpers =
        this->choose_members(this->options.indirect_pings, failed.target, call);
    for (auto const& helper : helpers) {
        heartbeat content;
        content.kind = heartbeat_kind::ping_request;
        content.sequence = sequence;
        content.target = failed.target;
        content.target_address = known->second.address;
        this->send(
            helper, this->entries.at(helper).address, std::move(content), call);
    }
}

void membership::state::check_members(context& call)
{
    std::vector<member_update> ended;
    for (auto const& [host, known] : this->entries) {
        if (known.state != member_state::alive && call.now >= known.until) {
            ended.push_back(
                {host, known.address, known.state, known.incarnation});
        }
    }
    for (auto& update : ended) {
        if (update.state == member_state::removed) {
            this->entries.erase(update.host);
            continue;
        }
        update.state = member_state::removed;
        this->take_update(update, call);
    }
}

void membership::state::send(
    base::host_id const& to,
    std::string const& address,
    heartbeat content,
    context& call)
{
    content.from = this->options.host;
    content.address = this->options.address;
    content.incarnation = this->incarnation;
    content.configuration_version = this->configuration_version;
    content.attachment = this->attachment;
    // A suspected or removed receiver learns of it, so that it can refute.
    auto const known = this->entries.find(to);
    if (known != this->entries.end() &&
        known->second.state != member_state::alive) {
        content.updates.push_back(
            {to, known->second.address, known->second.state,
             known->second.incarnation});
    }
    this->attach_updates(content);
    ++this->counts.sent;
    call.out.emplace_back(send_heartbeat{to, address, std::move(content)});
}

std::vector<base::host_id> membership::state::choose_members(
    std::size_t count, base::host_id const& except, context& call) const
{
    std::vector<base::host_id> result;
    for (auto const& [host, known] : this->entries) {
        if (known.state != member_state::removed && host != except) {
            result.push_back(host);
        }
    }
    for (std::size_t i = 0; i < result.size() && i < count; ++i) {
        auto const rest = static_cast<std::uint32_t>(result.size() - i);
        std::swap(
            result[i], result[i + base::uniform_below(call.random, rest)]);
    }
    result.resize(std::min(result.size(), count));
    return result;
}

std::size_t membership::state::count_present() const
{
    return static_cast<std::size_t>(std::count_if(
        this->entries.begin(), this->entries.end(), [](auto const& each) {
            return each.second.state != member_state::removed;
        }));
}

base::instant membership::state::wake_at() const
{
    auto const check = this->last_now + check_interval;
    return std::min(check, this->next_ping.value_or(check));
}

membership::membership(membership_options options)
    : self(std::make_unique<state>(std::move(options)))
{}
membership::~membership() = default;
membership::membership(membership&&) noexcept = default;
membership& membership::operator=(membership&&) noexcept = default;

void membership::handle(
    membership_event const& event,
    base::instant now,
    base::random_engine& random,
    std::vector<membership_action>& out)
{
    state::context call{now, random, out};
    std::visit(
        [this, &call](auto const& content) { this->self->on(content, call); },
        event);
    this->self->advance(call);
}

base::instant membership::wake_at() const
{
    return this->self->wake_at();
}

std::vector<member> membership::members() const
{
    std::vector<member> result;
    for (auto const& [host, known] : this->self->entries) {
        if (known.state != member_state::removed) {
            result.push_back(
                {host, known.address, known.state, known.incarnation});
        }
    }
    return result;
}

std::uint64_t membership::incarnation() const
{
    return this->self->incarnation;
}

membership_statistics const& membership::statistics() const
{
    return this->self->counts;
}

} // namespace foxtaillift::cluster
