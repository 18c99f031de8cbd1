/// The parts of the scheduler share this state; each part has a source of its
/// own: jobs, worker reports, pacing, placing, orders.
#pragma once

#include "foxtaillift/jobs/interference.hpp"
#include "foxtaillift/jobs/scheduler.hpp"

#include "admission_control.hpp"
#include "answer_time.hpp"
#include "dispatch_order.hpp"
#include "filling_mix.hpp"
#include "job_table.hpp"
#include "placement.hpp"
#include "worker_table.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace foxtaillift::jobs
{

/// Time within which a deposed leader has certainly stopped granting leases: it
/// grants only while a majority of workers accepted its token within this span.
constexpr base::duration majority_window = base::milliseconds(2500);

/// Added to every wait for the end of a lease: timer lag and the time in which
/// a worker kills what lapsed.
constexpr base::duration lapse_margin = base::milliseconds(250);

/// The time within which a span on a worker's clock, which may be 2% slow, is
/// certainly over.
base::duration on_slow_clock(base::duration span);

/// The row of a job that a former leader started may be read this much later
/// than the reports of its runs: a slow store holds the change back. Later
/// still if the store does not answer; see scheduler::on_jobs_read().
constexpr base::duration unknown_job_grace = base::milliseconds(2000);

/// Finds texts without a copy.
struct text_hash
{
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>{}(text);
    }
};

template <class Value>
using text_map =
    std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

/// A run of a job that is not known yet.
struct orphan_run
{
    std::size_t worker = 0;
    run_name run{};
    base::instant seen_at{};
    int percent = 0;
};

/// A task by its job and position; false if there is none of that name.
struct task_place
{
    job_entry* job = nullptr;
    std::size_t ordinal = 0;

    explicit operator bool() const { return this->job != nullptr; }
};

/// A task for which no worker was found; others that need as much or more are
/// not tried for a while.
struct unplaceable
{
    std::string service{};
    image_number image = 0;
    bool is_filling = false;
    bool is_serving = false;
    double least_speed = 0;
    resources need{};
    base::instant until{}; ///< when it is tried again
};

/// A search for the worker of a task.
struct task_search
{
    step const* wanted = nullptr;
    image_number image = 0; ///< of the step
    /// Runs of the same step, by worker.
    std::map<std::size_t, std::size_t> const& own_runs;
    std::string_view own_rack{}; ///< of the step's other tasks; may be empty
    std::optional<std::size_t> avoided{}; ///< where the task failed
    double least_speed = 0; ///< of a filling task; see least_speed_after()
    step_advice const* advice = nullptr; ///< where the queue has an adviser
};

/// A worker that may get tasks in the current run of the decisions.
struct vacancy
{
    std::size_t worker = 0;
    resources room{}; ///< that no run takes; filling ones take no processors
};

struct candidate
{
    std::optional<std::size_t> worker{};
    obstacle_counts obstacles{}; ///< of the workers that were looked at
};

/// Workers that suit the tasks of one step, from one search. The tasks of a
/// step differ in nothing but the workers that they avoid, so that a start
/// changes the cost of its own worker only.
struct ranked_workers
{
    struct entry
    {
        double cost = 0;
        std::size_t worker = 0;
    };
    std::vector<entry> entries{}; ///< a heap, the lowest cost in front
    obstacle_counts obstacles{};  ///< of the workers that were looked at
};

/// A start on this life of the worker may carry a ticket.
bool has_ticket(
    step_advice const& advice,
    std::size_t worker,
    std::int64_t born_ms,
    base::instant now);

/// The part of its speed below which a filling task goes on waiting.
double least_speed_after(base::duration waited);

/// A run as its worker reports it, of a job that is known.
struct located_run
{
    reported_run const* reported = nullptr;
    occupancy* taken = nullptr;
    run_entry* entry = nullptr;
};

/// What a worker reports of a serving task at work.
struct serving_reading
{
    run_name const* run = nullptr;
    occupancy const* taken = nullptr;
    headroom_track* headroom = nullptr; ///< of its step
    double tail_over_target = 0;
};

/// The orders to stop a run.
struct stop_orders
{
    base::instant sent_at{-1'000'000}; ///< the last one
    int sent = 0;
};
using stop_table = std::map<std::pair<std::size_t, run_name>, stop_orders>;

