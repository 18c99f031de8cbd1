#include "foxtaillift/jobs/linear_estimate.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

void linear_estimate::set_prior(std::size_t coefficient, prior own)
{
    this->grow(coefficient + 1);
    this->means[coefficient] = own.mean;
    this->covariance(coefficient, coefficient) = own.variance;
}

void linear_estimate::grow(std::size_t wanted)
{
    if (wanted <= this->size) {
        return;
    }
    std::vector<double> larger(wanted * wanted, 0.0);
    for (std::size_t row = 0; row < this->size; ++row) {
        for (std::size_t column = 0; column < this->size; ++column) {
            larger[row * wanted + column] = this->covariance(row, column);
        }
    }
    for (std::size_t added = this->size; added < wanted; ++added) {
        larger[added * wanted + added] = this->start.variance;
    }
    this->means.resize(wanted, this->start.mean);
    this->covariances = std::move(larger);
    this->size = wanted;
}

void linear_estimate::observe(
    std::span<linear_term const> terms, double value, double noise)
{
    for (auto const& term : terms) {
        this->grow(term.coefficient + 1);
    }
    this->gain.assign(this->size, 0.0);
    double expected = 0;
    for (auto const& term : terms) {
        expected += term.factor * this->means[term.coefficient];
        for (std::size_t row = 0; row < this->size; ++row) {
            this->gain[row] +=
                this->covariance(row, term.coefficient) * term.factor;
        }
    }
    double variance = noise;
    for (auto const& term : terms) {
        variance += term.factor * this->gain[term.coefficient];
    }
    double const error = value - expected;
    for (std::size_t row = 0; row < this->size; ++row) {
        this->means[row] += this->gain[row] * error / variance;
        for (std::size_t column = 0; column < this->size; ++column) {
            this->covariance(row, column) -=
                this->gain[row] * this->gain[column] / variance;
        }
    }
}

void linear_estimate::drift(double variance)
{
    for (std::size_t i = 0; i < this->size; ++i) {
        auto& own = this->covariance(i, i);
        own = std::min(own + variance, this->start.variance);
    }
}

double linear_estimate::value(std::size_t coefficient) const
{
    return coefficient < this->size ? this->means[coefficient]
                                    : this->start.mean;
}

double linear_estimate::variance(std::size_t coefficient) const
{
    return coefficient < this->size
               ? this->covariances[coefficient * this->size + coefficient]
               : this->start.variance;
}

double linear_estimate::predict(std::span<linear_term const> terms) const
{
    double sum = 0;
    for (auto const& term : terms) {
        sum += term.factor * this->value(term.coefficient);
    }
    return sum;
}

} // namespace foxtaillift::jobs
