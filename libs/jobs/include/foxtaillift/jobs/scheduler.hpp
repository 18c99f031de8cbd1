/// Decides which task runs where, from the start of one leadership to its end.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/event_line.hpp"
#include "foxtaillift/jobs/job.hpp"
#include "foxtaillift/jobs/progress.hpp"
#include "foxtaillift/jobs/worker.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::jobs
{

struct scheduler_options
{
    std::int64_t token = 1; ///< fencing token of this leadership
    /// Lease that runs get; below the platform's longest, which shortens any
    /// longer one.
    base::duration lease = base::milliseconds(5500);
    /// The platform's longest lease: of an earlier leader of which nothing
    /// else is known, and of a worker that was born again.
    base::duration longest_lease = base::milliseconds(6000);
    base::duration stop_timeout = base::milliseconds(900);
    /// How long a look waits for an end when nothing else is due. While its
    /// answer is lost, the worker is not heard for this long.
    base::duration look_wait = base::milliseconds(1000);
    /// Memory that all jobs may take for new ones to be accepted, by estimate
    /// [bytes]; 0: any.
    std::size_t job_memory = 0;
    /// One line for each decision; may be empty.
    std::function<void(base::event_line const&)> log{};
};

/// What has to be durable before ends are acknowledged to workers.
struct commit_batch
{
    /// The removal of a job writes its state and removes its rows.
    static constexpr std::size_t rows_of_removal = 4;

    struct item
    {
        std::string job{};
        job_progress progress{};
        /// The job is over and nothing of it runs: its rows can go, but for
        /// its state.
        bool is_removal = false;
    };
    std::vector<item> items{};
    /// Ends of one life of a worker that become durable.
    struct durable_ends
    {
        std::size_t worker = 0;
        std::int64_t born_ms = 0;
        std::int64_t number = 0; ///< the highest
    };
    std::vector<durable_ends> ends{};

    [[nodiscard]] bool empty() const { return this->items.empty(); }
};

/// Room and work of the fleet at a moment, for logs and metrics.
struct fleet_load
{
    std::size_t workers = 0;               ///< known
    std::size_t usable_workers = 0;        ///< get new tasks
    std::size_t barred_workers = 0;        ///< left out since runs failed there
    std::size_t fenced_workers = 0;        ///< that obey another holder
    std::size_t evacuated_workers = 0;     ///< in evacuated failure domains
    std::size_t lasting_waiting = 0;       ///< lasting tasks without a run
    base::duration longest_lasting_wait{}; ///< of these
    resources capacity{};                  ///< of the usable ones
    resources used{};                    ///< there; without filling processors
    std::int64_t serving_processors = 0; ///< reserved by serving tasks
    std::int64_t filling_processors = 0; ///< asked for by filling tasks
    // By the last reports:
    std::int64_t serving_used = 0;  ///< by serving tasks, from their tails
    std::int64_t filling_paced = 0; ///< that filling tasks may use
    std::int64_t filling_used = 0;  ///< that they used
    std::size_t exceeding_runs = 0; ///< serving ones over their target
    struct queue_load
    {
        std::size_t jobs = 0;          ///< not over
        std::size_t running_tasks = 0; ///< present on workers, or possibly
        std::size_t waiting_tasks = 0; ///< their turn has come
        // Of the jobs, without lasting and timed ones; see dispatch_order.hpp.
        std::size_t in_time = 0;   ///< can end within their objectives
        std::size_t late = 0;      ///< only within three times these
        std::size_t worthless = 0; ///< not even that
    };
    std::map<std::string, queue_load> queues{}; ///< by name
    std::size_t job_memory = 0; ///< of all jobs, by estimate [bytes]
};

/// Whether a new job can still be worth anything to its caller, and what the
/// prediction rests on.
struct admission_verdict
{
    bool is_rejected = false;
    bool is_returned = false; ///< it was rejected before
    /// If rejected: when there is capacity for it; a second at least.
    base::duration retry_after{};
    base::duration predicted{}; ///< until its end, at least
    base::duration limit{};     ///< after which it is worth nothing
    double work_ahead_ms = 0;   ///< of one core
    double processors = 0;      ///< cores that the fleet works with, at most
};

/// Admission to the workers of one service, of tasks of one kind.
struct admission_load
{
    std::string service{};
    std::string kind{};          ///< "ordinary" or "filling"
    bool is_overloaded = false;  ///< more waits than the fleet completes
    base::duration overloaded{}; ///< for this long
    double waiting_ms = 0;       ///< work that has not begun, of one core
    double processors = 0;       ///< cores that the fleet works with, at most
    std::size_t rejected = 0;    ///< jobs of the service, since the takeover
    std::size_t returned = 0;    ///< of them, that came again
};

/// The decisions of a leader. Does no I/O: events go in, orders for workers and
/// records for the store come out. Time is an argument; it must count while the
/// host is suspended. Not thread-safe.
///
/// A run is taken as present from the moment its start is ordered until the
/// worker reports its end, reports that it never came, or its lease has
/// certainly run out. So a task never runs twice and no worker gets more than
/// it has room for.
class scheduler
{
public:
    explicit scheduler(scheduler_options options);
    scheduler(scheduler const&) = delete;
    scheduler& operator=(scheduler const&) = delete;
    ~scheduler();

    // Commands

    void set_queues(std::vector<queue> queues);

    /// The platform lists the worker, or changed its entry.
    void list_worker(worker_info const& worker, base::instant now);
    /// A worker that an earlier leader used and the platform may not list.
    void recall_worker(worker_info const& worker, base::instant now);
    void unlist_worker(std::string_view worker, base::instant now);

    /// From now on nothing starts on workers of this failure domain, or it does
    /// again. What runs there stays and keeps its leases. While any domain is
    /// evacuated, nothing starts on workers whose domain is not known.
    void set_evacuated(
        std::string_view failure_domain, bool is_evacuated, base::instant now);

    /// Closes the workers that do not answer or leave: nothing starts there any
    /// more, and leases of those that do not answer do not grow. Returns what
    /// may run there, for the next record; a successor then needs no answer of
    /// theirs to start all other tasks.
    std::vector<closed_worker> close_workers(base::instant now);
    /// A record is durable. Workers that it leaves out and that answer get
    /// tasks again.
    void on_closed_recorded(std::span<closed_worker const> record);
    /// What an earlier leader recorded last, at least `age` ago, once its
    /// workers were recalled.
    void take_closed(
        std::span<closed_worker const> record,
        base::instant now,
        base::duration age = {});

    /// The longest lease that any worker may hold from earlier leaders; call it
    /// before take_closed(). Without it that is the platform's longest.
    void take_longest_lease(base::duration recorded);
    /// The last earlier leader has resigned, at this time or before, and told
    /// that every lease ends within `left` from then; see leases_left(). Call
    /// it before take_closed().
    void take_resignation(base::instant resigned_at, base::duration left);

    /// Call once after the workers and jobs of an earlier leader were added.
    /// Tasks of these jobs start only when each worker has reported, or when
    /// every lease that the earlier leader can have given has run out.
    void begin_recovery(base::instant now);

    /// What an earlier leader had learned of the workloads; see learned().
    /// Throws base::error (corrupt_data).
    void take_learned(std::string_view text);

    /// Adds an accepted job, with its progress if it had any.
    void add_job(
        job_spec job, std::optional<job_progress> progress, base::instant now);
    /// All jobs were added whose rows were stored before this time. Until it
    /// is told, the row of a job may still come that an earlier leader knew.
    void on_jobs_read(base::instant stored_before);
    /// A job that is over and whose rows are gone, but for its state.
    void add_ended(std::string job, job_state state);
    /// Decides on a job that is not known yet. Jobs that last, that are timed
    /// or that have tasks without an estimate are never rejected.
    admission_verdict decide_admission(job_spec const& job, base::instant now);
    /// Does nothing if the job is unknown or over.
    void cancel_job(std::string_view job, base::instant now);

    /// The store has confirmed the leadership, as it was asked at this time.
    void on_confirmed(base::instant asked_at);

    /// `is_extra`: the answer to an order that was marked so.
    void on_look(
        std::string_view worker,
        order_status status,
        worker_report const& report,
        base::instant sent_at,
        base::instant now,
        bool is_extra = false);
    void on_start(
        std::string_view worker,
        run_name const& run,
        order_status status,
        base::instant now);
    void on_stop(
        std::string_view worker,
        run_name const& run,
        order_status status,
        base::instant now);

    void on_pace(
        std::string_view worker,
        run_name const& run,
        order_status status,
        base::instant now);

    /// Nothing if the adviser gave no usable answer.
    void on_advice(
        advice_order const& asked,
        std::optional<advice> const& answer,
        base::instant now);

    /// Returns the orders that are due. `may_grant` is false while the
    /// leadership is in doubt: then nothing starts and no lease grows.
    /// `wall_ms` is the time of day, for timed jobs.
    std::vector<worker_order>
    take_orders(base::instant now, std::int64_t wall_ms, bool may_grant);

    /// Returns what is to be written, with at most `row_limit` rows changed;
    /// empty if nothing is. One batch is out at a time.
    commit_batch take_commit(std::size_t row_limit);
    void on_committed(commit_batch const& batch);
    void on_commit_failed(commit_batch const& batch);

    // Queries

    /// The job was added and its rows are not removed yet.
    [[nodiscard]] bool is_present(std::string_view job) const;
    /// The durable state, or nothing if the job is unknown here.
    [[nodiscard]] std::optional<job_state> state_of(std::string_view job) const;
    /// Accepted jobs of a queue, without timed ones, of which nothing started.
    /// Those of a queue that the configuration does not name any more count for
    /// the one that has its address now.
    [[nodiscard]] std::size_t pending(std::string_view queue) const;
    /// True if more than half of the workers have answered a look that was
    /// sent at `since` or later. Workers that left the list a short time ago
    /// count: their entries may only be missing.
    [[nodiscard]] bool
    is_majority_heard(base::instant since, base::instant now) const;
    [[nodiscard]] bool is_recovered(base::instant now) const;
    /// The longest lease that a worker may hold from this leader or, until
    /// their leases are over, from earlier ones.
    [[nodiscard]] base::duration longest_lease_held(base::instant now) const;
    /// Within which every lease ends, of this leader and of earlier ones, if it
    /// grants none from now on. Nothing: an earlier leader may still grant.
    [[nodiscard]] std::optional<base::duration>
    leases_left(base::instant now) const;
    /// Workers on which something may run or start; valid until the next
    /// command.
    [[nodiscard]] std::vector<worker_info const*>
    workers_in_use(base::instant now) const;
    /// When a worker refused an order since it knows a higher token, unless the
    /// leadership was confirmed later. Another host may have taken over, so
    /// that nothing may be granted, or the worker obeys a holder of its own; it
    /// is set aside in both cases, and its next refusals do not count.
    [[nodiscard]] std::optional<base::instant> fenced_at() const;
    /// What a successor need not learn anew, for take_learned().
    [[nodiscard]] std::string learned() const;
    [[nodiscard]] std::size_t running_count() const;
    [[nodiscard]] fleet_load load(base::instant now) const;
    [[nodiscard]] std::size_t job_count() const;
    /// Another job, with this much of memory at most [bytes], may be accepted.
    /// Scheduled jobs, which stay for long, leave half of it to others.
    [[nodiscard]] bool
    has_memory_for(std::size_t size, bool is_scheduled) const;
    /// Services and kinds of tasks that submissions were decided for lately.
    [[nodiscard]] std::vector<admission_load>
    admission(base::instant now) const;
    /// Jobs that were rejected since the takeover, by queue.
    [[nodiscard]] std::map<std::string, std::size_t> const& rejections() const;
    /// Starts and paces are usually answered after this long.
    [[nodiscard]] base::duration usual_answer_time() const;

    class implementation;
    /// For views.hpp.
    [[nodiscard]] implementation const& inside() const { return *this->impl; }

private:
    std::unique_ptr<implementation> impl;
};

} // namespace foxtaillift::jobs