/// A start or a pace of which the answer is awaited.
struct awaited_order
{
    std::size_t worker = 0;
    run_name run{};
    base::instant sent_at{};
    bool is_start = false;
};

/// Counts the runs of a step by worker; `first` is the ordinal of its first
/// task.
std::map<std::size_t, std::size_t>
runs_by_worker(job_entry const& job, std::size_t first, std::size_t count);

/// Jobs that may start or race, with what they compete for.
struct dispatch_input
{
    std::vector<dispatch_candidate> candidates{};
    std::vector<job_entry*> jobs{}; ///< of the candidates
    std::vector<kind_load> kinds{};
    std::vector<dispatch_pool> pools{};
    std::vector<double> pool_needs{}; ///< see find_room()
    std::vector<double> pool_works{}; ///< of the candidates [core-ms]
    std::unordered_map<queue const*, std::size_t> kind_numbers{};
    /// Of the ordinary tasks of a service; filling ones have the next number.
    std::map<std::string_view, std::size_t> pool_numbers{};
};

class scheduler::implementation
{
public:
    explicit implementation(scheduler_options settings);

    // Jobs (scheduler_jobs.cpp)
    void set_queues(std::vector<queue> list);
    void add_job(
        job_spec spec, std::optional<job_progress> progress, base::instant now);
    void keep_ended(std::string id, job_state state);
    void cancel_job(std::string_view id, base::instant now);
    commit_batch take_commit(std::size_t row_limit);
    void on_committed(commit_batch const& batch);
    void on_commit_failed(commit_batch const& batch);

    // Reports of workers (scheduler_reports.cpp)
    void note_fenced(std::size_t index, base::instant now);
    void on_look(
        std::size_t worker,
        order_status status,
        worker_report const& report,
        base::instant sent_at,
        base::instant now,
        bool is_extra);
    void on_start(
        std::size_t worker,
        run_name const& run,
        order_status status,
        base::instant now);
    void on_stop(
        std::size_t worker,
        run_name const& run,
        order_status status,
        base::instant now);
    void on_pace(
        std::size_t worker,
        run_name const& run,
        order_status status,
        base::instant now);

    // Orders (scheduler_orders.cpp)
    std::vector<worker_order>
    take_orders(base::instant now, std::int64_t wall_ms, bool may_grant);
    [[nodiscard]] bool
    is_majority_heard(base::instant since, base::instant now) const;
    void update_majority(base::instant now);
    [[nodiscard]] std::optional<base::instant> earlier_leases_end() const;
    [[nodiscard]] bool are_earlier_leases_over(base::instant now) const;
    [[nodiscard]] base::duration longest_lease_held(base::instant now) const;
    [[nodiscard]] std::optional<base::duration>
    leases_left(base::instant now) const;
    bool update_recovery(base::instant now);

    // Advisers (scheduler_advice.cpp)
    void on_advice(
        advice_order const& asked,
        std::optional<advice> const& answer,
        base::instant now);

    // Evacuated failure domains (scheduler_evacuation.cpp)
    void set_evacuated(
        std::string_view failure_domain, bool is_evacuated, base::instant now);
    /// Call whenever the failure domain of a worker may have changed.
    void update_evacuated(worker_entry& worker) const;

    // Admission of new jobs (scheduler_admission.cpp)
    admission_verdict decide_admission(job_spec const& spec, base::instant now);
    [[nodiscard]] std::vector<admission_load>
    admission(base::instant now) const;
    /// Call when a task of the step is done.
    void note_work_done(job_entry const& job, step const& done);
    /// A job that was rejected before goes before new ones of its queue.
    void prefer_returned(job_entry& job) const;

    // Closed workers (scheduler_closing.cpp)
    std::vector<closed_worker> close_workers(base::instant now);
    void on_closed_recorded(std::span<closed_worker const> record);
    void take_closed(
        std::span<closed_worker const> record,
        base::instant now,
        base::duration age);

