/// Answers questions about jobs and queues.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/event_line.hpp"
#include "foxtaillift/jobs/host_state.hpp"
#include "foxtaillift/jobs/job.hpp"
#include "foxtaillift/jobs/peer_message.hpp"
#include "foxtaillift/jobs/progress.hpp"
#include "foxtaillift/jobs/rows.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace foxtaillift::jobs
{

/// Asks the leader, and the store if the leader does not answer.
template <host_ports Ports>
class job_reader : public std::enable_shared_from_this<job_reader<Ports>>
{
public:
    /// The state; nothing for an unknown job. `false`: it cannot be told now.
    using state_callback = std::function<void(bool, std::optional<job_state>)>;
    using count_callback = std::function<void(std::optional<std::size_t>)>;

    explicit job_reader(std::shared_ptr<host_state<Ports>> shared)
        : host(std::move(shared))
    {}

    void state(std::string const& job, state_callback callback)
    {
        if (this->host->is_leading()) {
            if (auto const state = this->host->led->state().state_of(job)) {
                callback(true, state);
                return;
            }
        }
        if (!this->host->has_peer_leader()) {
            this->read_progress(job, std::move(callback));
            return;
        }
        this->host->ports.ask(
            this->host->voting.leader_address(),
            {.kind = peer_kind::job, .name = job},
            this->bound([this, job, callback = std::move(callback)](
                            std::optional<peer_reply> reply) mutable {
                if (reply && reply->state) {
                    callback(true, reply->state);
                } else {
                    this->read_progress(job, std::move(callback));
                }
            }));
    }

    /// Accepted jobs of the queue of which nothing has started.
    void pending(std::string const& queue, count_callback callback)
    {
        if (this->host->is_leading()) {
            callback(this->host->led->state().pending(queue));
            return;
        }
        if (!this->host->has_peer_leader()) {
            callback(this->last_count(queue));
            return;
        }
        this->host->ports.ask(
            this->host->voting.leader_address(),
            {.kind = peer_kind::queue, .name = queue},
            this->bound([this, queue, callback = std::move(callback)](
                            std::optional<peer_reply> reply) {
                if (reply && reply->pending) {
                    this->counts[queue] = {
                        this->host->ports.now(), *reply->pending};
                }
                callback(this->last_count(queue));
            }));
    }

private:
    /// An older count of waiting jobs is not given; callers allow 2 s.
    static constexpr base::duration count_age_limit = base::milliseconds(1500);

    template <class Function>
    auto bound(Function function)
    {
        return [self = this->shared_from_this(),
                function = std::move(function)](auto&&... arguments) mutable {
            function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    [[nodiscard]] std::optional<std::size_t>
    last_count(std::string const& queue) const
    {
        auto const found = this->counts.find(queue);
        if (found == this->counts.end() ||
            this->host->ports.now() - found->second.first > count_age_limit) {
            return std::nullopt;
        }
        return found->second.second;
    }

    void read_progress(std::string const& job, state_callback callback)
    {
        this->host->ports.read(
            tables::progress, job, job + "!",
            this->bound([this, job, sent_at = this->host->ports.now(),
                         callback = std::move(callback)](
                            rows_result const& result) mutable {
                this->host->note_store(result.status, sent_at);
                if (result.status != store_status::done) {
                    callback(false, std::nullopt);
                } else if (result.rows.empty()) {
                    this->read_submission(job, std::move(callback));
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
            this->host->ports.log(base::event_line{"row_unreadable"}
                                      .add("table", found.table)
                                      .add("key", found.key)
                                      .add("reason", failure.what()));
            callback(false, std::nullopt);
        }
    }

    void read_submission(std::string const& job, state_callback callback)
    {
        this->host->ports.read(
            tables::jobs, submission_key(job), end_key(job),
            this->bound([this, job, callback = std::move(callback)](
                            rows_result const& result) mutable {
                if (result.status != store_status::done) {
                    callback(false, std::nullopt);
                } else if (
                    result.rows.empty() ||
                    result.rows.front().key != submission_key(job)) {
                    this->read_ended(job, std::move(callback));
                } else {
                    callback(true, job_state::queued);
                }
            }));
    }

    void read_ended(std::string const& job, state_callback callback)
    {
        this->host->ports.read(
            tables::ended, job, job + "!",
            this->bound(
                [callback = std::move(callback)](rows_result const& result) {
                    if (result.status != store_status::done) {
                        callback(false, std::nullopt);
                        return;
                    }
                    // A tombstone is no state: the job is unknown.
                    std::optional<job_state> state;
                    if (!result.rows.empty()) {
                        state = parse_job_state(result.rows.front().value);
                    }
                    callback(true, state);
                }));
    }

    std::shared_ptr<host_state<Ports>> host;
    /// Counts of waiting jobs by queue, with the time of the leader's answer.
    std::map<std::string, std::pair<base::instant, std::size_t>> counts{};
};

} // namespace foxtaillift::jobs
