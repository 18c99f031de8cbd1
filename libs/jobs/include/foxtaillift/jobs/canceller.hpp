/// Makes cancellations durable.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/host_state.hpp"
#include "foxtaillift/jobs/peer_message.hpp"
#include "foxtaillift/jobs/rows.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace foxtaillift::jobs
{

/// Writes a row beside that of the job, which the leader follows. Any host can
/// do so; one that the store does not answer asks the leader.
///
/// A job that the store does not know may still be accepted, by a write that is
/// out or by a request that is repeated. "Unknown job" is told only once a
/// tombstone bars it from being accepted, for record_options::ended_kept.
template <host_ports Ports>
class canceller : public std::enable_shared_from_this<canceller<Ports>>
{
public:
    explicit canceller(std::shared_ptr<host_state<Ports>> shared)
        : host(std::move(shared))
    {}

    /// `job` is a valid identifier; `deadline` bounds the time until the
    /// callback.
    void cancel(
        std::string const& job,
        base::duration deadline,
        outcome_callback callback)
    {
        this->try_cancel(
            {.job = job, .give_up_at = this->host->ports.now() + deadline},
            std::move(callback));
    }

private:
    struct cancellation
    {
        std::string job{};
        base::instant give_up_at{};
    };

    /// Before a request whose outcome is unknown is sent again.
    static constexpr base::duration retry_gap = base::milliseconds(150);

    template <class Function>
    auto bound(Function function)
    {
        return [self = this->shared_from_this(),
                function = std::move(function)](auto&&... arguments) mutable {
            function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    void try_cancel(cancellation const& wanted, outcome_callback callback)
    {
        this->host->ports.read(
            tables::jobs, first_key(wanted.job), end_key(wanted.job),
            this->bound([this, wanted, sent_at = this->host->ports.now(),
                         callback = std::move(callback)](
                            rows_result const& result) mutable {
                this->host->note_store(result.status, sent_at);
                if (result.status == store_status::done) {
                    this->on_rows(wanted, result, std::move(callback));
                } else {
                    this->cancel_elsewhere(wanted, std::move(callback));
                }
            }));
    }

    void on_rows(
        cancellation const& wanted,
        rows_result const& result,
        outcome_callback callback)
    {
        row const* accepted = nullptr;
        bool is_cancelled = false;
        for (auto const& row : result.rows) {
            if (row.key == submission_key(wanted.job)) {
                accepted = &row;
            }
            is_cancelled |= row.key == cancellation_key(wanted.job);
        }
        if (accepted == nullptr) {
            this->find_ended(wanted, std::move(callback));
        } else if (is_cancelled) {
            callback(request_outcome::accepted);
        } else {
            this->write_cancellation(
                wanted, accepted->version, std::move(callback));
        }
    }

    /// A job without a row of its own is over, or not accepted.
    void find_ended(cancellation const& wanted, outcome_callback callback)
    {
        this->host->ports.read(
            tables::ended, wanted.job, wanted.job + "!",
            this->bound([this, wanted, sent_at = this->host->ports.now(),
                         callback = std::move(callback)](
                            rows_result const& result) mutable {
                this->host->note_store(result.status, sent_at);
                if (result.status != store_status::done) {
                    this->cancel_elsewhere(wanted, std::move(callback));
                    return;
                }
                auto const rejection =
                    rejection_version(result.rows, wanted.job);
                if (result.rows.empty() || rejection > 0) {
                    this->write_tombstone(
                        wanted, rejection, std::move(callback));
                } else {
                    callback(
                        has_tombstone(result.rows, wanted.job)
                            ? request_outcome::unknown_job
                            : request_outcome::accepted);
                }
            }));
    }

    /// In the place of a rejection row if its version is not 0.
    void write_tombstone(
        cancellation const& wanted,
        std::int64_t rejection,
        outcome_callback callback)
    {
        auto const now = this->host->ports.now();
        auto const kept = this->host->options.leading.recording.ended_kept;
        while (!this->tombstones.empty() &&
               now - this->tombstones.front() > kept) {
            this->tombstones.pop_front();
        }
        if (this->tombstones.size() >=
            this->host->options.cancelling.tombstone_limit) {
            callback(request_outcome::refused);
            return;
        }
        this->tombstones.push_back(now);
        row_change change;
        change.conditions = {
            {tables::jobs, submission_key(wanted.job), 0},
            {tables::ended, wanted.job, rejection}};
        change.puts = {
            {.table = tables::ended,
             .key = wanted.job,
             .value = tombstone_value},
            {.table = tables::jobs, .key = tombstone_key(wanted.job)}};
        this->write(
            wanted, change, request_outcome::unknown_job, std::move(callback));
    }

    void write_cancellation(
        cancellation const& wanted,
        std::int64_t version,
        outcome_callback callback)
    {
        row_change change;
        change.conditions = {
            {tables::jobs, submission_key(wanted.job), version}};
        change.puts.push_back(
            {.table = tables::jobs, .key = cancellation_key(wanted.job)});
        this->write(
            wanted, change, request_outcome::accepted, std::move(callback));
    }

    /// `outcome` is what the change makes true.
    void write(
        cancellation const& wanted,
        row_change const& change,
        request_outcome outcome,
        outcome_callback callback)
    {
        this->host->ports.change(
            change, this->bound([this, wanted, outcome,
                                 sent_at = this->host->ports.now(),
                                 callback = std::move(callback)](
                                    change_result const& result) mutable {
                this->host->note_store(result.status, sent_at);
                bool const is_conflict =
                    result.status == store_status::conflict;
                // The job has ended since its row was read.
                bool const is_over =
                    is_conflict && outcome == request_outcome::accepted;
                if (result.status == store_status::done || is_over) {
                    callback(outcome);
                } else if (is_conflict) {
                    // It was accepted since then.
                    this->try_again(wanted, {}, std::move(callback));
                } else {
                    this->cancel_elsewhere(wanted, std::move(callback));
                }
            }));
    }

    /// The store may answer the leader though it does not answer this host.
    void cancel_elsewhere(cancellation const& wanted, outcome_callback callback)
    {
        if (!this->host->has_peer_leader() ||
            this->host->is_leader_doubtful()) {
            this->try_again(wanted, retry_gap, std::move(callback));
            return;
        }
        this->host->ports.ask(
            this->host->voting.leader_address(),
            {.kind = peer_kind::cancel, .name = wanted.job},
            this->bound([this, wanted, callback = std::move(callback)](
                            std::optional<peer_reply> const& reply) mutable {
                bool const is_final =
                    reply && reply->cancellation &&
                    *reply->cancellation != request_outcome::refused &&
                    *reply->cancellation != request_outcome::unknown;
                if (is_final) {
                    callback(*reply->cancellation);
                } else {
                    this->try_again(wanted, retry_gap, std::move(callback));
                }
            }));
    }

    void try_again(
        cancellation const& wanted,
        base::duration gap,
        outcome_callback callback)
    {
        if (this->host->ports.now() + gap >= wanted.give_up_at) {
            callback(request_outcome::unknown);
            return;
        }
        this->host->ports.after(
            gap, this->bound(
                     [this, wanted, callback = std::move(callback)]() mutable {
                         this->try_cancel(wanted, std::move(callback));
                     }));
    }

    std::shared_ptr<host_state<Ports>> host;
    /// When this host wrote tombstones that may still be there, oldest first.
    std::deque<base::instant> tombstones{};
};

} // namespace foxtaillift::jobs