    // Shared
    job_entry* find_job(std::string_view id);
    job_entry const* find_job(std::string_view id) const;
    task_place find_task(task_name const& task);
    run_entry* find_run(std::size_t worker, run_name const& run);
    /// Null if the job is not known. Valid until a run of the task begins or
    /// ends.
    static run_entry*
    find_run(std::size_t worker, run_name const& run, occupancy const& taken);
    void mark_dirty(job_entry& job);
    /// The rows of the job can go, but for its state.
    [[nodiscard]] bool is_removable(job_entry const& job) const;
    void open_run(
        job_entry& job, std::size_t ordinal, run_entry run, base::instant now);
    /// Forgets a run that is certainly not present any more.
    void close_run(
        job_entry& job,
        std::size_t ordinal,
        std::size_t worker,
        std::uint32_t attempt,
        run_release reason);
    void stop_run(std::size_t worker, run_name const& run);
    void stop_all(job_entry& job);
    void end_job(job_entry& job, job_state state, std::string_view reason);
    void lose_runs(std::size_t worker, run_release reason, base::instant now);
    void forget_orphan(std::size_t worker, run_name const& run);
    void forget_job(job_entry& job);
    /// Call after entries of the job were added or removed.
    void update_memory(job_entry& job);
    /// Takes over the runs of a job that were reported before its row.
    void adopt_orphans(job_entry& job, base::instant now);
    [[nodiscard]] occupancy occupancy_of(step const& step);
    /// Adds the job's lasting tasks that have no run.
    void add_lasting_waits(
        fleet_load& load, job_entry const& job, base::instant now) const;
    void log(base::event_line const& line) const;
    /// By the configuration, or by the job's own terms if that does not name
    /// its queue; null if neither is known.
    [[nodiscard]] queue const* queue_of(job_entry const& job) const;
    /// Nothing for lasting and timed jobs, and without a queue.
    [[nodiscard]] std::optional<prospect>
    prospect_of_job(job_entry const& job, base::instant now) const;
    /// Callers who ask for the queue of this name mean this job, too.
    [[nodiscard]] bool
    is_asked_for(job_entry const& job, std::string_view queue) const;
    /// An entry that vanished from the platform's list may return: until then
    /// the worker may be used for a while.
    [[nodiscard]] static bool
    may_start_unlisted(worker_entry const& worker, base::instant now);
    /// Something runs there or may start there.
    [[nodiscard]] bool
    is_in_use(worker_entry const& worker, base::instant now) const;
    /// New tasks could start there if its failure domain were not evacuated.
    [[nodiscard]] static bool
    is_sound(worker_entry const& worker, base::instant now);
    /// New tasks may start there, by all that is known of the worker.
    [[nodiscard]] static bool
    is_usable(worker_entry const& worker, base::instant now);
    /// Adds the ends all of whose jobs are durable with the batch.
    void add_durable_ends(commit_batch& batch);
    static void acknowledge(worker_entry& worker, std::int64_t number);

    scheduler_options options;
    base::duration inherited_lease; ///< the longest of earlier leaders
    std::map<std::string, queue, std::less<>> queues;
    bool is_configured = false; ///< `queues` are known
    std::size_t job_memory = 0; ///< of all jobs, see job_entry::bytes()
    text_map<std::unique_ptr<job_entry>> jobs;
    /// States of jobs whose rows are gone, oldest first in `ended_order`.
    text_map<job_state> ended;
    std::deque<std::string> ended_order;
    worker_table workers;
    interference_model interference;
    filling_mix mix;
    dispatch_order dispatch;
    dispatch_input dispatch_from; ///< of the current run; keeps its memory
    std::vector<unplaceable> unplaced;
    std::size_t starts_left = 0;    ///< in the current run
    std::size_t next_candidate = 0; ///< where the next search begins
    /// By service; made at the start of each run, since a search looks at all
    /// of them and most have no room.
    std::map<std::string, std::vector<vacancy>, std::less<>> vacancies;
    std::size_t evacuated_vacancies = 0; ///< sound workers that are left out
    /// Failure domains in which nothing starts, and since when.
    std::map<std::string, base::instant, std::less<>> evacuated{};
    std::vector<std::size_t> kept{};    ///< workers that keep room
    std::size_t keep_searches_left = 0; ///< in the current run
    bool is_placing_starving = false;   ///< other tasks are passed over
    base::instant searched_at{};        ///< when the vacancies were found
    base::instant placed_at{};          ///< when the last run began
    std::int64_t wall_ahead_ms = 0;     ///< time of day less the clock, then
    std::size_t advice_calls = 0;       ///< that are out
    base::instant relocated_at{-1'000'000};
    std::size_t next_relocated = 0;    ///< worker that is regarded first
    std::size_t relocations_left = 0;  ///< searches in the current run
    base::instant left_at{-1'000'000}; ///< last search for runs that must leave
    stop_table stops;                  ///< wanted, not yet over
    std::deque<awaited_order> awaited; ///< oldest first
    answer_time answers;               ///< of starts and paces
    base::instant extra_looks_since{-1'000'000}; ///< their time is left
    std::int64_t extra_looks_left = 0;           ///< in the current run
    std::size_t first_looked = 0;             ///< worker that is regarded first
    base::instant answer_lost_at{-1'000'000}; ///< the last one
    base::instant answers_lost_until{-1'000'000}; ///< more are to be expected
    std::map<std::string, std::vector<orphan_run>> orphans; ///< by job
    std::vector<std::string> dirty;
    base::instant wait_lines_since{-1'000'000};
    std::size_t wait_lines_left = 0;
    bool is_commit_out = false;
    /// When a worker last refused an order for a higher token, unless the
    /// leadership was confirmed later.
    std::optional<base::instant> fenced_at{};

