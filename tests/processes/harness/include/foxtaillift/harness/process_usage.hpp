/// Memory and descriptors of a running process.
#pragma once

#include <cstddef>

#include <sys/types.h>

namespace foxtaillift::harness
{

struct process_usage
{
    std::size_t resident = 0;      ///< bytes, now
    std::size_t peak_resident = 0; ///< bytes, the most so far
    std::size_t descriptors = 0;   ///< open ones
};

/// All zero if the process has ended.
process_usage usage_of(pid_t process);

} // namespace foxtaillift::harness
