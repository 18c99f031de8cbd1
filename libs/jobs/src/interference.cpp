#include "foxtaillift/jobs/interference.hpp"

#include "packing.hpp"

#include <algorithm>
#include <cmath>

namespace foxtaillift::jobs
{

namespace
{

/// Harm of an image that was not seen beside the serving one yet, and its
/// uncertainty; between harmless pairs (about 1) and harmful ones (about 11).
constexpr double unknown_harm = 4.0;
constexpr double harm_variance = 25.0;

/// A harm with a larger variance is not worth telling a successor.
constexpr double known_variance = 9.0;

/// Pairs that a successor is told, and the length of their names: together
/// below the 64 KB of a row.
constexpr std::size_t told_pairs = 250;
constexpr std::size_t told_bytes = 200;

/// A service with a target of 4.5 times its base tail and a mean load of 0.42
/// has this headroom on average.
constexpr double mean_headroom = 2.6;
constexpr double headroom_variance = 0.5;

/// Variance of the headroom by the swing of the load by half.
constexpr double swing_variance = 0.45;

/// The load of a service changes little within a part of its swing of 10 to
/// 14 s; two reports this far apart have nothing in common.
constexpr double swing_memory_ms = 3000;

/// Harms vary with what the tasks do; variance by report of the image.
constexpr double drift_variance = 0.0002;

/// Images of one deployment are few; the bound is for callers who name a new
/// image with each job.
constexpr std::size_t image_limit = 64;

/// Coefficients of an estimate.
constexpr std::size_t headroom_coefficient = 0;

std::size_t harm_coefficient(image_number filling)
{
    return 1 + filling;
}

/// A lower margin is not measured: the tail has an upper bound.
constexpr double saturated_margin = 0.2;

/// Reports smooth the tail with this time constant.
constexpr double smoothing_ms = 550;

/// After a longer time the last report has no part in the next one.
constexpr std::int64_t smoothed_within_ms = 2500;

/// Closer reports differ by less than their noise.
constexpr std::int64_t least_gap_ms = 200;

/// Noise of a reported tail, as a part of it.
constexpr double report_noise = 0.05;

/// A margin that is less certain says nothing.
constexpr double useful_variance = 2.0;

/// A margin is not above this: a service without any load has 4.5.
constexpr double highest_margin = 4.5;

/// Error of the learned harm, as a part of its effect.
constexpr double harm_error = 0.1;

void add_factor(
    std::vector<linear_term>& terms, std::size_t coefficient, double factor)
{
    for (auto& term : terms) {
        if (term.coefficient == coefficient) {
            term.factor += factor;
            return;
        }
    }
    terms.push_back({.coefficient = coefficient, .factor = factor});
}

} // namespace

image_number interference_model::number_of(std::string_view image)
{
    auto const found = this->numbers.find(std::string{image});
    if (found != this->numbers.end()) {
        return found->second;
    }
    if (this->estimates.size() >= image_limit) {
        return image_limit - 1;
    }
    auto const number = this->estimates.size();
    this->numbers.emplace(std::string{image}, number);
    this->estimates
        .emplace_back(linear_estimate::prior{
            .mean = -unknown_harm, .variance = harm_variance})
        .set_prior(
            headroom_coefficient,
            {.mean = mean_headroom, .variance = headroom_variance});
    return number;
}

void interference_model::learn(
    image_number serving, margin_report const* before, margin_report const& now)
{
    auto& estimate = this->estimates[serving];
    // A saturated margin is an upper bound, so that differences to it are
    // unknown.
    bool const is_saturated = now.margin < saturated_margin;
    double common = 0;
    if (before != nullptr && !is_saturated &&
        before->margin >= saturated_margin) {
        auto const elapsed = static_cast<double>((now.at - before->at).ms);
        common = std::clamp(1 - elapsed / swing_memory_ms, 0.0, 1.0);
    }
    this->terms.clear();
    add_factor(this->terms, headroom_coefficient, 1 - common);
    for (auto const& use : now.uses) {
        add_factor(this->terms, harm_coefficient(use.image), use.share);
    }
    double value = now.margin;
    if (common > 0) {
        value -= common * before->margin;
        for (auto const& use : before->uses) {
            add_factor(
                this->terms, harm_coefficient(use.image), -common * use.share);
        }
    }
    if (is_saturated && estimate.predict(this->terms) < value) {
        return;
    }
    estimate.drift(drift_variance);
    estimate.observe(
        this->terms, value,
        swing_variance * (1 - common * common) + now.variance +
            (before == nullptr ? 0 : common * common * before->variance));
}

double
interference_model::harm(image_number serving, image_number filling) const
{
    return std::max(
        0.0, -this->estimates[serving].value(harm_coefficient(filling)));
}

double interference_model::harm(
    image_number serving, std::span<image_use const> uses) const
{
    double sum = 0;
    for (auto const& use : uses) {
        sum += this->harm(serving, use.image) * use.share;
    }
    return sum;
}

std::string interference_model::encode() const
{
    auto pairs = nlohmann::json::array();
    for (auto const& [serving, number] : this->numbers) {
        auto const& estimate = this->estimates[number];
        for (auto const& [filling, other] : this->numbers) {
            auto const coefficient = harm_coefficient(other);
            auto const variance = estimate.variance(coefficient);
            bool const is_told = variance < known_variance &&
                                 pairs.size() < told_pairs &&
                                 serving.size() + filling.size() < told_bytes;
            if (is_told) {
                pairs.push_back(
                    {serving, filling,
                     static_cast<float>(estimate.value(coefficient)),
                     static_cast<float>(variance)});
            }
        }
    }
    return pack(pairs);
}

void interference_model::decode(std::string_view text)
{
    unpack(text, "the learned interference", [&](nlohmann::json const& pairs) {
        for (auto const& pair : pairs) {
            auto const serving = this->number_of(pair.at(0).get<std::string>());
            auto const filling = this->number_of(pair.at(1).get<std::string>());
            this->estimates[serving].set_prior(
                harm_coefficient(filling),
                {.mean = pair.at(2), .variance = pair.at(3)});
        }
        return true;
    });
}

void serving_history::on_report(
    interference_model& model,
    headroom_track& headroom,
    image_number serving,
    double tail_over_target,
    std::span<image_use const> uses,
    base::instant now)
{
    auto const elapsed = (now - this->reported_at).ms;
    if (this->is_reported && elapsed < least_gap_ms) {
        return;
    }
    bool const is_smoothed = this->is_reported && elapsed < smoothed_within_ms;
    double const kept =
        is_smoothed ? std::exp(-static_cast<double>(elapsed) / smoothing_ms)
                    : 0;
    double const momentary =
        (tail_over_target - kept * this->smoothed) / (1 - kept);
    double const noise =
        report_noise * (tail_over_target + kept * this->smoothed) / (1 - kept);
    double const margin = 1 / std::max(momentary, 1 / highest_margin);
    double const deviation = noise * margin * margin;
    margin_report const report{
        .margin = margin,
        .variance = deviation * deviation,
        .uses = uses,
        .at = now};
    bool const is_useful = report.variance < useful_variance;
    if (is_useful) {
        this->last.uses = this->last_uses;
        model.learn(
            serving, this->is_margin_known ? &this->last : nullptr, report);
        double const fall = model.harm(serving, uses);
        headroom.observe(
            model.period(), margin + fall,
            report.variance + harm_error * fall * harm_error * fall, now);
    }
    this->last = report;
    this->last_uses.assign(uses.begin(), uses.end());
    this->is_margin_known = is_useful;
    this->smoothed = tail_over_target;
    this->reported_at = now;
    this->is_reported = true;
}

} // namespace foxtaillift::jobs
