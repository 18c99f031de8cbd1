/// Bounds the memory of all messages that one server or client holds.
#pragma once

#include <atomic>
#include <cstddef>

namespace foxtaillift::transport
{

/// Safe from any thread.
class buffer_budget
{
public:
    explicit buffer_budget(std::size_t bytes)
        : limit(bytes)
    {}

    /// Returns false and takes nothing if the limit would be exceeded.
    bool take(std::size_t bytes)
    {
        if (this->taken.fetch_add(bytes) + bytes <= this->limit) {
            return true;
        }
        this->taken -= bytes;
        return false;
    }
    /// Takes also beyond the limit.
    void take_always(std::size_t bytes) { this->taken += bytes; }
    void give_back(std::size_t bytes) { this->taken -= bytes; }
    [[nodiscard]] std::size_t used() const { return this->taken; }
    [[nodiscard]] std::size_t most() const { return this->limit; }

private:
    std::size_t limit;
    std::atomic<std::size_t> taken{0};
};

/// The part of a budget that one body uses. Not safe for concurrent use.
class buffer_share
{
public:
    explicit buffer_share(buffer_budget& source)
        : budget(source)
    {}
    buffer_share(buffer_share const&) = delete;
    buffer_share& operator=(buffer_share const&) = delete;
    ~buffer_share() { this->clear(); }

    /// Makes the share at least `bytes`; false if the budget has no room.
    bool grow_to(std::size_t bytes)
    {
        if (bytes <= this->held) {
            return true;
        }
        if (!this->budget.take(bytes - this->held)) {
            return false;
        }
        this->held = bytes;
        return true;
    }
    void clear()
    {
        this->budget.give_back(this->held);
        this->held = 0;
    }

private:
    buffer_budget& budget;
    std::size_t held = 0;
};

} // namespace foxtaillift::transport
