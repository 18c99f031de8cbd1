#include "foxtaillift/routing/policy.hpp"

#include "choosing.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace foxtaillift::routing
{

namespace
{

using detail::choosing;

constexpr std::uint32_t max_samples = 3;
constexpr float least_latency_ms = 0.5F;
constexpr float least_good_share = 0.05F;
constexpr float negligible_error_rate = 0.02F;

choice forward_to(cell_view const& cell, std::string_view reason)
{
    choice result;
    result.cell = &cell;
    result.reason = reason;
    cell.load->count_sent();
    return result;
}

bool may_receive(choosing const& from, cell_view const& cell)
{
    return cell.load->avoid_until.load(std::memory_order_relaxed) <=
               from.now.ms &&
           !from.is_avoided(cell);
}

bool has_current_summary(choosing const& from, cell_view const& cell)
{
    return cell.load->is_known.load(std::memory_order_acquire) &&
           from.now.ms -
                   cell.load->stamped_at.load(std::memory_order_relaxed) <=
               from.options.summary_max_age.ms;
}

cell_view const& draw_cell(choosing const& from)
{
    auto const position = base::uniform_below(
        from.random, static_cast<std::uint32_t>(from.service.cells.size()));
    return from.snapshot.cells[from.service.cells[position]];
}

/// For a service without a worker of this host: any cell that may receive
/// calls, full or not, because only its owner knows and has the queue.
choice forward_blindly(choosing const& from)
{
    auto const count = static_cast<std::uint32_t>(from.service.cells.size());
    if (!from.request.may_forward || count == 0) {
        return {};
    }
    cell_view const* best = nullptr;
    auto const start = base::uniform_below(from.random, count);
    for (std::uint32_t i = 0; i < std::min(count, from.options.max_scan); ++i) {
        auto const& cell =
            from.snapshot.cells[from.service.cells[(start + i) % count]];
        if (may_receive(from, cell) &&
            (best == nullptr ||
             cell.load->free_estimate() > best->load->free_estimate())) {
            best = &cell;
        }
    }
    return best == nullptr ? choice{} : forward_to(*best, "no own worker");
}

/// Claims on own workers, or forwards if there is none.
choice choose_any(choosing const& from, std::string_view reason)
{
    choice result;
    if (from.service.workers.empty()) {
        return forward_blindly(from);
    }
    if (!from.try_claim_any(result, reason)) {
        result.reason = "no free slot";
    }
    return result;
}

/// Claims on the best of the sampled workers, or on any if that is full.
void claim_best(
    choosing const& from,
    worker_candidate const* best,
    choice& result,
    std::string_view reason)
{
    result.reason = reason;
    if (best != nullptr && from.try_claim(*best, result)) {
        return;
    }
    if (!from.try_claim_any(result, "random, the sampled workers are full")) {
        result.reason = "no free slot";
    }
}

/// What a draw costs, and the part of it that is not due to its load.
struct weighed_cost
{
    float cost = 0;
    float idle = 0;
};

/// The cheapest of a few draws by `cost_of`, or null. Draws more, up to
/// `most`, while the best one's idle cost is above `good_enough`. Adds the
/// draws to `result`.
template <class Cost>
worker_candidate const* sample_best(
    choosing const& from,
    choice& result,
    weighed_cost& best_cost,
    float good_enough,
    Cost cost_of)
{
    worker_candidate const* best = nullptr;
    auto const samples =
        std::min({from.options.samples, max_samples, from.pool()});
    std::array<worker_candidate const*, max_samples> drawn{};
    for (std::uint32_t i = 0; i < samples; ++i) {
        drawn[i] = &from.draw();
        // The loads are often in another core's cache; fetches them together.
        __builtin_prefetch(drawn[i]->load);
    }
    std::uint32_t found = 0;
    for (std::uint32_t draws = 0; draws < from.options.max_draws; ++draws) {
        if (found >= samples && (found >= from.options.max_samples ||
                                 best_cost.idle <= good_enough)) {
            break;
        }
        auto const& worker = draws < samples ? *drawn[draws] : from.draw();
        if (&worker == best || !from.is_candidate(worker)) {
            continue;
        }
        if (worker.load->ejected_until.load(std::memory_order_relaxed) != 0 &&
            from.request.may_probe) {
            // Its return is due; by its cost it might never be tried.
            return &worker;
        }
        weighed_cost const value = cost_of(*worker.load);
        detail::add_weighed(
            result, {.worker = &from.view(worker), .cost = value.cost});
        ++found;
        if (best == nullptr || value.cost < best_cost.cost) {
            best = &worker;
            best_cost = value;
        }
    }
    return best;
}

} // namespace

random_policy::random_policy(policy_options from)
    : options(from)
{}

choice random_policy::choose(
    routing_snapshot const& snapshot,
    service_view const& service,
    choice_request const& request,
    base::instant now,
    base::random_engine& random)
{
    return choose_any(
        {snapshot, service, request, this->options, now, random}, "random");
}

round_robin_policy::round_robin_policy(policy_options from)
    : options(from)
{}

choice round_robin_policy::choose(
    routing_snapshot const& snapshot,
    service_view const& service,
    choice_request const& request,
    base::instant now,
    base::random_engine& random)
{
    choosing const from{snapshot, service, request, this->options, now, random};
    auto const count = from.pool();
    choice result;
    result.reason = "round robin";
    auto const tries = std::min(count, this->options.max_draws);
    for (std::uint32_t i = 0; i < tries; ++i) {
        auto const turn = this->next.fetch_add(1, std::memory_order_relaxed);
        if (from.try_claim(service.workers[turn % count], result)) {
            return result;
        }
    }
    return choose_any(from, "random, the next workers are full");
}

two_choices_policy::two_choices_policy(policy_options from)
    : options(from)
{}

choice two_choices_policy::choose(
    routing_snapshot const& snapshot,
    service_view const& service,
    choice_request const& request,
    base::instant now,
    base::random_engine& random)
{
    choosing const from{snapshot, service, request, this->options, now, random};
    if (service.workers.empty()) {
        return forward_blindly(from);
    }
    choice result;
    weighed_cost cost;
    auto const* best =
        sample_best(from, result, cost, 0, [](worker_load const& load) {
            auto const calls = static_cast<float>(load.slots.load().occupied());
            return weighed_cost{.cost = calls, .idle = 0};
        });
    claim_best(from, best, result, "fewest calls");
    return result;
}

adaptive_policy::adaptive_policy(policy_options from)
    : options(from)
{}

float adaptive_policy::aged_error_rate(
    worker_load const& worker, base::instant now) const
{
    auto const rate = worker.error_rate.load(std::memory_order_relaxed);
    if (rate < negligible_error_rate) {
        return 0;
    }
    // Errors are forgotten more slowly than latencies, yet forgotten: the
    // worker may get no call that could show its recovery.
    auto const age = static_cast<float>(
        now.ms - worker.result_at.load(std::memory_order_relaxed));
    auto const half_life =
        5 * static_cast<float>(this->options.latency_half_life.ms);
    return rate * std::exp2(-age / half_life);
}

float adaptive_policy::idle_cost(
    worker_load const& worker, float usual, base::instant now) const
{
    auto latency = worker.latency_ms.load(std::memory_order_relaxed);
    if (latency > 0) {
        auto const age = static_cast<float>(
            now.ms - worker.latency_at.load(std::memory_order_relaxed));
        auto const half_life =
            static_cast<float>(this->options.latency_half_life.ms);
        latency = usual + (latency - usual) * std::exp2(-age / half_life);
    }
    auto const harmed =
        usual * (1 + worker.batch_load.load(std::memory_order_relaxed) *
                         worker.harm.load(std::memory_order_relaxed));
    // A worker that fails its calls fast and may not be ejected, because
    // enough others are, would otherwise get more than its share.
    auto const good =
        std::max(least_good_share, 1 - this->aged_error_rate(worker, now));
    return std::max(latency, harmed) /
           (good * detail::slow_start_share(worker, this->options, now));
}

float adaptive_policy::load_factor(worker_load const& worker) const
{
    auto const counts = worker.slots.load();
    auto const use = static_cast<float>(counts.occupied() + 1) /
                     static_cast<float>(std::max(1U, counts.slots));
    return 1 + static_cast<float>(this->options.load_weight) * use;
}

float adaptive_policy::cost_of(
    worker_load const& worker,
    service_load const& service,
    base::instant now) const
{
    auto const usual = std::max(least_latency_ms, service.latency_ms.load());
    return this->idle_cost(worker, usual, now) * this->load_factor(worker);
}

float adaptive_policy::cost_of(
    cell_view const& cell, service_load const& service) const
{
    auto const& load = *cell.load;
    auto const usual =
        std::max(0.5F, service.latency_ms.load(std::memory_order_relaxed));
    auto const reported = load.latency_ms.load(std::memory_order_relaxed);
    auto const latency = reported > 0 ? reported : usual;
    auto const slots = static_cast<float>(std::max(1U, cell.slots));
    auto const free = std::min(slots, static_cast<float>(load.free_estimate()));
    auto const waiting =
        static_cast<float>(load.waiting.load(std::memory_order_relaxed));
    auto const use = (slots - free + waiting + 1) / slots;
    auto const weight = static_cast<float>(this->options.load_weight);
    auto const hop = cell.is_same_domain ? this->options.hop_same_domain_ms
                                         : this->options.hop_other_domain_ms;
    return latency * (1 + weight * use) *
               (1 + static_cast<float>(this->options.forward_margin)) +
           static_cast<float>(hop);
}

choice adaptive_policy::choose(
    routing_snapshot const& snapshot,
    service_view const& service,
    choice_request const& request,
    base::instant now,
    base::random_engine& random)
{
    choosing const from{snapshot, service, request, this->options, now, random};
    if (service.workers.empty()) {
        return forward_blindly(from);
    }
    choice result;
    weighed_cost cost;
    auto const usual =
        std::max(least_latency_ms, service.load->latency_ms.load());
    auto const* best = sample_best(
        from, result, cost,
        usual * static_cast<float>(this->options.good_enough),
        [&](worker_load const& load) {
            auto const idle = this->idle_cost(load, usual, now);
            return weighed_cost{
                .cost = idle * this->load_factor(load), .idle = idle};
        });
    if (request.may_forward && !service.cells.empty()) {
        auto const& cell = draw_cell(from);
        if (may_receive(from, cell) && has_current_summary(from, cell) &&
            cell.load->free_estimate() > 0) {
            auto const remote = this->cost_of(cell, *service.load);
            detail::add_weighed(result, {.cell = &cell, .cost = remote});
            if (best == nullptr || remote < cost.cost) {
                auto const weighed = result.weighed;
                auto const count = result.weighed_count;
                result = forward_to(cell, "least expected latency");
                result.weighed = weighed;
                result.weighed_count = count;
                return result;
            }
        }
    }
    claim_best(from, best, result, "least expected latency");
    return result;
}

} // namespace foxtaillift::routing
