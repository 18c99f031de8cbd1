#include "foxtaillift/routing/cell_load.hpp"

namespace foxtaillift::routing
{

bool cell_load::update(cell_summary const& summary, base::instant now)
{
    auto const stamp = (now - summary.age).ms;
    bool const known = this->is_known.load(std::memory_order_relaxed);
    if (known && stamp <= this->stamped_at.load(std::memory_order_relaxed)) {
        return false;
    }
    this->free_slots.store(summary.free_slots, std::memory_order_relaxed);
    this->waiting.store(summary.waiting, std::memory_order_relaxed);
    this->latency_ms.store(
        static_cast<float>(summary.latency_ms), std::memory_order_relaxed);
    this->stamped_at.store(stamp, std::memory_order_relaxed);
    this->sent.store(0, std::memory_order_relaxed);
    this->is_known.store(true, std::memory_order_release);
    return true;
}

void cell_load::count_sent()
{
    this->sent.fetch_add(1, std::memory_order_relaxed);
    this->in_flight.fetch_add(1, std::memory_order_acq_rel);
}

void cell_load::count_answered()
{
    this->in_flight.fetch_sub(1, std::memory_order_acq_rel);
}

std::uint32_t cell_load::free_estimate() const
{
    auto const free = this->free_slots.load(std::memory_order_relaxed);
    auto const used = this->sent.load(std::memory_order_relaxed);
    return free > used ? free - used : 0;
}

} // namespace foxtaillift::routing
