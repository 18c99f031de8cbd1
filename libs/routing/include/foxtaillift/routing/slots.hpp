/// Slots of one worker: permissions for concurrent calls.
///
/// All counts live in one atomic word, so that a claim checks every limit and
/// takes the slot in one compare-and-swap. Safe for concurrent use.
#pragma once

#include <atomic>
#include <cstdint>

namespace foxtaillift::routing
{

/// A consistent view of a worker's slots.
struct slot_counts
{
    std::uint32_t own = 0;        ///< claimed by this entry host
    std::uint32_t inherited = 0;  ///< calls left by an earlier owner
    std::uint32_t long_calls = 0; ///< part of `own`
    std::uint32_t slots = 0;      ///< limit of the worker
    bool is_closed = true;        ///< no new claim succeeds

    [[nodiscard]] std::uint32_t occupied() const
    {
        return this->own + this->inherited;
    }
    [[nodiscard]] std::uint32_t free() const
    {
        return this->is_closed || this->occupied() >= this->slots
                   ? 0
                   : this->slots - this->occupied();
    }
};

/// Limits of one claim, all at most the worker's slots.
struct claim_limits
{
    std::uint32_t occupied = UINT32_MAX; ///< calls of any kind
    std::uint32_t long_calls = UINT32_MAX;
    bool is_long = false;
};

class slot_counter
{
public:
    [[nodiscard]] slot_counts load() const;

    /// Takes one slot. Returns false if a limit would be exceeded or the worker
    /// is closed.
    bool try_claim(claim_limits const& limits);
    void release(bool is_long);

    /// Counts a call that holds a slot as a long one.
    void mark_long();

    /// A closed worker gets no new claim; claims in progress stay. Returns
    /// after every later try_claim is certain to see the change.
    void set_limit(std::uint32_t slots, bool is_closed);

    /// Calls of an earlier owner that are still in progress on the worker.
    void set_inherited(std::uint32_t calls);

private:
    std::atomic<std::uint64_t> word{std::uint64_t{1} << 63};
};

} // namespace foxtaillift::routing
