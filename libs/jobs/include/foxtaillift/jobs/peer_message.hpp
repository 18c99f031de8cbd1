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

namespace foxtaillift::jobs
{

enum class peer_kind
{
    ping,
    job,    ///< the state of a job, by its identifier
    queue,  ///< the count of waiting jobs, by the queue's name
    submit, ///< write this job's row
};

struct peer_request
{
    peer_kind kind = peer_kind::ping;
    std::string name{};
    std::string value{}; ///< encoded job of a submission
    /// Processors of the asking host in thousandths of a core, if it could lead
    /// now; otherwise 0.
    std::int64_t size = 0;
};

struct peer_reply
{
    bool is_leading = false;
    std::string nonce{};        ///< of the answering process
    std::int64_t version = 0;   ///< of its configuration
    base::duration store_age{}; ///< since its last acknowledged write
    std::optional<job_state> state{};
    std::optional<std::size_t> pending{};
    std::optional<store_status> submission{};
};

/// MessagePack. Decoding throws base::error (corrupt_data).
std::string encode(peer_request const& request);
peer_request decode_peer_request(std::string_view text);
std::string encode(peer_reply const& reply);
peer_reply decode_peer_reply(std::string_view text);

} // namespace foxtaillift::jobs
