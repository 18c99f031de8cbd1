/// What operators see of a leader's jobs and workers, as JSON texts.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtaillift::jobs
{

/// The host that answers and what it knows of the leadership.
struct host_view
{
    std::string host{};
    std::string failure_domain{};
    bool is_ready = false;
    bool is_leading = false;
    std::int64_t configuration = 0; ///< version in force here
    std::int64_t token = 0;         ///< of the leader that is known; 0: none
    std::string leader_address{};
};

/// Members `hosts` and `owners`, like the status of the task service.
/// `decisions` is null unless the host leads.
std::string encode_status(
    host_view const& host, scheduler const* decisions, base::instant now);

/// Jobs that are not over, the oldest first, `limit` at most.
std::string
encode_jobs(scheduler const& decisions, base::instant now, std::size_t limit);

/// Steps and runs of a job, and what its next task waits for. Nothing if the
/// job is unknown or its rows are gone.
std::optional<std::string>
encode_job(scheduler const& decisions, std::string_view job, base::instant now);

std::string encode_workers_view(scheduler const& decisions, base::instant now);

/// Evacuated failure domains, each with the time since the leader knows of it
/// and what is still there.
std::string encode_evacuations(scheduler const& decisions, base::instant now);

struct operator_answer
{
    int status = 0; ///< of HTTP
    std::string body{};
};

/// A request that was carried out: the job and what became of it.
operator_answer make_job_answer(std::string_view job, std::string_view outcome);

/// `error` is a word for programs, `message` a sentence for people.
operator_answer
make_refusal(int status, std::string_view error, std::string_view message);

/// Answers a read of `/v1/status`, `/v1/jobs`, `/v1/jobs/ID`, `/v1/workers` or
/// `/v1/evacuations`. `decisions` is null unless the host leads.
operator_answer answer_operator_read(
    std::string_view path,
    host_view const& host,
    scheduler const* decisions,
    base::instant now);

} // namespace foxtaillift::jobs
