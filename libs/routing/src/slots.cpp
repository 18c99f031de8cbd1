#include "foxtaillift/routing/slots.hpp"

#include "foxtaillift/routing/worker_load.hpp"

#include <algorithm>

namespace foxtaillift::routing
{

namespace
{

// Layout of the word: four counts of 15 bits and the closed flag on top.
constexpr unsigned width = 15;
constexpr std::uint64_t mask = (std::uint64_t{1} << width) - 1;
constexpr unsigned own_shift = 0;
constexpr unsigned inherited_shift = width;
constexpr unsigned long_shift = 2 * width;
constexpr unsigned slots_shift = 3 * width;
constexpr std::uint64_t closed = std::uint64_t{1} << 63;
constexpr std::uint64_t one_own = std::uint64_t{1} << own_shift;
constexpr std::uint64_t one_long = std::uint64_t{1} << long_shift;

std::uint32_t field(std::uint64_t word, unsigned shift)
{
    return static_cast<std::uint32_t>((word >> shift) & mask);
}

std::uint64_t
with_field(std::uint64_t word, unsigned shift, std::uint32_t value)
{
    auto const bounded = std::min<std::uint64_t>(value, mask);
    return (word & ~(mask << shift)) | (bounded << shift);
}

slot_counts unpack(std::uint64_t word)
{
    return {
        .own = field(word, own_shift),
        .inherited = field(word, inherited_shift),
        .long_calls = field(word, long_shift),
        .slots = field(word, slots_shift),
        .is_closed = (word & closed) != 0};
}

template <class Change>
void update(std::atomic<std::uint64_t>& word, Change change)
{
    auto current = word.load(std::memory_order_relaxed);
    while (!word.compare_exchange_weak(
        current, change(current), std::memory_order_acq_rel)) {
    }
}

} // namespace

slot_counts slot_counter::load() const
{
    return unpack(this->word.load(std::memory_order_acquire));
}

bool slot_counter::try_claim(claim_limits const& limits)
{
    auto current = this->word.load(std::memory_order_relaxed);
    for (;;) {
        auto const counts = unpack(current);
        if (counts.free() == 0 || counts.occupied() >= limits.occupied ||
            (limits.is_long && counts.long_calls >= limits.long_calls)) {
            return false;
        }
        auto const next = current + one_own + (limits.is_long ? one_long : 0);
        if (this->word.compare_exchange_weak(
                current, next, std::memory_order_acq_rel)) {
            return true;
        }
    }
}

void slot_counter::release(bool is_long)
{
    this->word.fetch_sub(
        one_own + (is_long ? one_long : 0), std::memory_order_acq_rel);
}

void slot_counter::mark_long()
{
    this->word.fetch_add(one_long, std::memory_order_acq_rel);
}

void slot_counter::set_limit(std::uint32_t slots, bool is_closed)
{
    update(this->word, [&](std::uint64_t current) {
        current = with_field(current, slots_shift, slots);
        return is_closed ? current | closed : current & ~closed;
    });
}

void slot_counter::set_inherited(std::uint32_t calls)
{
    update(this->word, [&](std::uint64_t current) {
        return with_field(current, inherited_shift, calls);
    });
}

void slot_claim::mark_long()
{
    if (this->target != nullptr && !this->counts_as_long) {
        this->target->slots.mark_long();
        this->counts_as_long = true;
    }
}

void slot_claim::release()
{
    if (auto* load = std::exchange(this->target, nullptr)) {
        if (this->probe) {
            load->has_probe.store(false, std::memory_order_release);
        }
        load->slots.release(this->counts_as_long);
    }
}

} // namespace foxtaillift::routing
