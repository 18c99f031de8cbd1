#include "scheduler_core.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

namespace
{

/// A stop that was confirmed takes up to 0.9 s.
constexpr base::duration stop_retry = base::milliseconds(1000);

/// One that is not answered is sent again after this, and after twice the time
/// whenever that was not answered either.
constexpr base::duration first_stop_gap = base::milliseconds(100);
constexpr int longest_stop_shift = 3; // 0.8 s

base::duration stop_gap(run_entry const* run, stop_orders const& orders)
{
    if (orders.sent == 0) {
        return {};
    }
    if (run != nullptr && run->stop_confirmed_at) {
        return stop_retry;
    }
    return first_stop_gap *
           (1 << std::min(orders.sent - 1, longest_stop_shift));
}

/// While a start or a stop of the worker is unresolved, or its filling tasks
/// are slowed down, its report must not wait long. Reports smooth the tails of
/// serving tasks over half a second; each one has a price.
constexpr base::duration short_wait = base::milliseconds(100);
constexpr base::duration shortest_paced_wait = base::milliseconds(500);

/// Answers take this long where the host has time. A host that reads them later
/// has more to do than it can, and asks for paces as much less often.
constexpr base::duration quick_answer = base::milliseconds(20);

/// While answers are lost, a worker is not heard for as long as its look waits.
constexpr base::duration lossy_wait = base::milliseconds(300);

/// Looks a second that such waits may cause in all. The reports of a large
/// fleet would take the processor time that its starts need.
constexpr std::int64_t lossy_looks_per_second = 2000;

base::duration lossy_wait_of(std::size_t workers)
{
    constexpr std::int64_t ms_per_second = 1000;
    auto const spread_ms = static_cast<std::int64_t>(workers) * ms_per_second /
                           lossy_looks_per_second;
    return std::max(lossy_wait, base::milliseconds(spread_ms));
}

/// Orders of a pace are repeated this often while an older one may still be
/// carried out.
constexpr base::duration doubtful_pace_gap = base::milliseconds(1000);

/// Nothing else starts on a half-open worker until its run is seen at work.
constexpr base::duration trial_wait = base::milliseconds(300);

/// Without runs a worker is only looked at to see that it lives.
constexpr base::duration idle_wait = base::milliseconds(2000);

/// While ends wait for the store, a look would return at once each time.
constexpr base::duration unacknowledged_gap = base::milliseconds(400);

/// Entries that the platform dropped during an outage of the store are back
/// about 2 s after it, and are read some time later.
constexpr base::duration missing_entry_grace = base::milliseconds(4000);

/// The end of a lease is counted from a reading of the worker's clock that may
/// be this much ahead of it: 2% of the time since its last report, and the way.
constexpr base::duration clock_reading_age = base::milliseconds(200);

/// Percent by which a worker's clock may be slow, as a factor of 100.
constexpr std::int64_t slow_clock_percent = 102;

} // namespace

base::duration on_slow_clock(base::duration span)
{
    return span * slow_clock_percent / 100;
}

bool scheduler::implementation::is_majority_heard(
    base::instant since, base::instant now) const
{
    std::size_t known = 0;
    std::size_t heard = 0;
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto const& worker = this->workers[i];
        bool const may_be_listed_again =
            now - worker.unlisted_at < missing_entry_grace;
        bool const is_in_use =
            worker.is_listed || !worker.runs.empty() || may_be_listed_again;
        if (worker.is_gone || !is_in_use) {
            continue;
        }
        ++known;
        heard += worker.is_heard && worker.heard_sent_at >= since ? 1 : 0;
    }
    return heard * 2 > known;
}

/// Finds out when the earlier leader has certainly stopped granting leases.
void scheduler::implementation::update_majority(base::instant now)
{
    if (!this->recovery_began || this->majority_at ||
        !this->is_majority_heard(*this->recovery_began, now)) {
        return;
    }
    this->majority_at = now;
    this->log(base::event_line{"majority_heard"}
                  .add("after_ms", now - *this->recovery_began)
                  .add("workers", this->workers.size()));
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto& worker = this->workers[i];
        if (worker.is_lease_unknown) {
            worker.inherited_until = this->earlier_leases_end();
        }
    }
}

