/// Time in whole milliseconds.
///
/// Decisions take an `instant` as an argument and never read a clock, so that
/// tests and replays run on virtual time. Instants are meaningful only within
/// one process; only durations may travel in messages.
#pragma once

#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>

namespace foxtaillift::base
{

/// A span of time in milliseconds. May be negative.
struct duration
{
    std::int64_t ms = 0;

    auto operator<=>(duration const&) const = default;

    constexpr duration& operator+=(duration other)
    {
        this->ms += other.ms;
        return *this;
    }
    constexpr duration& operator-=(duration other)
    {
        this->ms -= other.ms;
        return *this;
    }
    /// Conversion for library interfaces that take std::chrono durations.
    [[nodiscard]] constexpr std::chrono::milliseconds to_chrono() const
    {
        return std::chrono::milliseconds{this->ms};
    }
};

constexpr duration operator+(duration a, duration b)
{
    return {a.ms + b.ms};
}
constexpr duration operator-(duration a, duration b)
{
    return {a.ms - b.ms};
}
constexpr duration operator*(duration a, std::int64_t factor)
{
    return {a.ms * factor};
}
constexpr duration operator/(duration a, std::int64_t divisor)
{
    return {a.ms / divisor};
}

constexpr duration milliseconds(std::int64_t count)
{
    return {count};
}
constexpr duration seconds(std::int64_t count)
{
    return {count * 1000};
}

/// A point on a monotonic clock, in milliseconds since an arbitrary origin.
struct instant
{
    std::int64_t ms = 0;

    auto operator<=>(instant const&) const = default;

    constexpr instant& operator+=(duration other)
    {
        this->ms += other.ms;
        return *this;
    }
};

constexpr instant operator+(instant a, duration b)
{
    return {a.ms + b.ms};
}
constexpr instant operator-(instant a, duration b)
{
    return {a.ms - b.ms};
}
constexpr duration operator-(instant a, instant b)
{
    return {a.ms - b.ms};
}

/// A source of instants that never goes backwards.
template <class T>
concept clock_source = requires(T const& clock)
{
    {
        clock.now()
        } -> std::same_as<instant>;
};

/// The monotonic clock of this machine. Safe for concurrent use.
class steady_clock
{
public:
    [[nodiscard]] instant now() const;
};

/// A monotonic clock that also counts the time during which the machine is
/// suspended. For leases that others count on. Safe for concurrent use.
class boot_clock
{
public:
    [[nodiscard]] instant now() const;
};

/// A clock that moves only when told to, for tests and replays.
class manual_clock
{
public:
    [[nodiscard]] instant now() const { return this->current; }
    void advance(duration by) { this->current += by; }

private:
    instant current{};
};

/// Wall clock in milliseconds since 1970, for records that people read. No
/// decision depends on it.
std::int64_t wall_time_ms();

} // namespace foxtaillift::base
