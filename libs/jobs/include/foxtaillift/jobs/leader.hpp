/// The work of the entry host that leads: follows submissions, carries out the
/// scheduler's orders and writes its records.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/event_line.hpp"
#include "foxtaillift/jobs/election.hpp"
#include "foxtaillift/jobs/fleet.hpp"
#include "foxtaillift/jobs/row_follower.hpp"
#include "foxtaillift/jobs/rows.hpp"
#include "foxtaillift/jobs/scheduler.hpp"
#include "foxtaillift/jobs/submission_batch.hpp"
#include "foxtaillift/jobs/worker_record.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace foxtaillift::jobs
{

struct leader_options
{
    scheduler_options scheduling{};
    /// Least time between two writes of records; they are gathered meanwhile.
    base::duration commit_interval = base::milliseconds(50);
    /// The same while submissions wait.
    base::duration submission_interval = base::milliseconds(10);
    base::duration beat_interval = base::milliseconds(300);
    /// Least time between two runs of the decisions, which look at all jobs and
    /// workers; a hundredth of a second is little beside the objective of the
    /// shortest job (over 250 ms).
    base::duration decision_interval = base::milliseconds(10);
    /// Between records of what was learned, some 1 KB; a successor learns the
    /// rest within seconds.
    base::duration learned_interval = base::milliseconds(3000);
    /// Between log lines of the fleet's load.
    base::duration load_interval = base::milliseconds(1000);
    /// Rows of jobs in one write, of the 100 entries that the store's
    /// transactions hold; eight go to the leader's own rows, ten to
    /// `ended_in_commit`. Submissions take up to three quarters of them.
    std::size_t job_rows_in_commit = 80;
    /// How long the state of a job that is over can be asked for, and how many
    /// of the older ones one write removes.
    base::duration ended_kept = base::seconds(150);
    std::size_t ended_in_commit = 10;
};

/// Exists from a takeover until the leadership is lost. `Ports` is described in
/// coordinator.hpp.
template <class Ports>
class leader : public std::enable_shared_from_this<leader<Ports>>
{
public:
    leader(
        Ports& ports_to_use,
        leader_options settings,
        lead_rows rows,
        std::function<void(std::string const&)> on_lost)
        : ports(ports_to_use)
        , options(std::move(settings))
        , lead(std::move(rows))
        , lost(std::move(on_lost))
        , decisions(this->options.scheduling)
        , renewed_at(this->ports.now())
        , written_at(this->renewed_at)
        , learned_at(this->renewed_at)
    {}

    /// Answers nobody: those who wait for a submission may be gone too.
    ~leader() { this->stop_following(); }
    leader(leader const&) = delete;
    leader& operator=(leader const&) = delete;

    void start()
    {
        this->decisions.begin_recovery(this->ports.now());
        this->load_workers();
    }

    /// Ends all activity; answers that are still due are ignored.
    void stop()
    {
        this->is_stopped = true;
        this->stop_following();
        this->submissions.end(store_status::unknown);
    }

    void set_fleet(fleet_configuration const& fleet)
    {
        this->decisions.set_queues(fleet.queues());
        this->wake();
    }

    void list_worker(worker_info const& worker)
    {
        this->listed[worker.id] = worker;
        if (this->recorded.contains(worker.id)) {
            this->decisions.list_worker(worker, this->ports.now());
        }
        this->wake();
    }

    void unlist_worker(std::string const& worker)
    {
        this->listed.erase(worker);
        this->decisions.unlist_worker(worker, this->ports.now());
    }

    /// Makes a submission durable and adds its job. The callback comes once,
    /// with `done`, `not_done` or `unknown`, possibly from within the call.
    void submit(submission_batch::submission wanted)
    {
        auto const state = this->decisions.state_of(wanted.job);
        if (state) {
            wanted.callback(store_status::done); // accepted before
            return;
        }
        // A caller who comes again while the write that holds his job is out
        // must not hear that the job certainly does not run.
        bool const is_refused =
            this->has_write_failed && !this->submissions.is_taken(wanted.job);
        if (!this->loaded || this->is_resigning || this->is_stopped ||
            is_refused) {
            wanted.callback(store_status::not_done);
            return;
        }
        this->submissions.add(std::move(wanted));
        this->commit_soon();
    }

    /// Gives the leadership up, to a host of this size if it is not 0, with the
    /// next write. What that does not hold, a successor learns from workers.
    void resign(std::int64_t successor_size, std::function<void()> on_done)
    {
        this->successor = successor_size;
        this->resigned = std::move(on_done);
        this->is_resigning = true;
        this->written_at = {-1'000'000};
        this->commit();
    }

    /// The leadership was confirmed by the store this long ago.
    [[nodiscard]] base::duration store_age() const
    {
        return this->ports.now() - this->renewed_at;
    }
    [[nodiscard]] scheduler const& state() const { return this->decisions; }
    [[nodiscard]] bool is_loaded() const { return this->loaded; }
    [[nodiscard]] lead_rows const& rows() const { return this->lead; }

    /// Call often (every 100 ms or less).
    void tick()
    {
        if (this->is_stopped) {
            return;
        }
        if (!this->loaded) {
            this->beat();
        } else if (
            this->ports.now() - this->load_logged_at >=
            this->options.load_interval) {
            this->log_load();
        }
        this->wake();
    }

private:
    /// Without a confirmation of the store for this long, leases are granted
    /// only while a majority of workers knows no higher token.
    static constexpr base::duration confirmed_time = base::milliseconds(2000);
    static constexpr base::duration majority_span = base::milliseconds(2500);
    /// Decisions take at most half of the time.
    static constexpr std::int64_t rest_factor = 1;
    static constexpr base::duration load_retry = base::milliseconds(100);
    /// Before a write that failed is repeated.
    static constexpr base::duration failed_write_gap = base::milliseconds(100);
    /// While the store does not answer, a copy is sent this often, so that it
    /// is known to be back before the last one has run out of its time (1 s).
    static constexpr base::duration silent_write_gap = base::milliseconds(250);
    /// The store answers a write within some 10 ms, and 60 to 70 times slower
    /// when it is slow.
    static constexpr base::duration slow_write = base::milliseconds(150);
    /// Each copy that is out holds a connection, of eight.
    static constexpr std::size_t copies_limit = 4;

    template <class Function>
    auto guarded(Function function)
    {
        return [self = this->shared_from_this(),
                function = std::move(function)](auto&&... arguments) {
            if (!self->is_stopped) {
                function(std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

    void stop_following()
    {
        if (this->jobs_follower) {
            this->jobs_follower->stop();
        }
    }

    void load_workers()
    {
        this->ports.read(
            tables::lead, lead_keys::workers, "",
            this->guarded([this](rows_result const& result) {
                if (result.status != store_status::done) {
                    this->ports.after(load_retry, this->guarded([this] {
                        this->load_workers();
                    }));
                    return;
                }
                // In the order of their keys: the workers come first.
                for (auto const& row : result.rows) {
                    if (row.key == lead_keys::workers) {
                        this->recall(row.value);
                    } else if (row.key == lead_keys::learned) {
                        this->take_learned(row);
                    } else if (row.key == lead_keys::silent) {
                        this->take_silent(row);
                    }
                }
                this->load_progress("");
            }));
    }

    void recall(std::string const& value)
    {
        for (auto const& worker : decode_workers(value)) {
            this->recorded.insert(worker.id);
            auto const found = this->listed.find(worker.id);
            if (found == this->listed.end()) {
                this->decisions.recall_worker(worker, this->ports.now());
            } else {
                this->decisions.list_worker(found->second, this->ports.now());
            }
        }
    }

    void take_learned(row const& row)
    {
        try {
            this->decisions.take_learned(row.value);
        } catch (base::error const& failure) {
            this->report_bad_row(row, failure);
        }
    }

    void take_silent(row const& row)
    {
        try {
            this->recorded_silent = decode_silent(row.value);
            this->decisions.take_silent(
                this->recorded_silent, this->ports.now());
        } catch (base::error const& failure) {
            this->report_bad_row(row, failure);
        }
    }

    void load_progress(std::string const& from)
    {
        this->ports.read(
            tables::progress, from, "",
            this->guarded([this, from](rows_result const& result) {
                if (result.status != store_status::done) {
                    this->ports.after(load_retry, this->guarded([this, from] {
                        this->load_progress(from);
                    }));
                    return;
                }
                for (auto const& row : result.rows) {
                    this->take_progress(row);
                }
                if (result.has_more && !result.rows.empty()) {
                    this->load_progress(result.rows.back().key + '\0');
                    return;
                }
                this->load_ended("");
            }));
    }

    /// Without them, ends of these jobs that a worker still lists would seem to
    /// belong to jobs whose rows are still to come.
    void load_ended(std::string const& from)
    {
        this->ports.read(
            tables::ended, from, "",
            this->guarded([this, from](rows_result const& result) {
                if (result.status != store_status::done) {
                    this->ports.after(load_retry, this->guarded([this, from] {
                        this->load_ended(from);
                    }));
                    return;
                }
                for (auto const& row : result.rows) {
                    if (auto const state = parse_job_state(row.value)) {
                        this->decisions.add_ended(row.key, *state);
                        this->ended.emplace_back(this->ports.now(), row.key);
                    }
                }
                if (result.has_more && !result.rows.empty()) {
                    this->load_ended(result.rows.back().key + '\0');
                    return;
                }
                this->follow_jobs();
            }));
    }

    void take_progress(row const& row)
    {
        try {
            this->inherited[row.key] = decode_progress(row.value);
        } catch (base::error const& failure) {
            this->report_bad_row(row, failure);
        }
    }

    void follow_jobs()
    {
        this->jobs_follower = std::make_shared<row_follower<Ports>>(
            this->ports, row_follower_options{.table = tables::jobs},
            [this](row const& row) { this->on_job_row(row); },
            // Held weakly: the leader owns the follower.
            [weak = this->weak_from_this()] {
                auto const self = weak.lock();
                if (self && !self->is_stopped) {
                    self->on_loaded();
                }
            });
        this->jobs_follower->start();
    }

    void on_loaded()
    {
        this->loaded = true;
        this->inherited.clear();
        base::event_line line{"leader_loaded"};
        this->ports.log(line.add("token", this->lead.current.token)
                            .add("jobs", this->decisions.job_count())
                            .add("workers", this->recorded.size()));
        this->wake();
    }

    void on_job_row(row const& row)
    {
        auto const key = parse_job_key(row.key);
        if (this->is_stopped || row.is_removed || !key.is_valid) {
            return;
        }
        auto const now = this->ports.now();
        if (key.is_cancellation) {
            this->decisions.cancel_job(key.job, now);
        } else if (!this->decisions.is_present(key.job)) {
            this->add_submitted(key.job, row.value);
        }
        this->wake();
    }

    void add_submitted(std::string const& id, std::string const& value)
    {
        try {
            auto job = decode_job(value);
            auto const found = this->inherited.find(id);
            this->decisions.add_job(
                std::move(job),
                found == this->inherited.end() ? std::nullopt
                                               : std::optional{found->second},
                this->ports.now());
        } catch (base::error const& failure) {
            this->report_bad_row(
                {.table = tables::jobs, .key = submission_key(id)}, failure);
        }
    }

    void log_load()
    {
        auto const now = this->ports.now();
        this->load_logged_at = now;
        auto const load = this->decisions.load(now);
        this->ports.log(base::event_line{"fleet_load"}
                            .add("workers", load.workers)
                            .add("usable", load.usable_workers)
                            .add("processors", load.capacity.processors)
                            .add("used", load.used.processors)
                            .add("serving", load.serving_processors)
                            .add("filling", load.filling_processors)
                            .add("memory_mb", load.capacity.memory_mb)
                            .add("used_mb", load.used.memory_mb)
                            .add("decisions", this->decision_count)
                            .add("deciding_ms", this->deciding)
                            .add("writes", this->write_count)
                            .add("writing_ms", this->writing));
        this->decision_count = 0;
        this->deciding = {};
        this->write_count = 0;
        this->writing = {};
        for (auto const& [name, queue] : load.queues) {
            this->ports.log(base::event_line{"queue_load"}
                                .add("queue", name)
                                .add("jobs", queue.jobs)
                                .add("running_tasks", queue.running_tasks)
                                .add("waiting_tasks", queue.waiting_tasks));
        }
    }

    void report_bad_row(row const& row, base::error const& failure) const
    {
        this->ports.log(base::event_line{"row_unreadable"}
                            .add("table", row.table)
                            .add("key", row.key)
                            .add("reason", failure.what()));
    }

    /// Runs the decisions once for the events of a decision interval.
    void wake()
    {
        if (this->is_awake || !this->loaded) {
            return;
        }
        this->is_awake = true;
        auto const now = this->ports.now();
        auto const due = std::max(now, this->ran_at + this->rest);
        this->ports.after(due - now, this->guarded([this] {
            this->is_awake = false;
            auto const began = this->ports.now();
            this->run();
            this->ran_at = this->ports.now();
            this->deciding += this->ran_at - began;
            ++this->decision_count;
            // Answers to peers and callers get the rest of the processor.
            this->rest = std::max(
                this->options.decision_interval,
                (this->ran_at - began) * rest_factor);
        }));
    }

    void run()
    {
        auto const now = this->ports.now();
        if (this->decisions.is_fenced()) {
            this->lose("a worker knows a higher token");
            return;
        }
        bool const may_grant =
            !this->is_resigning &&
            (now - this->renewed_at < confirmed_time ||
             this->decisions.is_majority_heard(now - majority_span));
        auto orders =
            this->decisions.take_orders(now, this->ports.wall_ms(), may_grant);
        for (auto& order : orders) {
            this->send(std::move(order));
        }
        this->commit();
    }

    void send(worker_order wanted)
    {
        std::visit(
            [this](auto const& order) { this->carry_out(order); }, wanted);
    }

    void carry_out(look_order const& order)
    {
        auto const sent_at = this->ports.now();
        this->ports.look(
            order, this->guarded([this, id = order.worker, sent_at,
                                  is_extra = order.is_extra](
                                     order_status status,
                                     worker_report const& report) {
                this->decisions.on_look(
                    id, status, report, sent_at, this->ports.now(), is_extra);
                this->wake();
            }));
    }

    void carry_out(start_order const& order)
    {
        this->ports.start(
            order, this->guarded([this, id = order.worker,
                                  run = order.run](order_status status) {
                this->decisions.on_start(id, run, status, this->ports.now());
                if (status != order_status::done) {
                    this->wake();
                }
            }));
    }

    void carry_out(stop_order const& order)
    {
        this->ports.stop(
            order, this->guarded([this, id = order.worker,
                                  run = order.run](order_status status) {
                this->decisions.on_stop(id, run, status, this->ports.now());
                this->wake();
            }));
    }

    void carry_out(advice_order const& order)
    {
        this->ports.advise(
            order,
            this->guarded([this, order](std::optional<advice> const& answer) {
                this->decisions.on_advice(order, answer, this->ports.now());
                this->wake();
            }));
    }

    void carry_out(pace_order const& order)
    {
        this->ports.pace(
            order, this->guarded([this, id = order.worker,
                                  run = order.run](order_status status) {
                this->decisions.on_pace(id, run, status, this->ports.now());
                if (status != order_status::done) {
                    this->wake();
                }
            }));
    }

    /// The workers to be named durably, or nothing if the last record still
    /// holds. A worker is named before the first task starts there, and until
    /// nothing can run there, so that a successor waits for no others.
    [[nodiscard]] std::map<std::string, worker_info> changed_workers() const
    {
        auto const in_use = this->decisions.workers_in_use();
        std::size_t unlisted = 0;
        bool is_same = true;
        for (auto const* const worker : in_use) {
            unlisted += this->listed.contains(worker->id) ? 0 : 1;
            is_same = is_same && this->recorded.contains(worker->id);
        }
        for (auto const& [id, worker] : this->listed) {
            is_same = is_same && this->recorded.contains(id);
        }
        is_same =
            is_same && this->listed.size() + unlisted == this->recorded.size();
        if (is_same) {
            return {};
        }
        auto wanted = this->listed;
        for (auto const* const worker : in_use) {
            wanted.emplace(worker->id, *worker);
        }
        return wanted;
    }

    /// Writes submissions without waiting for the next run of the decisions.
    void commit_soon()
    {
        if (this->is_commit_due || this->is_write_out ||
            !this->submissions.is_waiting()) {
            return;
        }
        this->is_commit_due = true;
        auto const now = this->ports.now();
        auto const due =
            std::max(now, this->written_at + this->options.submission_interval);
        this->ports.after(due - now, this->guarded([this] {
            this->is_commit_due = false;
            this->commit();
        }));
    }

    void commit()
    {
        auto const now = this->ports.now();
        auto const interval = this->submissions.is_waiting()
                                  ? this->options.submission_interval
                                  : this->options.commit_interval;
        if (this->is_write_out || now - this->written_at < interval) {
            return;
        }
        this->submissions.take(
            this->is_resigning ? 0
                               : this->options.job_rows_in_commit /
                                     (submission_batch::entries + 1));
        this->batch = this->decisions.take_commit(
            this->options.job_rows_in_commit -
            this->submissions.taken_count() * submission_batch::entries);
        this->workers_to_record = this->changed_workers();
        bool const is_beat_due =
            now - this->written_at >= this->options.beat_interval;
        bool const is_silent_changed = this->prepare_silent(now);
        if (this->batch.empty() && this->submissions.taken_count() == 0 &&
            this->workers_to_record.empty() && !is_silent_changed &&
            !is_beat_due) {
            this->is_silent_due = false;
            return;
        }
        this->ended_to_remove = 0;
        while (this->ended_to_remove < this->ended.size() &&
               this->ended_to_remove < this->options.ended_in_commit &&
               now - this->ended[this->ended_to_remove].first >
                   this->options.ended_kept) {
            ++this->ended_to_remove;
        }
        this->is_last_write = this->is_resigning;
        this->is_learned_due =
            this->is_resigning ||
            now - this->learned_at >= this->options.learned_interval;
        ++this->sequence;
        this->write();
    }

    /// Decides whether the next write holds the record of silent workers.
    /// Returns true if the record alone is worth a write; the age of leases
    /// that still count goes with others.
    bool prepare_silent(base::instant now)
    {
        this->silent_to_record = this->decisions.close_silent_workers(now);
        bool const is_changed =
            !is_same_record(this->silent_to_record, this->recorded_silent);
        bool const has_runs = std::any_of(
            this->silent_to_record.begin(), this->silent_to_record.end(),
            [](silent_worker const& each) { return !each.runs.empty(); });
        this->is_silent_due =
            is_changed || (has_runs && now - this->silent_recorded_at >=
                                           this->options.beat_interval);
        return is_changed;
    }

    /// Shows that this host leads while it still loads what lasts, which may
    /// take longer than others wait for a beat.
    void beat()
    {
        if (this->is_write_out || this->ports.now() - this->written_at <
                                      this->options.beat_interval) {
            return;
        }
        this->batch = {};
        this->workers_to_record.clear();
        this->ended_to_remove = 0;
        ++this->sequence;
        this->write();
    }

    row_change make_change() const
    {
        row_change change;
        change.conditions = {
            {tables::lead, lead_keys::epoch, this->lead.epoch_version},
            {tables::lead, lead_keys::beat, this->lead.beat_version}};
        change.puts.push_back(
            {.table = tables::lead,
             .key = lead_keys::beat,
             .value = encode(leader_beat{
                 .sequence = this->sequence,
                 .store_ms = this->store_time.at(this->ports.now())})});
        if (!this->workers_to_record.empty()) {
            std::vector<worker_info> workers;
            workers.reserve(this->workers_to_record.size());
            for (auto const& [id, worker] : this->workers_to_record) {
                workers.push_back(worker);
            }
            change.puts.push_back(
                {.table = tables::lead,
                 .key = lead_keys::workers,
                 .value = encode_workers(workers)});
        }
        if (this->is_learned_due) {
            change.puts.push_back(
                {.table = tables::lead,
                 .key = lead_keys::learned,
                 .value = this->decisions.learned()});
        }
        if (this->is_silent_due) {
            change.puts.push_back(
                {.table = tables::lead,
                 .key = lead_keys::silent,
                 .value = encode_silent(this->silent_to_record)});
        }
        this->submissions.add_to(change);
        for (auto const& item : this->batch.items) {
            this->add_item(change, item);
        }
        for (std::size_t i = 0; i < this->ended_to_remove; ++i) {
            change.removals.push_back(
                {.table = tables::ended, .key = this->ended[i].second});
        }
        if (this->is_last_write) {
            auto given_up = this->lead.current;
            given_up.address.clear();
            given_up.size = std::max(given_up.size, this->successor);
            change.puts.push_back(
                {.table = tables::lead,
                 .key = lead_keys::epoch,
                 .value = encode(given_up)});
        }
        return change;
    }

    static void add_item(row_change& change, commit_batch::item const& item)
    {
        if (!item.is_removal) {
            change.puts.push_back(
                {.table = tables::progress,
                 .key = item.job,
                 .value = encode(item.progress)});
            return;
        }
        change.puts.push_back(
            {.table = tables::ended,
             .key = item.job,
             .value = std::string{to_string(item.progress.state)}});
        change.removals.push_back(
            {.table = tables::jobs, .key = submission_key(item.job)});
        change.removals.push_back({.table = tables::progress, .key = item.job});
        if (item.progress.state == job_state::cancelled) {
            change.removals.push_back(
                {.table = tables::jobs, .key = cancellation_key(item.job)});
        }
    }

    /// Sends a copy of the write that is out. The condition on the beat lets
    /// only one of the copies succeed.
    void write()
    {
        this->is_write_out = true;
        ++this->copies_out;
        auto const sent_at = this->ports.now();
        this->ports.change(
            this->make_change(),
            this->guarded([this, sent_at, copy_of = this->sequence](
                              change_result const& result) {
                bool const is_answer = result.status == store_status::done ||
                                       result.status == store_status::conflict;
                auto const now = this->ports.now();
                if (is_answer) {
                    this->write_took = now - sent_at;
                }
                this->store_time.on_answer(result.store_ms, now);
                if (copy_of == this->sequence && this->is_write_out) {
                    --this->copies_out;
                    this->on_written(result, sent_at);
                }
            }));
        // Copies would wait for each other in a store that is only slow.
        if (this->write_took < slow_write) {
            this->write_again_after(silent_write_gap);
        }
    }

    void write_again_after(base::duration gap)
    {
        this->ports.after(
            gap, this->guarded([this, number = ++this->repetition] {
                bool const is_due = this->is_write_out &&
                                    number == this->repetition &&
                                    this->copies_out < copies_limit;
                if (is_due) {
                    this->write();
                }
            }));
    }

    void on_written(change_result const& result, base::instant sent_at)
    {
        switch (result.status) {
        case store_status::done:
            this->lead.beat_version = result.version;
            this->on_commit(sent_at);
            return;
        case store_status::conflict:
            this->on_conflict(result, sent_at);
            return;
        default:
            this->has_write_failed = true;
            this->may_have_been_written |=
                result.status != store_status::not_done;
            if (this->is_certainly_not_written()) {
                this->submissions.on_not_done();
            }
            this->submissions.refuse_waiting();
            this->write_again_after(failed_write_gap);
        }
    }

    [[nodiscard]] bool is_certainly_not_written() const
    {
        return !this->may_have_been_written && this->copies_out == 0;
    }

    void on_conflict(change_result const& result, base::instant sent_at)
    {
        row const* beat = nullptr;
        for (auto const& row : result.current) {
            if (row.key == lead_keys::epoch &&
                row.version != this->lead.epoch_version) {
                if (this->is_resigning) {
                    this->finish_resigning();
                    return;
                }
                if (this->is_certainly_not_written()) {
                    this->submissions.on_not_done();
                }
                this->lose("another host has taken over");
                return;
            }
            if (row.key == lead_keys::beat) {
                beat = &row;
            }
        }
        if (beat == nullptr) {
            this->lose("the rows of the leader are gone");
            return;
        }
        bool const is_carried_out = beat->version != this->lead.beat_version &&
                                    this->is_own_beat(beat->value);
        this->lead.beat_version = beat->version;
        if (is_carried_out) {
            this->on_commit(sent_at); // by an earlier copy
            return;
        }
        this->submissions.on_conflict(result.current);
        this->write();
    }

    [[nodiscard]] bool is_own_beat(std::string const& value) const
    {
        try {
            return decode_beat(value).sequence == this->sequence;
        } catch (base::error const& failure) {
            this->report_bad_row(
                {.table = tables::lead, .key = lead_keys::beat}, failure);
            return false;
        }
    }

    void on_commit(base::instant sent_at)
    {
        this->is_write_out = false;
        this->copies_out = 0; // what they answer is not regarded any more
        ++this->repetition;   // nor is a copy sent that was due
        ++this->write_count;
        this->writing += this->ports.now() - sent_at;
        this->has_write_failed = false;
        this->may_have_been_written = false;
        for (auto const& [job, value] : this->submissions.on_done()) {
            this->add_submitted(job, value);
        }
        if (std::exchange(this->is_learned_due, false)) {
            this->learned_at = sent_at;
        }
        if (std::exchange(this->is_silent_due, false)) {
            this->silent_recorded_at = sent_at;
            this->recorded_silent = std::move(this->silent_to_record);
            this->decisions.on_silent_recorded(this->recorded_silent);
        }
        this->renewed_at = sent_at;
        this->written_at = sent_at;
        this->decisions.on_committed(this->batch);
        this->ended.erase(
            this->ended.begin(),
            this->ended.begin() +
                static_cast<std::ptrdiff_t>(this->ended_to_remove));
        for (auto const& item : this->batch.items) {
            if (item.is_removal) {
                this->ended.emplace_back(sent_at, item.job);
            }
        }
        this->take_recorded_workers();
        if (this->is_last_write) {
            this->finish_resigning();
            return;
        }
        if (this->is_resigning) {
            this->written_at = {-1'000'000};
            this->commit();
            return;
        }
        this->commit_soon();
        this->wake();
    }

    void take_recorded_workers()
    {
        if (this->workers_to_record.empty()) {
            return;
        }
        this->recorded.clear();
        for (auto const& [id, worker] : this->workers_to_record) {
            this->recorded.insert(id);
            auto const found = this->listed.find(id);
            if (found != this->listed.end()) {
                this->decisions.list_worker(found->second, this->ports.now());
            }
        }
    }

    void finish_resigning()
    {
        this->stop();
        if (auto done = std::exchange(this->resigned, {})) {
            done();
        }
    }

    void lose(std::string const& reason)
    {
        this->stop();
        auto const notify = this->lost;
        notify(reason);
    }

    Ports& ports;
    leader_options options;
    lead_rows lead;
    store_clock store_time{};
    std::function<void(std::string const&)> lost;
    scheduler decisions;
    std::shared_ptr<row_follower<Ports>> jobs_follower{};
    std::map<std::string, job_progress> inherited{};
    std::map<std::string, worker_info> listed{};
    std::set<std::string> recorded{}; ///< durably named as workers in use
    std::map<std::string, worker_info> workers_to_record{};
    std::vector<silent_worker> recorded_silent{};
    std::vector<silent_worker> silent_to_record{};
    base::instant silent_recorded_at{-1'000'000};
    commit_batch batch{};
    submission_batch submissions{};
    std::deque<std::pair<base::instant, std::string>> ended{}; ///< oldest first
    std::size_t ended_to_remove = 0; ///< by the write that is out
    std::uint64_t sequence = 0;      ///< of writes in this leadership
    base::instant renewed_at; ///< when the last acknowledged write was sent
    base::instant written_at;
    base::instant ran_at{-1'000'000};
    base::duration rest{}; ///< until the decisions run again
    base::instant load_logged_at{-1'000'000};
    // Since the last line on the load.
    int decision_count = 0;
    base::duration deciding{}; ///< time of the decisions
    int write_count = 0;
    base::duration writing{}; ///< time until writes were answered
    base::instant learned_at; ///< when what was learned was last recorded
    std::function<void()> resigned{};
    bool is_commit_due = false; ///< is called soon
    bool is_write_out = false;
    std::size_t copies_out = 0; ///< of the write that is out, not answered yet
    std::uint64_t repetition = 0;
    base::duration write_took{};        ///< of the last one that was answered
    bool has_write_failed = false;      ///< the one that is out, at least once
    bool may_have_been_written = false; ///< the one that is out, by a copy
    bool is_learned_due = false;        ///< goes with the write that is out
    bool is_silent_due = false;         ///< the same, of silent workers
    bool is_resigning = false;
    bool is_last_write = false; ///< the one that is out gives the leadership up
    std::int64_t successor = 0; ///< its size
    bool is_awake = false;
    bool loaded = false;
    bool is_stopped = false;
};

} // namespace foxtaillift::jobs
