#include "attempts.hpp"

#include "foxtaillift/base/event_line.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::routing::detail
{

namespace
{

/// Added to both run times, because times of a few milliseconds are rounded.
constexpr float slowdown_offset_ms = 5;
/// One straggler must not look like a slow worker.
constexpr float largest_slowdown = 3;
constexpr float slowdown_weight = 0.05F;

void learn_slowdown(worker_load& load, base::duration ran, double typical_ms)
{
    if (typical_ms <= 0) {
        return;
    }
    auto const ratio = (static_cast<float>(ran.ms) + slowdown_offset_ms) /
                       (static_cast<float>(typical_ms) + slowdown_offset_ms);
    auto const before = load.slowdown.load(std::memory_order_relaxed);
    auto const value = std::min(ratio, largest_slowdown);
    // A lost update of a concurrent call does not matter to an average.
    load.slowdown.store(
        before + slowdown_weight * (value - before), std::memory_order_relaxed);
}

// A peer that does not take a forwarded call is left out for this long.
constexpr base::duration avoid_cell_for = base::seconds(1);

void release(call_attempt& ended)
{
    ended.claim.release();
    if (auto* load = std::exchange(ended.forwarded_to, nullptr)) {
        load->count_answered();
    }
}

void log_change(
    call_environment& environment,
    call_attempt const& ended,
    health_change change,
    std::uint64_t version)
{
    if (change == health_change::none) {
        return;
    }
    char const* event = "ejection-limit";
    if (change == health_change::ejected) {
        environment.counters.ejected += 1;
        event = "eject";
    } else if (change == health_change::returned) {
        environment.counters.returned += 1;
        event = "return";
    }
    base::event_line line{event};
    line.add("worker", ended.worker).add("cell", ended.cell);
    auto const until = ended.claim.load().ejected_until.load();
    if (change == health_change::ejected) {
        line.add("for_ms", until - environment.now.ms);
    }
    line.add("config", version);
    environment.out.emplace_back(log_line{line.str()});
}

} // namespace

call_attempts::call_attempts(call_attributes const& from)
    : attributes(from)
{}

call_attempts::~call_attempts()
{
    for (auto& attempt : this->all) {
        release(attempt);
    }
}

choice call_attempts::choose(
    call_environment& environment,
    routing_snapshot const& snapshot,
    service_view const& service,
    run_class kind,
    base::worker_id const* released) const
{
    std::vector<base::worker_id> workers = this->attributes.avoid;
    std::vector<base::cell_id> cells;
    for (auto const& attempt : this->all) {
        if (attempt.worker.empty()) {
            cells.push_back(attempt.cell);
        } else {
            workers.push_back(attempt.worker);
        }
    }
    choice_request const request{
        .avoid_workers = workers,
        .avoid_cells = cells,
        .is_long = kind == run_class::long_call,
        .is_crest =
            environment.queues.is_crest(service.service, environment.now),
        .may_forward = !this->attributes.is_forwarded,
        .may_probe = true};
    if (released == nullptr) {
        return environment.policy.choose(
            snapshot, service, request, environment.now, environment.random);
    }
    auto const* worker = snapshot.find_worker(*released);
    return worker == nullptr || worker->load == nullptr
               ? choice{}
               : claim_released(
                     snapshot, service, *worker, request,
                     environment.options.choice, environment.now,
                     environment.random);
}

void call_attempts::start(
    call_environment& environment, choice chosen, call_handle handle)
{
    auto const index = static_cast<attempt_index>(this->all.size());
    auto const& cell = *chosen.cell;
    call_attempt attempt{
        .worker =
            chosen.is_forward() ? base::worker_id{} : chosen.worker->worker,
        .cell = cell.spec.cell,
        .claim = std::move(chosen.claim),
        .forwarded_to = chosen.is_forward() ? cell.load : nullptr,
        .started = environment.now};
    if (chosen.is_forward()) {
        std::vector<base::worker_id> avoid;
        for (auto const& earlier : this->all) {
            if (!earlier.worker.empty()) {
                avoid.push_back(earlier.worker);
            }
        }
        environment.out.emplace_back(forward{
            handle, index, cell.spec.owner, cell.spec.cell,
            this->attributes.deadline, std::move(avoid)});
    } else {
        environment.out.emplace_back(dispatch{
            handle, index, attempt.worker, attempt.cell, cell.spec.epoch,
            this->attributes.deadline});
    }
    this->all.push_back(std::move(attempt));
    environment.queues.on_started(this->attributes.service);
}

void call_attempts::report(
    call_environment& environment,
    call_attempt const& ended,
    call_result result) const
{
    auto const elapsed = environment.now - ended.started;
    auto const is_good = result == call_result::success;
    environment.queues.on_finished(
        this->attributes.service, is_good ? elapsed : base::duration{-1},
        environment.now);
    bool const is_declined =
        result == call_result::error || result == call_result::refused;
    if (ended.forwarded_to != nullptr && is_declined) {
        ended.forwarded_to->avoid_until.store(
            (environment.now + avoid_cell_for).ms);
    }
    if (!ended.claim) {
        return;
    }
    if (is_good) {
        auto const typical = environment.classes.typical_ms(
            this->attributes.service, this->attributes.path);
        learn_slowdown(ended.claim.load(), elapsed, typical);
        environment.classes.record(
            this->attributes.service, this->attributes.path, elapsed);
    }
    snapshot_reader const snapshot{environment.table};
    auto const* service = snapshot->find_service(this->attributes.service);
    if (service != nullptr) {
        auto const change = environment.health.record(
            *snapshot, *service, ended.claim, result, elapsed, environment.now);
        log_change(environment, ended, change, snapshot->configuration_version);
    }
}

bool call_attempts::finish(
    call_environment& environment, attempt_index attempt, call_result result)
{
    if (!this->is_active(attempt)) {
        return false;
    }
    auto& ended = this->all[attempt];
    ended.is_active = false;
    this->report(environment, ended, result);
    if (ended.claim) {
        environment.released.push_back(ended.worker);
    }
    release(ended);
    return true;
}

void call_attempts::cancel_all(
    call_environment& environment, call_handle handle)
{
    for (attempt_index i = 0; i < this->all.size(); ++i) {
        if (this->finish(environment, i, call_result::no_information)) {
            environment.out.emplace_back(cancel_attempt{handle, i});
        }
    }
}

void call_attempts::mark_long(base::instant now, base::duration limit)
{
    for (auto& attempt : this->all) {
        if (attempt.is_active && now - attempt.started >= limit) {
            attempt.claim.mark_long();
        }
    }
}

bool call_attempts::is_active(attempt_index attempt) const
{
    return attempt < this->all.size() && this->all[attempt].is_active;
}

std::uint32_t call_attempts::active() const
{
    return static_cast<std::uint32_t>(std::count_if(
        this->all.begin(), this->all.end(),
        [](auto const& attempt) { return attempt.is_active; }));
}

std::uint32_t call_attempts::size() const
{
    return static_cast<std::uint32_t>(this->all.size());
}

} // namespace foxtaillift::routing::detail
