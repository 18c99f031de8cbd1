/// The work of the entry host that leads: follows submissions, carries out the
/// scheduler's orders and has its records written.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/event_line.hpp"
#include "foxtaillift/jobs/election.hpp"
#include "foxtaillift/jobs/fleet.hpp"
#include "foxtaillift/jobs/host_ports.hpp"
#include "foxtaillift/jobs/inherited_state.hpp"
#include "foxtaillift/jobs/order_relays.hpp"
#include "foxtaillift/jobs/order_sender.hpp"
#include "foxtaillift/jobs/record_writer.hpp"
#include "foxtaillift/jobs/row_follower.hpp"
#include "foxtaillift/jobs/rows.hpp"
#include "foxtaillift/jobs/scheduler.hpp"
#include "foxtaillift/jobs/submission_batch.hpp"
#include "foxtaillift/jobs/worker_roster.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace foxtaillift::jobs
{

struct leader_options
{
    scheduler_options scheduling{};
    record_options recording{};
    relay_options relaying{};
    /// Least time between two runs of the decisions, which look at all jobs and
    /// workers; a hundredth of a second is little beside the objective of the
    /// shortest job (over 250 ms).
    base::duration decision_interval = base::milliseconds(10);
    /// Between log lines of the fleet's load.
    base::duration load_interval = base::milliseconds(1000);
    /// From a takeover until jobs may be rejected for lack of capacity.
    base::duration rejecting_after = base::milliseconds(5000);
};

/// How a submission may end.
enum class rejection_use
{
    allowed, ///< it may be rejected
    known,   ///< it is not rejected, but may find that it was before
    none,    ///< its host does not know what a rejection is
};

/// Exists from a takeover until the leadership is lost.
template <host_ports Ports>
class leader : public std::enable_shared_from_this<leader<Ports>>
{
public:
    using lost_callback = std::function<void(std::string const& reason)>;
    using host_finder = typename order_relays<Ports>::host_finder;

    /// `find_relays` tells the hosts that may pass orders on, if there are any.
    leader(
        Ports& ports_to_use,
        leader_options settings,
        lead_rows const& rows,
        lost_callback on_lost,
        host_finder find_relays = {})
        : ports(ports_to_use)
        , options(std::move(settings))
        , lost(std::move(on_lost))
        , earlier_beat_age(rows.beat_age)
        , taken_over_at(this->ports.now())
        , decisions(this->options.scheduling)
        , writer(std::make_shared<record_writer<Ports>>(
              ports_to_use,
              this->options.recording,
              rows,
              this->decisions,
              this->roster,
              record_events{
                  .on_committed = [this] { this->wake(); },
                  .on_lost =
                      [this](std::string const& reason) { this->lose(reason); },
                  .on_submitted =
                      [this](std::string const& job, std::string const& value) {
                          this->add_submitted(job, value);
                      }}))
        , relays(std::make_shared<order_relays<Ports>>(
              ports_to_use, this->options.relaying, std::move(find_relays)))
        , orders(std::make_shared<order_sender<Ports>>(
              ports_to_use, this->decisions, this->relays, [this] {
                  this->wake();
              }))
    {}

    ~leader()
    {
        this->stop_activity();
        this->writer->abandon();
    }
    leader(leader const&) = delete;
    leader& operator=(leader const&) = delete;

    // Commands

    void start()
    {
        this->decisions.begin_recovery(this->ports.now());
        this->loader = std::make_shared<inherited_state_loader<Ports>>(
            this->ports,
            // Held weakly: the leader owns the loader.
            [weak = this->weak_from_this()](inherited_state const& state) {
                auto const self = weak.lock();
                if (self && !self->is_stopped) {
                    self->take_over(state);
                }
            });
        this->loader->start();
    }

    /// Ends all activity; answers that are still due are ignored.
    void stop()
    {
        this->is_stopped = true;
        this->stop_activity();
        this->writer->stop();
    }

    void set_fleet(fleet_configuration const& fleet)
    {
        if (fleet.version > 0) {
            this->decisions.set_queues(fleet.queues());
        }
        for (auto const& queue : fleet.queues()) {
            this->use_service(queue.service);
        }
        this->wake();
    }

    void set_evacuated(std::string const& failure_domain, bool is_evacuated)
    {
        this->decisions.set_evacuated(
            failure_domain, is_evacuated, this->ports.now());
        this->wake();
    }

    /// Workers of a service that no queue names, and that none named since the
    /// takeover, get no orders.
    void list_worker(worker_info const& worker)
    {
        if (!this->services.contains(worker.service)) {
            if (this->roster.listed().contains(worker.id)) {
                this->unlist_worker(worker.id); // it has another service now
            }
            this->unused[worker.id] = worker;
            return;
        }
        this->unused.erase(worker.id);
        this->roster.list(worker);
        this->relays->list_worker(worker);
        if (this->roster.is_recorded(worker.id)) {
            this->decisions.list_worker(worker, this->ports.now());
        }
        this->wake();
    }

    void unlist_worker(std::string const& worker)
    {
        this->unused.erase(worker);
        this->roster.unlist(worker);
        this->relays->unlist_worker(worker);
        this->decisions.unlist_worker(worker, this->ports.now());
    }

    /// Makes a submission durable and adds its job. The callback comes once,
    /// with `done`, `not_done`, `unknown`, for a job that was cancelled before
    /// `conflict`, for one that was rejected before `barred`, or `rejected` if
    /// it cannot be served, or `full`, possibly from within the call.
    void submit(submission_batch::submission wanted, rejection_use use)
    {
        if (this->decisions.state_of(wanted.job)) {
            wanted.callback({.status = store_status::done}); // accepted before
            return;
        }
        if (!this->loaded) {
            wanted.callback({.status = store_status::not_done});
            return;
        }
        bool const is_full = !this->has_memory_for(wanted);
        if (is_full && !this->may_reject_now(wanted, use)) {
            wanted.callback({.status = store_status::full});
            return;
        }
        if (use == rejection_use::none) {
            hide_rejections(wanted);
        } else if (is_full) {
            this->reject_for_memory(wanted);
        } else if (
            use == rejection_use::allowed && this->may_reject() &&
            wanted.replaces == this->writer->rejection_version_of(wanted.job)) {
            this->decide_admission(wanted); // not for what is barred anyway
        }
        this->writer->submit(std::move(wanted));
    }

    /// Gives the leadership up, to a host of this size if it is not 0, with the
    /// next write.
    void resign(std::int64_t successor_size, std::function<void()> on_done)
    {
        this->writer->resign(
            successor_size, [this, on_done = std::move(on_done)] {
                this->stop();
                on_done();
            });
    }

    /// Call often (every 100 ms or less).
    void tick()
    {
        if (this->is_stopped) {
            return;
        }
        auto const now = this->ports.now();
        this->longest_tick_gap =
            std::max(this->longest_tick_gap, now - this->ticked_at);
        this->ticked_at = now;
        if (!this->loaded) {
            this->writer->beat();
        } else if (now - this->load_logged_at >= this->options.load_interval) {
            this->log_load();
        }
        this->wake();
    }

    // Queries

    /// The leadership was confirmed by the store this long ago.
    [[nodiscard]] base::duration store_age() const
    {
        return this->writer->age();
    }
    [[nodiscard]] scheduler const& state() const { return this->decisions; }
    [[nodiscard]] bool is_loaded() const { return this->loaded; }
    [[nodiscard]] lead_rows const& rows() const { return this->writer->rows(); }

private:
    /// Without a confirmation of the store for this long, leases are granted
    /// only while a majority of workers knows no higher token.
    static constexpr base::duration confirmed_time = base::milliseconds(2000);
    static constexpr base::duration majority_span = base::milliseconds(2500);
    /// After it, a job that was rejected for memory may come again; others have
    /// ended by then.
    static constexpr base::duration memory_retry = base::seconds(5);
    /// For a submission that is not written yet, beside its frame: a usual step
    /// has 30 bytes encoded and some 500 in memory.
    static constexpr std::size_t memory_factor = 16;
    static constexpr std::size_t memory_of_frame = 2048;
    /// Decisions take at most half of the time.
    static constexpr std::int64_t rest_factor = 1;

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

    /// Earlier leaders' work is known by then, and the rate of the fleet has
    /// settled.
    [[nodiscard]] bool may_reject() const
    {
        return this->ports.now() - this->taken_over_at >=
                   this->options.rejecting_after &&
               this->writer->may_reject();
    }

    /// Also beside the submissions that are not written yet. A copy of one of
    /// these needs none.
    [[nodiscard]] bool
    has_memory_for(submission_batch::submission const& wanted) const
    {
        if (this->writer->is_held(wanted.job)) {
            return true;
        }
        auto const size_of = [](std::size_t count, std::size_t encoded) {
            return count * memory_of_frame + encoded * memory_factor;
        };
        auto const held = this->writer->held_submissions();
        auto const size =
            size_of(held.count, held.bytes) + size_of(1, wanted.value.size());
        return this->decisions.has_memory_for(size, true) ||
               (this->decisions.has_memory_for(size, false) &&
                !is_scheduled(wanted.value));
    }

    static bool is_scheduled(std::string const& value)
    {
        try {
            return decode_job(value).repeats > 0;
        } catch (base::error const&) {
            return false; // it is reported once it is accepted
        }
    }

    /// The promise that the job never runs is durable, or is not made.
    [[nodiscard]] bool may_reject_now(
        submission_batch::submission const& wanted, rejection_use use) const
    {
        bool const is_barred =
            wanted.replaces != this->writer->rejection_version_of(wanted.job);
        return is_barred ||
               (use == rejection_use::allowed && this->writer->may_reject());
    }

    /// Makes a rejection of it, unless an earlier one bars it.
    void reject_for_memory(submission_batch::submission& wanted)
    {
        if (wanted.replaces != this->writer->rejection_version_of(wanted.job)) {
            return;
        }
        wanted.is_rejection = true;
        wanted.retry_after = memory_retry;
        this->ports.log(base::event_line{"job_rejected"}
                            .add("job", wanted.job)
                            .add("reason", "memory")
                            .add("bytes", wanted.value.size())
                            .add("jobs", this->decisions.job_count())
                            .add("retry_after_ms", memory_retry));
    }

    /// For a host of an earlier version, which takes the row of a rejection for
    /// that of an accepted job.
    static void hide_rejections(submission_batch::submission& wanted)
    {
        wanted.callback = [callback = std::move(wanted.callback)](
                              submission_answer const& answer) {
            bool const is_hidden = answer.status == store_status::rejected ||
                                   answer.status == store_status::barred;
            callback(
                {.status = is_hidden ? store_status::conflict : answer.status});
        };
    }

    /// Makes a rejection of it if the job cannot be served.
    void decide_admission(submission_batch::submission& wanted)
    {
        std::optional<job_spec> job;
        try {
            job = decode_job(wanted.value);
        } catch (base::error const&) {
            return; // it is reported once it is accepted
        }
        auto const found =
            this->decisions.decide_admission(*job, this->ports.now());
        if (!found.is_rejected) {
            return;
        }
        wanted.is_rejection = true;
        wanted.retry_after = found.retry_after;
        this->ports.log(base::event_line{"job_rejected"}
                            .add("job", wanted.job)
                            .add("queue", job->queue)
                            .add("predicted_ms", found.predicted)
                            .add("limit_ms", found.limit)
                            .add("work_ahead_ms", found.work_ahead_ms)
                            .add("processors", found.processors)
                            .add("returned", found.is_returned)
                            .add("retry_after_ms", found.retry_after));
    }

    void stop_activity()
    {
        this->orders->stop();
        if (this->loader) {
            this->loader->stop();
        }
        if (this->jobs_follower) {
            this->jobs_follower->stop();
        }
    }

    void take_over(inherited_state const& state)
    {
        auto const now = this->ports.now();
        for (auto const& page : state.workers) {
            this->recall(page, now);
        }
        this->take_learned(state.learned);
        if (state.lease &&
            state.lease->token + 1 == this->rows().current.token) {
            this->decisions.take_longest_lease(state.lease->longest);
            if (state.lease->left) {
                this->decisions.take_resignation(
                    now - this->record_age(), *state.lease->left);
            }
        }
        this->decisions.take_closed(state.closed, now, this->record_age());
        for (auto const& [job, ended] : state.ended) {
            this->decisions.add_ended(job, ended);
        }
        this->writer->inherit(state);
        this->inherited = state.progress;
        this->follow_jobs();
    }

    /// The earlier leader wrote last at least this long ago. What it told of
    /// the store's time may be older by as long as the store takes to answer.
    [[nodiscard]] base::duration record_age() const
    {
        constexpr base::duration longest_answer = base::milliseconds(1000);
        auto const age_at_takeover =
            this->earlier_beat_age
                ? std::max(
                      base::duration{},
                      *this->earlier_beat_age - longest_answer)
                : base::duration{};
        return age_at_takeover + (this->ports.now() - this->taken_over_at);
    }

    void recall(roster_page const& page, base::instant now)
    {
        this->roster.recall(page);
        for (auto const& worker : page.workers) {
            this->relays->list_worker(worker);
            auto const found = this->roster.listed().find(worker.id);
            if (found == this->roster.listed().end()) {
                this->decisions.recall_worker(worker, now);
            } else {
                this->decisions.list_worker(found->second, now);
            }
        }
    }

    void take_learned(std::string const& text)
    {
        if (text.empty()) {
            return;
        }
        try {
            this->decisions.take_learned(text);
        } catch (base::error const& failure) {
            report_bad_row(
                this->ports, {.table = tables::lead, .key = lead_keys::learned},
                failure);
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
        this->ports.log(line.add("token", this->rows().current.token)
                            .add("jobs", this->decisions.job_count())
                            .add("workers", this->roster.recorded_count()));
        this->wake();
    }

    void on_job_row(row const& row)
    {
        auto const key = parse_job_key(row.key);
        if (this->is_stopped || row.is_removed || !key.is_valid) {
            return;
        }
        auto const now = this->ports.now();
        if (key.is_tombstone) {
            this->writer->add_tombstone(key.job);
            return;
        }
        if (key.is_cancellation) {
            this->decisions.cancel_job(key.job, now);
            this->wake();
            return;
        }
        this->writer->forget_rejection(key.job);
        if (!this->decisions.is_present(key.job)) {
            this->add_submitted(key.job, row.value);
        }
        this->wake();
    }

    /// Lists the workers of the service if it was not in use before.
    void use_service(std::string const& service)
    {
        if (!this->services.insert(service).second) {
            return;
        }
        auto const listed = this->unused; // list_worker() removes from it
        for (auto const& [id, worker] : listed) {
            if (worker.service == service) {
                this->list_worker(worker);
            }
        }
    }

    void add_submitted(std::string const& id, std::string const& value)
    {
        try {
            auto job = decode_job(value);
            if (job.terms) {
                this->use_service(job.terms->service);
            }
            auto const found = this->inherited.find(id);
            this->decisions.add_job(
                std::move(job),
                found == this->inherited.end() ? std::nullopt
                                               : std::optional{found->second},
                this->ports.now());
        } catch (base::error const& failure) {
            report_bad_row(
                this->ports, {.table = tables::jobs, .key = submission_key(id)},
                failure);
        }
    }

    void log_load()
    {
        auto const now = this->ports.now();
        this->load_logged_at = now;
        auto const load = this->decisions.load(now);
        auto const writes = this->writer->take_load();
        auto const sent = this->orders->take_counts();
        this->ports.log(
            base::event_line{"fleet_load"}
                .add("workers", load.workers)
                .add("usable", load.usable_workers)
                .add("barred", load.barred_workers)
                .add("fenced", load.fenced_workers)
                .add("evacuated", load.evacuated_workers)
                .add("lasting_waiting", load.lasting_waiting)
                .add("longest_lasting_wait_ms", load.longest_lasting_wait)
                .add("processors", load.capacity.processors)
                .add("used", load.used.processors)
                .add("serving", load.serving_processors)
                .add("filling", load.filling_processors)
                .add("serving_used", load.serving_used)
                .add("filling_paced", load.filling_paced)
                .add("filling_used", load.filling_used)
                .add("exceeding_runs", load.exceeding_runs)
                .add("memory_mb", load.capacity.memory_mb)
                .add("used_mb", load.used.memory_mb)
                .add("job_bytes", load.job_memory)
                .add("job_bytes_limit", this->options.scheduling.job_memory)
                .add("decisions", this->decision_count)
                .add("deciding_ms", this->deciding)
                .add("writes", writes.count)
                .add("writing_ms", writes.time)
                .add("looks", sent.looks)
                .add("starts", sent.starts)
                .add("stops", sent.stops)
                .add("paces", sent.paces)
                .add("answer_ms", this->decisions.usual_answer_time())
                .add("tick_gap_ms", this->longest_tick_gap));
        this->log_admission(now);
        this->longest_tick_gap = {};
        this->decision_count = 0;
        this->deciding = {};
        for (auto const& [name, queue] : load.queues) {
            this->ports.log(base::event_line{"queue_load"}
                                .add("queue", name)
                                .add("jobs", queue.jobs)
                                .add("running_tasks", queue.running_tasks)
                                .add("waiting_tasks", queue.waiting_tasks)
                                .add("in_time", queue.in_time)
                                .add("late", queue.late)
                                .add("worthless", queue.worthless));
        }
    }

    void log_admission(base::instant now)
    {
        for (auto const& each : this->decisions.admission(now)) {
            if (!each.is_overloaded) {
                continue;
            }
            this->ports.log(base::event_line{"overload"}
                                .add("service", each.service)
                                .add("kind", each.kind)
                                .add("since_ms", each.overloaded)
                                .add("waiting_work_ms", each.waiting_ms)
                                .add("processors", each.processors)
                                .add("rejected", each.rejected)
                                .add("returned", each.returned)
                                .add("rows", this->writer->rejection_count()));
        }
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

    /// Tells the decisions up to which time the rows of jobs are known: a row
    /// that was stored before a change of this leader has a lower version.
    void note_jobs_read()
    {
        if (!this->awaited_change) {
            this->awaited_change = this->writer->last_change();
        }
        if (this->jobs_follower->read_version() >=
            this->awaited_change->version) {
            this->decisions.on_jobs_read(this->awaited_change->sent_at);
            this->awaited_change.reset();
        }
    }

    void run()
    {
        this->note_jobs_read();
        auto const now = this->ports.now();
        this->decisions.on_confirmed(now - this->store_age());
        auto const fenced_at = this->decisions.fenced_at();
        if (fenced_at && now - *fenced_at > confirmed_time) {
            this->lose(
                "a worker knows a higher token, and the store is silent");
            return;
        }
        if (fenced_at) {
            this->writer->confirm();
        }
        bool const may_grant =
            !this->writer->is_giving_up() && !fenced_at &&
            (this->store_age() < confirmed_time ||
             this->decisions.is_majority_heard(now - majority_span, now));
        this->orders->send(
            this->decisions.take_orders(now, this->ports.wall_ms(), may_grant));
        this->writer->commit();
    }

    void lose(std::string const& reason)
    {
        this->stop();
        auto const notify = this->lost;
        notify(reason);
    }

    Ports& ports;
    leader_options options;
    lost_callback lost;
    /// Of the earlier leader's last write, at the takeover.
    std::optional<base::duration> earlier_beat_age;
    base::instant taken_over_at;
    scheduler decisions;
    worker_roster roster{};
    std::shared_ptr<record_writer<Ports>> writer;
    std::shared_ptr<order_relays<Ports>> relays;
    std::shared_ptr<order_sender<Ports>> orders;
    std::shared_ptr<inherited_state_loader<Ports>> loader{};
    std::shared_ptr<row_follower<Ports>> jobs_follower{};
    std::map<std::string, job_progress> inherited{};
    /// Services that a queue, or the terms of a job, have named.
    std::set<std::string, std::less<>> services{};
    /// Listed workers of other services.
    std::map<std::string, worker_info> unused{};
    base::instant ran_at{-1'000'000};
    base::duration rest{}; ///< until the decisions run again
    /// Not known yet to be covered by the rows of jobs that were read.
    std::optional<typename record_writer<Ports>::stored_change>
        awaited_change{};
    base::instant load_logged_at{-1'000'000};
    base::instant ticked_at = this->ports.now();
    // Since the last line on the load.
    int decision_count = 0;
    base::duration deciding{}; ///< time of the decisions
    base::duration longest_tick_gap{};
    bool is_awake = false;
    bool loaded = false;
    bool is_stopped = false;
};

} // namespace foxtaillift::jobs
