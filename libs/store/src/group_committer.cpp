#include "committer_state.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/event_line.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace foxtaillift::store
{

namespace
{

constexpr auto expiry_check_interval = base::milliseconds(50);

void check_name(std::string const& name, char const* what)
{
    if (name.empty() || name.find_first_of(" \t\r\n") != std::string::npos) {
        throw base::error(
            base::error_code::invalid_argument,
            std::string{what} +
                " of the group committer is empty or has "
                "white space: '" +
                name + "'");
    }
}

// Reason why a submission can never be part of a transaction, or empty.
std::string_view
find_defect(submission const& item, std::string const& operation_key)
{
    std::set<std::string_view> written;
    for (auto const& write : item.writes) {
        if (write.key == operation_key) {
            return "writes the operation row";
        }
        if (!written.insert(write.key).second) {
            return "writes a row twice";
        }
    }
    std::set<std::string_view> conditioned;
    for (auto const& condition : item.conditions) {
        if (!conditioned.insert(condition.key).second) {
            return "has two conditions on a row";
        }
    }
    return item.writes.empty() ? "has no writes" : "";
}

} // namespace

group_committer::state::state(group_committer_options initial)
    : options(std::move(initial))
    , operation_key("op/" + this->options.host)
    , queue(this->options.queue_length, this->options.queue_bytes)
    , breaker(this->options.breaker)
{
    check_name(this->options.host, "host");
    check_name(this->options.writer, "writer");
}

void group_committer::state::on(committer_tick const&, context&) {}

void group_committer::state::on(member_count_changed const& event, context&)
{
    this->members = std::max(event.members, std::size_t{1});
}

void group_committer::state::on(submission const& event, context& call)
{
    auto const defect = find_defect(event, this->operation_key);
    if (!defect.empty()) {
        this->reject({event}, defect, call);
        return;
    }
    std::vector<submission> displaced;
    this->queue.push(event, displaced);
    this->counts.rejected_full += displaced.size();
    this->reject(displaced, "queue full", call);
}

void group_committer::state::reject(
    std::vector<submission> const& items,
    std::string_view reason,
    context& call)
{
    for (auto const& item : items) {
        call.out.emplace_back(completion{
            .id = item.id,
            .result = outcome::rejected,
            .rows = {},
            .reason = std::string{reason}});
    }
}

void group_committer::state::expire(context& call)
{
    if (call.now < this->next_expiry) {
        return;
    }
    this->next_expiry = call.now + expiry_check_interval;
    auto const expired = this->queue.take_expired(call.now);
    this->counts.rejected_deadline += expired.size();
    this->reject(expired, "deadline passed", call);
}

base::duration group_committer::state::interval() const
{
    return std::max(
        this->options.shortest_interval,
        this->options.interval_per_member *
            static_cast<std::int64_t>(this->members));
}

bool group_committer::state::has_work() const
{
    return !this->group.empty() || this->queue.length() > 0;
}

void group_committer::state::advance(context& call)
{
    this->last_now = call.now;
    this->time_out(call);
    this->expire(call);
    if (this->current || !this->has_work() ||
        !this->breaker.may_send(call.now)) {
        return;
    }
    switch (this->next) {
    case step::learn:
    case step::resolve:
        this->send_read({this->operation_key}, call);
        break;
    case step::commit:
        this->send_group(call);
        break;
    case step::fence:
        this->send_fence(call);
        break;
    case step::versions: {
        std::vector<std::string> keys;
        for (auto const& item : this->group) {
            for (auto const& write : item.writes) {
                keys.push_back(write.key);
            }
        }
        this->send_read(std::move(keys), call);
        break;
    }
    }
}

base::instant group_committer::state::wake_at() const
{
    if (this->current) {
        auto const timeout = this->current->sent + this->options.timeout;
        return this->queue.length() > 0 ? std::min(timeout, this->next_expiry)
                                        : timeout;
    }
    if (!this->has_work()) {
        return this->last_now + base::seconds(1);
    }
    auto at = this->breaker.retry_at();
    if (this->next == step::commit || this->next == step::fence) {
        at = std::max(at, this->next_transaction);
    }
    return std::min(at, this->next_expiry);
}

group_committer_statistics group_committer::state::statistics() const
{
    auto result = this->counts;
    result.queued = this->queue.length();
    result.queued_bytes = this->queue.bytes();
    result.circuit = this->breaker.state();
    return result;
}

void group_committer::state::log_circuit(circuit_state before, context& call)
{
    auto const after = this->breaker.state();
    if (before == after) {
        return;
    }
    call.out.emplace_back(
        log_line{base::event_line{"store_circuit"}
                     .add("from", to_string(before))
                     .add("to", to_string(after))
                     .add("queued", this->queue.length())
                     .add("group_limit", this->breaker.group_limit())
                     .str()});
}

group_committer::group_committer(group_committer_options options)
    : self(std::make_unique<state>(std::move(options)))
{}
group_committer::~group_committer() = default;
group_committer::group_committer(group_committer&&) noexcept = default;
group_committer&
group_committer::operator=(group_committer&&) noexcept = default;

void group_committer::handle(
    committer_event const& event,
    base::instant now,
    base::random_engine& random,
    std::vector<committer_action>& out)
{
    state::context call{now, random, out};
    std::visit(
        [this, &call](auto const& content) { this->self->on(content, call); },
        event);
    this->self->advance(call);
}

base::instant group_committer::wake_at() const
{
    return this->self->wake_at();
}

group_committer_statistics group_committer::statistics() const
{
    return this->self->statistics();
}

} // namespace foxtaillift::store
