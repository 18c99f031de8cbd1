// Distribution between peers, and the start without the store.

#include "configuration_state.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/event_line.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::cluster
{

namespace
{

constexpr auto ask_interval = base::milliseconds(1000);
constexpr auto answer_lifetime = base::milliseconds(3000);
// Reads of the store that fail before peers are asked.
constexpr std::uint32_t failures_before_asking = 2;

} // namespace

void configuration::state::push_to(
    std::vector<base::host_id> const& targets,
    configuration_version above,
    context& call)
{
    configuration_push content;
    content.from = this->options.host;
    content.version = this->document.version();
    content.is_ready = this->ready;
    for (auto const& delta : this->deltas) {
        if (delta.version > above &&
            content.deltas.size() < this->options.deltas_per_message) {
            content.deltas.push_back({delta.version, to_text(delta)});
        }
    }
    for (auto const& peer : targets) {
        ++this->counts.pushes;
        call.out.emplace_back(send_configuration_push{peer, content});
    }
}

// Peers that did not acknowledge the last version accepted here get it again.
void configuration::state::repeat_push(context& call)
{
    if (this->repeats_left == 0 || call.now < this->next_repeat) {
        return;
    }
    --this->repeats_left;
    this->next_repeat = call.now + this->options.push_repeat;
    std::vector<base::host_id> behind;
    for (auto const& peer : this->peers) {
        auto const known = this->known_versions.find(peer);
        if (known == this->known_versions.end() ||
            known->second < this->pushed) {
            behind.push_back(peer);
        }
    }
    this->push_to(behind, this->pushed - 1, call);
}

std::vector<base::host_id> configuration::state::choose_peers(
    std::size_t count, base::host_id const& except, context& call) const
{
    auto candidates = this->peers;
    std::erase(candidates, except);
    for (std::size_t i = 0; i < candidates.size() && i < count; ++i) {
        auto const rest = static_cast<std::uint32_t>(candidates.size() - i);
        std::swap(
            candidates[i],
            candidates[i + base::uniform_below(call.random, rest)]);
    }
    candidates.resize(std::min(candidates.size(), count));
    return candidates;
}

void configuration::state::on(configuration_push const& event, context& call)
{
    auto const before = this->document.version();
    this->take_messages(event, call);
    auto const after = this->document.version();
    if (after != before) {
        this->head_row.reset();
        this->announce_version(call);
    }
    this->note_version(event.from, event.version);
    if (event.is_answer) {
        if (event.from == this->pulling_from) {
            this->pulling_from = {};
        }
        bool const has_room =
            this->bootstrap_answers.size() < this->options.max_peers ||
            this->bootstrap_answers.contains(event.from);
        if (!this->ready && has_room) {
            this->bootstrap_answers[event.from] =
                peer_answer{call.now, event.is_ready, event.members};
            this->judge_answers(call);
        }
    } else {
        call.out.emplace_back(send_configuration_acknowledge{
            event.from, {this->options.host, after}});
        if (after != before) {
            // The host that accepted the change may have died while it sent.
            this->push_to(
                this->choose_peers(this->options.forward_to, event.from, call),
                before, call);
        }
    }
    if (event.version > after) {
        this->pull_from(event.from, call);
    }
}

void configuration::state::note_version(
    base::host_id const& peer, configuration_version version)
{
    auto const known = this->known_versions.find(peer);
    if (known != this->known_versions.end()) {
        known->second = std::max(known->second, version);
    } else if (this->known_versions.size() < this->options.max_peers) {
        this->known_versions.emplace(peer, version);
    } else {
        ++this->counts.messages_ignored;
    }
}

void configuration::state::take_messages(
    configuration_push const& event, context& call)
{
    try {
        if (!event.snapshot.empty()) {
            this->take_snapshot(
                configuration_document::from_text(event.snapshot), call);
        }
        for (auto const& packed : event.deltas) {
            if (packed.version == this->document.version() + 1) {
                this->take_delta(parse_delta(packed.text), call);
            }
        }
    } catch (base::error const& failure) {
        ++this->counts.messages_ignored;
        this->log(
            base::event_line{"configuration_message_ignored"}
                .add("from", event.from)
                .add("reason", failure.what())
                .str(),
            call);
    }
}

void configuration::state::on(configuration_pull const& event, context& call)
{
    configuration_push content;
    content.from = this->options.host;
    content.version = this->document.version();
    content.is_answer = true;
    content.is_ready = this->ready;
    if (event.is_bootstrap) {
        content.members = this->peers;
    }
    if (event.version < this->history_base.version()) {
        content.snapshot = this->document.to_text();
    } else {
        for (auto const& delta : this->deltas) {
            if (delta.version > event.version &&
                content.deltas.size() < this->options.deltas_per_message) {
                content.deltas.push_back({delta.version, to_text(delta)});
            }
        }
    }
    ++this->counts.pulls;
    call.out.emplace_back(
        send_configuration_push{event.from, std::move(content)});
}

void configuration::state::on(configuration_acknowledge const& event, context&)
{
    this->note_version(event.from, event.version);
    for (auto& [version, pending] : this->answers) {
        auto& hosts = pending.content.acknowledged;
        if (version <= event.version &&
            std::find(hosts.begin(), hosts.end(), event.from) == hosts.end()) {
            hosts.push_back(event.from);
            pending.due = {};
        }
    }
}

void configuration::state::on(peer_version_seen const& event, context& call)
{
    this->note_version(event.peer, event.version);
    if (event.version > this->document.version()) {
        this->pull_from(event.peer, call);
    }
}

void configuration::state::pull_from(base::host_id const& peer, context& call)
{
    if (!this->pulling_from.empty() &&
        call.now < this->pull_sent + this->options.pull_timeout) {
        return;
    }
    this->pulling_from = peer;
    this->pull_sent = call.now;
    call.out.emplace_back(send_configuration_pull{
        peer, {this->options.host, this->document.version(), !this->ready}});
}

void configuration::state::ask_peers(context& call)
{
    if (this->failed_reads < failures_before_asking ||
        call.now < this->next_ask) {
        return;
    }
    this->next_ask = call.now + ask_interval;
    std::set<base::host_id> targets{
        this->options.seeds.begin(), this->options.seeds.end()};
    targets.insert(this->peers.begin(), this->peers.end());
    for (auto const& [peer, reply] : this->bootstrap_answers) {
        targets.insert(reply.members.begin(), reply.members.end());
    }
    targets.erase(this->options.host);
    for (auto const& peer : targets) {
        call.out.emplace_back(send_configuration_pull{
            peer, {this->options.host, this->document.version(), true}});
    }
}

// A fresh host may use what peers sent once every member that they list as
// alive has answered: one of them may have the highest version alone.
void configuration::state::judge_answers(context& call)
{
    bool has_source = false;
    std::set<base::host_id> required;
    for (auto const& [peer, reply] : this->bootstrap_answers) {
        bool const is_recent = call.now < reply.at + answer_lifetime;
        if (is_recent && reply.is_ready) {
            has_source = true;
            required.insert(reply.members.begin(), reply.members.end());
        }
    }
    required.erase(this->options.host);
    for (auto const& host : required) {
        auto const reply = this->bootstrap_answers.find(host);
        if (reply == this->bootstrap_answers.end() ||
            call.now >= reply->second.at + answer_lifetime) {
            return;
        }
    }
    auto const own = this->document.version();
    bool const is_behind = std::any_of(
        required.begin(), required.end(), [this, own](auto const& host) {
            return this->known_versions[host] > own;
        });
    if (!has_source || is_behind) {
        return;
    }
    this->ready = true;
    this->bootstrap_answers.clear();
    this->log(
        base::event_line{"configuration_ready"}
            .add("version", own)
            .add("source", "peers")
            .str(),
        call);
}

} // namespace foxtaillift::cluster
