/// Jobs as operators write them: JSON in this project's words.
#pragma once

#include "foxtaillift/jobs/job.hpp"

#include <string_view>

namespace foxtaillift::jobs
{

/// Whether a job can have this identifier: 1 to 64 letters, digits and '-'.
bool is_job_identifier(std::string_view text);

/// Reads a job of docs/operator-interface.md and checks it. Throws base::error
/// (invalid_argument) that names the first member that is missing, unknown or
/// of the wrong type, or the first problem of the job.
job_spec decode_job_text(std::string_view text);

} // namespace foxtaillift::jobs
