/// The durable list of workers that a leader may have started tasks on.
#pragma once

#include "foxtaillift/jobs/worker.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::jobs
{

/// Keeps the identifier, address and service of each.
std::string encode_workers(std::span<worker_info const> workers);

/// Lines that cannot be read are left out.
std::vector<worker_info> decode_workers(std::string_view text);

} // namespace foxtaillift::jobs
