/// Summary of a cell that another entry host owns.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <atomic>
#include <cstdint>

namespace foxtaillift::routing
{

/// What an owner reports of its cell, twice a second and with each forwarded
/// answer.
struct cell_summary
{
    std::uint32_t free_slots = 0;
    std::uint32_t waiting = 0; ///< calls in the owner's queues
    double latency_ms = 0;
    base::duration age = {}; ///< between the measurement and its arrival here
};

/// The last summary and what was sent since. Shared by all threads.
///
/// Calls that were sent after the summary was measured are not contained in
/// it; they are counted here and subtracted from its free slots, so that a
/// lagging summary does not attract a herd.
struct alignas(64) cell_load
{
    std::atomic<std::uint32_t> free_slots{0};
    std::atomic<std::uint32_t> waiting{0};
    std::atomic<float> latency_ms{0};
    std::atomic<std::int64_t> stamped_at{0}; ///< local time of measurement
    std::atomic<bool> is_known{false};
    std::atomic<std::uint32_t> sent{0};       ///< since `stamped_at`
    std::atomic<std::uint32_t> in_flight{0};  ///< forwarded, not answered
    std::atomic<std::int64_t> avoid_until{0}; ///< after a failed forward

    /// Stores a newer summary; an older one is ignored. Returns true if it was
    /// stored. One thread at a time.
    bool update(cell_summary const& summary, base::instant now);
    /// Counts a call that is forwarded now.
    void count_sent();
    void count_answered();
    /// Free slots minus what was sent since the measurement, at least 0.
    [[nodiscard]] std::uint32_t free_estimate() const;
};

} // namespace foxtaillift::routing