    bool is_recovered = true;
    std::optional<base::instant> recovery_began{};
    std::optional<base::instant> majority_at{};
    /// When the leases of earlier leaders are over, if the last one resigned.
    std::optional<base::instant> resigned_leases_end{};
    /// The rows of all jobs that were stored before are known.
    base::instant jobs_read{-1'000'000};

    /// By service; made when its first job is submitted.
    std::map<std::string, admission_control, std::less<>> admissions{};
    std::map<std::string, std::size_t> rejections{}; ///< by queue

private:
    // scheduler_admission.cpp
    [[nodiscard]] std::vector<waiting_work>
    waiting_work_of(std::string_view service, base::instant now) const;
    [[nodiscard]] fleet_rate
    capacity_of(std::string_view service, base::instant now) const;
    /// Every listed worker of the service has reported to this leader.
    [[nodiscard]] bool are_all_heard(std::string_view service) const;

    // scheduler_jobs.cpp
    /// Queues of unfinished jobs that the configuration does not name.
    void log_dropped_queues() const;

    // scheduler_reports.cpp
    void take_report(
        std::size_t worker,
        worker_report const& report,
        base::instant sent_at,
        base::instant now);
    /// Keeps the runs of these ends as present until the ends are read.
    void hold_unread_ends(
        std::size_t worker,
        std::span<reported_end const> ends,
        base::instant now);
    /// False if the end has to be read again later.
    bool is_end_readable(
        std::size_t worker, reported_end const& end, base::instant now);
    /// No row can come any more for a job that a worker named at `seen_at`.
    [[nodiscard]] bool
    is_job_missing(base::instant seen_at, base::instant now) const;
    void on_end(std::size_t worker, reported_end const& end, base::instant now);
    /// Keeps what the end says of a task that is not done.
    void
    note_attempt(job_entry& job, std::size_t ordinal, reported_end const& end);
    void on_done(job_entry& job, std::size_t ordinal, run_name const& run);
    void on_failed(
        job_entry& job,
        std::size_t ordinal,
        std::size_t worker,
        std::uint32_t attempt);
    /// A run of the task that began then failed there, or is stuck.
    void doubt_worker(
        std::size_t worker,
        job_entry const& job,
        std::size_t ordinal,
        std::string_view reason,
        base::instant began_at,
        base::instant now);
    /// Ends the job if the task has failed as often as its queue allows.
    void end_if_exhausted(job_entry& job, std::size_t ordinal);
    /// Returns what the run takes of the worker.
    occupancy* on_running(
        std::size_t worker, reported_run const& reported, base::instant now);
    /// The runs of jobs that are known; valid until a run begins or ends.
    static std::vector<located_run> locate(
        std::size_t worker,
        std::span<reported_run const> running,
        std::span<occupancy* const> taken);
    void
    adopt(std::size_t worker, reported_run const& reported, base::instant now);
    void on_absent(
        std::size_t worker,
        run_name const& run,
        base::instant sent_at,
        base::instant now);
    void check_progress(
        std::size_t worker,
        run_name const& run,
        occupancy const& taken,
        base::instant now);

