#include "dispatch_order.hpp"

#include "foxtaillift/base/hash.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace foxtaillift::jobs
{

namespace
{

/// A job whose chain exceeds its time left by more than this will be late; the
/// rest is the error of estimates.
constexpr double chain_tolerance = 1.3;

// The value of a job among those of its kind, as callers state it.
constexpr double base_value = 0.3;
constexpr double value_by_work = 0.7; ///< for the mean work of its kind
constexpr double largest_value = 4;

/// Small jobs are worth more by core-second. The largest three tenths of a kind
/// have to be served at least half as often as the kind, so they are rated as
/// if their size was drawn from the smallest six tenths. Draws from all sizes
/// would serve them too seldom: a job has to be kept at each decision while it
/// waits.
constexpr double large_share = 0.3;
constexpr double drawn_sizes = 0.6;
constexpr double least_ranked = 10; ///< jobs; fewer have no largest tenth

/// The part of the time left that is planned with. Durations differ from their
/// estimates, and one late job makes all that follow it late.
constexpr double time_planned = 0.9;

/// Below this part of the longest time left there is no overload: jobs go by
/// their deadlines alone, since estimates of chains are rough, and a few that
/// came at once may be late.
constexpr double least_load = 0.5;

/// A number of [0, 1) that depends on the name only.
double draw(std::string_view name)
{
    constexpr unsigned unused_bits = 11; // a double has 53
    constexpr double range = 9007199254740992.0;
    return static_cast<double>(base::hash64(name) >> unused_bits) / range;
}

/// Worth of a job of this size by core-ms; falls as the size grows.
double worth_by_work(double work, kind_load const& kind)
{
    if (work <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    double const mean =
        kind.jobs == 0 ? work : kind.work / static_cast<double>(kind.jobs);
    double const value =
        mean <= 0 ? 1 : base_value + value_by_work * work / mean;
    return std::min(value, largest_value) / work;
}

/// What the job can still earn if it is done soon, whatever its chain.
prospect prospect_by_age(job_timing const& timing)
{
    return timing.age <= timing.objective ? prospect::in_time
           : timing.age <= timing.objective * worthless_factor
               ? prospect::late
               : prospect::worthless;
}

dispatch_class class_of(dispatch_candidate const& job, prospect chance)
{
    if (job.is_lasting) {
        return dispatch_class::lasting;
    }
    switch (chance) {
    case prospect::in_time:
        return dispatch_class::in_time;
    case prospect::late:
        return dispatch_class::late;
    case prospect::worthless:
        return dispatch_class::worthless;
    }
    return dispatch_class::worthless;
}

base::duration time_left(job_timing const& timing)
{
    return timing.objective - timing.age;
}

/// Until the job has to be done to earn what its class does.
base::duration time_limit(job_timing const& timing, dispatch_class group)
{
    return group == dispatch_class::in_time
               ? timing.objective - timing.age
               : timing.objective * worthless_factor - timing.age;
}

bool may_displace(dispatch_class group)
{
    return group == dispatch_class::in_time || group == dispatch_class::late;
}

} // namespace

std::string_view to_string(prospect value)
{
    switch (value) {
    case prospect::in_time:
        return "in_time";
    case prospect::late:
        return "late";
    case prospect::worthless:
        return "worthless";
    }
    return "worthless";
}

std::string_view to_string(dispatch_class value)
{
    switch (value) {
    case dispatch_class::in_time:
        return "in_time";
    case dispatch_class::lasting:
        return "lasting";
    case dispatch_class::displaced:
        return "displaced";
    case dispatch_class::late:
        return "late";
    case dispatch_class::late_displaced:
        return "late_displaced";
    case dispatch_class::worthless:
        return "worthless";
    }
    return "worthless";
}

prospect prospect_of(job_timing const& timing)
{
    auto const is_reachable = [&](base::duration limit) {
        auto const left = limit - timing.age;
        return left.ms >= 0 &&
               static_cast<double>(timing.chain_left.ms) <=
                   chain_tolerance * static_cast<double>(left.ms);
    };
    return is_reachable(timing.objective) ? prospect::in_time
           : is_reachable(timing.objective * worthless_factor)
               ? prospect::late
               : prospect::worthless;
}

void dispatch_order::arrange(
    std::span<dispatch_candidate const> candidates,
    std::span<kind_load const> kinds,
    std::span<dispatch_pool const> shared)
{
    this->jobs = candidates;
    this->pools = shared;
    this->order.clear();
    this->rates.assign(candidates.size(), 0.0);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        this->order.push_back(
            {.candidate = i,
             .group = class_of(
                 candidates[i], prospect_by_age(candidates[i].timing))});
    }
    this->sort();
    this->find_overload();
    if (this->judge_chains()) {
        this->sort();
        if (!this->is_all_served()) {
            this->rate(kinds);
            this->displace();
            this->sort();
        }
    }
    this->note_work_ahead();
    this->jobs = {};
    this->pools = {};
}

void dispatch_order::sort()
{
    auto const is_displaced = [](dispatch_class group) {
        return group == dispatch_class::displaced ||
               group == dispatch_class::late_displaced;
    };
    std::sort(
        this->order.begin(), this->order.end(),
        [&](dispatch_entry const& a, dispatch_entry const& b) {
            auto const& one = this->job_of(a);
            auto const& other = this->job_of(b);
            if (std::tie(one.priority, a.group) !=
                std::tie(other.priority, b.group)) {
                return std::tie(one.priority, a.group) <
                       std::tie(other.priority, b.group);
            }
            double const rate = this->rates[a.candidate];
            double const other_rate = this->rates[b.candidate];
            if (is_displaced(a.group) && rate != other_rate) {
                return rate > other_rate;
            }
            return std::pair{time_left(one.timing), one.name} <
                   std::pair{time_left(other.timing), other.name};
        });
}

void dispatch_order::reset_pools(std::span<dispatch_pool const> shared)
{
    this->states.resize(shared.size());
    for (std::size_t i = 0; i < shared.size(); ++i) {
        this->states[i].ahead = shared[i].committed_work;
        this->states[i].jobs = 0;
        this->states[i].moved = 0;
        this->states[i].kept.clear();
    }
}

void dispatch_order::find_overload()
{
    this->reset_pools(this->pools);
    for (auto& state : this->states) {
        state.is_overloaded = false;
    }
    for (std::size_t first = 0; first < this->order.size();) {
        auto const last = this->end_of_segment(first);
        auto const group = this->order[first].group;
        for (auto& state : this->states) {
            state.longest = {};
        }
        for (std::size_t i = first; i < last; ++i) {
            auto const& job = this->job_of(this->order[i]);
            auto& state = this->states[job.pool];
            state.ahead += job.work_left;
            // Jobs of a segment go by the time that they have left.
            state.longest = time_limit(job.timing, group);
        }
        for (std::size_t i = 0; i < this->states.size(); ++i) {
            auto& state = this->states[i];
            auto const planned = time_planned *
                                 static_cast<double>(state.longest.ms) *
                                 this->pools[i].processors;
            state.is_overloaded |= may_displace(group) && planned > 0 &&
                                   state.ahead >= least_load * planned;
        }
        first = last;
    }
}

bool dispatch_order::judge_chains()
{
    bool is_any = false;
    for (auto& entry : this->order) {
        auto const& job = this->job_of(entry);
        if (this->states[job.pool].is_overloaded) {
            entry.group = class_of(job, prospect_of(job.timing));
            is_any = true;
        }
    }
    return is_any;
}

bool dispatch_order::is_served(
    dispatch_candidate const& job,
    dispatch_class group,
    double work_ahead) const
{
    double const processors = this->pools[job.pool].processors;
    if (processors <= 0) {
        return true;
    }
    auto const left = time_limit(job.timing, group);
    auto const slack = left - job.timing.chain_left;
    auto const work_by = [&](base::duration time) {
        return time_planned * processors * static_cast<double>(time.ms);
    };
    // What goes first loses nothing by its own size.
    return work_ahead <= 0 || (work_ahead <= work_by(slack) &&
                               work_ahead + job.work_left <= work_by(left));
}

bool dispatch_order::is_all_served()
{
    this->reset_pools(this->pools);
    for (auto const& entry : this->order) {
        auto const& job = this->job_of(entry);
        auto& ahead = this->states[job.pool].ahead;
        if (may_displace(entry.group) &&
            !this->is_served(job, entry.group, ahead)) {
            return false;
        }
        ahead += job.work_left;
    }
    return true;
}

void dispatch_order::rate(std::span<kind_load const> kinds)
{
    this->sizes.clear();
    for (auto const& entry : this->order) {
        if (may_displace(entry.group)) {
            auto const& job = this->job_of(entry);
            this->sizes.push_back({entry.group, job.kind, job.work});
        }
    }
    std::sort(this->sizes.begin(), this->sizes.end());
    for (auto const& entry : this->order) {
        if (may_displace(entry.group)) {
            auto const& job = this->job_of(entry);
            this->rates[entry.candidate] =
                this->rate_of(job, entry.group, kinds[job.kind]);
        }
    }
}

double dispatch_order::rate_of(
    dispatch_candidate const& job,
    dispatch_class group,
    kind_load const& kind) const
{
    if (job.work_left <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    sized_job const least{group, job.kind, -1};
    sized_job const most{
        group, job.kind, std::numeric_limits<double>::infinity()};
    auto const first =
        std::lower_bound(this->sizes.begin(), this->sizes.end(), least);
    auto const last = std::upper_bound(first, this->sizes.end(), most);
    auto const count = static_cast<double>(last - first);
    auto const at = [&](double part) {
        return (first + static_cast<std::ptrdiff_t>(count * part))->work;
    };
    double rated_work = job.work;
    if (count >= least_ranked && job.work >= at(1 - large_share)) {
        rated_work = std::min(job.work, at(draw(job.name) * drawn_sizes));
    }
    return worth_by_work(rated_work, kind) * job.work / job.work_left;
}

bool dispatch_order::is_first_displaced(
    rated_job const& a, rated_job const& b) const
{
    if (std::tie(a.rate, b.left_ms) != std::tie(b.rate, a.left_ms)) {
        return std::tie(a.rate, b.left_ms) < std::tie(b.rate, a.left_ms);
    }
    return this->job_of(this->order[a.entry]).name >
           this->job_of(this->order[b.entry]).name;
}

void dispatch_order::displace()
{
    this->reset_pools(this->pools);
    for (std::size_t first = 0; first < this->order.size();) {
        auto const last = this->end_of_segment(first);
        this->displace_segment(first, last);
        first = last;
    }
}

std::size_t dispatch_order::end_of_segment(std::size_t first) const
{
    auto const group = this->order[first].group;
    auto const priority = this->job_of(this->order[first]).priority;
    auto last = first;
    while (last < this->order.size() && this->order[last].group == group &&
           this->job_of(this->order[last]).priority == priority) {
        ++last;
    }
    return last;
}

void dispatch_order::displace_segment(std::size_t first, std::size_t last)
{
    auto const group = this->order[first].group;
    auto const moved_to = group == dispatch_class::in_time
                              ? dispatch_class::displaced
                              : dispatch_class::late_displaced;
    auto const is_later = [this](rated_job const& a, rated_job const& b) {
        return this->is_first_displaced(b, a);
    };
    // How much of its longest time the work of a class takes. If all of it, the
    // time of a displaced job is needed, whatever its size. If a part, too much
    // came at a time, and less is lost with one small job than with a large
    // one, of whose time nobody needs the rest.
    auto const longest =
        time_planned *
        static_cast<double>(
            time_limit(this->job_of(this->order[last - 1]).timing, group).ms);
    std::vector<double> loads(this->states.size());
    for (std::size_t pool = 0; pool < loads.size(); ++pool) {
        loads[pool] = this->states[pool].ahead;
    }
    for (std::size_t i = first; i < last; ++i) {
        auto const& job = this->job_of(this->order[i]);
        loads[job.pool] += job.work_left;
    }
    for (std::size_t pool = 0; pool < loads.size(); ++pool) {
        loads[pool] /= this->pools[pool].processors * longest;
    }
    for (std::size_t i = first; i < last; ++i) {
        auto const& job = this->job_of(this->order[i]);
        auto& state = this->states[job.pool];
        if (!may_displace(group) || loads[job.pool] < least_load) {
            state.ahead += job.work_left;
            continue;
        }
        auto& kept = state.kept;
        auto const worth = [&](std::size_t entry) {
            auto const& each = this->order[entry];
            return this->rates[each.candidate] * this->job_of(each).work_left;
        };
        bool const is_alone_moved = loads[job.pool] <= 1 && !kept.empty() &&
                                    worth(i) < worth(kept.front().entry) &&
                                    !this->is_served(job, group, state.ahead);
        if (is_alone_moved) {
            this->order[i].group = moved_to;
            state.moved += job.work_left;
            continue;
        }
        kept.push_back(
            {.rate = this->rates[this->order[i].candidate],
             .left_ms = time_left(job.timing).ms,
             .entry = i});
        std::push_heap(kept.begin(), kept.end(), is_later);
        state.ahead += job.work_left;
        while (this->order[i].group == group &&
               !this->is_served(job, group, state.ahead - job.work_left)) {
            std::pop_heap(kept.begin(), kept.end(), is_later);
            auto& worst = this->order[kept.back().entry];
            kept.pop_back();
            worst.group = moved_to;
            state.ahead -= this->job_of(worst).work_left;
            state.moved += this->job_of(worst).work_left;
        }
    }
    // What was displaced still goes before the next segment.
    for (auto& state : this->states) {
        state.kept.clear();
        state.ahead += state.moved;
        state.moved = 0;
    }
}

void dispatch_order::note_work_ahead()
{
    this->reset_pools(this->pools);
    for (auto& entry : this->order) {
        auto const& job = this->job_of(entry);
        auto& state = this->states[job.pool];
        entry.jobs_ahead = state.jobs++;
        entry.work_ahead = state.ahead;
        state.ahead += job.work_left;
    }
}

} // namespace foxtaillift::jobs
