/// Makes the jobs of this host's callers durable.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/host_state.hpp"
#include "foxtaillift/jobs/job.hpp"
#include "foxtaillift/jobs/peer_message.hpp"
#include "foxtaillift/jobs/progress.hpp"
#include "foxtaillift/jobs/rows.hpp"
#include "foxtaillift/jobs/submission_batch.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace foxtaillift::jobs
{

/// The leader writes all that it gets in one change and knows the job at once.
/// A host that knows no leader writes by itself. A caller is told "refused",
/// "cancelled" or "rejected" only if the job certainly does not run.
///
/// A job that was rejected is accepted for a request that came after that,
/// which the leader's answer tells by the age of the rejection. The request
/// then names the version of its row. A request that came before, or a copy
/// that is delayed on its way, is without effect.
template <host_ports Ports>
class submitter : public std::enable_shared_from_this<submitter<Ports>>
{
public:
    explicit submitter(std::shared_ptr<host_state<Ports>> shared)
        : host(std::move(shared))
    {}

    /// `deadline` bounds the time until the callback.
    void submit(
        job_spec const& job,
        base::duration deadline,
        submission_callback callback)
    {
        auto request = std::make_shared<submission>();
        request->id = job.id;
        request->value = encode(job);
        request->memory = memory_of(job);
        request->began_at = this->host->ports.now();
        request->give_up_at = request->began_at + deadline;
        request->callback = std::move(callback);
        this->host->ports.after(deadline, this->bound([this, request] {
            this->finish(
                *request, request->may_have_run || request->is_sent
                              ? request_outcome::unknown
                              : request_outcome::refused);
        }));
        this->try_submit(request);
    }

private:
    struct submission
    {
        std::string id{};
        std::string value{};
        base::instant began_at{};
        base::instant give_up_at{};
        submission_callback callback{};
        std::size_t memory = 0;    ///< of the job; 0 once it was counted
        std::int64_t replaces = 0; ///< version of the job's rejection row
        bool may_have_run = false; ///< a copy whose outcome is not known
        bool is_sent = false;      ///< a copy is out
    };
    using submission_ptr = std::shared_ptr<submission>;

    static constexpr base::duration leader_check = base::milliseconds(200);
    /// Before a request whose outcome is unknown is sent again.
    static constexpr base::duration retry_gap = base::milliseconds(150);
    /// When a job that was refused may come again: another host leads by then,
    /// most of the time.
    static constexpr base::duration leader_gap = base::seconds(2);
    /// The hosts of a system together write as much without a leader as one
    /// leader has the memory for.
    static constexpr std::size_t most_hosts = 64;
    /// A host that has heard the store this recently writes at once.
    static constexpr base::duration store_known = base::milliseconds(500);

    template <class Function>
    auto bound(Function function)
    {
        return [self = this->shared_from_this(),
                function = std::move(function)](auto&&... arguments) mutable {
            function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    /// The timer of the deadline answers. A host that was suspended may find it
    /// overdue, and must not write a job that was given up long ago.
    [[nodiscard]] bool is_late(submission const& request) const
    {
        return this->host->ports.now() >= request.give_up_at;
    }

    void try_submit(submission_ptr const& request)
    {
        if (this->is_late(*request)) {
            return;
        }
        if (this->host->is_leading()) {
            this->submit_here(request);
        } else if (
            this->host->has_peer_leader() &&
            !this->host->is_leader_doubtful()) {
            this->submit_to_leader(request);
        } else {
            this->submit_alone(request);
        }
    }

    void submit_here(submission_ptr const& request)
    {
        this->written_alone = 0;
        request->is_sent = true;
        this->host->led->submit(
            {.job = request->id,
             .value = request->value,
             // Held weakly: the leader may outlive its host's service.
             .callback =
                 [weak = this->weak_from_this(),
                  request](submission_answer const& answer) {
                     if (auto const self = weak.lock()) {
                         self->on_submitted(request, answer);
                     }
                 },
             .replaces = request->replaces},
            this->host->use_of_rejections(true));
    }

    void
    on_submitted(submission_ptr const& request, submission_answer const& answer)
    {
        auto const status = answer.status;
        request->is_sent = false;
        if (status == store_status::rejected) {
            this->finish(
                *request, request_outcome::rejected, answer.retry_after);
            return;
        }
        if (status == store_status::full) {
            // Nothing durable keeps a copy that another host sent from running.
            this->finish(*request, request_outcome::unknown);
            return;
        }
        if (status == store_status::barred) {
            this->submit_over(request, answer);
            return;
        }
        if (status == store_status::done) {
            this->finish(*request, request_outcome::accepted);
            return;
        }
        if (status == store_status::conflict) {
            this->finish(*request, request_outcome::cancelled);
            return;
        }
        request->may_have_run |= status == store_status::unknown;
        this->submit_again(request);
    }

    /// The job was rejected. If that was before this request, its caller has
    /// come again, and the job may be accepted. Otherwise its caller may have
    /// heard of the rejection by another request, and the row keeps all copies
    /// of this one without effect.
    void
    submit_over(submission_ptr const& request, submission_answer const& answer)
    {
        // Clocks of two hosts may differ by 2%.
        constexpr std::int64_t drift_part = 50;
        auto const age = answer.rejection_age;
        auto const open_for = this->host->ports.now() - request->began_at;
        bool const is_later = open_for < age - age / drift_part;
        if (!request->callback || !is_later ||
            request->replaces == answer.rejection_version) {
            // A leader may not know yet that it is deposed, and that its
            // successor has accepted the job since.
            this->finish(
                *request, answer.rejection_version > 0
                              ? request_outcome::unknown
                              : request_outcome::refused);
            return;
        }
        request->replaces = answer.rejection_version;
        this->try_submit(request);
    }

    void submit_to_leader(submission_ptr const& request)
    {
        request->is_sent = true;
        auto const is_answered = std::make_shared<bool>(false);
        this->host->ports.ask(
            this->host->voting.leader_address(),
            {.kind = peer_kind::submit,
             .name = request->id,
             .value = request->value,
             .replaces = request->replaces,
             .knows_rejections = true},
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
        submission_ptr const& request, std::shared_ptr<bool> const& is_answered)
    {
        this->host->ports.after(
            leader_check, this->bound([this, request, is_answered] {
                if (*is_answered) {
                    return;
                }
                if (this->host->is_leader_doubtful()) {
                    *is_answered = true;
                    this->on_leader_answer(request, std::nullopt);
                } else {
                    this->await_leader(request, is_answered);
                }
            }));
    }

    void on_leader_answer(
        submission_ptr const& request, std::optional<peer_reply> const& reply)
    {
        if (reply && reply->submission && is_decided(*reply->submission)) {
            this->written_alone = 0;
            this->on_submitted(
                request, {.status = *reply->submission,
                          .retry_after = reply->retry_after,
                          .rejection_version = reply->rejection_version,
                          .rejection_age = reply->rejection_age});
            return;
        }
        request->is_sent = false;
        bool const is_certain =
            reply && reply->submission != store_status::unknown;
        request->may_have_run |= !is_certain;
        if (this->host->store.is_away(this->host->ports.now())) {
            this->submit_again(request);
        } else {
            this->submit_alone(request);
        }
    }

    /// Without the leader. A write to a store that is silent leaves its outcome
    /// unknown, and a caller that is told so may not come again. So a host that
    /// has not heard the store lately reads first, which can be given up.
    void submit_alone(submission_ptr const& request)
    {
        auto const now = this->host->ports.now();
        if (request->may_have_run ||
            this->host->store.has_answered_within(store_known, now)) {
            this->submit_unless_slow(request);
            return;
        }
        auto const is_over = std::make_shared<bool>(false);
        this->host->ports.read(
            tables::jobs, first_key(request->id), end_key(request->id),
            this->bound([this, request, is_over,
                         sent_at = now](rows_result const& result) {
                this->host->note_store(result.status, sent_at);
                if (!std::exchange(*is_over, true)) {
                    this->on_probed(request, result.status);
                }
            }));
        // A store that answers later is too slow for a write of this host.
        this->host->ports.after(
            this->host->options.electing.quick_read,
            this->bound([this, request, is_over] {
                if (!std::exchange(*is_over, true)) {
                    this->submit_again(request);
                }
            }));
    }

    void on_probed(submission_ptr const& request, store_status status)
    {
        if (!request->callback) {
            return; // its caller was refused meanwhile
        }
        if (status == store_status::done) {
            this->submit_unless_slow(request);
        } else {
            this->submit_again(request);
        }
    }

    /// A store that is slow carries out few changes a second, and those of the
    /// leader, which hold the jobs of all hosts, wait behind all others. So no
    /// host writes a job by itself then.
    void submit_unless_slow(submission_ptr const& request)
    {
        auto const quick = this->host->options.electing.quick_read;
        if (this->host->store.is_slower_than(quick)) {
            this->submit_again(request);
        } else {
            this->submit_to_store(request);
        }
    }

    void submit_to_store(submission_ptr const& request)
    {
        if (this->is_late(*request)) {
            return;
        }
        if (!this->may_write_alone(*request)) {
            this->finish(
                *request,
                request->may_have_run ? request_outcome::unknown
                                      : request_outcome::refused,
                leader_gap);
            return;
        }
        request->is_sent = true;
        row_change change;
        change.conditions = {
            {tables::jobs, submission_key(request->id), 0},
            {tables::ended, request->id, request->replaces}};
        change.puts.push_back(
            {.table = tables::jobs,
             .key = submission_key(request->id),
             .value = request->value});
        if (request->replaces > 0) {
            change.removals.push_back(
                {.table = tables::ended, .key = request->id});
        }
        this->host->ports.change(
            std::move(change),
            this->bound([this, request, sent_at = this->host->ports.now()](
                            change_result const& result) {
                this->host->note_store(result.status, sent_at);
                this->on_submitted(request, answer_of(*request, result));
            }));
    }

    static submission_answer
    answer_of(submission const& request, change_result const& result)
    {
        if (result.status != store_status::conflict) {
            return {.status = result.status};
        }
        auto const exists = [&](char const* table, std::string const& key) {
            return std::any_of(
                result.current.begin(), result.current.end(),
                [&](row const& each) {
                    return each.table == table && each.key == key;
                });
        };
        if (exists(tables::jobs, submission_key(request.id))) {
            return {.status = store_status::done};
        }
        bool const is_gone =
            request.replaces > 0 && !exists(tables::ended, request.id);
        if (rejection_version(result.current, request.id) > 0 || is_gone) {
            // This host cannot tell whether the request came after it.
            return {.status = store_status::barred};
        }
        return {
            .status = has_tombstone(result.current, request.id)
                          ? store_status::conflict
                          : store_status::done};
    }

    /// The leader's answer tells what to do; otherwise this host goes on by
    /// itself.
    static bool is_decided(store_status status)
    {
        return status == store_status::done ||
               status == store_status::conflict ||
               status == store_status::rejected ||
               status == store_status::barred || status == store_status::full;
    }

    /// Counts the job towards what this host has written since it last heard a
    /// leader, which does not know it. False if that is too much: no leader
    /// may have the memory for what all hosts write.
    bool may_write_alone(submission& request)
    {
        auto const limit =
            this->host->options.leading.scheduling.job_memory / most_hosts;
        if (limit > 0 && this->written_alone + request.memory > limit) {
            return false;
        }
        this->written_alone += std::exchange(request.memory, 0);
        return true;
    }

    void submit_again(submission_ptr const& request)
    {
        if (!request->callback) {
            return; // its caller was told that the outcome is unknown
        }
        if (!request->may_have_run) {
            this->finish(*request, request_outcome::refused);
            return;
        }
        if (this->host->ports.now() + retry_gap >= request->give_up_at) {
            this->finish(*request, request_outcome::unknown);
            return;
        }
        this->host->ports.after(retry_gap, this->bound([this, request] {
            if (request->callback) {
                this->try_submit(request);
            }
        }));
    }

    /// Does nothing if the caller has an answer.
    void finish(
        submission& request,
        request_outcome outcome,
        base::duration retry_after = {})
    {
        if (auto const callback = std::exchange(request.callback, {})) {
            callback({.outcome = outcome, .retry_after = retry_after});
        }
    }

    std::shared_ptr<host_state<Ports>> host;
    std::size_t written_alone = 0; ///< see may_write_alone()
};

} // namespace foxtaillift::jobs
