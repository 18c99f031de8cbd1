/// What an admission keeps about services and waiting calls.
#pragma once

#include "class_queue.hpp"

#include "foxtaillift/routing/admission.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace foxtaillift::routing
{

namespace detail
{

struct service_queues
{
    explicit service_queues(admission_options const& options)
        : order(options.order)
        , concurrency(options.concurrency)
    {}

    service_order order;

    std::array<class_queue, 2> classes;
    concurrency_limit concurrency;
    std::list<base::service_id>::iterator turn;
    bool has_turn = false;
    double interval_ms = 0; ///< between two slots granted while calls wait
    base::instant last_grant{};
    std::optional<base::instant> last_wait;

    class_queue& of(run_class kind)
    {
        return this->classes[static_cast<std::size_t>(kind)];
    }
    class_queue const& of(run_class kind) const
    {
        return this->classes[static_cast<std::size_t>(kind)];
    }
    std::uint32_t waiting() const
    {
        return this->classes[0].size() + this->classes[1].size();
    }
};

struct waiting_place
{
    waiting_call call;
    class_queue::position at;
    std::pair<std::int64_t, call_handle> expiry;
};

inline class_queue::position position_in(
    service_order order, waiting_call const& call, std::uint64_t sequence)
{
    auto const number = static_cast<std::int64_t>(sequence);
    switch (order) {
    case service_order::newest_first:
        return {-number, sequence};
    case service_order::earliest_deadline:
        return {call.deadline.ms, sequence};
    case service_order::fifo:
        break;
    }
    return {number, sequence};
}

inline base::instant latest_start(waiting_call const& call)
{
    auto const run = static_cast<std::int64_t>(std::ceil(call.typical_ms));
    return {call.deadline.ms - std::max<std::int64_t>(run, 1)};
}

} // namespace detail

struct admission::state
{
    admission_options options;
    std::unordered_map<base::service_id, detail::service_queues> services;
    std::list<base::service_id> turns; ///< services with waiting calls
    std::unordered_map<call_handle, detail::waiting_place> places;
    std::set<std::pair<std::int64_t, call_handle>> expiries;
    std::uint64_t sequence = 0;
    admission_counters counters;

    detail::service_queues* find(base::service_id const& service)
    {
        auto const found = this->services.find(service);
        return found == this->services.end() ? nullptr : &found->second;
    }

    detail::service_queues* find_or_add(base::service_id const& service)
    {
        if (auto* found = this->find(service)) {
            return found;
        }
        if (this->services.size() >= this->options.max_services) {
            std::erase_if(this->services, [](auto const& entry) {
                return entry.second.waiting() == 0 &&
                       entry.second.concurrency.in_flight() == 0;
            });
            if (this->services.size() >= this->options.max_services) {
                return nullptr;
            }
        }
        return &this->services.try_emplace(service, this->options)
                    .first->second;
    }

    detail::class_queue::position position_of(
        waiting_call const& call, detail::service_queues const& queues) const
    {
        return detail::position_in(queues.order, call, this->sequence);
    }

    void set_order(
        base::service_id const& service,
        detail::service_queues& queues,
        service_order order)
    {
        if (queues.order == order) {
            return;
        }
        queues.order = order;
        for (auto& [handle, entry] : this->places) {
            if (entry.call.service == service) {
                auto const at =
                    detail::position_in(order, entry.call, entry.at.second);
                queues.of(entry.call.kind)
                    .move(entry.call.caller, entry.at, at);
                entry.at = at;
            }
        }
    }

    bool is_too_late(
        waiting_call const& call,
        detail::service_queues const& queues,
        base::instant now) const
    {
        auto const last = detail::latest_start(call);
        if (now > last) {
            return true;
        }
        auto const ahead = queues.of(call.kind).ahead_of(
            call.caller, this->position_of(call, queues));
        // Classes take turns, so as many calls of the other one come first.
        auto const other = call.kind == run_class::short_call
                               ? run_class::long_call
                               : run_class::short_call;
        auto const before = ahead + std::min(ahead, queues.of(other).size());
        auto const wait =
            static_cast<std::int64_t>(before * queues.interval_ms);
        return now + base::duration{wait} > last;
    }

    /// The call to push out so that `call` can wait, none if there is room, or
    /// a refusal.
    refusal make_room(
        waiting_call const& call,
        detail::service_queues const& queues,
        std::optional<call_handle>& victim) const
    {
        auto const& queue = queues.of(call.kind);
        auto const own = queue.size_of(call.caller);
        if (own >= this->options.max_waiting_per_caller) {
            return refusal::caller_queue;
        }
        if (queue.size() >= this->options.max_waiting_per_class) {
            if (queue.longest() <= own + 1) {
                return refusal::service_queue;
            }
            victim = queue.last_of_longest();
            return refusal::none;
        }
        if (this->places.size() < this->options.max_waiting) {
            return refusal::none;
        }
        auto const* largest = this->largest_queue();
        if (largest == nullptr || largest->size() <= queue.size() + 1) {
            return refusal::service_queue;
        }
        victim = largest->last_of_longest();
        return refusal::none;
    }

    detail::class_queue const* largest_queue() const
    {
        detail::class_queue const* largest = nullptr;
        for (auto const& name : this->turns) {
            for (auto const& queue : this->services.at(name).classes) {
                if (largest == nullptr || queue.size() > largest->size()) {
                    largest = &queue;
                }
            }
        }
        return largest;
    }

    void
    add(waiting_call const& call,
        detail::service_queues& queues,
        base::instant now)
    {
        if (queues.waiting() == 0) {
            queues.last_grant = now;
        }
        detail::waiting_place entry{
            .call = call,
            .at = this->position_of(call, queues),
            .expiry = {detail::latest_start(call).ms, call.call}};
        queues.of(call.kind).add(call.caller, entry.at, call.call);
        if (!queues.has_turn) {
            queues.turn = this->turns.insert(this->turns.end(), call.service);
            queues.has_turn = true;
        }
        queues.last_wait = now;
        this->expiries.insert(entry.expiry);
        this->places.emplace(call.call, std::move(entry));
        this->sequence += 1;
        this->counters.queued += 1;
    }

    bool remove(call_handle call)
    {
        auto const found = this->places.find(call);
        if (found == this->places.end()) {
            return false;
        }
        auto const& entry = found->second;
        auto& queues = this->services.at(entry.call.service);
        queues.of(entry.call.kind).remove(entry.call.caller, entry.at);
        if (queues.waiting() == 0) {
            this->turns.erase(queues.turn);
            queues.has_turn = false;
        }
        this->expiries.erase(entry.expiry);
        this->places.erase(found);
        return true;
    }
};

} // namespace foxtaillift::routing
