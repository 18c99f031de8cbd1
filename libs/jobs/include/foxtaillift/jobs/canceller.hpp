/// Makes cancellations durable.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/host_state.hpp"
#include "foxtaillift/jobs/peer_message.hpp"
#include "foxtaillift/jobs/rows.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace foxtaillift::jobs
{

/// Writes a row beside that of the job, which the leader follows. Any host can
/// do so; one that the store does not answer asks the leader.
template <host_ports Ports>
class canceller : public std::enable_shared_from_this<canceller<Ports>>
{
public:
    explicit canceller(std::shared_ptr<host_state<Ports>> shared)
        : host(std::move(shared))
    {}

    /// `deadline` bounds the time until the callback.
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
            this->answer_over(wanted.job, std::move(callback));
        } else if (is_cancelled) {
            callback(request_outcome::accepted);
        } else {
            this->write(wanted, accepted->version, std::move(callback));
        }
    }

    /// A job without a row of its own is over, or nobody submitted it.
    void answer_over(std::string const& job, outcome_callback callback)
    {
        this->host->ports.read(
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

    void write(
        cancellation const& wanted,
        std::int64_t version,
        outcome_callback callback)
    {
        row_change change;
        change.conditions = {
            {tables::jobs, submission_key(wanted.job), version}};
        change.puts.push_back(
            {.table = tables::jobs, .key = cancellation_key(wanted.job)});
        this->host->ports.change(
            std::move(change),
            this->bound([this, wanted, sent_at = this->host->ports.now(),
                         callback = std::move(callback)](
                            change_result const& result) mutable {
                this->host->note_store(result.status, sent_at);
                if (store_health::is_answer(result.status)) {
                    callback(request_outcome::accepted);
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
            this->cancel_again(wanted, std::move(callback));
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
                    this->cancel_again(wanted, std::move(callback));
                }
            }));
    }

    void cancel_again(cancellation const& wanted, outcome_callback callback)
    {
        if (this->host->ports.now() + retry_gap >= wanted.give_up_at) {
            callback(request_outcome::unknown);
            return;
        }
        this->host->ports.after(
            retry_gap, this->bound([this, wanted,
                                    callback = std::move(callback)]() mutable {
                this->try_cancel(wanted, std::move(callback));
            }));
    }

    std::shared_ptr<host_state<Ports>> host;
};

} // namespace foxtaillift::jobs