    // scheduler_pacing.cpp
    void update_pace(
        std::size_t worker,
        std::span<located_run const> running,
        base::instant now);
    void update_served(
        std::size_t worker,
        std::span<located_run const> running,
        std::map<image_number, double> const& shares,
        base::instant now);
    void update_slowness(
        std::size_t worker,
        std::span<serving_reading const> readings,
        std::span<image_use const> uses);

    // scheduler_answers.cpp
    /// Has workers asked about orders whose answers are overdue.
    void check_awaited(base::instant now);
    /// An order to a worker that answers others was not answered.
    void note_lost_answer(std::size_t worker, base::instant now);
    /// The same if the worker has answered a look since the order was sent.
    void note_unanswered(
        std::size_t worker, base::instant sent_at, base::instant now);
    [[nodiscard]] bool are_answers_lost(base::instant now) const;
    /// Call before the looks of a run of the decisions are added.
    void allow_extra_looks(base::instant now);
    /// Returns whether one was due.
    bool add_extra_look(
        std::vector<worker_order>& orders,
        worker_entry& worker,
        base::instant now);

    // scheduler_orders.cpp
    void expire_leases(base::instant now);
    void add_stops(std::vector<worker_order>& orders, base::instant now);
    void add_paces(std::vector<worker_order>& orders, base::instant now);
    void add_pace(
        std::vector<worker_order>& orders,
        std::size_t worker,
        run_name const& run,
        base::instant now);
    /// Of a look at a worker whose filling tasks are slowed down.
    [[nodiscard]] base::duration paced_wait() const;
    void add_looks(
        std::vector<worker_order>& orders, base::instant now, bool may_grant);

    // scheduler_advice.cpp
    /// What the adviser said of the step, or null if the queue has none.
    [[nodiscard]] step_advice const*
    advice_on(job_entry const& job, task_name const& task) const;
    /// Asks about more workers for the step, if it may.
    void ask_adviser(
        job_entry& job,
        task_name const& task,
        std::vector<worker_order>& orders,
        base::instant now);
    /// The best workers with room of which the adviser has said nothing that
    /// still holds.
    [[nodiscard]] std::vector<std::string>
    workers_to_ask(job_entry const& job, task_name const& task);

    // scheduler_draining.cpp
    /// Stops runs that would not end before their worker leaves, so that they
    /// go on elsewhere while their checkpoints can still be read.
    void leave_draining_workers(base::instant now);
    void leave_worker(std::size_t worker, base::instant now);
    /// The run cannot stay until the worker leaves, and may be stopped now.
    [[nodiscard]] bool is_to_leave(
        std::size_t worker,
        run_name const& run,
        occupancy const& taken,
        base::instant now) const;

    // scheduler_relocation.cpp
    /// Stops filling tasks that hardly work where they are, if they would work
    /// elsewhere; they go on there from their checkpoints.
    void relocate_slowed(base::instant now);
    void relocate_from(std::size_t worker, base::instant now);
    [[nodiscard]] bool is_relocatable(
        std::size_t worker,
        run_name const& run,
        run_entry const& entry,
        base::instant now) const;

    // scheduler_search.cpp
    /// Part of the filling work that cannot be done on a worker any more once
    /// the task is there; 0 to 1.
    [[nodiscard]] double lost_versatility(
        worker_entry const& worker,
        step const& wanted,
        image_number image) const;
    void find_vacancies(base::instant now);
    /// Call after runs were added to a worker or removed within a run.
    void update_vacancy(std::size_t worker);
    [[nodiscard]] candidate
    find_worker(job_entry const& job, task_search const& search);
    /// Compares at least `count` workers that have room, if there are as many.
    [[nodiscard]] ranked_workers rank_workers(
        job_entry const& job, task_search const& search, std::size_t count);
    /// Takes the best worker from the list, but not the one to be avoided while
    /// there are others.
    static std::optional<std::size_t> take_best(
        ranked_workers& ranked, std::optional<std::size_t> const& avoided);
    /// Puts a worker that got a task back, with its new cost, if it has room
    /// for one more.
    void rank_again(
        ranked_workers& ranked,
        task_search const& search,
        std::size_t worker) const;
    /// Workers to be compared in one search for so many tasks of the step.
    [[nodiscard]] std::size_t
    sample_of(step const& wanted, std::size_t tasks) const;
    /// What keeps the task from a worker, or what it costs there.
    [[nodiscard]] placement_verdict
    judge(task_search const& search, std::size_t worker) const;

