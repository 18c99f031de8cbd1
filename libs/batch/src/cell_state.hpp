/// Implementation of cell_scheduler.
#pragma once

#include "entities.hpp"
#include "interference_model.hpp"
#include "resource_ledger.hpp"
#include "run_time_model.hpp"
#include "task_book.hpp"
#include "team_queues.hpp"

#include "foxtaillift/base/random.hpp"
#include "foxtaillift/batch/cell_query.hpp"
#include "foxtaillift/batch/cell_scheduler.hpp"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace foxtaillift::batch
{

/// Names as dense numbers. At the bound, further names share the last one.
class name_table
{
public:
    std::uint32_t
    number(std::string const& name, std::size_t limit, std::uint64_t& shared);
    [[nodiscard]] std::string const& name(std::uint32_t number) const
    {
        return this->names[number];
    }

private:
    std::unordered_map<std::string, std::uint32_t> numbers;
    std::vector<std::string> names;
};

/// All state that ends with the ownership of the cell.
struct ownership
{
    base::cell_id cell;
    formats::epoch_number epoch = 0;
    cell_phase phase = cell_phase::released;
    base::instant taken;
    bool is_lease_confirmed = true;
    bool is_skip_pending = false;
    std::uint64_t first_request = 0; ///< older answers are stale
    std::uint64_t next_task = 1;

    task_book book;
    std::deque<live_task> tasks;
    std::vector<task_index> unused_tasks;
    std::unordered_map<base::task_id, task_index> task_by_id;
    std::unordered_map<std::string, base::task_id> task_by_key;
    std::unordered_map<run_serial, run> runs;
    std::deque<worker> workers;
    std::vector<worker_index> unused_workers;
    std::unordered_map<base::worker_id, worker_index> worker_by_id;
    resource_ledger ledger;
    team_queues queues;
    std::set<queue_entry> aging; ///< normal tasks by the time they age
    std::set<task_index> impossible;
    std::set<task_index> reserved;
    std::deque<base::task_id> history;
    std::uint64_t next_order = 1;
    std::int64_t long_processors = 0;
    std::uint64_t running = 0;
    std::unordered_map<std::uint64_t, std::uint32_t> rack_load;
    std::unordered_map<std::uint64_t, std::uint32_t> domain_load;
    std::unordered_map<std::uint64_t, sent_command> sent;

    std::deque<pending_record> pending;
    std::vector<pending_record> committing;
    std::uint64_t commit_id = 0; ///< in flight
    bool is_head_committing = false;
    std::vector<std::string> deletes_committing;
    base::instant next_commit;
    bool is_store_down = false;
    std::uint64_t next_sequence = 1;
    std::unordered_map<std::string, std::uint64_t> submitting; ///< id
    std::unordered_map<std::uint64_t, pending_record> reading;

    head_record head;
    std::uint64_t oldest_row = 1;
    std::optional<head_record> snapshot; ///< being written
    base::task_id snapshot_cursor;
    bool has_more_parts = false;
    bool is_part_due = false;
    std::string part_in_flight;
    bool is_head_due = false;
    base::instant next_part;

    bool is_pass_needed = false;
    base::instant next_pass;
    std::int64_t examined = 0; ///< tasks looked at in this pass
    bool has_delayed = false;  ///< tasks wait after a failure
    bool has_list = false;     ///< the platform's list was seen
    bool are_limits_changed = false;
    base::instant next_timer;
    std::unordered_map<std::uint32_t, base::instant> noisy_until; ///< class
    std::unordered_map<std::uint32_t, std::deque<base::instant>> suspicions;
    std::unordered_map<team_index, std::deque<base::instant>> disruptions;
};

class cell_state
{
public:
    explicit cell_state(scheduler_options options);

    void handle(event const& input, base::instant at, std::vector<action>& to);

    // One overload for each event.
    void on(cell_taken const& input);
    void on(log_replayed const& input);
    void on(workers_listed const& input);
    void on(worker_adopted const& input);
    void on(start_answered const& input);
    void on(runs_answered const& input);
    void on(usage_reported const& input);
    void on(task_submitted const& input);
    void on(cancel_requested const& input);
    void on(move_requested const& input);
    void on(inbox_read const& input);
    void on(commit_finished const& input);
    void on(rows_read const& input);
    void on(object_written const& input);
    void on(service_pressure const& input);
    void on(service_load const& input);
    void on(settings_changed const& input);
    void on(lease_changed const& input);
    void on(worker_ordered const& input);
    void on(cell_released const& input);
    void on(tick const& input);

    // recovery.cpp: replay, audits, opening the cell.
    void restore_task(task_record& durable);
    void send_adopt(worker_index index);
    void apply_audit(worker_index index, worker_adopted const& input);
    void audit_entry(worker_index index, formats::run_entry const& entry);
    void adopt_run(
        worker_index index, task_index task, formats::run_entry const& entry);
    void add_orphan(worker_index index, formats::run_entry const& entry);
    void
    acknowledge_unknown(worker_index index, formats::run_entry const& entry);
    void open_if_ready();
    void open();
    void lose_cell(std::string reason);
    void give_up();

    // fleet.cpp: workers, limits, failures of workers.
    worker_index add_worker(base::worker_id const& id);
    void list_worker(formats::worker_entry const& entry);
    void update_limits(worker_index index);
    void update_open(worker_index index);
    void retire_worker(worker_index index);
    /// A run of the task that began then has failed there.
    void
    count_failure(worker_index index, live_task& task, base::instant began_at);
    void exonerate(base::task_id const& task, worker_index except);
    [[nodiscard]] bool is_in_quarantine(worker const& worker) const;
    [[nodiscard]] char const* closed_reason(worker const& worker) const;

    // runs.cpp: the life of a run.
    run& add_run(worker_index index, base::task_id const& name);
    run* find_run(
        worker_index index,
        base::task_id const& task,
        formats::attempt_number attempt);
    run* find_run(run_serial serial);
    void apply_entry(worker_index index, formats::run_entry const& entry);
    void confirm_run(run& value);
    void end_run(run& value, formats::run_entry const& entry, bool is_lost);
    void record_end(run& value, formats::run_entry const& entry, bool is_lost);
    void drop_run(run_serial serial);
    void settle_end(pending_record const& settled);
    void refuse_start(run& value, char const* why);
    void hold_resources(run& value);
    void free_resources(run& value);
    void evict(run& value, end_reason reason, base::duration patience);
    void send_stop(run& value, end_reason reason);
    void send_start(run& value);
    void send_runs(
        runs_verb verb,
        worker_index index,
        std::vector<run_serial> const& serials);
    void request_due(sent_command const& command);
    void note_loads(worker_index index);

    // upkeep.cpp: timers.
    void run_timers();
    void keep_worker(worker_index index);
    void keep_run(run& value);
    void renew_runs(worker_index index);
    [[nodiscard]] base::duration expected_end(run const& value) const;
    void acknowledge_runs(worker_index index);
    void miss_answer(worker_index index);
    void expire_runs(worker_index index);

    // outbox.cpp, snapshots.cpp: records and snapshots.
    void add_record(pending_record value);
    void send_commit();
    void commit_done();
    void commit_refused(commit_finished const& input);
    void commit_conflict(commit_finished const& input);
    void settle(pending_record& settled);
    void keep_snapshot();
    void add_snapshot_writes(commit& wanted);
    void finish_head();
    [[nodiscard]] bool is_full() const;

    // submissions.cpp
    void reply(task_submitted const& to, reply_status status, std::string why);
    [[nodiscard]] std::string find_fault(task_spec const& spec) const;
    bool answer_known(task_submitted const& input);
    void settle_submission(pending_record& settled);
    void settle_inbox(pending_record& settled);
    void settle_cancel(pending_record& settled);
    void settle_move(pending_record& settled);
    void take_inbox_row(formats::row const& row);
    void undo(pending_record& refused, reply_status status);
    task_index add_task(task_record& durable, base::instant submitted);
    void remove_task(task_index index);
    void remember(base::task_id const& id);
    void forget_old();

    [[nodiscard]] class_limits const& limits_of(live_task const& task) const;
    /// Limits of the class of a run that belongs to a task.
    [[nodiscard]] class_limits const& limits_of(run const& value) const
    {
        return this->limits_of(this->owned.tasks[value.task]);
    }

    // queueing.cpp: order of tasks.
    void set_state(live_task& task, task_state to);
    void enqueue(task_index index);
    void dequeue(task_index index);
    [[nodiscard]] std::string missing_resource(live_task const& task) const;
    void evaluate_impossible();
    void age_tasks();
    void update_aging();
    void place_waiting();
    bool place_kind(queue_kind kind, std::size_t& budget);
    bool place_team(team_index team, queue_kind kind, std::size_t& budget);
    bool place_fair(std::size_t& budget);
    [[nodiscard]] bool may_run_long(live_task const& task) const;
    void make_reservation(task_index index);
    void drop_reservation(task_index index);
    void serve_reservations();
    [[nodiscard]] base::duration
    expected_free(worker_index index, formats::resources const& size) const;

    // placement.cpp: choice of the worker.
    bool place(task_index index);
    worker_index choose(live_task const& task, placement_note& note);
    [[nodiscard]] bool has_untried_worker(live_task const& task) const;
    [[nodiscard]] double
    score(live_task const& task, worker_index index, double& harm) const;
    void start(task_index index, worker_index on, placement_note const& note);
    [[nodiscard]] double harm_on(
        worker const& on,
        std::uint32_t task_class,
        double cores,
        bool is_expected) const;
    [[nodiscard]] base::duration
    expected_run(live_task const& task, double quantile) const;

    // urgent.cpp: room for urgent and reserved tasks.
    void make_room_for_urgent();
    bool make_room(task_index index);
    [[nodiscard]] double victim_cost(run const& value) const;
    bool choose_victims(
        worker_index index,
        formats::resources const& size,
        bool is_urgent,
        std::vector<run_serial>& victims,
        double& cost) const;
    [[nodiscard]] bool may_disrupt(run const& value, bool is_forced) const;
    void note_disruption(run const& value);
    [[nodiscard]] std::uint32_t recent_evictions(live_task const& task) const;
    void note_eviction(live_task& task) const;
    void assume_recent_evictions(live_task& task) const;

    // pressure.cpp: crest response.
    void learn_pressure(worker& on, service_pressure const& input);
    void respond(worker_index index);
    void relieve(worker_index index, double excess);
    void evict_newest(worker_index index);
    void relax(worker_index index);
    bool throttle_for(worker_index index, double& excess);
    void evict_for(worker_index index, double excess);
    void suspect(std::uint32_t task_class);
    void calm_class(std::uint32_t task_class);
    void set_throttle(run& value, double share);
    void lift_to_floors();
    [[nodiscard]] double harm_of(run const& value) const;

    // prediction.cpp: crest response before a measurement shows the crest.
    void count_load(worker& on, service_load const& input);
    void expect_level(worker& on);
    [[nodiscard]] double predict_ratio(worker const& on) const;

    template <class Action>
    void emit(Action value)
    {
        this->out->emplace_back(std::move(value));
    }
    void log(base::event_line line);
    std::uint64_t next_request() { return ++this->last_request; }
    [[nodiscard]] base::duration lease_span() const
    {
        return this->options.task_lease + this->options.lease_margin;
    }

    scheduler_options options;
    base::random_engine random;
    name_table classes;
    name_table services;
    name_table racks;
    name_table domains;
    interference_model interference;
    run_time_model run_times;
    std::vector<double> usage; ///< used by declared processors, by class
    cell_counters counters;
    ownership owned;
    std::uint64_t last_request = 1; ///< 0 means "none"
    run_serial last_run = 0;
    base::instant now;
    std::string lost_reason; ///< set: the cell is given up after the event
    std::vector<action>* out = nullptr;
    std::vector<std::uint32_t> candidates; ///< reused by choose
};

} // namespace foxtaillift::batch
