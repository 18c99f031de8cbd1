#include "foxtaillift/jobs/headroom.hpp"

#include "serving_load.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace foxtaillift::jobs
{

namespace
{

/// A service with a target of 4.5 times its base tail and a mean load of 0.42
/// has a headroom of 2.6 on average, which swings by 0.95 with a load that
/// swings by half.
constexpr swing_filter::prior unknown_service{
    .level = 2.6, .level_variance = 0.1, .swing_variance = 0.45};

/// Steps whose values are compared with all candidates. Each comparison costs
/// as much as 15 followed steps.
constexpr std::size_t enlisted_limit = 10;

/// Candidate that is used until the period is known: between those that the
/// deployments state.
constexpr std::size_t likely_candidate = 6;

/// Values before a period counts as known: ten steps of some six tasks report
/// 300 within 3 s, a fifth of the longest stated period.
constexpr std::size_t known_after = 300;

/// The best candidate is better than others by this log likelihood at least: e
/// to the 10th, against the errors of a model that is not exact.
constexpr double clear_lead = 10;

/// Growth of the variance of a sine's components by second, with the period and
/// while another one may be used; 0.01 lets a swing of 0.95 drift out of step
/// by a tenth within a period.
constexpr double drift_of_known = 0.01;
constexpr double drift_of_unknown = 0.1;
/// The same of the level: jobs keep their users.
constexpr double level_drift = 0.004;

/// Further from the forecast, in standard deviations, something else than the
/// load has changed; such a value counts less.
constexpr double outlier = 3;

/// Tasks of a step differ at least by this in their headroom.
constexpr double least_variance = 0.02;

/// A forecast reaches no further.
constexpr std::int64_t forecast_ms = 1500;

/// Without load a service would have at least this headroom; a lower level is
/// an error of the first values.
constexpr double least_level = 0.5;
/// The load of a service is within these bounds, whatever its level.
constexpr double least_load = 0.1;
constexpr double most_load = 0.9;

constexpr double ms_per_s = 1000;

double seconds(std::int64_t ms)
{
    return static_cast<double>(ms) / ms_per_s;
}

} // namespace

swing_filter::swing_filter(prior before)
    : means{before.level, 0, 0}
{
    this->covariances[0][0] = before.level_variance;
    this->covariances[1][1] = before.swing_variance;
    this->covariances[2][2] = before.swing_variance;
}

void swing_filter::advance(double angle, double seconds, double noise)
{
    double const c = std::cos(angle);
    double const s = std::sin(angle);
    auto const turn = [&](double& now, double& later) {
        double const before = now;
        now = c * before + s * later;
        later = c * later - s * before;
    };
    turn(this->means[1], this->means[2]);
    // Rotation * covariances * transposed rotation.
    for (auto& row : this->covariances) {
        turn(row[1], row[2]);
    }
    for (std::size_t column = 0; column < size; ++column) {
        turn(this->covariances[1][column], this->covariances[2][column]);
    }
    this->covariances[0][0] += level_drift * seconds;
    this->covariances[1][1] += noise * seconds;
    this->covariances[2][2] += noise * seconds;
}

double swing_filter::observe(double value, double variance)
{
    double const error = value - this->value();
    std::array<double, size> gain{};
    for (std::size_t i = 0; i < size; ++i) {
        gain[i] = this->covariances[i][0] + this->covariances[i][1];
    }
    double const expected = gain[0] + gain[1] + variance;
    double const total =
        std::max(expected, error * error / (outlier * outlier));
    for (std::size_t row = 0; row < size; ++row) {
        this->means[row] += gain[row] / total * error;
        for (std::size_t column = 0; column < size; ++column) {
            this->covariances[row][column] -= gain[row] * gain[column] / total;
        }
    }
    double const deviations =
        std::min(error * error / expected, outlier * outlier);
    return -(std::log(expected) + deviations) / 2;
}

double swing_filter::value_after(double angle) const
{
    return this->means[0] + std::cos(angle) * this->means[1] +
           std::sin(angle) * this->means[2];
}

double swing_filter::variance() const
{
    return this->covariances[0][0] + 2 * this->covariances[0][1] +
           this->covariances[1][1];
}

bool swing_period::enlist()
{
    if (this->enlisted == enlisted_limit) {
        return false;
    }
    ++this->enlisted;
    return true;
}

void swing_period::add(std::size_t candidate, double log_likelihood)
{
    this->scores[candidate] += log_likelihood;
}

std::size_t swing_period::best() const
{
    return static_cast<std::size_t>(
        std::max_element(this->scores.begin(), this->scores.end()) -
        this->scores.begin());
}

bool swing_period::is_known() const
{
    if (this->values < known_after) {
        return false;
    }
    auto const first = this->best();
    for (std::size_t i = 0; i < this->scores.size(); ++i) {
        bool const is_neighbour = i + 1 >= first && i <= first + 1;
        if (!is_neighbour &&
            this->scores[i] > this->scores[first] - clear_lead) {
            return false;
        }
    }
    return true;
}

double swing_period::angular_speed(std::size_t candidate)
{
    return 2 * std::numbers::pi / candidates_s[candidate];
}

double swing_period::angular_speed() const
{
    return angular_speed(this->is_known() ? this->best() : likely_candidate);
}

void headroom_track::observe(
    swing_period& period, double headroom, double variance, base::instant at)
{
    variance = std::max(variance, least_variance);
    if (!this->is_known) {
        this->filter = swing_filter{unknown_service};
        this->filter.observe(headroom, variance);
        if (period.enlist()) {
            this->candidates.assign(
                swing_period::candidates_s.size(), this->filter);
        }
        this->observed_at = at;
        this->is_known = true;
        return;
    }
    double const passed =
        seconds(std::max<std::int64_t>(0, (at - this->observed_at).ms));
    this->observed_at = std::max(at, this->observed_at);
    this->speed = period.angular_speed();
    this->noise = period.is_known() ? drift_of_known : drift_of_unknown;
    this->filter.advance(this->speed * passed, passed, this->noise);
    this->filter.observe(headroom, variance);
    if (this->candidates.empty()) {
        return;
    }
    period.count();
    for (std::size_t i = 0; i < this->candidates.size(); ++i) {
        auto& each = this->candidates[i];
        each.advance(
            swing_period::angular_speed(i) * passed, passed, drift_of_known);
        period.add(i, each.observe(headroom, variance));
    }
}

double headroom_track::seconds_to(base::instant time) const
{
    return seconds(std::clamp<std::int64_t>(
        (time - this->observed_at).ms, 0, forecast_ms));
}

double headroom_track::at(base::instant time) const
{
    return this->filter.value_after(this->speed * this->seconds_to(time));
}

double headroom_track::deviation_at(base::instant time) const
{
    double const ahead = this->seconds_to(time);
    auto later = this->filter;
    later.advance(this->speed * ahead, ahead, this->noise);
    return std::sqrt(least_variance + later.variance());
}

double headroom_track::load_at(base::instant time) const
{
    if (!this->is_known) {
        return mean_serving_load;
    }
    // The headroom falls linearly to 0 at a load of 1, and its level is that of
    // the mean load.
    double const without_load =
        std::max(least_level, this->filter.level()) / (1 - mean_serving_load);
    return std::clamp(1 - this->at(time) / without_load, least_load, most_load);
}

} // namespace foxtaillift::jobs