/// Of all that an earlier leader may have granted. Nothing while one may still
/// grant: it has not resigned, and no majority of workers has been heard.
std::optional<base::instant>
scheduler::implementation::earlier_leases_end() const
{
    if (this->resigned_leases_end) {
        return this->resigned_leases_end;
    }
    if (!this->majority_at) {
        return std::nullopt;
    }
    return *this->majority_at + majority_window +
           on_slow_clock(this->inherited_lease) + lapse_margin;
}

bool scheduler::implementation::are_earlier_leases_over(base::instant now) const
{
    auto const end = this->earlier_leases_end();
    return !this->recovery_began || (end && now > *end);
}

base::duration
scheduler::implementation::longest_lease_held(base::instant now) const
{
    auto const granted = this->options.lease + clock_reading_age;
    return this->are_earlier_leases_over(now)
               ? granted
               : std::max(granted, this->inherited_lease);
}

std::optional<base::duration>
scheduler::implementation::leases_left(base::instant now) const
{
    auto const granted = this->options.lease + clock_reading_age;
    if (this->are_earlier_leases_over(now)) {
        return granted;
    }
    auto const end = this->earlier_leases_end();
    return end ? std::optional{std::max(granted, *end - now)} : std::nullopt;
}

/// Returns whether tasks of inherited jobs may start.
bool scheduler::implementation::update_recovery(base::instant now)
{
    this->update_majority(now);
    if (this->is_recovered) {
        return true;
    }
    bool const is_lapsed = this->are_earlier_leases_over(now);
    std::size_t missing = 0;
    bool is_listing = false;
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto const& worker = this->workers[i];
        missing += worker.is_accounted() || worker.is_gone ? 0 : 1;
        // It has a lease of this leader, so that its ends bind however old the
        // leases of earlier ones are; see expire_leases().
        is_listing |= worker.has_unlisted_ends;
    }
    if (is_listing || (missing > 0 && !is_lapsed)) {
        return false;
    }
    this->is_recovered = true;
    for (auto& [id, job] : this->jobs) {
        if (this->is_removable(*job)) {
            this->mark_dirty(*job);
        }
    }
    this->log(base::event_line{"recovered"}
                  .add("after_ms", now - *this->recovery_began)
                  .add("unheard_workers", missing)
                  .add("jobs", this->jobs.size()));
    return true;
}

std::vector<worker_order> scheduler::implementation::take_orders(
    base::instant now, std::int64_t wall_ms, bool may_grant)
{
    std::vector<worker_order> orders;
    this->expire_leases(now);
    this->check_awaited(now);
    this->update_recovery(now);
    if (may_grant) {
        this->find_vacancies(now);
        this->place(orders, now, wall_ms);
        this->leave_draining_workers(now);
        this->relocate_slowed(now);
    }
    this->add_stops(orders, now);
    this->add_paces(orders, now);
    this->add_looks(orders, now, may_grant);
    return orders;
}

void scheduler::implementation::expire_leases(base::instant now)
{
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto& worker = this->workers[i];
        if (worker.inherited_until && now > *worker.inherited_until) {
            this->lose_runs(i, run_release::lease_over, now);
            continue;
        }
        bool const may_lapse = !worker.runs.empty() || worker.has_unlisted_ends;
        if (worker.silent_looks == 0 || !may_lapse ||
            !worker.clock.is_known()) {
            continue;
        }
        if (worker.clock.earliest(now) >
            worker.leased_until_ms + lapse_margin.ms) {
            this->lose_runs(i, run_release::lease_over, now);
        }
    }
}

void scheduler::implementation::add_stops(
    std::vector<worker_order>& orders, base::instant now)
{
    for (auto& [key, sent] : this->stops) {
        auto const& [index, run] = key;
        auto const& worker = this->workers[index];
        if (worker.silent_looks > 0) {
            continue; // its lease runs out by itself
        }
        auto* const entry = this->find_run(index, run);
        if (now - sent.sent_at < stop_gap(entry, sent)) {
            continue;
        }
        sent.sent_at = now;
        ++sent.sent;
        if (entry != nullptr && entry->phase == run_phase::running) {
            entry->phase = run_phase::stopping;
        }
        orders.emplace_back(stop_order{
            .worker = worker.info.id,
            .address = worker.info.address,
            .run = run,
            .token = this->options.token});
        this->log(base::event_line{"run_stop"}
                      .add("task", to_string(run.task))
                      .add("attempt", run.attempt)
                      .add("worker", worker.info.id));
    }
}

