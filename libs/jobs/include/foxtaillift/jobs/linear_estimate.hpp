/// Coefficients of a linear relation, estimated from noisy observations.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace foxtaillift::jobs
{

/// A coefficient and its factor in one observation.
struct linear_term
{
    std::size_t coefficient = 0;
    double factor = 0;
};

/// Recursive least squares: value = sum of factor * coefficient + noise.
/// Coefficients are added as they are first named. Not thread-safe.
class linear_estimate
{
public:
    /// Every coefficient starts at `mean` with this variance.
    struct prior
    {
        double mean = 0;
        double variance = 1;
    };

    explicit linear_estimate(prior of_all)
        : start(of_all)
    {}

    /// Sets one coefficient's own start; call before it is observed.
    void set_prior(std::size_t coefficient, prior own);

    /// Takes an observation over; `noise` is its variance, above 0. A
    /// coefficient appears in at most one term.
    void
    observe(std::span<linear_term const> terms, double value, double noise);

    /// Lets all coefficients vary by this variance since the last call.
    void drift(double variance);

    [[nodiscard]] double value(std::size_t coefficient) const;
    /// Uncertainty of the value, at most that of the prior.
    [[nodiscard]] double variance(std::size_t coefficient) const;
    [[nodiscard]] double predict(std::span<linear_term const> terms) const;

private:
    void grow(std::size_t size);
    [[nodiscard]] double& covariance(std::size_t row, std::size_t column)
    {
        return this->covariances[row * this->size + column];
    }

    prior start{};
    std::size_t size = 0;
    std::vector<double> means{};
    std::vector<double> covariances{}; ///< size * size
    std::vector<double> gain{};        ///< of the last observation
};

} // namespace foxtaillift::jobs
