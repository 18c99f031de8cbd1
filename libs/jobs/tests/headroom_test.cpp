#include "foxtaillift/jobs/headroom.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <numbers>
#include <random>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;

namespace
{

/// Services whose headroom swings with one period, each with its own phase, and
/// reports of it that are rough.
class swinging_services
{
public:
    swinging_services(std::size_t count, double period_s, double amplitude)
        : period(period_s)
        , swing(amplitude)
        , tracks(count)
    {
        std::uniform_real_distribution<double> any{0, 2 * std::numbers::pi};
        for (std::size_t i = 0; i < count; ++i) {
            this->phases.push_back(any(this->random));
        }
    }

    [[nodiscard]] double headroom(std::size_t service, base::instant at) const
    {
        double const seconds = static_cast<double>(at.ms) / 1000;
        return 2.6 +
               this->swing * std::sin(
                                 2 * std::numbers::pi * seconds / this->period +
                                 this->phases[service]);
    }

    /// Each service is reported 12 times a second, as by six tasks.
    void run_for(base::duration span)
    {
        constexpr base::duration between = base::milliseconds(80);
        std::normal_distribution<double> roughness{0, report_deviation};
        for (auto const end = this->now + span; this->now < end;
             this->now += between) {
            for (std::size_t i = 0; i < this->tracks.size(); ++i) {
                this->tracks[i].observe(
                    this->shared,
                    this->headroom(i, this->now) + roughness(this->random),
                    report_deviation * report_deviation, this->now);
            }
        }
    }

    /// Root of the mean square of the errors of forecasts while time goes on.
    [[nodiscard]] double forecast_error(base::duration ahead)
    {
        double sum = 0;
        int count = 0;
        for (int i = 0; i < 100; ++i) {
            this->run_for(base::milliseconds(240));
            for (std::size_t k = 0; k < this->tracks.size(); ++k) {
                double const error = this->tracks[k].at(this->now + ahead) -
                                     this->headroom(k, this->now + ahead);
                sum += error * error;
                ++count;
            }
        }
        return std::sqrt(sum / count);
    }

    static constexpr double report_deviation = 0.35;

    double period;
    double swing;
    base::instant now{1000};
    swing_period shared{};
    std::vector<headroom_track> tracks;

private:
    std::vector<double> phases{};
    std::mt19937 random{17};
};

/// A forecast has to be better than what one report tells.
constexpr double report = swinging_services::report_deviation;

/// Paces are set for this long.
constexpr base::duration pace_time = base::milliseconds(600);

} // namespace

// The pattern: filling tasks beside services whose load swings by half within
// 10 or 14 s (both deployments). Guards against paces that keep a third of the
// headroom back, or take more than there is, since only the slope is followed:
// that forecast has a deviation of 0.3.
TEST_CASE("the headroom of the next report is known once the period is")
{
    for (double const period : {10.0, 14.0}) {
        CAPTURE(period);
        swinging_services services{12, period, 0.95};
        services.run_for(
            base::milliseconds(static_cast<std::int64_t>(1200 * period)));
        CHECK(services.shared.is_known());
        CHECK(
            services.shared.angular_speed() ==
            doctest::Approx(2 * std::numbers::pi / period));
        CHECK(services.forecast_error(pace_time) < report / 3);
        CHECK(
            services.tracks.front().deviation_at(services.now + pace_time) <
            0.25);
    }
}

// Guards against an error that grows with time: the period of a deployment is
// none of the candidates.
TEST_CASE("a period between two candidates is followed")
{
    for (double const period : {8.5, 12.4, 17.0}) {
        CAPTURE(period);
        swinging_services services{12, period, 0.95};
        services.run_for(base::seconds(25));
        CHECK(services.forecast_error(pace_time) < report / 2);
    }
}

TEST_CASE("a headroom that does not swing is followed")
{
    swinging_services services{12, 10, 0};
    services.run_for(base::seconds(20));
    CHECK(services.forecast_error(pace_time) < report / 2);
}

// Guards against forecasts of the first seconds that are worse than the last
// value.
TEST_CASE("before the period is known the headroom is followed at once")
{
    swinging_services services{12, 14, 0.95};
    services.run_for(base::seconds(2));
    CHECK_FALSE(services.shared.is_known());
    double sum = 0;
    for (std::size_t i = 0; i < services.tracks.size(); ++i) {
        double const error = services.tracks[i].at(services.now + pace_time) -
                             services.headroom(i, services.now + pace_time);
        sum += error * error;
    }
    CHECK(std::sqrt(sum / 12) < 0.4);
}

TEST_CASE("the load of a service follows its headroom")
{
    swinging_services services{12, 14, 0.95};
    services.run_for(base::seconds(30));
    for (std::size_t i = 0; i < services.tracks.size(); ++i) {
        CAPTURE(i);
        // 0.42 on average, with a headroom of 4.5 without load.
        double const load = 1 - services.headroom(i, services.now) / 4.5;
        CHECK(
            services.tracks[i].load_at(services.now) ==
            doctest::Approx(load).epsilon(0.15));
    }
    CHECK(headroom_track{}.load_at(services.now) == doctest::Approx(0.42));
}

TEST_CASE("a forecast is less certain than the present")
{
    swing_period period;
    headroom_track track;
    CHECK_FALSE(track.is_followed());
    track.observe(period, 2.2, 0.1, base::instant{1000});
    CHECK(track.is_followed());
    CHECK(
        track.deviation_at(base::instant{2000}) >
        track.deviation_at(base::instant{1000}));
}
