/// Decides whether a new job can still be served in time.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/scheduler.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace foxtaillift::jobs
{

/// Filling tasks use only the processors that ordinary ones leave, so that the
/// work of the two kinds does not wait for each other.
enum class work_kind : std::size_t
{
    ordinary,
    filling,
};
inline constexpr std::array all_work_kinds{
    work_kind::ordinary, work_kind::filling};

/// An amount of each kind, in core-milliseconds or in cores.
struct work_amounts
{
    double ordinary = 0;
    double filling = 0;

    [[nodiscard]] double of(work_kind kind) const
    {
        return kind == work_kind::ordinary ? this->ordinary : this->filling;
    }
    [[nodiscard]] double total() const
    {
        return this->ordinary + this->filling;
    }
};

/// Processors that tasks of each kind may use, in cores.
using fleet_rate = work_amounts;

/// What a job has still to begin. Jobs that are worth nothing any more are left
/// out: they are served last.
struct waiting_work
{
    std::int64_t priority = 0;
    base::instant arrived_at{};
    bool is_in_time = true; ///< its objective is not over
    work_amounts work{};    ///< core-milliseconds
};

struct new_job
{
    std::string id{};
    std::int64_t priority = 0;
    base::duration objective{};
    base::duration chain{}; ///< its longest chain of estimates
    work_amounts work{};    ///< core-milliseconds
};

struct admission_options
{
    /// Age of the sum of waiting work.
    base::duration refresh = base::milliseconds(250);
    /// How long the backlog must have been there. A burst that the fleet works
    /// off meanwhile is no overload.
    base::duration settling = base::milliseconds(1000);
    /// The backlog: the fleet needs this long for what waits, at least.
    base::duration least_backlog = base::milliseconds(1000);
    /// Under overload for this long, the fleet is taken to work as fast as it
    /// was measured, not as its processors allow.
    base::duration measuring = base::milliseconds(5000);
    /// Estimates and rates are taken to be wrong by this factor, in favour of
    /// the job: a rejection that was not necessary costs the caller all.
    double margin = 1.25;
    /// Least part of the processors that a measured rate may imply; filling
    /// tasks are slowed down beside serving ones.
    work_amounts least_share{.ordinary = 0.5, .filling = 0.25};
    /// Objectives after which a job is worth nothing.
    std::int64_t worthless_factor = 3;
    base::duration longest_retry = base::milliseconds(30'000);
    /// Rejected jobs that are remembered, and for how long.
    std::size_t memory_limit = 4000;
    base::duration memory_time = base::milliseconds(150'000);
};

/// Of the jobs of one service. Does no I/O. Not thread-safe.
class admission_control
{
public:
    explicit admission_control(admission_options settings = {})
        : options(settings)
    {}

    // Commands

    /// What waits now, and the processors of usable workers.
    void take_backlog(
        std::vector<waiting_work> waiting,
        fleet_rate const& capacity,
        base::instant now);
    /// Tasks with this work, by their estimates, are done [core-milliseconds].
    void on_done(work_kind kind, double work)
    {
        this->completed[index(kind)] += work;
    }
    /// Decides on a job and remembers it: as waiting, or as rejected.
    admission_verdict decide(new_job const& job, base::instant now);

    // Queries

    /// The backlog is to be told again.
    [[nodiscard]] bool is_stale(base::instant now) const
    {
        return now - this->taken_at >= this->options.refresh;
    }
    /// Since when more work of the kind waits than the fleet completes soon;
    /// nothing while it does not.
    [[nodiscard]] std::optional<base::instant>
    overloaded_since(work_kind kind, base::instant now) const;
    [[nodiscard]] bool is_overloaded(work_kind kind, base::instant now) const;
    /// Cores that tasks of the kind work with, at most.
    [[nodiscard]] double rate(work_kind kind, base::instant now) const;
    /// Work that waits, in core-milliseconds.
    [[nodiscard]] double waiting(work_kind kind) const;
    /// When the job came first, if it was rejected before.
    [[nodiscard]] std::optional<base::instant>
    first_arrival(std::string const& job) const;
    [[nodiscard]] std::size_t rejected() const { return this->rejected_jobs; }
    [[nodiscard]] std::size_t returned() const { return this->returned_jobs; }

private:
    static constexpr std::size_t kinds = all_work_kinds.size();

    static std::size_t index(work_kind kind)
    {
        return static_cast<std::size_t>(kind);
    }
    void measure(fleet_rate const& capacity, base::instant now);
    /// Work of the kind that is certainly done before that of the job.
    [[nodiscard]] double work_ahead(
        new_job const& job, work_kind kind, base::instant arrived_at) const;
    void remember(new_job const& job, base::instant now);
    /// When the rejected job should come again.
    base::duration next_retry(
        new_job const& job,
        base::duration too_long,
        double cores,
        base::instant now);

    struct sample
    {
        base::instant at{};
        fleet_rate capacity{};
        std::array<double, kinds> rates{}; ///< cores, by completed work
    };

    admission_options options;
    std::vector<waiting_work> backlog{};
    base::instant taken_at{-1'000'000};
    std::array<std::optional<base::instant>, kinds> backlog_since{};
    std::array<double, kinds> completed{}; ///< since the last sample
    base::instant sampled_at{-1'000'000};
    std::deque<sample> samples{}; ///< oldest first
    fleet_rate newest_capacity{};

    std::map<std::string, base::instant> arrivals{}; ///< of rejected jobs
    std::deque<std::pair<base::instant, std::string>> arrival_order{};
    base::instant promised_until{-1'000'000}; ///< to rejected jobs
    std::size_t rejected_jobs = 0;
    std::size_t returned_jobs = 0;
};

} // namespace foxtaillift::jobs
