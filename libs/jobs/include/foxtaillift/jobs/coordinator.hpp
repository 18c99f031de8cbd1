/// The job service of one entry host: accepts jobs and questions of callers,
/// takes part in the election, and leads if it is elected.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/canceller.hpp"
#include "foxtaillift/jobs/candidate.hpp"
#include "foxtaillift/jobs/fleet.hpp"
#include "foxtaillift/jobs/host_state.hpp"
#include "foxtaillift/jobs/job.hpp"
#include "foxtaillift/jobs/job_reader.hpp"
#include "foxtaillift/jobs/peer_message.hpp"
#include "foxtaillift/jobs/relay_service.hpp"
#include "foxtaillift/jobs/submitter.hpp"
#include "foxtaillift/jobs/views.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace foxtaillift::jobs
{

/// Not thread-safe.
template <host_ports Ports>
class coordinator : public std::enable_shared_from_this<coordinator<Ports>>
{
public:
    using state_callback = typename job_reader<Ports>::state_callback;
    using count_callback = typename job_reader<Ports>::count_callback;

    coordinator(Ports& ports, coordinator_options settings)
        : host(std::make_shared<host_state<Ports>>(ports, std::move(settings)))
        , running(std::make_shared<candidate<Ports>>(this->host))
        , submissions(std::make_shared<submitter<Ports>>(this->host))
        , cancellations(std::make_shared<canceller<Ports>>(this->host))
        , reader(std::make_shared<job_reader<Ports>>(this->host))
        , relay(std::make_shared<relay_service<Ports>>(ports))
    {}

    // Commands

    void start() { this->tick(); }

    void set_fleet(fleet_configuration fleet)
    {
        this->host->configuration = std::move(fleet);
        if (this->host->led) {
            this->host->led->set_fleet(this->host->configuration);
        }
    }

    /// The operator wants nothing to start in this failure domain any more, or
    /// takes that back. Tell all evacuations that are known together with the
    /// first configuration, since a leader starts nothing before that one.
    void set_evacuated(std::string const& failure_domain, bool is_evacuated)
    {
        if (is_evacuated) {
            this->host->evacuated.insert(failure_domain);
        } else {
            this->host->evacuated.erase(failure_domain);
        }
        if (this->host->led) {
            this->host->led->set_evacuated(failure_domain, is_evacuated);
        }
    }

    void list_worker(worker_info const& worker)
    {
        this->running->list_worker(worker);
    }

    void unlist_worker(std::string const& worker)
    {
        this->running->unlist_worker(worker);
    }

    /// Makes the job durable, with the terms of its queue. `deadline` bounds
    /// the time until the callback.
    void
    submit(job_spec job, base::duration deadline, submission_callback callback)
    {
        job.terms = this->host->configuration.find_queue(job.queue);
        this->submissions->submit(job, deadline, std::move(callback));
    }

    void cancel(
        std::string const& job,
        base::duration deadline,
        outcome_callback callback)
    {
        this->cancellations->cancel(job, deadline, std::move(callback));
    }

    /// Answers a request of a peer, possibly later. Throws base::error
    /// (corrupt_data) if orders for workers cannot be read.
    void
    on_peer(peer_request const& request, std::function<void(peer_reply)> reply)
    {
        auto const now = this->host->ports.now();
        if (request.kind == peer_kind::ping) {
            this->host->note_ping(request);
        } else {
            this->host->reach.on_contact(now);
        }
        auto answer = this->make_reply();
        if (request.kind == peer_kind::relay) {
            answer.clock_ms = now.ms;
            answer.value = this->relay->exchange(
                request.name, base::instant{request.clock_ms}, request.value);
            reply(std::move(answer));
            return;
        }
        if (this->host->led && request.kind == peer_kind::ping) {
            answer.peers = this->host->reach.peers_for(request.address, now);
            this->running->yield_to(request.size);
        }
        if (!this->host->led) {
            reply(std::move(answer));
            return;
        }
        switch (request.kind) {
        case peer_kind::submit:
            this->host->led->submit(
                {.job = request.name,
                 .value = request.value,
                 .callback =
                     [answer, reply = std::move(reply)](
                         submission_answer const& found) mutable {
                         answer.submission = found.status;
                         answer.retry_after = found.retry_after;
                         answer.rejection_version = found.rejection_version;
                         answer.rejection_age = found.rejection_age;
                         reply(answer);
                     },
                 .replaces = request.replaces},
                this->host->use_of_rejections(request.knows_rejections));
            return;
        case peer_kind::cancel:
            this->cancel(
                request.name, peer_cancel_time,
                [answer,
                 reply = std::move(reply)](request_outcome outcome) mutable {
                    answer.cancellation = outcome;
                    reply(answer);
                });
            return;
        case peer_kind::job:
            if (this->host->is_leading()) {
                answer.state = this->decisions()->state_of(request.name);
            }
            break;
        case peer_kind::queue:
            if (this->host->is_leading()) {
                answer.pending = this->decisions()->pending(request.name);
            }
            break;
        case peer_kind::ping:
        case peer_kind::relay:
            break;
        }
        reply(std::move(answer));
    }

    /// Gives the leadership up if it has it, then calls `on_done`.
    void stop(std::function<void()> on_done)
    {
        this->running->stop(std::move(on_done));
    }

    /// Ends the leadership at once if it has it, without a last write. Not from
    /// within a callback of the service.
    void give_up(std::string const& reason) { this->running->give_up(reason); }

    // Queries

    void query(std::string const& job, state_callback callback)
    {
        this->reader->state(job, std::move(callback));
    }

    void pending(std::string const& queue, count_callback callback)
    {
        this->reader->pending(queue, std::move(callback));
    }

    [[nodiscard]] fleet_configuration const& fleet() const
    {
        return this->host->configuration;
    }

    [[nodiscard]] std::set<std::string, std::less<>> const&
    evacuated_domains() const
    {
        return this->host->evacuated;
    }

    /// This host reaches neither the store nor any other host, so callers are
    /// served better elsewhere.
    [[nodiscard]] bool is_isolated() const
    {
        return this->host->reach.is_isolated(this->host->ports.now());
    }

    [[nodiscard]] bool is_leading() const { return this->host->led != nullptr; }

    [[nodiscard]] scheduler const* decisions() const
    {
        return this->host->led ? &this->host->led->state() : nullptr;
    }

    /// Answers a read of an operator below `/v1/`. A host that does not lead
    /// names the leader (status 421), which knows the jobs and workers.
    [[nodiscard]] operator_answer
    answer_operator(std::string_view path, bool is_ready) const
    {
        bool const is_led = this->is_leading();
        bool const has_leader = is_led || this->host->has_peer_leader();
        auto const& options = this->host->options;
        host_view const view{
            .host = options.host,
            .failure_domain = options.failure_domain,
            .is_ready = is_ready,
            .is_leading = is_led,
            .configuration = this->host->configuration.version,
            .token = is_led       ? this->host->led->rows().current.token
                     : has_leader ? this->host->voting.known()->current.token
                                  : 0,
            .leader_address = is_led       ? options.peer_address
                              : has_leader ? this->host->voting.leader_address()
                                           : ""};
        return answer_operator_read(
            path, view, this->decisions(), this->host->ports.now());
    }

private:
    static constexpr base::duration tick_interval = base::milliseconds(100);
    /// For which a leader tries to cancel a job for another host, which waits
    /// for an answer a little longer.
    static constexpr base::duration peer_cancel_time = base::milliseconds(300);

    void tick()
    {
        this->host->ports.after(
            tick_interval, [self = this->shared_from_this()] { self->tick(); });
        this->running->tick();
        this->relay->forget_idle();
    }

    /// What every answer to a peer tells.
    [[nodiscard]] peer_reply make_reply() const
    {
        peer_reply answer;
        answer.nonce = this->host->options.nonce;
        answer.version = this->host->configuration.version;
        answer.is_leading = this->is_leading();
        if (this->host->led) {
            auto const& rows = this->host->led->rows();
            answer.leader_token = rows.current.token;
            answer.leader_address = this->host->options.peer_address;
            answer.store_age = this->host->led->store_age();
            answer.beat_version = rows.beat_version;
        } else if (
            this->host->has_peer_leader() &&
            !this->host->is_leader_doubtful()) {
            answer.leader_token = this->host->voting.known()->current.token;
            answer.leader_address = this->host->voting.leader_address();
        }
        return answer;
    }

    std::shared_ptr<host_state<Ports>> host;
    std::shared_ptr<candidate<Ports>> running;
    std::shared_ptr<submitter<Ports>> submissions;
    std::shared_ptr<canceller<Ports>> cancellations;
    std::shared_ptr<job_reader<Ports>> reader;
    std::shared_ptr<relay_service<Ports>> relay;
};

} // namespace foxtaillift::jobs
