/// Learns how much filling tasks disturb serving tasks, by pair of images.
///
/// A serving task answers like a queue: its tail is T / (1 - use), where `use`
/// is its own load plus what is taken by tasks beside it. So the target divided
/// by the tail, here called margin, falls linearly with what filling tasks use:
///
///     margin = headroom(load) - sum over filling images of harm * share
///
/// The target is met while the margin is at least 1. The headroom swings with
/// the load of the service; the harm of a pair of images is constant.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/headroom.hpp"
#include "foxtaillift/jobs/linear_estimate.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace foxtaillift::jobs
{

/// Number of an image within one interference_model.
using image_number = std::size_t;

/// Processors that the filling tasks of one image use on a worker.
struct image_use
{
    image_number image = 0;
    double share = 0; ///< of the worker's processors
};

/// The margin of a serving task at a moment, with what filled beside it.
struct margin_report
{
    double margin = 0;
    double variance = 0; ///< of the margin, by rounding and noise
    std::span<image_use const> uses{};
    base::instant at{};
};

/// Harms of all pairs, learned from the reports of all serving tasks by
/// recursive least squares. Not thread-safe.
class interference_model
{
public:
    /// Images beyond the limit share one number.
    image_number number_of(std::string_view image);

    /// `before` is the previous report of the same task, or null. What both
    /// have in common, such as the load of the service, then counts little.
    void learn(
        image_number serving,
        margin_report const* before,
        margin_report const& now);

    /// Fall of the margin by a unit of share; at least 0.
    [[nodiscard]] double harm(image_number serving, image_number filling) const;

    /// Fall of the margin by all of `uses`.
    [[nodiscard]] double
    harm(image_number serving, std::span<image_use const> uses) const;

    /// The period of the load of all services.
    [[nodiscard]] swing_period& period() { return this->swing; }

    /// The pairs that are known, for a successor (MessagePack).
    [[nodiscard]] std::string encode() const;
    /// Takes over what another model has learned. Throws base::error
    /// (corrupt_data) if the text is no encoding.
    void decode(std::string_view text);

private:
    std::unordered_map<std::string, image_number> numbers{};
    /// By serving image; coefficient 0 is the mean headroom, coefficient
    /// 1 + image the harm of that image, negative.
    std::vector<linear_estimate> estimates{};
    std::vector<linear_term> terms{}; ///< of the last observation
    swing_period swing{};
};

/// Recovers the margins of one serving task from its reports, which smooth the
/// tail over half a second: after a crest they stay high for seconds.
class serving_history
{
public:
    /// Takes a report over and teaches the model and the step's headroom.
    /// `tail_over_target` is positive.
    void on_report(
        interference_model& model,
        headroom_track& headroom,
        image_number serving,
        double tail_over_target,
        std::span<image_use const> uses,
        base::instant now);

private:
    double smoothed = 0; ///< tail over target as reported
    margin_report last{};
    std::vector<image_use> last_uses{};
    base::instant reported_at{};
    bool is_reported = false;
    bool is_margin_known = false; ///< by the last report
};

} // namespace foxtaillift::jobs
