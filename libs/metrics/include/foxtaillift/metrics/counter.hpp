/// Counters and gauges. All operations are atomic and never block.
#pragma once

#include <atomic>
#include <cstdint>

namespace foxtaillift::metrics
{

/// A number that only grows.
class counter
{
public:
    void add(std::uint64_t by = 1)
    {
        this->count.fetch_add(by, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value() const
    {
        return this->count.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> count{0};
};

/// A number that goes up and down.
class gauge
{
public:
    void set(std::int64_t to)
    {
        this->current.store(to, std::memory_order_relaxed);
    }
    void add(std::int64_t by)
    {
        this->current.fetch_add(by, std::memory_order_relaxed);
    }
    [[nodiscard]] std::int64_t value() const
    {
        return this->current.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> current{0};
};

} // namespace foxtaillift::metrics
