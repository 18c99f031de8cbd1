/// In which order jobs get processors while these are too few for all.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace foxtaillift::jobs
{

/// Three times its objective a job earns nothing more.
constexpr std::int64_t worthless_factor = 3;

/// What a job can still earn.
enum class prospect
{
    in_time,   ///< within its objective
    late,      ///< within worthless_factor times its objective
    worthless, ///< not even that
};

std::string_view to_string(prospect value);

/// Where a job is in its time.
struct job_timing
{
    base::duration age{};
    base::duration objective{};
    base::duration chain_left{}; ///< longest chain of work that is not done
};

/// A job that cannot be in time on idle workers counts as late at once. Chains
/// are estimates, and the objective grows with the work that a job turns out
/// to have, so that a job with little too little time left is still in time.
/// The order uses this in an overload only; else a job is late once its time is
/// over.
prospect prospect_of(job_timing const& timing);

/// Groups of jobs of one priority, in the order in which they are served.
enum class dispatch_class
{
    in_time,
    lasting,        ///< would keep what they get
    displaced,      ///< make room for in-time jobs that are worth more
    late,           ///< earn less
    late_displaced, ///< make room for late jobs that are worth more
    worthless,
};

std::string_view to_string(dispatch_class value);

/// Jobs of one kind (queue) that may still earn something.
struct kind_load
{
    std::size_t jobs = 0;
    double work = 0; ///< of all of them [core-ms], done or not
};

/// Processors for which jobs compete.
struct dispatch_pool
{
    double processors = 0;     ///< cores; 0: unknown, then nothing is displaced
    double committed_work = 0; ///< of runs of other jobs [core-ms]
};

struct dispatch_candidate
{
    std::int64_t priority = 0; ///< 0 first
    bool is_lasting = false;
    job_timing timing{};
    double work = 0;         ///< in all [core-ms]
    double work_left = 0;    ///< [core-ms]
    std::size_t kind = 0;    ///< index into the kinds
    std::size_t pool = 0;    ///< index into the pools
    std::string_view name{}; ///< for ties, and to draw jobs of some size
};

struct dispatch_entry
{
    std::size_t candidate = 0; ///< index into the candidates
    dispatch_class group = dispatch_class::in_time;
    std::size_t jobs_ahead = 0; ///< in its pool
    double work_ahead = 0;      ///< in its pool, with committed work [core-ms]
};

/// Orders jobs by priority and dispatch_class, and those of one class by their
/// deadlines. As long as a pool can do its work in time, that is all. If not,
/// in-time jobs that are worth least by core-second that they still need are
/// displaced until the others can be in time, and late ones likewise. Keeps
/// nothing between calls but memory. O(n log n).
class dispatch_order
{
public:
    /// The indices of all candidates have to be valid.
    void arrange(
        std::span<dispatch_candidate const> candidates,
        std::span<kind_load const> kinds,
        std::span<dispatch_pool const> pools);

    /// By the last call of arrange(), first to be served first.
    [[nodiscard]] std::span<dispatch_entry const> entries() const
    {
        return this->order;
    }

private:
    /// A job that may be displaced, or one that is compared with others.
    struct rated_job
    {
        double rate = 0; ///< worth by core-ms
        std::int64_t left_ms = 0;
        std::size_t entry = 0;
    };
    /// Total work of a job, among those of its kind and class.
    struct sized_job
    {
        dispatch_class group{};
        std::size_t kind = 0;
        double work = 0;

        auto operator<=>(sized_job const&) const = default;
    };
    struct pool_state
    {
        bool is_overloaded = false;
        base::duration longest{}; ///< time that a job of the segment has
        double ahead = 0;         ///< work of what goes before
        std::size_t jobs = 0;     ///< that go before
        double moved = 0; ///< work that was displaced from the current segment
        std::vector<rated_job> kept{}; ///< a heap, the least rate in front
    };

    /// Tells which pools have more work than they can do in time.
    void find_overload();
    /// Where there is overload, jobs whose chains do not fit count as late.
    /// False if there is none.
    bool judge_chains();
    void sort();
    void reset_pools(std::span<dispatch_pool const> pools);
    /// False if some job has to be displaced.
    [[nodiscard]] bool is_all_served();
    void rate(std::span<kind_load const> kinds);
    [[nodiscard]] double rate_of(
        dispatch_candidate const& job,
        dispatch_class group,
        kind_load const& kind) const;
    void displace();
    /// Jobs of one priority and class are a segment of the order.
    [[nodiscard]] std::size_t end_of_segment(std::size_t first) const;
    void displace_segment(std::size_t first, std::size_t last);
    void note_work_ahead();
    [[nodiscard]] bool is_served(
        dispatch_candidate const& job,
        dispatch_class group,
        double work_ahead) const;
    [[nodiscard]] bool
    is_first_displaced(rated_job const& a, rated_job const& b) const;
    [[nodiscard]] dispatch_candidate const&
    job_of(dispatch_entry const& entry) const
    {
        return this->jobs[entry.candidate];
    }

    std::span<dispatch_candidate const> jobs{}; ///< during a call
    std::span<dispatch_pool const> pools{};     ///< during a call
    std::vector<dispatch_entry> order{};
    std::vector<double> rates{}; ///< by candidate; all 0 if not needed
    std::vector<sized_job> sizes{};
    std::vector<pool_state> states{};
};

} // namespace foxtaillift::jobs
