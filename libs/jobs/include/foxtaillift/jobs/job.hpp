/// Jobs: what callers submit and what the scheduler places on workers.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::jobs
{

/// An amount of a worker's resources.
struct resources
{
    std::int64_t processors = 0; ///< thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(resources const&) const = default;

    resources& operator+=(resources const& other);
    resources& operator-=(resources const& other);

    /// True if every amount is at most that of `room`.
    [[nodiscard]] bool fits_in(resources const& room) const;
};

/// A group of equal tasks of a job.
struct step
{
    std::uint32_t count = 0;   ///< tasks
    resources need{};          ///< of each task
    base::duration estimate{}; ///< rough run time of a task; 0 if unknown
    std::vector<std::uint32_t> depends_on{}; ///< earlier steps, by number
    bool is_gang = false;                    ///< tasks run only together
    bool is_rack_bound = false;              ///< slower if its tasks span racks
    bool has_checkpoints = false;
    bool may_race = false;   ///< copies of a task may run in parallel
    bool is_lasting = false; ///< runs until the job is cancelled
    bool is_filling = false; ///< its processors are not counted; it gets what
                             ///< other tasks leave unused
    std::string required_label{};       ///< of the worker; empty: any worker
    std::string preferred_rack{};       ///< where its data is; empty: anywhere
    std::uint32_t tasks_per_worker = 0; ///< at most; 0: no limit
    std::string image{};                ///< tasks of one image behave alike
    std::int64_t tail_target_ms = 0;    ///< of a serving task; 0: none
    /// Tasks that the system may make unavailable at the same time; without a
    /// value there is no limit.
    std::optional<std::uint32_t> max_unavailable{};
};

/// A service outside that knows which workers may run a step, and the time that
/// its answers take.
struct adviser_terms
{
    base::duration decision{};  ///< of a call
    base::duration by_worker{}; ///< more for each worker that is asked about
    base::duration validity{};  ///< of a ticket
};

/// A queue of jobs, from the fleet configuration.
struct queue
{
    std::string name{};
    /// Host name and path prefix at which callers find it, "host/prefix/".
    std::string address{};
    std::string service{};          ///< whose workers run its tasks
    std::int64_t priority = 0;      ///< 0 is served first
    std::uint32_t max_attempts = 1; ///< failed runs until a job fails
    double target_factor = 1;       ///< of the longest chain of work
    base::duration target_latency{};
    /// Starts need a ticket of this service; without a value they need none.
    std::optional<adviser_terms> adviser{};
};

/// Latest time of day that a job can name, the end of the year 9999 [ms since
/// 1970], and the longest interval [ms], some 31 years.
constexpr std::int64_t latest_time_ms = 253'402'300'799'999;
constexpr std::int64_t longest_interval_ms = 1'000'000'000'000;

struct job_spec
{
    std::string id{};
    std::string queue{}; ///< name of the queue that took it
    /// The queue as it was then. A configuration may drop it or give it another
    /// name; its jobs are still owed, on these terms.
    std::optional<jobs::queue> terms{};
    std::string payload{}; ///< opaque text that every start carries
    std::vector<step> steps{};
    std::uint32_t repeats = 0;           ///< occurrences; 0: runs once, untimed
    std::int64_t first_due_ms = 0;       ///< since 1970, up to latest_time_ms
    std::int64_t repeat_interval_ms = 0; ///< up to longest_interval_ms

    [[nodiscard]] std::uint32_t occurrences() const
    {
        return this->repeats == 0 ? 1 : this->repeats;
    }
};

/// Throws base::error (invalid_argument) naming the first problem: no steps, an
/// empty step, a dependency that is not an earlier step, a negative amount.
void check(job_spec const& job);

/// Memory that a leader needs for a job that has not begun, by estimate
/// [bytes]. What runs of it takes more.
[[nodiscard]] std::size_t memory_of(job_spec const& job);

/// Names one task of a job.
struct task_name
{
    std::string job{};
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(task_name const&) const = default;
};

/// Names one step of one occurrence of a job.
struct step_name
{
    std::string job{};
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    auto operator<=>(step_name const&) const = default;
};

/// One start of a task. Attempts of a task are numbered from 1 and only grow.
struct run_name
{
    task_name task{};
    std::uint32_t attempt = 0;

    auto operator<=>(run_name const&) const = default;
};

/// "job.occurrence.step.index", for logs and for the wire.
std::string to_string(task_name const& task);

/// "job.occurrence.step", for logs and for the wire.
std::string to_string(step_name const& step);

/// Returns nothing if the text has another form.
std::optional<task_name> parse_task_name(std::string_view text);

enum class job_state
{
    queued,
    running,
    completed,
    failed,
    cancelled,
};

std::string_view to_string(job_state state);

/// Nothing if the text names no state.
std::optional<job_state> parse_job_state(std::string_view text);

constexpr bool is_final(job_state state)
{
    return state != job_state::queued && state != job_state::running;
}

} // namespace foxtaillift::jobs
