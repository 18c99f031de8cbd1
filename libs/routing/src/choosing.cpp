#include "choosing.hpp"

#include "foxtaillift/routing/health.hpp"

#include <algorithm>
#include <cmath>

namespace foxtaillift::routing
{

namespace detail
{

namespace
{

constexpr float least_slow_start_share = 0.1F;

std::uint32_t round_up(double value)
{
    return static_cast<std::uint32_t>(std::ceil(value));
}

} // namespace

void add_weighed(choice& result, weighed_candidate const& weighed)
{
    if (result.weighed_count < result.weighed.size()) {
        result.weighed[result.weighed_count++] = weighed;
        return;
    }
    auto const worst = std::max_element(
        result.weighed.begin(), result.weighed.end(),
        [](auto const& a, auto const& b) { return a.cost < b.cost; });
    if (weighed.cost < worst->cost) {
        *worst = weighed;
    }
}

float slow_start_share(
    worker_load const& load, policy_options const& options, base::instant now)
{
    auto const since =
        now.ms - load.returned_at.load(std::memory_order_relaxed);
    if (since >= options.slow_start.ms) {
        return 1;
    }
    return std::max(
        least_slow_start_share,
        static_cast<float>(since) / static_cast<float>(options.slow_start.ms));
}

claim_limits limits_for(
    worker_load const& load,
    bool is_long,
    policy_options const& options,
    base::instant now)
{
    claim_limits limits{.is_long = is_long};
    auto const share = slow_start_share(load, options, now);
    if (share >= 1 && !is_long) {
        return limits;
    }
    auto const slots = load.slots.load().slots;
    limits.occupied =
        std::max(1U, round_up(slots * static_cast<double>(share)));
    if (is_long) {
        // Even a worker with one slot keeps none for long calls only if there
        // are others; a single slot serves both kinds.
        auto const reserved = std::min(
            round_up(slots * options.reserved_for_short),
            slots > 0 ? slots - 1 : 0);
        limits.long_calls = slots - reserved;
    }
    return limits;
}

std::uint32_t choosing::pool() const
{
    auto const count = static_cast<std::uint32_t>(this->service.workers.size());
    if (!this->request.is_long || !this->request.is_crest || count == 0) {
        return count;
    }
    return std::clamp(
        round_up(count * this->options.crest_long_workers), 1U, count);
}

worker_view const& choosing::view(worker_candidate const& of) const
{
    return this->snapshot.workers[of.worker];
}

worker_candidate const& choosing::draw() const
{
    return this->service
        .workers[base::uniform_below(this->random, this->pool())];
}

bool choosing::is_candidate(worker_candidate const& worker) const
{
    auto const& avoid = this->request.avoid_workers;
    return worker.load->slots.load().free() > 0 &&
           is_available(*worker.load, this->now) &&
           (avoid.empty() ||
            std::find(avoid.begin(), avoid.end(), this->view(worker).worker) ==
                avoid.end());
}

bool choosing::is_avoided(cell_view const& cell) const
{
    auto const& avoid = this->request.avoid_cells;
    return std::find(avoid.begin(), avoid.end(), cell.spec.cell) != avoid.end();
}

bool choosing::try_claim(worker_candidate const& worker, choice& result) const
{
    if (!this->is_candidate(worker)) {
        return false;
    }
    auto& load = *worker.load;
    bool const is_probe = load.ejected_until.load() != 0;
    if (is_probe &&
        (!this->request.may_probe || load.has_probe.exchange(true))) {
        return false;
    }
    auto const limits =
        limits_for(load, this->request.is_long, this->options, this->now);
    if (!load.slots.try_claim(limits)) {
        if (is_probe) {
            load.has_probe.store(false);
        }
        return false;
    }
    result.claim = slot_claim{load, this->request.is_long, is_probe};
    result.worker = &this->view(worker);
    result.cell = &this->snapshot.cells[worker.cell];
    if (is_probe) {
        result.reason = "probe";
    }
    return true;
}

bool choosing::try_claim_any(choice& result, std::string_view reason) const
{
    auto const count = this->pool();
    if (count == 0) {
        return false;
    }
    result.reason = reason;
    for (std::uint32_t i = 0; i < this->options.max_draws; ++i) {
        if (this->try_claim(this->draw(), result)) {
            return true;
        }
    }
    auto const start = base::uniform_below(this->random, count);
    auto const scanned = std::min(count, this->options.max_scan);
    for (std::uint32_t i = 0; i < scanned; ++i) {
        if (this->try_claim(
                this->service.workers[(start + i) % count], result)) {
            return true;
        }
    }
    return false;
}

} // namespace detail

choice claim_released(
    routing_snapshot const& snapshot,
    service_view const& service,
    worker_view const& worker,
    choice_request const& request,
    policy_options const& options,
    base::instant now,
    base::random_engine& random)
{
    detail::choosing const choosing{snapshot, service, request,
                                    options,  now,     random};
    // Only confined long calls may be kept from a worker of the service.
    bool is_in_pool = !(request.is_long && request.is_crest);
    for (std::uint32_t i = 0; !is_in_pool && i < choosing.pool(); ++i) {
        is_in_pool = service.workers[i].load == worker.load;
    }
    choice result;
    result.reason = "slot released";
    worker_candidate const candidate{
        worker.load,
        static_cast<std::uint32_t>(&worker - snapshot.workers.data()),
        worker.cell};
    if (worker.load == nullptr || !is_in_pool ||
        !choosing.try_claim(candidate, result)) {
        result.reason = "no free slot";
    }
    return result;
}

} // namespace foxtaillift::routing
