/// What this entry host knows of one worker beyond the platform's list. The
/// values survive replacement of the routing snapshot.
#pragma once

#include "foxtaillift/routing/slots.hpp"

#include "foxtaillift/base/clock.hpp"

#include <atomic>
#include <cstdint>
#include <limits>
#include <utility>

namespace foxtaillift::routing
{

/// Shared by all threads; every member is atomic on its own.
struct alignas(64) worker_load
{
    // Read by each decision; together in the first cache line.
    slot_counter slots;
    std::atomic<float> latency_ms{0}; ///< moving average of good answers
    std::atomic<float> error_rate{0};
    std::atomic<std::int64_t> latency_at{0};
    std::atomic<float> batch_load{0}; ///< 0 to 1, from lagging reports
    std::atomic<float> harm{0};       ///< relative slowdown at batch load 1
    std::atomic<std::int64_t> result_at{0}; ///< last success or error
    /// Moving average of run time by the usual run time of the call's path.
    std::atomic<float> slowdown{1};
    std::atomic<std::int64_t> ejected_until{0}; ///< 0: not ejected
    std::atomic<std::int64_t> returned_at{
        std::numeric_limits<std::int64_t>::min() / 2};

    // Health, see health_monitor.
    std::atomic<std::uint32_t> error_points{0};
    std::atomic<std::uint32_t> ejections{0}; ///< in a row
    std::atomic<std::int64_t> next_ejection_check{0};
    std::atomic<bool> has_probe{false};
};

/// Permission for one concurrent call on a worker; gives the slot back when it
/// is destroyed. Report the call's result to health_monitor before releasing:
/// the load object may be freed once its last claim is released.
class slot_claim
{
public:
    slot_claim() = default;
    /// Takes over a slot that was claimed by slot_counter::try_claim.
    slot_claim(worker_load& load, bool is_long, bool is_probe)
        : target(&load)
        , counts_as_long(is_long)
        , probe(is_probe)
    {}
    slot_claim(slot_claim&& other) noexcept
        : target(std::exchange(other.target, nullptr))
        , counts_as_long(other.counts_as_long)
        , probe(other.probe)
    {}
    slot_claim& operator=(slot_claim&& other) noexcept
    {
        if (this != &other) {
            this->release();
            this->target = std::exchange(other.target, nullptr);
            this->counts_as_long = other.counts_as_long;
            this->probe = other.probe;
        }
        return *this;
    }
    slot_claim(slot_claim const&) = delete;
    slot_claim& operator=(slot_claim const&) = delete;
    ~slot_claim() { this->release(); }

    explicit operator bool() const { return this->target != nullptr; }
    [[nodiscard]] worker_load& load() const { return *this->target; }
    [[nodiscard]] bool is_long() const { return this->counts_as_long; }
    /// The call decides whether an ejected worker returns.
    [[nodiscard]] bool is_probe() const { return this->probe; }

    /// Counts the call as long from now on.
    void mark_long();
    void release();

private:
    worker_load* target = nullptr;
    bool counts_as_long = false;
    bool probe = false;
};

} // namespace foxtaillift::routing
