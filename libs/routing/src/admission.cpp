#include "foxtaillift/routing/admission.hpp"

#include "admission_state.hpp"

#include <algorithm>

namespace foxtaillift::routing
{

namespace
{

constexpr double interval_weight = 0.1;
constexpr base::duration crest_memory = base::seconds(1);

} // namespace

admission::admission(admission_options options)
    : self(std::make_unique<state>())
{
    this->self->options = options;
}

admission::~admission() = default;

void admission::set_order(base::service_id const& service, service_order order)
{
    if (auto* queues = this->self->find_or_add(service)) {
        this->self->set_order(service, *queues, order);
    }
}

refusal admission::check(waiting_call const& call, base::instant now)
{
    auto& all = *this->self;
    auto* queues = all.find_or_add(call.service);
    if (queues == nullptr) {
        return refusal::too_many_services;
    }
    if (all.is_too_late(call, *queues, now)) {
        return refusal::deadline;
    }
    std::optional<call_handle> victim;
    return all.make_room(call, *queues, victim);
}

refusal admission::enter(
    waiting_call const& call,
    base::instant now,
    std::vector<call_handle>& pushed_out)
{
    auto& all = *this->self;
    auto* queues = all.find_or_add(call.service);
    std::optional<call_handle> victim;
    auto why = refusal::too_many_services;
    if (queues != nullptr) {
        why = all.is_too_late(call, *queues, now)
                  ? refusal::deadline
                  : all.make_room(call, *queues, victim);
    }
    if (why != refusal::none) {
        all.counters.refused += 1;
        return why;
    }
    if (victim) {
        all.remove(*victim);
        all.counters.pushed_out += 1;
        pushed_out.push_back(*victim);
    }
    all.add(call, *queues, now);
    return refusal::none;
}

bool admission::is_open(base::service_id const& service, run_class kind) const
{
    auto const* queues = this->self->find(service);
    return queues == nullptr ||
           (queues->of(kind).size() == 0 && queues->concurrency.has_room());
}

void admission::waiting_services(std::vector<base::service_id>& out) const
{
    out.insert(out.end(), this->self->turns.begin(), this->self->turns.end());
}

std::optional<call_handle>
admission::peek(base::service_id const& service, run_class kind) const
{
    auto const* queues = this->self->find(service);
    if (queues == nullptr || !queues->concurrency.has_room()) {
        return std::nullopt;
    }
    return queues->of(kind).front();
}

void admission::take(
    base::service_id const& service, run_class kind, base::instant now)
{
    auto* queues = this->self->find(service);
    if (queues == nullptr) {
        return;
    }
    auto const call = queues->of(kind).front();
    if (!call) {
        return;
    }
    auto const since = static_cast<double>((now - queues->last_grant).ms);
    queues->interval_ms += interval_weight * (since - queues->interval_ms);
    queues->last_grant = now;
    queues->last_wait = now;
    queues->of(kind).end_turn();
    if (queues->has_turn) {
        auto& turns = this->self->turns;
        turns.splice(turns.end(), turns, queues->turn);
    }
    this->self->remove(*call);
}

bool admission::cancel(call_handle call)
{
    return this->self->remove(call);
}

void admission::expire(base::instant now, std::vector<call_handle>& out)
{
    auto& all = *this->self;
    while (!all.expiries.empty() && all.expiries.begin()->first < now.ms) {
        auto const call = all.expiries.begin()->second;
        all.remove(call);
        all.counters.expired += 1;
        out.push_back(call);
    }
}

void admission::on_started(base::service_id const& service)
{
    if (auto* queues = this->self->find_or_add(service)) {
        queues->concurrency.on_started();
    }
}

void admission::on_finished(
    base::service_id const& service, base::duration latency, base::instant now)
{
    if (auto* queues = this->self->find(service)) {
        queues->concurrency.on_finished(latency, now);
    }
}

bool admission::is_crest(
    base::service_id const& service, base::instant now) const
{
    auto const* queues = this->self->find(service);
    return queues != nullptr && queues->last_wait &&
           now - *queues->last_wait <= crest_memory;
}

base::duration admission::retry_after(base::service_id const& service) const
{
    auto const& options = this->self->options;
    auto const* queues = this->self->find(service);
    auto const wait = queues == nullptr
                          ? 0
                          : static_cast<std::int64_t>(
                                queues->interval_ms * queues->waiting());
    return {std::clamp(
        wait, options.retry_after_least.ms, options.retry_after_most.ms)};
}

std::uint32_t admission::waiting() const
{
    return static_cast<std::uint32_t>(this->self->places.size());
}

std::uint32_t admission::waiting(base::service_id const& service) const
{
    auto const* queues = this->self->find(service);
    return queues == nullptr ? 0 : queues->waiting();
}

std::uint32_t admission::limit(base::service_id const& service) const
{
    auto const* queues = this->self->find(service);
    return queues == nullptr ? static_cast<std::uint32_t>(
                                   this->self->options.concurrency.initial)
                             : queues->concurrency.limit();
}

admission_counters admission::counters() const
{
    return this->self->counters;
}

} // namespace foxtaillift::routing
