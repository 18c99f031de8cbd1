/// The product's own interface to the job service, for operators and scripts.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/jobs/coordinator.hpp"
#include "foxtaillift/jobs/host_ports.hpp"
#include "foxtaillift/jobs/job.hpp"
#include "foxtaillift/jobs/job_text.hpp"
#include "foxtaillift/jobs/peer_message.hpp"
#include "foxtaillift/jobs/views.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace foxtaillift::jobs
{

/// Requests below `/v1/`, see docs/operator-interface.md. Not thread-safe.
template <host_ports Ports>
class operator_interface
{
public:
    using answer_callback = std::function<void(operator_answer)>;

    explicit operator_interface(
        std::shared_ptr<coordinator<Ports>> service_to_use)
        : service(std::move(service_to_use))
    {}

    /// The answer comes once, possibly from within the call. `is_ready` is what
    /// the host tells the platform's balancer.
    void handle(
        std::string_view method,
        std::string_view path,
        std::string_view body,
        bool is_ready,
        answer_callback answer)
    {
        if (method == "GET") {
            answer(this->service->answer_operator(path, is_ready));
        } else if (method == "POST" && path == all_jobs) {
            this->submit(body, std::move(answer));
        } else if (method == "DELETE" && path.starts_with(one_job)) {
            this->cancel(
                std::string{path.substr(one_job.size())}, std::move(answer));
        } else {
            answer(make_refusal(405, "bad_method", "use GET, POST or DELETE"));
        }
    }

private:
    static constexpr std::string_view all_jobs = "/v1/jobs";
    static constexpr std::string_view one_job = "/v1/jobs/";

    /// Operators wait longer than callers, whose deadline is 3 s.
    static constexpr base::duration answer_time = base::seconds(5);

    void submit(std::string_view body, answer_callback answer)
    {
        job_spec job;
        try {
            job = decode_job_text(body);
        } catch (base::error const& failure) {
            answer(make_refusal(400, "invalid_job", failure.what()));
            return;
        }
        if (!this->service->fleet().find_queue(job.queue)) {
            answer(make_refusal(
                404, "unknown_queue",
                "no queue of the configuration in force has the name \"" +
                    job.queue + "\""));
            return;
        }
        this->service->submit(
            job, answer_time,
            [id = job.id,
             answer = std::move(answer)](submission_outcome const& found) {
                answer(make_answer(id, "accepted", found.outcome));
            });
    }

    void cancel(std::string const& id, answer_callback answer)
    {
        if (!is_job_identifier(id)) {
            answer(make_answer(id, "", request_outcome::unknown_job));
            return;
        }
        this->service->cancel(
            id, answer_time,
            [id, answer = std::move(answer)](request_outcome outcome) {
                answer(make_answer(id, "cancelled", outcome));
            });
    }

    static operator_answer make_answer(
        std::string const& id, char const* done, request_outcome outcome)
    {
        switch (outcome) {
        case request_outcome::accepted:
            return make_job_answer(id, done);
        case request_outcome::unknown_job:
            return make_refusal(404, "unknown_job", "there is no job " + id);
        case request_outcome::refused:
            return make_refusal(
                503, "unavailable",
                "the store answers neither this host nor the leader; nothing "
                "was changed");
        case request_outcome::cancelled:
            return make_refusal(
                409, "cancelled",
                "job " + id + " was cancelled before it was accepted");
        case request_outcome::rejected:
            return make_refusal(
                429, "overloaded",
                "there is too little capacity to serve job " + id +
                    " in time; it was not accepted");
        case request_outcome::unknown:
            break;
        }
        return make_refusal(
            504, "unknown_outcome",
            "the store did not answer in time; the same request again settles "
            "it");
    }

    std::shared_ptr<coordinator<Ports>> service;
};

} // namespace foxtaillift::jobs
