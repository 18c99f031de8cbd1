#include "foxtaillift/jobs/pacing.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>
#include <vector>

namespace foxtaillift::jobs
{

namespace
{

constexpr double full_speed = 100; // percent

/// The margin at which a serving task meets its target, and what is left for
/// the error of forecasts.
constexpr double margin_kept = 1.0;

/// What the users of a serving task over its target lose, by its reserved
/// processors, beside the worth of the same processors filled. A deployment
/// counts such a task four times, and its tasks earn a third as much by
/// processor as those of filling jobs.
constexpr double exceeding_cost = 1.3;

/// By how much the margin of each serving task falls by each unit of processors
/// that are asked for beyond all: a target of 4.5 times the base tail loses 4.5
/// by a unit of load.
constexpr double crowding_harm = 4.5;

/// Beside a task that may not exceed its target, an image that is taken as
/// harmless may be the one that disturbs it.
constexpr double doubtful_harm = 1.0;

/// Tasks of less urgency count as this urgent, so that they still get what no
/// other task can use.
constexpr double least_urgency = 0.05;

/// Values of the normal distribution, since a search for the worker of a task
/// asks for thousands.
class distribution_table
{
public:
    distribution_table() noexcept
    {
        // The logistic function comes near it; the error is below 0.01.
        constexpr double logistic_scale = 1.702;
        for (std::size_t i = 0; i < this->values.size(); ++i) {
            double const deviations =
                static_cast<double>(i) / entries_by_deviation - range;
            this->values[i] = 1 / (1 + std::exp(-logistic_scale * deviations));
        }
    }

    /// The probability that a value is at most this many standard deviations
    /// above the mean.
    [[nodiscard]] double below(double deviations) const
    {
        double const position = std::clamp(
            (deviations + range) * entries_by_deviation, 0.0,
            static_cast<double>(entries - 1));
        return this->values[static_cast<std::size_t>(position)];
    }

private:
    static constexpr double range = 6; // deviations to either side
    static constexpr double entries_by_deviation = 64;
    static constexpr std::size_t entries = 2 * 6 * 64 + 1;
    std::array<double, entries> values{};
};

distribution_table const normal_distribution;

/// The probability that a normally distributed value is below `limit`.
double probability_below(double limit, double mean, double deviation)
{
    return normal_distribution.below((limit - mean) / deviation);
}

/// Further above it than this, in standard deviations, a margin counts as kept.
constexpr double certain_deviations = 4;

/// Indices of the filling tasks, those that gain most for the margin that they
/// take first.
std::vector<std::size_t> by_gain(
    interference_model const& model,
    std::span<served_run const> served,
    std::span<filling_run const> fillings)
{
    std::vector<double> price(fillings.size(), 0.0);
    for (std::size_t i = 0; i < fillings.size(); ++i) {
        for (auto const& each : served) {
            price[i] =
                std::max(price[i], model.harm(each.image, fillings[i].image));
        }
        price[i] /= std::max(least_urgency, fillings[i].urgency);
    }
    std::vector<std::size_t> order(fillings.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return std::pair{price[a], a} < std::pair{price[b], b};
    });
    return order;
}

/// Raises the pace of one filling task step by step, and keeps the best of all
/// states that it passes.
class pace_search
{
public:
    pace_search(paced_worker start, std::size_t count)
        : worker(std::move(start))
        , percents(count, 0)
        , best_percents(count, 0)
        , best_worth(-this->worker.loss())
    {}

    void raise(std::size_t index, filling_run const& run)
    {
        auto const harms = this->worker.harms_of(run.image);
        double const share = run.full_share * step_percent / full_speed;
        for (int percent = step_percent; percent <= full_speed;
             percent += step_percent) {
            if (this->worker.unused() < share) {
                return; // a higher pace would make nothing faster
            }
            auto const before = this->worker;
            this->worker.add(harms, share);
            if (!this->worker.is_allowed()) {
                this->worker = before;
                return;
            }
            this->gain += std::max(least_urgency, run.urgency) * share;
            this->percents[index] = percent;
            double const worth = this->gain - this->worker.loss();
            if (worth > this->best_worth) {
                this->best_worth = worth;
                this->best_percents = this->percents;
            }
        }
    }