void scheduler::implementation::add_paces(
    std::vector<worker_order>& orders, base::instant now)
{
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto& worker = this->workers[i];
        if (!worker.is_pace_due || worker.silent_looks > 0) {
            continue;
        }
        worker.is_pace_due = false;
        for (auto const& [run, taken] : worker.runs) {
            if (taken.is_filling) {
                this->add_pace(orders, i, run, now);
            }
        }
    }
}

void scheduler::implementation::add_pace(
    std::vector<worker_order>& orders,
    std::size_t index,
    run_name const& run,
    base::instant now)
{
    auto& worker = this->workers[index];
    auto const percent = worker.runs.at(run).percent;
    auto* const entry = this->find_run(index, run);
    if (entry == nullptr) {
        return;
    }
    bool const is_repeated = now < entry->pace_doubtful_until &&
                             now - entry->paced_at >= doubtful_pace_gap;
    if (entry->pace == percent && !is_repeated) {
        return;
    }
    if (entry->phase != run_phase::running) {
        // Its start is not answered yet.
        worker.is_pace_due |= entry->phase == run_phase::starting;
        return;
    }
    entry->pace = percent;
    entry->paced_at = now;
    entry->is_pace_out = true;
    this->awaited.push_back({.worker = index, .run = run, .sent_at = now});
    orders.emplace_back(pace_order{
        .worker = worker.info.id,
        .address = worker.info.address,
        .run = run,
        .percent = percent,
        .token = this->options.token});
}

base::duration scheduler::implementation::paced_wait() const
{
    auto const stretched =
        shortest_paced_wait * this->answers.usual().ms / quick_answer.ms;
    return std::clamp(
        stretched, shortest_paced_wait,
        std::max(shortest_paced_wait, this->options.look_wait));
}

void scheduler::implementation::add_looks(
    std::vector<worker_order>& orders, base::instant now, bool may_grant)
{
    std::vector<char> is_unresolved(this->workers.size(), 0);
    for (auto const& [key, sent] : this->stops) {
        is_unresolved[key.first] = 1;
    }
    bool const is_lossy = this->are_answers_lost(now);
    this->allow_extra_looks(now);
    auto const count = this->workers.size();
    auto const first = this->first_looked;
    for (std::size_t k = 0; k < count; ++k) {
        auto const i = (first + k) % count;
        auto& worker = this->workers[i];
        if (worker.is_look_out) {
            if (this->add_extra_look(orders, worker, now)) {
                // Where they are used up, the others come first next time.
                this->first_looked = (i + 1) % count;
            }
            continue;
        }
        if (now < worker.look_due) {
            continue;
        }
        bool const is_abandoned = !worker.is_listed && !worker.has_work();
        if (is_abandoned && this->is_recovered &&
            (worker.is_gone || worker.silent_looks > 0)) {
            continue;
        }
        if (worker.processed > worker.acknowledged &&
            now - worker.heard_at < unacknowledged_gap) {
            continue;
        }
        look_order look{
            .worker = worker.info.id,
            .address = worker.info.address,
            .token = this->options.token,
            .wait = worker.runs.empty() ? idle_wait : this->options.look_wait};
        // After a silence another life of the worker may answer, whose ends
        // count from 1; it must not forget them.
        bool const is_certain =
            worker.is_heard && worker.silent_looks == 0 && !worker.is_look_lost;
        look.acknowledged = is_certain ? worker.acknowledged : 0;
        if (!is_certain) {
            look.wait = {};
        } else if (is_unresolved[i] != 0) {
            look.wait = short_wait;
        } else if (worker.trust.is_trial_out()) {
            look.wait = std::min(look.wait, trial_wait);
        } else if (worker.is_tight) {
            look.wait = this->paced_wait();
        }
        if (is_lossy && !worker.runs.empty()) {
            look.wait =
                std::min(look.wait, lossy_wait_of(this->workers.size()));
        }
        // A silent worker gets no longer lease, or what runs there would never
        // be given up.
        if (may_grant && is_certain && !worker.is_lease_closed) {
            auto const until =
                worker.clock.likely(now) + this->options.lease.ms;
            look.lease_until_ms = until;
            worker.leased_until_ms = std::max(worker.leased_until_ms, until);
            worker.granted_at = now;
        }
        worker.is_look_out = true;
        worker.look_overdue_at = now + look.wait + this->answers.overdue();
        orders.emplace_back(std::move(look));
    }
}

} // namespace foxtaillift::jobs