    // scheduler_keeping.cpp
    /// A lasting task that waits for so long that it goes before short ones.
    [[nodiscard]] bool is_starving(
        job_entry const& job, std::size_t ordinal, base::instant now) const;
    [[nodiscard]] bool
    has_starving_task(job_entry const& job, base::instant now) const;
    /// Some workers get no work that would take the room which the starving
    /// tasks of this job wait for; until release_kept_room().
    void keep_room(job_entry& job, base::instant now);
    void release_kept_room();
    /// Sets the worker that keeps room for the task's step, if there is one.
    void choose_kept_worker(
        job_entry& job, task_name const& task, base::instant now);
    /// The worker that is the first to have room for the task, and when.
    [[nodiscard]] std::optional<std::pair<std::size_t, base::duration>>
    first_with_room(
        task_search const& search,
        job_entry const& job,
        base::instant now) const;
    /// Until the short runs that are in its way have ended, by their estimates;
    /// nothing if the worker will not have the room or may not get the task.
    [[nodiscard]] std::optional<base::duration> time_until_room(
        std::size_t worker, task_search const& search, base::instant now) const;

    // scheduler_dispatch.cpp
    /// Sets `dispatch` to the order of the jobs that may start or race.
    void arrange_jobs(base::instant now);
    void add_candidate(
        job_entry& job,
        std::string_view id,
        queue const& queue,
        base::instant now);
    std::size_t pool_of(job_entry const& job, queue const& queue);
    /// Sets the processors for which the jobs of each pool compete.
    void find_room();

    // scheduler_placing.cpp
    void place(
        std::vector<worker_order>& orders,
        base::instant now,
        std::int64_t wall_ms);
    void place_job(
        job_entry& job,
        std::vector<worker_order>& orders,
        base::instant now,
        std::int64_t wall_ms);
    void place_step(
        job_entry& job,
        std::uint32_t occurrence,
        std::uint32_t step,
        std::vector<worker_order>& orders,
        base::instant now);
    void place_gang(
        job_entry& job,
        std::uint32_t occurrence,
        std::uint32_t step,
        std::vector<worker_order>& orders,
        base::instant now);
    /// False if a task that needs no more of anything found no worker.
    [[nodiscard]] bool is_placeable(unplaceable const& wanted) const;
    /// The same for occurrences from this one on, before `end`. Returns the
    /// first one that it has not looked at.
    std::uint32_t place_occurrences(
        job_entry& job,
        std::uint32_t from,
        std::uint32_t end,
        std::vector<worker_order>& orders,
        base::instant now);
    /// The same for one occurrence. Returns whether tasks of it that may start
    /// go on waiting.
    bool place_occurrence(
        job_entry& job,
        std::uint32_t occurrence,
        std::vector<worker_order>& orders,
        base::instant now);
    /// When the step could first start; 0: not yet. A scheduled step that
    /// depends on no other needs no entry for it.
    [[nodiscard]] base::instant
    ready_since(job_entry const& job, std::size_t slot) const;
    /// Since when the task has had no run, as far as this leader knows.
    [[nodiscard]] base::instant
    waiting_since(job_entry const& job, std::size_t ordinal) const;
    /// Adds the room of the service's workers that are usable, and of those
    /// that are barred.
    void add_room(
        base::event_line& line,
        std::string_view service,
        base::instant now) const;
    /// Says why a task got no worker, for a bounded number of jobs.
    void log_wait(
        job_entry& job,
        task_name const& task,
        obstacle_counts const& obstacles,
        base::instant now);
    void set_first_pace(worker_entry& worker, run_name const& run);
    void race_stragglers(
        job_entry& job, std::vector<worker_order>& orders, base::instant now);
    void race(
        job_entry& job,
        std::size_t ordinal,
        std::vector<worker_order>& orders,
        base::instant now);
    void start(
        job_entry& job,
        std::size_t ordinal,
        std::size_t worker,
        std::uint32_t attempt,
        std::vector<worker_order>& orders,
        base::instant now);
};

} // namespace foxtaillift::jobs
