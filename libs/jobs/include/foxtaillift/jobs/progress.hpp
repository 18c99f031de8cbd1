/// What lasts of a job: the submission, which never changes, and its progress.
#pragma once

#include "foxtaillift/jobs/job.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::jobs
{

/// What lasts of a task that is not done.
struct task_progress
{
    std::uint32_t ordinal = 0; ///< position among all tasks of the job
    std::uint32_t attempt = 0; ///< highest that was started
    /// Attempts that failed, once each, so that an end that is listed again to
    /// a successor is not counted twice.
    std::vector<std::uint32_t> failed_attempts{};
    std::string checkpoint{};
};

struct job_progress
{
    job_state state = job_state::queued;
    std::vector<bool> done{}; ///< by ordinal
    std::vector<task_progress> tasks{};
};

/// At least the size of its encoding.
std::size_t size_bound(job_progress const& progress);

/// Encodings of the store's rows (MessagePack). Decoding throws base::error
/// (corrupt_data) if the text is none of them.
std::string encode(job_spec const& job);
job_spec decode_job(std::string_view text);
std::string encode(job_progress const& progress);
job_progress decode_progress(std::string_view text);

} // namespace foxtaillift::jobs
