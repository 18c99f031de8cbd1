/// The durable lists of workers that a leader may have started tasks on, and of
/// those that do not answer it.
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

std::string encode_silent(std::span<silent_worker const> workers);

/// Throws base::error (corrupt_data): half a record would name too few runs.
std::vector<silent_worker> decode_silent(std::string_view text);

/// The same workers and runs, whatever the ages of their leases.
bool is_same_record(
    std::span<silent_worker const> left, std::span<silent_worker const> right);

} // namespace foxtaillift::jobs