    [[nodiscard]] few_values<int> const& best() const
    {
        return this->best_percents;
    }

private:
    static constexpr int step_percent = 10;

    paced_worker worker;
    few_values<int> percents;
    double gain = 0;
    few_values<int> best_percents;
    double best_worth;
};

} // namespace

paced_worker::paced_worker(
    interference_model const& learned, pacing_scene const& scene)
    : model(&learned)
    , served(scene.served)
    , processors(scene.unused_processors)
    , falls(scene.served.size(), 0.0)
{
    for (auto const& each : scene.served) {
        this->own_loss +=
            each.share *
            probability_below(margin_kept, each.headroom, each.deviation);
    }
}

few_values<double> paced_worker::harms_of(image_number image) const
{
    few_values<double> harms;
    for (auto const& each : this->served) {
        harms.push_back(std::max(
            this->model->harm(each.image, image),
            each.may_exceed ? 0 : doubtful_harm));
    }
    return harms;
}

void paced_worker::add(few_values<double> const& harms, double share)
{
    this->answers.clear();
    double const crowding =
        std::max(0.0, share - std::max(0.0, this->processors));
    this->processors -= share;
    for (std::size_t i = 0; i < this->falls.size(); ++i) {
        this->falls[i] += harms[i] * share + crowding_harm * crowding;
    }
}

void paced_worker::add(filling_run const& run)
{
    this->add(
        this->harms_of(run.image), run.full_share * run.percent / full_speed);
}

bool paced_worker::is_allowed() const
{
    for (std::size_t i = 0; i < this->falls.size(); ++i) {
        auto const& each = this->served[i];
        if (!each.may_exceed && this->falls[i] > 0 &&
            each.headroom - this->falls[i] < margin_kept) {
            return false;
        }
    }
    return true;
}

bool paced_worker::is_harmless() const
{
    for (std::size_t i = 0; i < this->falls.size(); ++i) {
        auto const& each = this->served[i];
        if (each.headroom - this->falls[i] - margin_kept <
            certain_deviations * each.deviation) {
            return false;
        }
    }
    return true;
}

double paced_worker::loss() const
{
    double sum = -this->own_loss;
    for (std::size_t i = 0; i < this->falls.size(); ++i) {
        auto const& each = this->served[i];
        sum += each.share *
               probability_below(
                   margin_kept, each.headroom - this->falls[i], each.deviation);
    }
    return exceeding_cost * sum;
}

double paced_worker::least_margin() const
{
    double least = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < this->falls.size(); ++i) {
        least = std::min(
            least, this->served[i].headroom - this->falls[i] - margin_kept);
    }
    return least;
}

double paced_worker::bearable_pace(image_number filling, double share) const
{
    if (share <= 0) {
        return 1; // it takes nothing
    }
    for (auto const& each : this->answers) {
        if (each.filling == filling && each.share == share) {
            return each.pace;
        }
    }
    auto const pace = this->find_pace(filling, share);
    this->answers.push_back({filling, share, pace});
    return pace;
}

double paced_worker::find_pace(image_number filling, double share) const
{
    auto busy = *this;
    busy.add(busy.harms_of(filling), share);
    if (busy.is_harmless()) {
        return 1;
    }
    pace_search search{*this, 1};
    search.raise(0, {.image = filling, .full_share = share});
    return search.best().front() / full_speed;
}

double set_paces(
    interference_model const& model,
    pacing_scene const& scene,
    std::span<filling_run> fillings)
{
    paced_worker const idle{model, scene};
    pace_search search{idle, fillings.size()};
    for (auto const index : by_gain(model, scene.served, fillings)) {
        search.raise(index, fillings[index]);
    }
    auto busy = idle;
    for (std::size_t i = 0; i < fillings.size(); ++i) {
        auto& run = fillings[i];
        run.percent = search.best()[i];
        busy.add(run);
    }
    return busy.least_margin();
}

} // namespace foxtaillift::jobs
