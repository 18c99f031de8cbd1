/// Follows the headroom of serving tasks (see interference.hpp), which swings
/// with the load of their users.
///
/// The loads of a deployment swing like sines with one period and a phase for
/// each service. Once the period is known, the headroom of the next second is
/// known far better than from its slope.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <array>
#include <cstddef>
#include <vector>

namespace foxtaillift::jobs
{

/// A level and a sine around it, estimated from noisy values by a Kalman filter
/// for one angular speed.
class swing_filter
{
public:
    /// What is known before the first value.
    struct prior
    {
        double level = 0;
        double level_variance = 1;
        double swing_variance = 1; ///< of each component of the sine
    };

    swing_filter() = default;
    explicit swing_filter(prior before);

    /// Lets time pass: the sine turns by `angle`, and its components become
    /// uncertain by `noise` in each of `seconds`.
    void advance(double angle, double seconds, double noise);
    /// Takes a value over, with its variance. Returns the logarithm of its
    /// likelihood, without the constant part.
    double observe(double value, double variance);

    [[nodiscard]] double level() const { return this->means[0]; }
    [[nodiscard]] double value() const
    {
        return this->means[0] + this->means[1];
    }
    /// The value expected once the sine has turned by `angle`.
    [[nodiscard]] double value_after(double angle) const;
    [[nodiscard]] double variance() const;

private:
    static constexpr std::size_t size = 3;

    std::array<double, size> means{}; ///< level, sine now and a quarter later
    std::array<std::array<double, size>, size> covariances{};
};

/// The period of the loads of a deployment, found by comparing candidates.
class swing_period
{
public:
    /// Seconds; the deployments state 10 and 14.
    static constexpr std::array candidates_s{6.0,  7.0,  8.0,  9.0,  10.0,
                                             11.0, 12.0, 13.0, 14.0, 15.0,
                                             16.0, 18.0, 20.0, 23.0, 27.0};

    /// True for the first few callers, whose values are compared with all
    /// candidates; the others only use the result.
    bool enlist();
    /// One value was compared with a candidate.
    void add(std::size_t candidate, double log_likelihood);
    /// One value was compared with all candidates.
    void count() { ++this->values; }

    /// No candidate but neighbours of the best one explains the values as well.
    [[nodiscard]] bool is_known() const;
    /// Of the best candidate, or of a likely one until it is known; radians by
    /// second.
    [[nodiscard]] double angular_speed() const;
    [[nodiscard]] static double angular_speed(std::size_t candidate);

private:
    [[nodiscard]] std::size_t best() const;

    std::array<double, candidates_s.size()> scores{};
    std::size_t enlisted = 0;
    std::size_t values = 0;
};

/// Follows the headroom of the serving tasks of one step, which share their
/// users and so their load.
class headroom_track
{
public:
    /// `period` is that of the deployment; it learns from the value.
    void observe(
        swing_period& period,
        double headroom,
        double variance,
        base::instant at);

    /// The headroom expected at `time`.
    [[nodiscard]] double at(base::instant time) const;
    /// Standard deviation of at(time), for a task of the step.
    [[nodiscard]] double deviation_at(base::instant time) const;
    /// The part of its processors that a task of the step is expected to use at
    /// `time`; a mean one until the step is followed.
    [[nodiscard]] double load_at(base::instant time) const;

    /// It was observed at least once.
    [[nodiscard]] bool is_followed() const { return this->is_known; }
    [[nodiscard]] double last() const { return this->filter.value(); }

private:
    /// Seconds from the last value to `time`, up to the limit of forecasts.
    [[nodiscard]] double seconds_to(base::instant time) const;

    swing_filter filter{};
    std::vector<swing_filter> candidates{}; ///< of an enlisted track
    double speed = 0;                       ///< angular, of the filter
    double noise = 0;                       ///< of the filter, by second
    base::instant observed_at{};
    bool is_known = false;
};

} // namespace foxtaillift::jobs
