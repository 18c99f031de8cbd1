/// The durable lists of workers that a leader may have started tasks on, and of
/// those that do not answer it or leave.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/worker.hpp"

#include <cstdint>
#include <optional>
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

/// The row `lead/workers.lease`. It says nothing of leaders after the one with
/// this token: a version that does not write it may grant longer leases.
struct recorded_lease
{
    std::int64_t token = 0;
    base::duration longest{}; ///< that a worker may hold
    /// Of a leader that has resigned: every lease ends within this time after
    /// its last write.
    std::optional<base::duration> left{};
};

std::string encode(recorded_lease const& value);
/// Throws base::error (corrupt_data).
recorded_lease decode_lease(std::string_view text);

std::string encode_closed(std::span<closed_worker const> workers);

/// Throws base::error (corrupt_data): half a record would name too few runs.
std::vector<closed_worker> decode_closed(std::string_view text);

/// What is recorded holds for these workers, whatever the ages of their leases:
/// it names no others, and the same runs. Of a worker that leaves it may name
/// more runs, since nothing starts there.
bool is_covered(
    std::span<closed_worker const> workers,
    std::span<closed_worker const> recorded);

} // namespace foxtaillift::jobs
