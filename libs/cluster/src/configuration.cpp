#include "foxtaillift/cluster/configuration.hpp"

#include "configuration_state.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/event_line.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::cluster
{

configuration::state::state(configuration_options initial)
    : options(std::move(initial))
{
    if (this->options.host.empty() || this->options.process.empty()) {
        throw base::error(
            base::error_code::invalid_argument,
            "the configuration needs the names of the host and the process");
    }
    if (this->options.snapshot_interval == 0 ||
        this->options.history < this->options.snapshot_interval ||
        this->options.history % this->options.snapshot_interval != 0) {
        throw base::error(
            base::error_code::invalid_argument,
            "the configuration history must be a multiple of the snapshot "
            "interval");
    }
}

void configuration::state::on(configuration_tick const&, context&) {}

void configuration::state::on(fleet_changed const& event, context&)
{
    this->fleet = event.fleet;
}

void configuration::state::on(peers_changed const& event, context&)
{
    this->peers = event.peers;
    std::erase_if(this->known_versions, [this](auto const& entry) {
        return std::find(this->peers.begin(), this->peers.end(), entry.first) ==
               this->peers.end();
    });
}

void configuration::state::advance(context& call)
{
    this->last_now = call.now;
    this->take_turn(call);
    this->start_read(call);
    if (!this->ready) {
        this->ask_peers(call);
    }
    this->process_changes(call);
    this->repeat_push(call);
    this->send_answers(call);
}

// One host after the other reads the head row and writes a snapshot that is
// due. Turns follow the wall clock; if the clocks of hosts differ, a turn is
// taken twice or left out, which is harmless.
void configuration::state::take_turn(context& call)
{
    auto const turn = call.wall_ms / this->options.head_read_interval.ms;
    if (turn == this->last_turn || !this->ready) {
        return;
    }
    this->last_turn = turn;
    auto const rank = std::count_if(
        this->peers.begin(), this->peers.end(),
        [this](auto const& peer) { return peer < this->options.host; });
    auto const members = static_cast<std::int64_t>(this->peers.size()) + 1;
    if (turn % members != rank) {
        return;
    }
    this->must_announce = true;
    this->want_read(call);
    this->put_snapshot(call);
    if (call.now >= this->next_expiry_check) {
        this->next_expiry_check =
            call.now + this->options.expiry_check_interval;
        this->remove_expired(call);
    }
}

// Expired overrides have no effect already; this removes them from the list.
void configuration::state::remove_expired(context& call)
{
    auto expired = expired_overrides(this->document, call.wall_ms);
    if (expired.empty() || !this->changes.empty()) {
        return;
    }
    expired.resize(std::min(expired.size(), this->options.edits_per_change));
    pending_change change{.arrived = call.now};
    change.content.expected = this->document.version();
    change.content.author = "foxtaild";
    change.content.reason = "expired";
    change.content.is_forced = true;
    for (auto const& [name, subject] : expired) {
        configuration_edit edit;
        edit.kind = edit_kind::remove_override;
        edit.name = name;
        edit.subject = subject;
        change.content.edits.push_back(std::move(edit));
    }
    this->changes.push_back(std::move(change));
}

void configuration::state::take_delta(
    configuration_delta const& delta, context&)
{
    this->document.apply(delta);
    this->deltas.push_back(delta);
    if (this->deltas.size() > this->options.history) {
        this->history_base.apply(this->deltas.front());
        this->deltas.pop_front();
    }
    if (delta.version % this->options.snapshot_interval == 0) {
        this->snapshot_due = this->document;
    }
}

void configuration::state::take_snapshot(
    configuration_document snapshot, context&)
{
    if (snapshot.version() <= this->document.version()) {
        return;
    }
    this->document = std::move(snapshot);
    this->history_base = this->document;
    this->deltas.clear();
}

void configuration::state::announce_version(context& call)
{
    call.out.emplace_back(configuration_in_force{this->document.version()});
    this->log(
        base::event_line{"configuration_in_force"}
            .add("version", this->document.version())
            .str(),
        call);
}

std::optional<configuration_document>
configuration::state::document_at(configuration_version version) const
{
    if (version < this->history_base.version() ||
        version > this->document.version()) {
        return std::nullopt;
    }
    auto result = this->history_base;
    for (auto const& delta : this->deltas) {
        if (delta.version > version) {
            break;
        }
        result.apply(delta);
    }
    return result;
}

base::instant configuration::state::wake_at() const
{
    auto at = this->last_now + base::milliseconds(100);
    for (auto const& [version, pending] : this->answers) {
        at = std::min(at, pending.due);
    }
    return this->repeats_left > 0 ? std::min(at, this->next_repeat) : at;
}

void configuration::state::log(std::string text, context& call)
{
    call.out.emplace_back(store::log_line{std::move(text)});
}

configuration::configuration(configuration_options options)
    : self(std::make_unique<state>(std::move(options)))
{}
configuration::~configuration() = default;
configuration::configuration(configuration&&) noexcept = default;
configuration& configuration::operator=(configuration&&) noexcept = default;

void configuration::handle(
    configuration_event const& event,
    base::instant now,
    std::int64_t wall_ms,
    base::random_engine& random,
    std::vector<configuration_action>& out)
{
    state::context call{now, wall_ms, random, out};
    std::visit(
        [this, &call](auto const& content) { this->self->on(content, call); },
        event);
    this->self->advance(call);
}

base::instant configuration::wake_at() const
{
    return this->self->wake_at();
}

bool configuration::is_ready() const
{
    return this->self->ready;
}

configuration_document const& configuration::document() const
{
    return this->self->document;
}

std::vector<configuration_delta> configuration::history() const
{
    return {this->self->deltas.begin(), this->self->deltas.end()};
}

std::map<base::host_id, configuration_version> configuration::versions() const
{
    auto result = this->self->known_versions;
    result[this->self->options.host] = this->self->document.version();
    return result;
}

configuration_statistics const& configuration::statistics() const
{
    return this->self->counts;
}

} // namespace foxtaillift::cluster
