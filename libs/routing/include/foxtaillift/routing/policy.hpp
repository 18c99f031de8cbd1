/// Choice of a worker, or of another entry host's cell, for one call.
#pragma once

#include "foxtaillift/routing/snapshot.hpp"

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/random.hpp"

#include <array>
#include <atomic>
#include <concepts>
#include <cstdint>
#include <span>
#include <string_view>

namespace foxtaillift::routing
{

/// What a policy has to respect for one call.
struct choice_request
{
    /// Workers and cells that already had an attempt of this call.
    std::span<base::worker_id const> avoid_workers = {};
    std::span<base::cell_id const> avoid_cells = {};
    bool is_long = false;
    /// Long calls are confined to a part of the workers.
    bool is_crest = false;
    bool may_forward = true;
    /// May decide on the return of an ejected worker.
    bool may_probe = true;
};

/// A candidate that was weighed; lower cost is better. Valid with the
/// snapshot.
struct weighed_candidate
{
    worker_view const* worker = nullptr;
    cell_view const* cell = nullptr; ///< if `worker` is null
    float cost = 0;

    [[nodiscard]] std::string_view name() const
    {
        return this->worker != nullptr ? this->worker->worker.view()
                                       : this->cell->spec.cell.view();
    }
};

/// Result of a choice: a claimed slot, a cell to forward to, or neither.
struct choice
{
    slot_claim claim;
    worker_view const* worker = nullptr;
    cell_view const* cell = nullptr; ///< cell of `worker`, or forwarded to
    std::array<weighed_candidate, 4> weighed{};
    std::uint32_t weighed_count = 0;
    std::string_view reason;

    [[nodiscard]] bool is_forward() const
    {
        return this->cell != nullptr && this->worker == nullptr;
    }
    explicit operator bool() const { return this->cell != nullptr; }
};

/// Settings of all policies.
struct policy_options
{
    std::uint32_t samples = 2; ///< candidates weighed, at most 3
    /// The adaptive policy draws more, up to this many, while the best draw
    /// is slower than `good_enough` times the service's usual latency: with
    /// half of the workers slow, two draws are both slow for a quarter of the
    /// calls.
    std::uint32_t max_samples = 8;
    double good_enough = 1.4;
    /// Draws before the choice gives up sampling.
    std::uint32_t max_draws = 16;
    /// Workers tried in a row if sampling finds no free slot.
    std::uint32_t max_scan = 64;
    double reserved_for_short = 0.25; ///< share of each worker's slots
    double crest_long_workers = 0.34; ///< share of workers for long calls
    base::duration latency_half_life = base::seconds(2);
    base::duration slow_start = base::seconds(10);
    double load_weight = 1.0;         ///< weight of occupied slots
    double hop_same_domain_ms = 0.5;  ///< round trip to a peer
    double hop_other_domain_ms = 3.0; ///< 1.5 ms one way
    double forward_margin = 0.2;      ///< own cells are preferred by this
    base::duration summary_max_age = base::seconds(3);
};

/// A policy is shared by all threads of one call router each; `choose` claims
/// the slot that it returns.
template <class T>
concept routing_policy = requires(
    T& policy,
    routing_snapshot const& snapshot,
    service_view const& service,
    choice_request const& request,
    base::instant now,
    base::random_engine& random)
{
    {
        policy.choose(snapshot, service, request, now, random)
        } -> std::same_as<choice>;
};

/// Claims a slot of one given worker, for a waiting call when a slot of this
/// worker was released. The choice is empty if the call may not use it.
choice claim_released(
    routing_snapshot const& snapshot,
    service_view const& service,
    worker_view const& worker,
    choice_request const& request,
    policy_options const& options,
    base::instant now,
    base::random_engine& random);

/// Any worker with a free slot, each equally likely.
class random_policy
{
public:
    explicit random_policy(policy_options options = {});
    choice choose(
        routing_snapshot const& snapshot,
        service_view const& service,
        choice_request const& request,
        base::instant now,
        base::random_engine& random);

private:
    policy_options options;
};

/// Workers in turn; full ones are skipped.
class round_robin_policy
{
public:
    explicit round_robin_policy(policy_options options = {});
    choice choose(
        routing_snapshot const& snapshot,
        service_view const& service,
        choice_request const& request,
        base::instant now,
        base::random_engine& random);

private:
    policy_options options;
    std::atomic<std::uint32_t> next{0};
};

/// The one of two random workers with fewer calls in flight.
class two_choices_policy
{
public:
    explicit two_choices_policy(policy_options options = {});
    choice choose(
        routing_snapshot const& snapshot,
        service_view const& service,
        choice_request const& request,
        base::instant now,
        base::random_engine& random);

private:
    policy_options options;
};

/// The cheapest of a few random workers and one cell of another entry host by
/// expected latency: calls in flight, aged latency estimate, batch load and
/// its harm, distance, slow start.
class adaptive_policy
{
public:
    explicit adaptive_policy(policy_options options = {});
    choice choose(
        routing_snapshot const& snapshot,
        service_view const& service,
        choice_request const& request,
        base::instant now,
        base::random_engine& random);

    /// Expected latency of one more call on a worker, in milliseconds.
    [[nodiscard]] float cost_of(
        worker_load const& worker,
        service_load const& service,
        base::instant now) const;
    /// Expected latency of one more call forwarded to a cell.
    [[nodiscard]] float
    cost_of(cell_view const& cell, service_load const& service) const;

private:
    [[nodiscard]] float
    idle_cost(worker_load const& worker, float usual, base::instant now) const;
    [[nodiscard]] float load_factor(worker_load const& worker) const;
    [[nodiscard]] float
    aged_error_rate(worker_load const& worker, base::instant now) const;

    policy_options options;
};

} // namespace foxtaillift::routing
