#include "http_server_core.hpp"

#include <limits>
#include <utility>
#include <vector>

namespace foxtaillift::transport
{

namespace
{

/// Refusals that are being written at the same time. Connections above both
/// bounds are closed without an answer.
constexpr std::size_t refusals_limit = 128;

} // namespace

http_server_core::http_server_core(
    http_server_options server_options, request_handler on_request)
    : options(std::move(server_options))
    , handler(std::move(on_request))
    , budget(this->options.buffer_limit)
    , in_progress(std::make_shared<std::atomic<std::size_t>>(0))
    , connection_limit(this->options.connections)
{}

bool http_server_core::try_hold(http_session_base& session, std::size_t bytes)
{
    auto const held = session.standing.held.load();
    if (bytes <= held) {
        this->budget.give_back(held - bytes);
    } else if (!this->budget.take(bytes - held)) {
        session_list told;
        {
            std::scoped_lock const lock{this->mutex};
            if (!this->make_room(session, bytes - held, told)) {
                return false;
            }
        }
        this->budget.take_always(bytes - held);
        for (auto const& each : told) {
            each->give_way(shortage::memory);
        }
    }
    session.standing.held = bytes;
    return true;
}

void http_server_core::hold(http_session_base& session, std::size_t bytes)
{
    auto const held = session.standing.held.exchange(bytes);
    this->budget.take_always(bytes);
    this->budget.give_back(held);
}

void http_server_core::settle(http_session_base const* session, shortage reason)
{
    std::scoped_lock const lock{this->mutex};
    auto const found = this->sessions.find(session);
    if (found == this->sessions.end()) {
        return;
    }
    auto& told = found->second;
    if (reason == shortage::memory) {
        this->promised -= std::exchange(told.promised, 0);
    } else if (std::exchange(told.is_leaving, false)) {
        --this->leaving_open;
        ++this->by_remote[told.remote];
    }
}

template <class AmountOf>
std::vector<http_server_core::entry*> http_server_core::choose(
    std::size_t amount,
    http_session_base const* wanting,
    AmountOf const& amount_of)
{
    auto const latest = wanting != nullptr && wanting->standing.may_give_way
                            ? wanting->standing.progress_ms.load()
                            : std::numeric_limits<std::int64_t>::max();
    std::vector<entry*> entries;
    std::vector<give_way_candidate> candidates;
    for (auto& [session, each] : this->sessions) {
        auto const& standing = session->standing;
        auto const progress = standing.progress_ms.load();
        if (!standing.may_give_way || progress > latest || each.is_leaving ||
            session == wanting) {
            continue;
        }
        if (auto const part = amount_of(*session, each); part > 0) {
            entries.push_back(&each);
            candidates.push_back({.progress = {progress}, .amount = part});
        }
    }
    std::vector<entry*> result;
    if (auto const chosen = choose_to_give_way(candidates, amount)) {
        for (auto const index : *chosen) {
            result.push_back(entries[index]);
        }
    }
    return result;
}

bool http_server_core::make_room(
    http_session_base const& wanting, std::size_t bytes, session_list& told)
{
    auto const wanted = this->budget.used() + bytes;
    auto const available = this->budget.most() + this->promised;
    if (wanted <= available) {
        return true;
    }
    auto const held_by = [](http_session_base const& session,
                            entry const& each) {
        return each.promised > 0 ? 0 : session.standing.held.load();
    };
    auto const chosen = this->choose(wanted - available, &wanting, held_by);
    for (auto* const each : chosen) {
        if (auto session = each->session.lock()) {
            each->promised = session->standing.held;
            this->promised += each->promised;
            told.push_back(std::move(session));
        }
    }
    return !chosen.empty();
}

bool http_server_core::free_connections(
    std::size_t count, std::string const& remote, session_list& told)
{
    auto const chosen = this->choose(
        count, nullptr,
        [&remote](http_session_base const&, entry const& each) -> std::size_t {
            return !each.is_refused && (remote.empty() || each.remote == remote)
                       ? 1
                       : 0;
        });
    for (auto* const each : chosen) {
        if (auto session = each->session.lock()) {
            each->is_leaving = true;
            ++this->leaving_open;
            this->discount_remote(each->remote);
            told.push_back(std::move(session));
        }
    }
    return !chosen.empty();
}

void http_server_core::discount_remote(std::string const& remote)
{
    auto const count = this->by_remote.find(remote);
    if (--count->second == 0) {
        this->by_remote.erase(count);
    }
}

void http_server_core::limit_connections(std::size_t most)
{
    session_list told;
    {
        std::scoped_lock const lock{this->mutex};
        this->connection_limit = most;
        auto const open = this->accepted_open();
        // With fewer that may give way, the rest closes by itself.
        for (auto above = open > most ? open - most : 0;
             above > 0 && !this->free_connections(above, {}, told);
             above /= 2) {
        }
    }
    for (auto const& each : told) {
        each->give_way(shortage::connections);
    }
}

admission http_server_core::add(
    std::string const& remote,
    std::shared_ptr<http_session_base> const& session)
{
    session_list told;
    auto const result = this->add(remote, session, told);
    for (auto const& each : told) {
        each->give_way(shortage::connections);
    }
    return result;
}

admission http_server_core::add(
    std::string const& remote,
    std::shared_ptr<http_session_base> const& session,
    session_list& told)
{
    std::scoped_lock const lock{this->mutex};
    auto const known = this->by_remote.find(remote);
    auto result = admission::accepted;
    if (known != this->by_remote.end() &&
        known->second >= this->options.connections_per_address &&
        !this->free_connections(1, remote, told)) {
        result = admission::address_limit;
    } else if (
        this->accepted_open() >= this->connection_limit &&
        !this->free_connections(1, {}, told)) {
        result = admission::server_limit;
    }
    if (result == admission::accepted) {
        ++this->by_remote[remote];
        ++this->counters.accepted;
    } else {
        ++this->counters.refused;
        if (this->refused_open >= refusals_limit) {
            return admission::closed;
        }
        ++this->refused_open;
    }
    this->sessions[session.get()] = {
        .session = session,
        .remote = remote,
        .is_refused = result != admission::accepted};
    return result;
}

void http_server_core::remove(http_session_base const* session)
{
    std::function<void()> done;
    {
        std::scoped_lock const lock{this->mutex};
        auto const found = this->sessions.find(session);
        if (found == this->sessions.end()) {
            return;
        }
        this->promised -= found->second.promised;
        if (found->second.is_refused) {
            --this->refused_open;
        } else if (found->second.is_leaving) {
            --this->leaving_open;
        } else {
            this->discount_remote(found->second.remote);
        }
        this->sessions.erase(found);
        if (this->sessions.empty()) {
            done = std::exchange(this->on_stopped, nullptr);
        }
    }
    if (done) {
        done();
    }
}

void http_server_core::drain_all()
{
    this->draining = true;
    for (auto const& session : this->open_sessions()) {
        session->drain();
    }
}

void http_server_core::finish(std::function<void()> callback)
{
    {
        std::scoped_lock const lock{this->mutex};
        if (!this->sessions.empty()) {
            this->on_stopped = std::move(callback);
            return;
        }
    }
    callback();
}

void http_server_core::abort_all()
{
    for (auto const& session : this->open_sessions()) {
        session->abort();
    }
}

std::size_t http_server_core::connections() const
{
    std::scoped_lock const lock{this->mutex};
    return this->sessions.size();
}

http_server_core::session_list http_server_core::open_sessions() const
{
    session_list result;
    std::scoped_lock const lock{this->mutex};
    for (auto const& [key, value] : this->sessions) {
        if (auto session = value.session.lock()) {
            result.push_back(std::move(session));
        }
    }
    return result;
}

} // namespace foxtaillift::transport
