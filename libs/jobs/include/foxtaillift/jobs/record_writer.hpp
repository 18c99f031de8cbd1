/// Writes what a leader has to make durable, one change after the other.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/jobs/copied_write.hpp"
#include "foxtaillift/jobs/election.hpp"
#include "foxtaillift/jobs/host_ports.hpp"
#include "foxtaillift/jobs/inherited_state.hpp"
#include "foxtaillift/jobs/leader_record.hpp"
#include "foxtaillift/jobs/rejection_table.hpp"
#include "foxtaillift/jobs/rows.hpp"
#include "foxtaillift/jobs/scheduler.hpp"
#include "foxtaillift/jobs/submission_batch.hpp"
#include "foxtaillift/jobs/worker_record.hpp"
#include "foxtaillift/jobs/worker_roster.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace foxtaillift::jobs
{

struct record_options
{
    /// Least time between two writes of records; they are gathered meanwhile.
    base::duration commit_interval = base::milliseconds(50);
    /// The same while submissions wait.
    base::duration submission_interval = base::milliseconds(10);
    base::duration beat_interval = base::milliseconds(300);
    /// Between records of what was learned, some 1 KB; a successor learns the
    /// rest within seconds.
    base::duration learned_interval = base::milliseconds(3000);
    /// Rows of jobs in one write, of the 100 entries that the store's
    /// transactions hold; eleven go to the leader's own rows (two conditions,
    /// five rows, the pages of the roster), nine to `ended_in_commit`.
    /// Submissions take up to three quarters of them.
    std::size_t job_rows_in_commit = 80;
    /// How long the state of a job that is over can be asked for and the
    /// tombstone of a cancelled one bars its submission, and how many rows of
    /// the older ones one write removes.
    base::duration ended_kept = base::seconds(150);
    std::size_t ended_in_commit = 9;
    /// Rejection rows; at the limit jobs are accepted. Nearly 150 s of the
    /// highest rate of the deployments (28 jobs/s), if half are rejected.
    std::size_t rejection_limit = 2000;
};

/// What the owner of a record_writer learns.
struct record_events
{
    std::function<void()> on_committed{};
    std::function<void(std::string const& reason)> on_lost{};
    /// A submission is durable: its job and encoding.
    std::function<void(std::string const& job, std::string const& value)>
        on_submitted{};
};

/// One write is out at a time. Each has the leader's rows as its conditions, so
/// that of several copies of it only one can succeed, and none of a former
/// leader. Not thread-safe.
template <host_ports Ports>
class record_writer : public std::enable_shared_from_this<record_writer<Ports>>
{
public:
    record_writer(
        Ports& ports_to_use,
        record_options settings,
        lead_rows rows,
        scheduler& scheduler_to_use,
        worker_roster& workers,
        record_events handlers)
        : ports(ports_to_use)
        , options(settings)
        , lead(std::move(rows))
        , decisions(scheduler_to_use)
        , roster(workers)
        , events(std::move(handlers))
        , renewed_at(this->ports.now())
        , written_at(this->renewed_at)
        , learned_at(this->renewed_at)
        , write(std::make_shared<copied_write<Ports>>(
              ports_to_use,
              typename copied_write<Ports>::handlers{
                  .make = [this] { return this->make_copy(); },
                  .on_answer =
                      [this](
                          change_result const& result, base::instant sent_at) {
                          this->on_answer(result, sent_at);
                      },
                  .on_failed = [this] { this->on_failed(); },
                  .on_silent = [this] { this->submissions.refuse_waiting(); }}))
    {}

    // Commands

    /// What an earlier leader had recorded.
    void inherit(inherited_state const& state)
    {
        this->has_inherited = true;
        this->recorded_closed = state.closed;
        for (auto const& [job, final_state] : state.ended) {
            this->ended.push_back({this->ports.now(), {.job = job}});
        }
        for (auto const& [job, version] : state.rejections) {
            this->rejected.add(job, version, this->ports.now());
        }
    }

    /// Has the tombstone of the job removed in time. Call once for each.
    void add_tombstone(std::string const& job)
    {
        this->rejected.remove(job);
        this->ended.push_back(
            {this->ports.now(), {.job = job, .has_tombstone = true}});
    }

    /// The callback comes once, with `done`, `not_done`, `unknown`, for a job
    /// that was cancelled before `conflict`, for one that was rejected before
    /// `barred`, or for a rejection `rejected`, possibly from within the call.
    void submit(submission_batch::submission wanted)
    {
        auto const rejection = this->rejected.version_of(wanted.job);
        if (wanted.is_rejection) {
            wanted.replaces = rejection;
        } else if (
            rejection > 0 && wanted.replaces != rejection &&
            !this->submissions.is_held(wanted.job)) {
            wanted.callback(
                {.status = store_status::barred,
                 .rejection_version = rejection,
                 .rejection_age =
                     this->rejected.age_of(wanted.job, this->ports.now())});
            return;
        }
        // A caller who comes again while the write that holds his job is out
        // must not hear that the job certainly does not run.
        bool const is_refused =
            (this->write->has_failed() || this->write->is_silent()) &&
            !this->submissions.is_taken(wanted.job);
        if (this->is_resigning || this->is_stopped || is_refused) {
            wanted.callback({.status = store_status::not_done});
            return;
        }
        this->submissions.add(std::move(wanted));
        this->commit_soon();
    }

    /// The job was accepted, so that its rejection row is gone.
    void forget_rejection(std::string const& job)
    {
        this->rejected.remove(job);
    }

    /// Writes what is to be written, if a write is due.
    void commit()
    {
        auto const now = this->ports.now();
        auto const interval = this->submissions.is_waiting()
                                  ? this->options.submission_interval
                                  : this->options.commit_interval;
        bool const is_early = now - this->written_at < interval;
        if (this->write->is_out() || (is_early && !this->is_confirmation_due)) {
            return;
        }
        if (this->prepare(now)) {
            this->is_confirmation_due = false;
            this->write_next();
        }
    }

    /// Asks the store at once whether this host still leads; see age().
    void confirm()
    {
        this->is_confirmation_due = true;
        this->commit();
    }

    /// Shows that this host leads while it still loads what lasts, which may
    /// take longer than others wait for a beat.
    void beat()
    {
        if (this->write->is_out() || this->ports.now() - this->written_at <
                                         this->options.beat_interval) {
            return;
        }
        this->record = {.sequence = this->record.sequence};
        this->write_next();
    }

    /// Gives the leadership up, to a host of this size if it is not 0, with the
    /// next write. What that does not hold, a successor learns from workers.
    void resign(std::int64_t size, std::function<void()> on_done)
    {
        this->successor_size = size;
        this->resigned = std::move(on_done);
        this->is_resigning = true;
        this->written_at = {-1'000'000};
        this->commit();
    }

    /// Ends all activity; answers that are still due are ignored.
    void stop()
    {
        this->abandon();
        this->submissions.end(store_status::unknown);
    }

    /// The same without an answer to those who wait for a submission, who may
    /// be gone. Call before the scheduler and the roster are destroyed.
    void abandon()
    {
        this->is_stopped = true;
        this->write->stop();
    }

    // Queries

    /// The store has confirmed the leadership this long ago.
    [[nodiscard]] base::duration age() const
    {
        return this->ports.now() - this->renewed_at;
    }
    [[nodiscard]] lead_rows const& rows() const { return this->lead; }
    /// A change that the store carried out after this time, with its version.
    struct stored_change
    {
        base::instant sent_at{};
        std::int64_t version = 0;
    };
    [[nodiscard]] stored_change const& last_change() const
    {
        return this->newest;
    }
    [[nodiscard]] bool is_giving_up() const { return this->is_resigning; }
    /// The version of the job's rejection row, as far as is known; 0: none.
    [[nodiscard]] std::int64_t
    rejection_version_of(std::string const& job) const
    {
        return this->rejected.version_of(job);
    }
    [[nodiscard]] std::size_t rejection_count() const
    {
        return this->rejected.size();
    }
    /// The job is in the write that is out or waits for the next one.
    [[nodiscard]] bool is_held(std::string const& job) const
    {
        return this->submissions.is_held(job);
    }
    [[nodiscard]] submission_batch::held_amount held_submissions() const
    {
        return this->submissions.held();
    }
    /// Another rejection row may be written.
    [[nodiscard]] bool may_reject() const
    {
        return this->rejected.size() < this->options.rejection_limit;
    }

    /// Writes since the last call, and the time until they were answered.
    struct write_load
    {
        int count = 0;
        base::duration time{};
    };
    write_load take_load() { return std::exchange(this->load, {}); }

private:
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

    /// Writes submissions without waiting for the next run of the decisions.
    void commit_soon()
    {
        if (this->is_commit_due || this->write->is_out() ||
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

    /// Chooses what the next write holds. False if none is due.
    bool prepare(base::instant now)
    {
        if (!this->has_inherited) {
            // What is durable is the earlier leader's, and the successor's.
            this->record = {.sequence = this->record.sequence};
            this->record_successor();
            return true;
        }
        this->submissions.take(
            this->is_resigning ? 0
                               : this->options.job_rows_in_commit /
                                     (submission_batch::entries + 1));
        this->record = {
            .sequence = this->record.sequence,
            .jobs = this->decisions.take_commit(
                this->options.job_rows_in_commit -
                this->submissions.taken_entries()),
            .workers = this->roster.to_record(this->decisions, now)};
        bool const is_closed_changed = this->prepare_closed(now);
        bool const is_due =
            !this->record.jobs.empty() || !this->record.workers.empty() ||
            this->submissions.taken_count() > 0 || is_closed_changed ||
            this->is_confirmation_due ||
            now - this->written_at >= this->options.beat_interval;
        if (!is_due) {
            return false;
        }
        this->prepare_forgotten(now);
        this->roster.on_record_sent(this->record.workers);
        this->record_successor();
        this->prepare_lease(now);
        if (this->is_resigning ||
            now - this->learned_at >= this->options.learned_interval) {
            this->record.learned = this->decisions.learned();
        }
        return true;
    }

    void prepare_lease(base::instant now)
    {
        auto const longest = this->decisions.longest_lease_held(now);
        if (longest == this->lease_recorded && !this->is_resigning) {
            return;
        }
        this->record.lease = {
            .token = this->lead.current.token, .longest = longest};
        if (this->is_resigning) { // and grants no leases any more
            this->record.lease->left = this->decisions.leases_left(now);
        }
    }

    void prepare_forgotten(base::instant now)
    {
        std::size_t entries = 0;
        for (auto const& [ended_at, forgotten] : this->ended) {
            entries += forgotten.entries();
            if (entries > this->options.ended_in_commit ||
                now - ended_at <= this->options.ended_kept) {
                entries -= forgotten.entries();
                break;
            }
            this->record.forgotten.push_back(forgotten);
        }
        auto const room = (this->options.ended_in_commit - entries) /
                          expired_rejection::entries;
        this->record.expired = this->rejected.expired(
            now - this->options.ended_kept, room, [this](auto const& job) {
                return this->submissions.is_taken(job);
            });
    }

    void record_successor()
    {
        if (!this->is_resigning) {
            return;
        }
        auto given_up = this->lead.current;
        given_up.address.clear();
        given_up.size = std::max(given_up.size, this->successor_size);
        this->record.successor = given_up;
    }

    /// Decides whether the next write names the closed workers. Returns true if
    /// that alone is worth a write; the age of leases that still count goes
    /// with others.
    bool prepare_closed(base::instant now)
    {
        auto closed = this->decisions.close_workers(now);
        bool const is_changed = !is_covered(closed, this->recorded_closed);
        bool const has_ages = std::any_of(
            closed.begin(), closed.end(), [](closed_worker const& each) {
                return each.lease_age && !each.runs.empty();
            });
        if (is_changed || (has_ages && now - this->closed_recorded_at >=
                                           this->options.beat_interval)) {
            this->record.closed = std::move(closed);
        }
        return is_changed;
    }

    void write_next()
    {
        ++this->record.sequence;
        this->write->begin();
    }

    row_change make_copy() const
    {
        auto change = make_change(
            this->record, this->lead, this->store_time.at(this->ports.now()));
        this->submissions.add_to(change);
        return change;
    }

    void on_answer(change_result const& result, base::instant sent_at)
    {
        this->store_time.on_answer(result.store_ms, this->ports.now());
        if (result.status == store_status::done) {
            this->newest = {sent_at, result.version};
            this->lead.beat_version = result.version;
            this->on_commit(sent_at);
        } else {
            this->on_conflict(result, sent_at);
        }
    }

    void on_failed()
    {
        if (this->write->is_certainly_not_done()) {
            this->submissions.on_not_done();
        }
        this->submissions.refuse_waiting();
    }

    void on_conflict(change_result const& result, base::instant sent_at)
    {
        row const* beat = nullptr;
        for (auto const& row : result.current) {
            if (row.key == lead_keys::epoch &&
                row.version != this->lead.epoch_version) {
                this->on_deposed();
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
                                    this->is_own_beat(*beat);
        this->lead.beat_version = beat->version;
        if (is_carried_out) {
            this->on_commit(sent_at); // by an earlier copy
            return;
        }
        this->drop_changed_rejections(result.current);
        this->note_rejections(result.current);
        this->submissions.on_conflict(result.current);
        this->write->send();
    }

    /// Rejection rows that another host or a cancellation has replaced are not
    /// removed.
    void drop_changed_rejections(std::span<row const> current)
    {
        std::erase_if(this->record.expired, [&](auto const& each) {
            bool const is_changed =
                rejection_version(current, each.job) != each.version;
            if (is_changed) {
                this->rejected.remove(each.job);
            }
            return is_changed;
        });
    }

    /// Rows that were not known must be removed in time, too.
    void note_rejections(std::span<row const> current)
    {
        for (auto const& each : current) {
            if (each.table == tables::ended && each.value == rejection_value &&
                this->rejected.version_of(each.key) != each.version) {
                this->rejected.add(each.key, each.version, this->ports.now());
            }
        }
    }

    void on_deposed()
    {
        if (this->is_resigning) {
            this->finish_resigning();
            return;
        }
        if (this->write->is_certainly_not_done()) {
            this->submissions.on_not_done();
        }
        this->lose("another host has taken over");
    }

    [[nodiscard]] bool is_own_beat(row const& beat) const
    {
        try {
            return decode_beat(beat.value).sequence == this->record.sequence;
        } catch (base::error const& failure) {
            report_bad_row(this->ports, beat, failure);
            return false;
        }
    }

    void on_commit(base::instant sent_at)
    {
        this->write->end();
        ++this->load.count;
        this->load.time += this->ports.now() - sent_at;
        this->renewed_at = sent_at;
        this->written_at = sent_at;
        // The rejection rows are written with the beat.
        for (auto const& job : this->submissions.rejections()) {
            this->rejected.add(job, this->lead.beat_version, this->ports.now());
        }
        for (auto const& [job, value] : this->submissions.on_done()) {
            this->rejected.remove(job);
            this->events.on_submitted(job, value);
        }
        for (auto const& each : this->record.expired) {
            this->rejected.remove(each.job);
        }
        this->note_recorded(sent_at);
        if (this->record.successor) {
            this->finish_resigning();
            return;
        }
        if (this->is_resigning) {
            this->written_at = {-1'000'000};
            this->commit();
            return;
        }
        this->commit_soon();
        this->events.on_committed();
    }

    /// Tells the decisions what is durable now.
    void note_recorded(base::instant sent_at)
    {
        if (this->record.learned) {
            this->learned_at = sent_at;
        }
        if (this->record.lease) {
            this->lease_recorded = this->record.lease->longest;
        }
        if (this->record.closed) {
            this->closed_recorded_at = sent_at;
            this->recorded_closed = std::move(*this->record.closed);
            this->decisions.on_closed_recorded(this->recorded_closed);
        }
        this->decisions.on_committed(this->record.jobs);
        this->ended.erase(
            this->ended.begin(),
            this->ended.begin() +
                static_cast<std::ptrdiff_t>(this->record.forgotten.size()));
        for (auto const& item : this->record.jobs.items) {
            if (item.is_removal) {
                this->ended.push_back({sent_at, {.job = item.job}});
            }
        }
        this->note_named();
    }

    /// Workers that are durably named can be used.
    void note_named()
    {
        this->roster.on_recorded(this->record.workers);
        auto const& listed = this->roster.listed();
        for (auto const& page : this->record.workers) {
            for (auto const& worker : page.workers) {
                auto const found = listed.find(worker.id);
                if (found != listed.end()) {
                    this->decisions.list_worker(
                        found->second, this->ports.now());
                }
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
        this->events.on_lost(reason);
    }

    Ports& ports;
    record_options options;
    lead_rows lead;
    store_clock store_time{};
    scheduler& decisions;
    worker_roster& roster;
    record_events events;

    // The write that is out, or the last one.
    leader_record record{};
    submission_batch submissions{};

    // What is recorded.
    std::vector<closed_worker> recorded_closed{};
    base::instant closed_recorded_at{-1'000'000};
    base::duration lease_recorded{}; ///< 0: none in this leadership
    /// Jobs of the table `ended`, oldest first.
    std::deque<std::pair<base::instant, forgotten_job>> ended{};
    rejection_table rejected{};
    base::instant renewed_at; ///< when the last acknowledged write was sent
    base::instant written_at;
    base::instant learned_at;
    stored_change newest{};

    std::shared_ptr<copied_write<Ports>> write;
    write_load load{};
    std::function<void()> resigned{};
    std::int64_t successor_size = 0;
    bool is_commit_due = false; ///< is called soon
    bool is_confirmation_due = false;
    bool has_inherited = false;
    bool is_resigning = false;
    bool is_stopped = false;
};

} // namespace foxtaillift::jobs
