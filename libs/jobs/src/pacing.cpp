#include "foxtaillift/jobs/pacing.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>
#include <vector>

#include <boost/container/small_vector.hpp>

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
/// processor as those of filling jobs: 1.3. A filling task that stands still
/// loses more than its time where its job becomes late by it.
constexpr double exceeding_cost = 0.9;

/// Part of its processors that a serving task uses on average; the deployments
/// state 0.42.
constexpr double serving_use = 0.42;

/// Use of all processors from which on tasks wait for each other, and by how
/// much the margin of each serving task falls by each unit of use above it: a
/// target of 4.5 times the base tail loses 4.5 by a unit of load.
constexpr double crowded_use = 0.95;
constexpr double crowding_harm = 4.5;

/// Beside a task that may not exceed its target, an image that is taken as
/// harmless may be the one that disturbs it.
constexpr double doubtful_harm = 1.0;

/// Tasks of less urgency count as this urgent, so that they still get what no
/// other task can use.
constexpr double least_urgency = 0.05;

/// The probability that a normally distributed value is below `limit`, by the
/// logistic function, whose error is below 0.01.
double probability_below(double limit, double mean, double deviation)
{
    constexpr double logistic_scale = 1.702;
    return 1 / (1 + std::exp(-logistic_scale * (limit - mean) / deviation));
}

/// A worker has room for about ten serving tasks and as many filling ones. A
/// search for the worker of a task builds these for each candidate.
template <class Value>
using few = boost::container::small_vector<Value, 16>;

/// What filling tasks take of the margins of the serving tasks beside them.
class shared_worker
{
public:
    shared_worker(interference_model const& learned, pacing_scene const& scene)
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

    /// Fall of each serving task's margin by a unit of share of the image.
    [[nodiscard]] few<double> harms_of(image_number image) const
    {
        few<double> harms;
        for (auto const& each : this->served) {
            harms.push_back(std::max(
                this->model->harm(each.image, image),
                each.may_exceed ? 0 : doubtful_harm));
        }
        return harms;
    }

    void add(few<double> const& harms, double share)
    {
        double const crowding =
            std::max(0.0, share - std::max(0.0, this->processors));
        this->processors -= share;
        for (std::size_t i = 0; i < this->falls.size(); ++i) {
            this->falls[i] += harms[i] * share + crowding_harm * crowding;
        }
    }

    /// No task that may not exceed its target is expected to.
    [[nodiscard]] bool is_allowed() const
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

    /// What the users of serving tasks lose that are over their target because
    /// of filling tasks.
    [[nodiscard]] double loss() const
    {
        double sum = -this->own_loss;
        for (std::size_t i = 0; i < this->falls.size(); ++i) {
            auto const& each = this->served[i];
            sum += each.share * probability_below(
                                    margin_kept, each.headroom - this->falls[i],
                                    each.deviation);
        }
        return exceeding_cost * sum;
    }

    [[nodiscard]] double least_margin() const
    {
        double least = std::numeric_limits<double>::infinity();
        for (std::size_t i = 0; i < this->falls.size(); ++i) {
            least = std::min(
                least, this->served[i].headroom - this->falls[i] - margin_kept);
        }
        return least;
    }

private:
    interference_model const* model;
    std::span<served_run const> served;
    double processors;
    few<double> falls;   ///< of the margins, by serving task
    double own_loss = 0; ///< without filling tasks, in reserved share
};

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
    pace_search(shared_worker start, std::size_t count)
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

    [[nodiscard]] few<int> const& best() const { return this->best_percents; }

private:
    static constexpr int step_percent = 10;

    shared_worker worker;
    few<int> percents;
    double gain = 0;
    few<int> best_percents;
    double best_worth;
};

} // namespace

double unused_processors(
    std::int64_t capacity,
    std::int64_t serving_processors,
    std::int64_t other_processors)
{
    auto const all = static_cast<double>(std::max<std::int64_t>(1, capacity));
    return crowded_use -
           (serving_use * static_cast<double>(serving_processors) +
            static_cast<double>(other_processors)) /
               all;
}

double set_paces(
    interference_model const& model,
    pacing_scene const& scene,
    std::span<filling_run> fillings)
{
    shared_worker const idle{model, scene};
    pace_search search{idle, fillings.size()};
    for (auto const index : by_gain(model, scene.served, fillings)) {
        search.raise(index, fillings[index]);
    }
    auto busy = idle;
    for (std::size_t i = 0; i < fillings.size(); ++i) {
        auto& run = fillings[i];
        run.percent = search.best()[i];
        busy.add(
            busy.harms_of(run.image),
            run.full_share * run.percent / full_speed);
    }
    return busy.least_margin();
}

double bearable_pace(
    interference_model const& model,
    pacing_scene const& scene,
    std::span<filling_run const> others,
    image_number filling,
    double share)
{
    if (share <= 0) {
        return 1; // it takes nothing
    }
    shared_worker worker{model, scene};
    for (auto const& run : others) {
        worker.add(
            worker.harms_of(run.image),
            run.full_share * run.percent / full_speed);
    }
    pace_search search{std::move(worker), 1};
    search.raise(0, {.image = filling, .full_share = share});
    return search.best().front() / full_speed;
}

} // namespace foxtaillift::jobs
