/// The job service of one entry host: accepts jobs and questions of callers,
/// takes part in the election, and leads if it is elected.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/event_line.hpp"
#include "foxtaillift/jobs/contact.hpp"
#include "foxtaillift/jobs/election.hpp"
#include "foxtaillift/jobs/fleet.hpp"
#include "foxtaillift/jobs/job.hpp"
#include "foxtaillift/jobs/leader.hpp"
#include "foxtaillift/jobs/peer_message.hpp"
#include "foxtaillift/jobs/progress.hpp"
#include "foxtaillift/jobs/rows.hpp"
#include "foxtaillift/jobs/views.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace foxtaillift::jobs
{

struct coordinator_options
{
    std::string host{};
    std::string failure_domain{};
    std::string peer_address{}; ///< where peers reach this process
    std::string nonce{};        ///< unique for this process
    election_options electing{};
    leader_options leading{};
};

/// `Ports` connects it to the outside and provides
///
///     base::instant now();        // counts while the host is suspended
///     std::int64_t wall_ms();     // time of day
///     void after(base::duration, std::function<void()>);
///     void log(base::event_line const&);
///     void read(table, from, to, callback(rows_result));
///     void watch(table, version, wait, callback(rows_result));
///     void change(row_change, callback(change_result));
///     void look(look_order, callback(order_status, worker_report const&));
///     void start(start_order, callback(order_status)); // stop, pace alike
///     void advise(advice_order, callback(std::optional<advice>));
///     void ask(address, peer_request, callback(std::optional<peer_reply>));
///     void follow_workers(bool); // list_worker and unlist_worker follow
///
/// Callbacks come once each, never from within the call. Not thread-safe.
template <class Ports>
class coordinator : public std::enable_shared_from_this<coordinator<Ports>>
{
public:
    using outcome_callback = std::function<void(request_outcome)>;
    /// The state; nothing for an unknown job. `false`: it cannot be told now.
    using state_callback = std::function<void(bool, std::optional<job_state>)>;
    using count_callback = std::function<void(std::optional<std::size_t>)>;

    coordinator(Ports& ports_to_use, coordinator_options settings)
        : ports(ports_to_use)
        , options(std::move(settings))
        , voting(this->options.electing)
    {}

    void start() { this->tick(); }

    void set_fleet(fleet_configuration fleet)
    {
        this->configuration = std::move(fleet);
        if (this->led) {
            this->led->set_fleet(this->configuration);
        }
    }
    [[nodiscard]] fleet_configuration const& fleet() const
    {
        return this->configuration;
    }

    void list_worker(worker_info const& worker)
    {
        this->workers[worker.id] = worker;
        if (this->led) {
            this->led->list_worker(worker);
        }
    }

    void unlist_worker(std::string const& worker)
    {
        this->workers.erase(worker);
        if (this->led) {
            this->led->unlist_worker(worker);
        }
    }

    /// This host reaches neither the store nor any other host, so callers are
    /// served better elsewhere.
    [[nodiscard]] bool is_isolated() const
    {
        return this->reach.is_isolated(this->ports.now());
    }

    /// Makes the job durable. `deadline` bounds the time until the callback.
    void submit(
        job_spec const& job, base::duration deadline, outcome_callback callback)
    {
        auto request = std::make_shared<submission>();
        request->id = job.id;
        request->value = encode(job);
        request->give_up_at = this->ports.now() + deadline;
        request->callback = std::move(callback);
        this->ports.after(deadline, this->bound([this, request] {
            this->finish(
                *request, request->may_have_run || request->is_sent
                              ? request_outcome::unknown
                              : request_outcome::refused);
        }));
        this->try_submit(request);
    }

    void cancel(
        std::string const& job,
        base::duration deadline,
        outcome_callback callback)
    {
        this->try_cancel(
            job, this->ports.now() + deadline, std::move(callback));
    }

    void query(std::string const& job, state_callback callback)
    {
        if (this->led && this->led->is_loaded()) {
            if (auto const state = this->led->state().state_of(job)) {
                callback(true, state);
                return;
            }
        }
        if (!this->has_peer_leader()) {
            this->query_store(job, std::move(callback));
            return;
        }
        this->ports.ask(
            this->voting.leader_address(),
            {.kind = peer_kind::job, .name = job},
            this->bound([this, job, callback = std::move(callback)](
                            std::optional<peer_reply> reply) mutable {
                if (reply && reply->state) {
                    callback(true, reply->state);
                } else {
                    this->query_store(job, std::move(callback));
                }
            }));
    }

    void pending(std::string const& queue, count_callback callback)
    {
        if (this->led && this->led->is_loaded()) {
            callback(this->led->state().pending(queue));
            return;
        }
        if (!this->has_peer_leader()) {
            callback(this->last_count(queue));
            return;
        }
        this->ports.ask(
            this->voting.leader_address(),
            {.kind = peer_kind::queue, .name = queue},
            this->bound([this, queue, callback = std::move(callback)](
                            std::optional<peer_reply> reply) {
                if (reply && reply->pending) {
                    this->pending_counts[queue] = {
                        this->ports.now(), *reply->pending};
                }
                callback(this->last_count(queue));
            }));
    }

    /// Answers a request of a peer, possibly later.
    void
    on_peer(peer_request const& request, std::function<void(peer_reply)> reply)
    {
        auto const now = this->ports.now();
        if (request.kind == peer_kind::ping) {
            this->reach.on_pinged(request.address, now);
        } else {
            this->reach.on_contact(now);
        }
        peer_reply answer;
        answer.is_leading = this->led != nullptr;
        if (this->led) {
            answer.leader_token = this->led->rows().current.token;
            answer.leader_address = this->options.peer_address;
        } else if (this->has_peer_leader() && !this->is_leader_doubtful()) {
            answer.leader_token = this->voting.known()->current.token;
            answer.leader_address = this->voting.leader_address();
        }
        answer.nonce = this->options.nonce;
        answer.version = this->configuration.version;
        if (!this->led) {
            reply(std::move(answer));
            return;
        }
        answer.store_age = this->led->store_age();
        answer.beat_version = this->led->rows().beat_version;
        if (request.kind == peer_kind::ping) {
            answer.peers = this->reach.peers_for(request.address, now);
        }
        this->yield_to(request.size);
        if (!this->led) {
            reply(std::move(answer));
            return;
        }
        auto const& state = this->led->state();
        if (request.kind == peer_kind::job && this->led->is_loaded()) {
            answer.state = state.state_of(request.name);
        } else if (request.kind == peer_kind::queue && this->led->is_loaded()) {
            answer.pending = state.pending(request.name);
        } else if (request.kind == peer_kind::submit) {
            this->led->submit(
                {.job = request.name,
                 .value = request.value,
                 .callback = [answer, reply = std::move(reply)](
                                 store_status status) mutable {
                     answer.submission = status;
                     reply(answer);
                 }});
            return;
        } else if (request.kind == peer_kind::cancel) {
            this->cancel(
                request.name, peer_cancel_time,
                [answer,
                 reply = std::move(reply)](request_outcome outcome) mutable {
                    answer.cancellation = outcome;
                    reply(answer);
                });
            return;
        }
        reply(std::move(answer));
    }

    /// Gives the leadership up if it has it, then calls `on_done`.
    void stop(std::function<void()> on_done)
    {
        this->is_stopping = true;
        if (!this->led) {
            on_done();
            return;
        }
        this->led->resign(0, this->bound([this, on_done = std::move(on_done)] {
            // Peers that ask are told at once that nobody leads here.
            auto const ended = std::exchange(this->led, nullptr);
            this->ports.after(
                base::duration{}, [ended, on_done] { on_done(); });
        }));
    }

    [[nodiscard]] bool is_leading() const { return this->led != nullptr; }

    /// Answers a read of an operator below `/v1/`. A host that does not lead
    /// names the leader (status 421), which knows the jobs and workers.
    [[nodiscard]] operator_answer
    answer_operator(std::string_view path, bool is_ready) const
    {
        auto const now = this->ports.now();
        bool const has_leader = this->led || this->has_peer_leader();
        host_view const view{
            .host = this->options.host,
            .failure_domain = this->options.failure_domain,
            .is_ready = is_ready,
            .is_leading = this->led != nullptr,
            .configuration = this->configuration.version,
            .token = this->led    ? this->led->rows().current.token
                     : has_leader ? this->voting.known()->current.token
                                  : 0,
            .leader_address =
                this->led ? this->options.peer_address
                          : (has_leader ? this->voting.leader_address() : "")};
        return answer_operator_read(path, view, this->decisions(), now);
    }
    [[nodiscard]] scheduler const* decisions() const
    {
        return this->led ? &this->led->state() : nullptr;
    }

private:
    struct submission
    {
        std::string id{};
        std::string value{};
        base::instant give_up_at{};
        outcome_callback callback{};
        bool may_have_run = false; ///< a copy whose outcome is not known
        bool is_sent = false;      ///< a copy is out
    };

    /// An older count of waiting jobs is not given; callers allow 2 s.
    static constexpr base::duration count_age_limit = base::milliseconds(1500);
    /// A leadership lasts at least this long before it is yielded, and another
    /// yield follows no sooner: the larger host may not reach the store.
    static constexpr base::duration least_term = base::seconds(2);
    static constexpr base::duration yield_interval = base::seconds(20);
    static constexpr base::duration tick_interval = base::milliseconds(100);
    /// A leader answers each ping, every 500 ms. One that has said nothing for
    /// longer may be dead: hosts write submissions by themselves.
    static constexpr base::duration leader_answer_age = base::milliseconds(900);
    static constexpr base::duration leader_check = base::milliseconds(200);
    /// For which a leader tries to cancel a job for another host, which waits
    /// for an answer a little longer.
    static constexpr base::duration peer_cancel_time = base::milliseconds(300);
    /// Before a request whose outcome is unknown is sent again.
    static constexpr base::duration retry_gap = base::milliseconds(150);
    /// The store counts as away after this many failures in a row, until one
    /// call succeeds or this long after the last failure.
    static constexpr int failures_until_away = 2;
    /// A call to a store that has gone silent fails after 1 s, and the election
    /// calls it all the while.
    static constexpr base::duration away_time = base::milliseconds(1500);
    /// A host that has heard the store this recently writes at once.
    static constexpr base::duration store_known = base::milliseconds(500);
    /// A store that answers a read no sooner counts as silent: it takes 4 ms,
    /// or up to 70 times as long while it is slow.
    static constexpr base::duration probe_limit = base::milliseconds(500);

    template <class Function>
    auto bound(Function function)
    {
        return [self = this->shared_from_this(),
                function = std::move(function)](auto&&... arguments) mutable {
            function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    [[nodiscard]] bool has_peer_leader() const
    {
        return !this->led && !this->voting.leader_address().empty() &&
               this->voting.leader_address() != this->options.peer_address;
    }

    [[nodiscard]] bool is_leader_doubtful() const
    {
        return this->ports.now() - this->leader_answered_at > leader_answer_age;
    }

    [[nodiscard]] std::optional<std::size_t>
    last_count(std::string const& queue) const
    {
        auto const found = this->pending_counts.find(queue);
        if (found == this->pending_counts.end() ||
            this->ports.now() - found->second.first > count_age_limit) {
            return std::nullopt;
        }
        return found->second.second;
    }

    /// Call with the result of each call to the store.
    void note_store(store_status status, base::duration took)
    {
        bool const is_answer =
            status == store_status::done || status == store_status::conflict;
        if (is_answer) {
            this->store_took = took;
        }
        this->store_failures = is_answer ? 0 : this->store_failures + 1;
        auto& last =
            is_answer ? this->store_answered_at : this->store_failed_at;
        last = this->ports.now();
        if (is_answer) {
            this->reach.on_contact(last);
        }
    }

    [[nodiscard]] bool is_store_away()
    {
        return this->store_failures >= failures_until_away &&
               this->ports.now() - this->store_failed_at < away_time;
    }

    /// A store that is slow carries out few changes a second, and those of the
    /// leader, which hold the jobs of all hosts, wait behind all others. So no
    /// host writes a job by itself then.
    [[nodiscard]] bool is_store_slow() const
    {
        return this->store_took > this->options.electing.quick_read;
    }

    // Submissions

    /// Calls back with `done` if the row exists now, however it came there.
    void write_submission(
        std::string const& id,
        std::string const& value,
        std::function<void(store_status)> callback)
    {
        row_change change;
        change.conditions = {
            {tables::jobs, submission_key(id), 0}, {tables::ended, id, 0}};
        change.puts.push_back(
            {.table = tables::jobs, .key = submission_key(id), .value = value});
        this->ports.change(
            std::move(change), this->bound([this, sent_at = this->ports.now(),
                                            callback = std::move(callback)](
                                               change_result const& result) {
                this->note_store(result.status, this->ports.now() - sent_at);
                // In a conflict the job was accepted before.
                callback(
                    result.status == store_status::conflict ? store_status::done
                                                            : result.status);
            }));
    }

    void try_submit(std::shared_ptr<submission> const& request)
    {
        if (this->led && this->led->is_loaded()) {
            this->submit_here(request);
        } else if (this->has_peer_leader() && !this->is_leader_doubtful()) {
            this->submit_to_leader(request);
        } else {
            this->submit_alone(request);
        }
    }

    /// While this host leads.
    void submit_here(std::shared_ptr<submission> const& request)
    {
        request->is_sent = true;
        this->led->submit(
            {.job = request->id,
             .value = request->value,
             // Held weakly: this object owns the leader.
             .callback = [weak = this->weak_from_this(),
                          request](store_status status) {
                 if (auto const self = weak.lock()) {
                     self->on_submitted(request, status);
                 }
             }});
    }

    void on_submitted(
        std::shared_ptr<submission> const& request, store_status status)
    {
        request->is_sent = false;
        if (status == store_status::done) {
            this->finish(*request, request_outcome::accepted);
            return;
        }
        request->may_have_run |= status == store_status::unknown;
        this->submit_again(request);
    }

    /// The leader writes all that it gets in one change and knows the job at
    /// once. A host that knows no leader writes by itself.
    void submit_to_leader(std::shared_ptr<submission> const& request)
    {
        request->is_sent = true;
        auto const is_answered = std::make_shared<bool>(false);
        this->ports.ask(
            this->voting.leader_address(),
            {.kind = peer_kind::submit,
             .name = request->id,
             .value = request->value},
            this->bound([this, request,
                         is_answered](std::optional<peer_reply> const& reply) {
                if (!std::exchange(*is_answered, true)) {
                    this->on_leader_answer(request, reply);
                }
            }));
        this->await_leader(request, is_answered);
    }

    /// Stops waiting for a leader that answers nothing at all any more.
    void await_leader(
        std::shared_ptr<submission> const& request,
        std::shared_ptr<bool> const& is_answered)
    {
        this->ports.after(
            leader_check, this->bound([this, request, is_answered] {
                if (*is_answered) {
                    return;
                }
                if (this->is_leader_doubtful()) {
                    *is_answered = true;
                    this->on_leader_answer(request, std::nullopt);
                } else {
                    this->await_leader(request, is_answered);
                }
            }));
    }

    void on_leader_answer(
        std::shared_ptr<submission> const& request,
        std::optional<peer_reply> const& reply)
    {
        if (reply && reply->submission == store_status::done) {
            this->finish(*request, request_outcome::accepted);
            return;
        }
        request->is_sent = false;
        bool const is_certain =
            reply && reply->submission != store_status::unknown;
        request->may_have_run |= !is_certain;
        if (this->is_store_away()) {
            this->submit_again(request);
        } else {
            this->submit_alone(request);
        }
    }

    /// Without the leader. A write to a store that is silent leaves its outcome
    /// unknown, and a caller that is told so may not come again. So a host that
    /// has not heard the store lately reads first, which can be given up.
    void submit_alone(std::shared_ptr<submission> const& request)
    {
        bool const is_heard =
            this->ports.now() - this->store_answered_at < store_known;
        if (request->may_have_run || is_heard) {
            this->submit_unless_slow(request);
            return;
        }
        auto const is_over = std::make_shared<bool>(false);
        this->ports.read(
            tables::jobs, first_key(request->id), end_key(request->id),
            this->bound([this, request, is_over, sent_at = this->ports.now()](
                            rows_result const& result) {
                this->note_store(result.status, this->ports.now() - sent_at);
                if (std::exchange(*is_over, true)) {
                    return;
                }
                if (!request->callback) {
                    return; // its caller was refused meanwhile
                }
                if (result.status == store_status::done) {
                    this->submit_unless_slow(request);
                } else {
                    this->submit_again(request);
                }
            }));
        this->ports.after(probe_limit, this->bound([this, request, is_over] {
            if (!std::exchange(*is_over, true)) {
                this->submit_again(request);
            }
        }));
    }

    void submit_unless_slow(std::shared_ptr<submission> const& request)
    {
        if (this->is_store_slow()) {
            this->submit_again(request);
        } else {
            this->submit_to_store(request);
        }
    }

    void submit_to_store(std::shared_ptr<submission> const& request)
    {
        request->is_sent = true;
        this->write_submission(
            request->id, request->value, [this, request](store_status status) {
                this->on_submitted(request, status);
            });
    }

    void submit_again(std::shared_ptr<submission> const& request)
    {
        if (!request->callback) {
            return; // its caller was told that the outcome is unknown
        }
        if (!request->may_have_run) {
            this->finish(*request, request_outcome::refused);
            return;
        }
        if (this->ports.now() + retry_gap >= request->give_up_at) {
            this->finish(*request, request_outcome::unknown);
            return;
        }
        this->ports.after(retry_gap, this->bound([this, request] {
            if (request->callback) {
                this->try_submit(request);
            }
        }));
    }

    /// Does nothing if the caller has an answer.
    void finish(submission& request, request_outcome outcome)
    {
        if (auto const callback = std::exchange(request.callback, {})) {
            callback(outcome);
        }
    }

    // Cancellation

    void try_cancel(
        std::string job, base::instant give_up_at, outcome_callback callback)
    {
        this->ports.read(
            tables::jobs, first_key(job), end_key(job),
            this->bound([this, job, give_up_at, sent_at = this->ports.now(),
                         callback = std::move(callback)](
                            rows_result const& result) mutable {
                this->note_store(result.status, this->ports.now() - sent_at);
                if (result.status != store_status::done) {
                    this->cancel_elsewhere(
                        std::move(job), give_up_at, std::move(callback));
                    return;
                }
                row const* accepted = nullptr;
                bool is_cancelled = false;
                for (auto const& row : result.rows) {
                    if (row.key == submission_key(job)) {
                        accepted = &row;
                    }
                    is_cancelled |= row.key == cancellation_key(job);
                }
                if (accepted == nullptr) {
                    this->answer_over(job, std::move(callback));
                } else if (is_cancelled) {
                    callback(request_outcome::accepted);
                } else {
                    this->write_cancellation(
                        std::move(job), accepted->version, give_up_at,
                        std::move(callback));
                }
            }));
    }

    /// The store may answer the leader though it does not answer this host.
    void cancel_elsewhere(
        std::string job, base::instant give_up_at, outcome_callback callback)
    {
        if (!this->has_peer_leader() || this->is_leader_doubtful()) {
            this->cancel_again(std::move(job), give_up_at, std::move(callback));
            return;
        }
        this->ports.ask(
            this->voting.leader_address(),
            {.kind = peer_kind::cancel, .name = job},
            this->bound([this, job, give_up_at, callback = std::move(callback)](
                            std::optional<peer_reply> const& reply) mutable {
                bool const is_final =
                    reply && reply->cancellation &&
                    *reply->cancellation != request_outcome::refused &&
                    *reply->cancellation != request_outcome::unknown;
                if (is_final) {
                    callback(*reply->cancellation);
                    return;
                }
                this->cancel_again(
                    std::move(job), give_up_at, std::move(callback));
            }));
    }

    /// A job without a row of its own is over, or nobody submitted it.
    void answer_over(std::string const& job, outcome_callback callback)
    {
        this->ports.read(
            tables::ended, job, job + "!",
            this->bound(
                [callback = std::move(callback)](rows_result const& result) {
                    callback(
                        result.status != store_status::done
                            ? request_outcome::refused
                        : result.rows.empty() ? request_outcome::unknown_job
                                              : request_outcome::accepted);
                }));
    }

    void write_cancellation(
        std::string job,
        std::int64_t version,
        base::instant give_up_at,
        outcome_callback callback)
    {
        row_change change;
        change.conditions = {{tables::jobs, submission_key(job), version}};
        change.puts.push_back(
            {.table = tables::jobs, .key = cancellation_key(job)});
        this->ports.change(
            std::move(change),
            this->bound([this, job, give_up_at, sent_at = this->ports.now(),
                         callback = std::move(callback)](
                            change_result const& result) mutable {
                this->note_store(result.status, this->ports.now() - sent_at);
                if (result.status == store_status::done ||
                    result.status == store_status::conflict) {
                    callback(request_outcome::accepted);
                    return;
                }
                this->cancel_elsewhere(
                    std::move(job), give_up_at, std::move(callback));
            }));
    }

    void cancel_again(
        std::string job, base::instant give_up_at, outcome_callback callback)
    {
        if (this->ports.now() + retry_gap >= give_up_at) {
            callback(request_outcome::unknown);
            return;
        }
        this->ports.after(
            retry_gap, this->bound([this, job = std::move(job), give_up_at,
                                    callback = std::move(callback)]() mutable {
                this->try_cancel(
                    std::move(job), give_up_at, std::move(callback));
            }));
    }

    // Queries of the store, while no leader answers

    void query_store(std::string const& job, state_callback callback)
    {
        this->ports.read(
            tables::progress, job, job + "!",
            this->bound([this, job, sent_at = this->ports.now(),
                         callback = std::move(callback)](
                            rows_result const& result) mutable {
                this->note_store(result.status, this->ports.now() - sent_at);
                if (result.status != store_status::done) {
                    callback(false, std::nullopt);
                } else if (result.rows.empty()) {
                    this->query_submission(job, std::move(callback));
                } else {
                    this->answer_progress(result.rows.front(), callback);
                }
            }));
    }

    void answer_progress(row const& found, state_callback const& callback)
    {
        try {
            callback(true, decode_progress(found.value).state);
        } catch (base::error const& failure) {
            this->ports.log(base::event_line{"row_unreadable"}
                                .add("table", found.table)
                                .add("key", found.key)
                                .add("reason", failure.what()));
            callback(false, std::nullopt);
        }
    }

    void query_submission(std::string const& job, state_callback callback)
    {
        this->ports.read(
            tables::jobs, submission_key(job), end_key(job),
            this->bound([this, job, callback = std::move(callback)](
                            rows_result const& result) mutable {
                if (result.status != store_status::done) {
                    callback(false, std::nullopt);
                } else if (result.rows.empty()) {
                    this->query_ended(job, std::move(callback));
                } else {
                    callback(true, job_state::queued);
                }
            }));
    }

    void query_ended(std::string const& job, state_callback callback)
    {
        this->ports.read(
            tables::ended, job, job + "!",
            this->bound(
                [callback = std::move(callback)](rows_result const& result) {
                    if (result.status != store_status::done) {
                        callback(false, std::nullopt);
                        return;
                    }
                    std::optional<job_state> state;
                    if (!result.rows.empty()) {
                        state = parse_job_state(result.rows.front().value);
                    }
                    callback(true, state);
                }));
    }

    // Election

    void tick()
    {
        this->ports.after(tick_interval, this->bound([this] { this->tick(); }));
        this->check_contact();
        if (this->led) {
            this->led->tick();
            return;
        }
        this->vote();
    }

    /// Takes the next step of the election, if one is due.
    void vote()
    {
        if (this->led || this->is_stopping || this->is_election_busy) {
            return;
        }
        switch (this->voting.next(this->ports.now())) {
        case election::step::none:
            break;
        case election::step::ping:
            this->ping();
            break;
        case election::step::read:
            this->read_lead();
            break;
        case election::step::take_over:
            this->take_over();
            break;
        }
    }

    void check_contact()
    {
        auto const now = this->ports.now();
        if (this->led) {
            this->reach.on_contact(now - this->led->store_age());
        }
        if (!this->led && this->is_leader_doubtful()) {
            this->ask_for_leader(now);
        }
        if (this->is_isolated() != this->was_isolated) {
            this->was_isolated = !this->was_isolated;
            this->ports.log(base::event_line{"isolation"}
                                .add("isolated", this->was_isolated)
                                .add("leading", this->led != nullptr));
        }
    }

    void ask_for_leader(base::instant at)
    {
        for (auto const& address : this->reach.take_questions(at)) {
            this->ports.ask(
                address, {.kind = peer_kind::ping},
                this->bound([this](std::optional<peer_reply> const& reply) {
                    if (!reply) {
                        return;
                    }
                    auto const now = this->ports.now();
                    this->reach.on_contact(now);
                    if (!this->led) {
                        this->voting.on_leader_named(
                            reply->leader_token, reply->leader_address, now);
                    }
                }));
        }
    }

    void ping()
    {
        this->is_election_busy = true;
        this->ports.ask(
            this->voting.leader_address(),
            {.kind = peer_kind::ping,
             .size = this->is_store_away() ? 0 : this->options.electing.size,
             .address = this->options.peer_address},
            this->bound([this](std::optional<peer_reply> reply) {
                this->is_election_busy = false;
                auto const now = this->ports.now();
                if (!reply) {
                    this->voting.on_ping_failed(now);
                    this->vote();
                    return;
                }
                this->reach.on_contact(now);
                if (reply->is_leading) {
                    this->leader_answered_at = now;
                    this->reach.on_peers(std::move(reply->peers));
                }
                this->voting.on_ping(
                    reply->is_leading, reply->store_age, reply->beat_version,
                    now);
                this->vote();
            }));
    }

    void read_lead()
    {
        this->is_election_busy = true;
        auto const sent_at = this->ports.now();
        this->ports.read(
            tables::lead, "", lead_keys::workers,
            this->bound([this, sent_at](rows_result const& result) {
                this->is_election_busy = false;
                this->on_lead_read(result, this->ports.now() - sent_at);
                this->vote();
            }));
    }

    void on_lead_read(rows_result const& result, base::duration took)
    {
        auto const now = this->ports.now();
        this->note_store(result.status, took);
        if (result.status != store_status::done) {
            this->voting.on_read_failed(now);
            return;
        }
        this->store_time.on_answer(result.store_ms, now);
        lead_rows found;
        try {
            for (auto const& row : result.rows) {
                if (row.key == lead_keys::epoch) {
                    found.current = decode_leadership(row.value);
                    found.epoch_version = row.version;
                } else if (row.key == lead_keys::beat) {
                    found.beat_version = row.version;
                    found.beat_age =
                        this->age_of(decode_beat(row.value), result.store_ms);
                }
            }
        } catch (base::error const& failure) {
            this->ports.log(base::event_line{"row_unreadable"}
                                .add("table", tables::lead)
                                .add("reason", failure.what()));
            this->voting.on_read_failed(now);
            return;
        }
        bool const is_own = found.current.nonce == this->options.nonce &&
                            !found.current.address.empty();
        if (is_own && !this->is_stopping) {
            // The answer to the takeover was lost.
            this->lead_with(found);
            return;
        }
        this->voting.on_read(found, took, now);
    }

    /// Nothing if the store did not tell its time when the beat was written.
    static std::optional<base::duration>
    age_of(leader_beat const& beat, std::int64_t store_ms)
    {
        if (beat.store_ms == 0 || store_ms < beat.store_ms) {
            return std::nullopt;
        }
        return base::milliseconds(store_ms - beat.store_ms);
    }

    void take_over()
    {
        auto const now = this->ports.now();
        auto const& known = *this->voting.known();
        lead_rows next;
        next.current = {
            .token = known.current.token + 1,
            .host = this->options.host,
            .address = this->options.peer_address,
            .nonce = this->options.nonce,
            .size = this->options.electing.size};
        row_change change;
        change.conditions = {
            {tables::lead, lead_keys::epoch, known.epoch_version},
            {tables::lead, lead_keys::beat, known.beat_version}};
        change.puts = {
            {.table = tables::lead,
             .key = lead_keys::epoch,
             .value = encode(next.current)},
            {.table = tables::lead,
             .key = lead_keys::beat,
             .value =
                 encode(leader_beat{.store_ms = this->store_time.at(now)})}};
        this->is_election_busy = true;
        this->ports.change(
            std::move(change),
            this->bound([this, next, sent_at = this->ports.now()](
                            change_result const& result) mutable {
                this->is_election_busy = false;
                this->note_store(result.status, this->ports.now() - sent_at);
                if (result.status != store_status::done) {
                    this->voting.on_not_leading(this->ports.now());
                    return;
                }
                next.epoch_version = result.version;
                next.beat_version = result.version;
                this->lead_with(next);
            }));
    }

    void lead_with(lead_rows const& rows)
    {
        this->ports.log(base::event_line{"leading"}
                            .add("token", rows.current.token)
                            .add("epoch_version", rows.epoch_version));
        auto settings = this->options.leading;
        settings.scheduling.token = rows.current.token;
        this->led_since = this->ports.now();
        settings.scheduling.log = [this](base::event_line const& line) {
            this->ports.log(line);
        };
        this->led = std::make_shared<leader<Ports>>(
            this->ports, std::move(settings), rows,
            [this](std::string const& reason) { this->on_lost(reason); });
        this->led->set_fleet(this->configuration);
        for (auto const& [id, worker] : this->workers) {
            this->led->list_worker(worker);
        }
        this->led->start();
        this->ports.follow_workers(true);
    }

    /// A small host leads only while no larger one can: the reports of many
    /// workers fill its processor and its link.
    void yield_to(std::int64_t size)
    {
        auto const now = this->ports.now();
        if (!election::is_much_larger(size, this->options.electing.size) ||
            this->is_stopping || this->is_yielding || !this->led->is_loaded() ||
            this->led->store_age() > this->options.electing.beat_interval ||
            now - this->led_since < least_term ||
            now - this->yielded_at < yield_interval) {
            return;
        }
        this->is_yielding = true;
        this->yielded_at = now;
        this->ports.log(base::event_line{"leadership_yielded"}
                            .add("own_size", this->options.electing.size)
                            .add("successor_size", size));
        this->led->resign(size, this->bound([this] {
            this->is_yielding = false;
            this->ports.after(base::duration{}, this->bound([this] {
                if (this->led) {
                    this->on_lost("yielded to a larger host");
                }
            }));
        }));
    }

    void on_lost(std::string const& reason)
    {
        this->is_yielding = false;
        this->ports.log(
            base::event_line{"leadership_lost"}.add("reason", reason));
        this->led.reset();
        this->workers.clear();
        this->ports.follow_workers(false);
        this->voting.on_not_leading(this->ports.now());
    }

    Ports& ports;
    coordinator_options options;
    election voting;
    store_clock store_time{};
    contact reach{};
    bool was_isolated = false;
    fleet_configuration configuration{};
    std::map<std::string, worker_info> workers{};
    std::shared_ptr<leader<Ports>> led{};
    /// Counts of waiting jobs by queue, with the time of the leader's answer.
    std::map<std::string, std::pair<base::instant, std::size_t>>
        pending_counts{};
    int store_failures = 0; ///< in a row
    base::instant store_failed_at{-1'000'000};
    base::instant store_answered_at{-1'000'000};
    base::duration store_took{}; ///< time of the last call that was answered
    base::instant leader_answered_at{-1'000'000};
    base::instant led_since{};
    base::instant yielded_at{-1'000'000};
    bool is_yielding = false;
    bool is_election_busy = false;
    bool is_stopping = false;
};

} // namespace foxtaillift::jobs
