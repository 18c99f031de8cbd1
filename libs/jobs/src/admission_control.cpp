#include "admission_control.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtaillift::jobs
{

namespace
{

/// A sample is the work that was completed in this time, and counts for that.
constexpr base::duration sample_time = base::milliseconds(1000);
constexpr base::duration sample_age_limit = base::milliseconds(10'000);

/// Without a submission for this long, nothing is known of the backlog.
constexpr base::duration longest_gap = base::milliseconds(2000);

constexpr base::duration least_retry = base::milliseconds(1000);

base::duration as_duration(double ms)
{
    constexpr double longest = 1e12;
    return base::milliseconds(
        static_cast<std::int64_t>(std::min(std::ceil(ms), longest)));
}

} // namespace

void admission_control::take_backlog(
    std::vector<waiting_work> waiting,
    fleet_rate const& capacity,
    base::instant now)
{
    bool const is_gap = now - this->taken_at > longest_gap;
    this->backlog = std::move(waiting);
    this->measure(capacity, now);
    this->taken_at = now;
    for (auto const kind : all_work_kinds) {
        auto& since = this->backlog_since[index(kind)];
        double const cores = this->rate(kind, now);
        bool const is_long =
            cores > 0 &&
            this->waiting(kind) / cores >=
                static_cast<double>(this->options.least_backlog.ms);
        if (!is_long) {
            since.reset();
        } else if (is_gap || !since) {
            since = now;
        }
    }
}

void admission_control::measure(fleet_rate const& capacity, base::instant now)
{
    this->newest_capacity = capacity;
    if (now - this->taken_at > longest_gap) {
        this->samples.clear();
        this->completed = {};
        this->sampled_at = now;
        return;
    }
    auto const span = now - this->sampled_at;
    if (span < sample_time) {
        return;
    }
    sample newest{.at = now, .capacity = capacity};
    for (std::size_t i = 0; i < kinds; ++i) {
        newest.rates[i] = this->completed[i] / static_cast<double>(span.ms);
    }
    this->samples.push_back(newest);
    this->completed = {};
    this->sampled_at = now;
    while (now - this->samples.front().at > sample_age_limit) {
        this->samples.pop_front();
    }
}

double admission_control::rate(work_kind kind, base::instant now) const
{
    // Workers that are out for moments come back.
    double capacity = this->newest_capacity.of(kind);
    double measured = 0;
    for (auto const& each : this->samples) {
        capacity = std::max(capacity, each.capacity.of(kind));
        measured = std::max(measured, each.rates[index(kind)]);
    }
    auto const& since = this->backlog_since[index(kind)];
    // Estimates that are too long let the fleet complete more than it has.
    double const cores =
        since && now - *since >= this->options.measuring
            ? std::max(measured, capacity * this->options.least_share.of(kind))
            : std::max(measured, capacity);
    return cores * this->options.margin;
}

double admission_control::waiting(work_kind kind) const
{
    double sum = 0;
    for (auto const& each : this->backlog) {
        sum += each.work.of(kind);
    }
    return sum;
}

std::optional<base::instant>
admission_control::overloaded_since(work_kind kind, base::instant now) const
{
    return now - this->taken_at > longest_gap
               ? std::nullopt
               : this->backlog_since[index(kind)];
}

bool admission_control::is_overloaded(work_kind kind, base::instant now) const
{
    auto const since = this->overloaded_since(kind, now);
    return since && now - *since >= this->options.settling;
}

std::optional<base::instant>
admission_control::first_arrival(std::string const& job) const
{
    auto const found = this->arrivals.find(job);
    return found == this->arrivals.end() ? std::nullopt
                                         : std::optional{found->second};
}

double admission_control::work_ahead(
    new_job const& job, work_kind kind, base::instant arrived_at) const
{
    // Of jobs of the same priority, only those in time that need no more are
    // certainly served before: larger ones earn less for each core-second, and
    // late ones go behind.
    double ahead = 0;
    for (auto const& each : this->backlog) {
        bool const is_before =
            each.priority < job.priority ||
            (each.priority == job.priority && each.is_in_time &&
             each.arrived_at <= arrived_at &&
             each.work.total() <= job.work.total());
        ahead += is_before ? each.work.of(kind) : 0;
    }
    return ahead;
}

admission_verdict
admission_control::decide(new_job const& job, base::instant now)
{
    auto const earlier = this->first_arrival(job.id);
    auto const arrived_at = earlier.value_or(now);
    admission_verdict verdict{
        .is_returned = earlier.has_value(),
        .limit = job.objective * this->options.worthless_factor};
    double longest_wait = 0;
    double own = static_cast<double>(job.chain.ms);
    for (auto const kind : all_work_kinds) {
        double const cores = this->rate(kind, now);
        if (job.work.of(kind) <= 0 || cores <= 0 ||
            !this->is_overloaded(kind, now)) {
            continue;
        }
        double const ahead = this->work_ahead(job, kind, arrived_at);
        own = std::max(own, job.work.of(kind) / cores);
        if (ahead / cores > longest_wait) {
            longest_wait = ahead / cores;
            verdict.work_ahead_ms = ahead;
            verdict.processors = cores;
        }
    }
    verdict.predicted = as_duration(longest_wait + own);
    // A job that could not even be served alone is not rejected for the load.
    verdict.is_rejected = longest_wait > 0 &&
                          verdict.predicted > verdict.limit &&
                          as_duration(own) <= verdict.limit;
    this->returned_jobs += earlier ? 1 : 0;
    if (!verdict.is_rejected) {
        this->backlog.push_back(
            {.priority = job.priority, .arrived_at = now, .work = job.work});
        return verdict;
    }
    ++this->rejected_jobs;
    this->remember(job, now);
    verdict.retry_after = this->next_retry(
        job, verdict.predicted - job.objective, verdict.processors, now);
    return verdict;
}

void admission_control::remember(new_job const& job, base::instant now)
{
    while (
        !this->arrival_order.empty() &&
        (this->arrival_order.size() >= this->options.memory_limit ||
         now - this->arrival_order.front().first > this->options.memory_time)) {
        this->arrivals.erase(this->arrival_order.front().second);
        this->arrival_order.pop_front();
    }
    if (this->arrivals.emplace(job.id, now).second) {
        this->arrival_order.emplace_back(now, job.id);
    }
}

base::duration admission_control::next_retry(
    new_job const& job,
    base::duration too_long,
    double cores,
    base::instant now)
{
    auto const slot = std::max(now + too_long, this->promised_until);
    this->promised_until = slot + as_duration(job.work.total() / cores);
    auto const wait = std::max(slot - now, least_retry);
    if (wait <= this->options.longest_retry) {
        return wait;
    }
    // Too far away to be told: spread over the second half of the longest time
    // by a sequence without clusters.
    constexpr double golden_part = 0.618034;
    double const position =
        std::fmod(golden_part * static_cast<double>(this->rejected_jobs), 1.0);
    double const half = static_cast<double>(this->options.longest_retry.ms) / 2;
    return as_duration(half + half * position);
}

} // namespace foxtaillift::jobs
