/// What entry hosts of the job service ask each other.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/job.hpp"
#include "foxtaillift/jobs/rows.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::jobs
{

enum class request_outcome
{
    accepted,
    unknown_job,
    refused, ///< certainly without effect
    unknown, ///< may have had or may yet have an effect
    /// Of a submission: the job was cancelled before, and never runs.
    cancelled,
    /// Of a submission: there is no capacity to serve the job in time. It runs
    /// only if it is submitted again.
    rejected,
};

std::string_view to_string(request_outcome outcome);

enum class peer_kind
{
    ping,
    job,    ///< the state of a job, by its identifier
    queue,  ///< the count of waiting jobs, by the queue's name
    submit, ///< write this job's row
    cancel, ///< write that this job is cancelled
    relay,  ///< carry orders to workers out, and tell what they answered
};

struct peer_request
{
    peer_kind kind = peer_kind::ping;
    std::string name{};  ///< of a relay: the session of the leader
    std::string value{}; ///< encoded job of a submission, or orders
    /// Processors of the asking host in thousandths of a core, if it could lead
    /// now; otherwise 0.
    std::int64_t size = 0;
    // Of a ping: the asking host, where peers reach it, and its processors in
    // thousandths of a core, with which it may relay orders.
    std::string address{};
    std::string failure_domain{};
    std::int64_t relay_size = 0;
    /// Of a relay: at most the time on the clock of the asked host.
    std::int64_t clock_ms = 0;
    /// Of a submission: the version of the rejection row that it may replace.
    std::int64_t replaces = 0;
    /// Of a ping and a submission: the asking host understands rejections.
    /// Hosts of earlier versions take a rejection row for a job that was
    /// accepted.
    bool knows_rejections = false;
};

struct peer_reply
{
    bool is_leading = false;
    std::string nonce{};           ///< of the answering process
    std::int64_t version = 0;      ///< of its configuration
    base::duration store_age{};    ///< since its last acknowledged write
    std::int64_t beat_version = 0; ///< of the leader's row after that write
    std::optional<job_state> state{};
    std::optional<std::size_t> pending{};
    std::optional<store_status> submission{};
    std::optional<request_outcome> cancellation{};
    base::duration retry_after{};       ///< of a submission that is rejected
    std::int64_t rejection_version = 0; ///< of a submission that is barred
    base::duration rejection_age{}; ///< for which the row was there, at least
    /// The newest leader that the answering host knows, by its token: a host
    /// that cannot read the store learns of a change from others. 0: none.
    std::int64_t leader_token = 0;
    std::string leader_address{};
    std::string value{};       ///< answers of workers
    std::int64_t clock_ms = 0; ///< of the answering host, beside them
    /// Addresses of a few other hosts; in a leader's answer to a ping.
    std::vector<std::string> peers{};
};

/// MessagePack. Decoding throws base::error (corrupt_data).
std::string encode(peer_request const& request);
peer_request decode_peer_request(std::string_view text);
std::string encode(peer_reply const& reply);
peer_reply decode_peer_reply(std::string_view text);

} // namespace foxtaillift::jobs
