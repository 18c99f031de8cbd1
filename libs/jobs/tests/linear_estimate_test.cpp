#include "foxtaillift/jobs/linear_estimate.hpp"

#include <doctest/doctest.h>

#include <random>
#include <vector>

using namespace foxtaillift::jobs;

// Guards against an estimate that follows the noise of the last observations.
TEST_CASE("coefficients are found behind noise as large as their effect")
{
    constexpr double noise = 0.6; // standard deviation
    std::mt19937 random{7};
    std::normal_distribution<double> disturbance{0, noise};
    std::uniform_real_distribution<double> factor{0, 0.3};
    linear_estimate estimate{{.mean = 2, .variance = 6}};
    for (int i = 0; i < 1000; ++i) {
        std::vector<linear_term> const terms{
            {.coefficient = 0, .factor = factor(random)},
            {.coefficient = 3, .factor = factor(random)}};
        estimate.observe(
            terms, 5 * terms[0].factor + disturbance(random), noise * noise);
    }
    CHECK(estimate.value(0) > 4.4);
    CHECK(estimate.value(0) < 5.6);
    CHECK(estimate.value(3) > -0.6);
    CHECK(estimate.value(3) < 0.6);
    CHECK(estimate.value(1) == 2); // never observed
}

TEST_CASE("an estimate follows a coefficient that drifts")
{
    linear_estimate estimate{{.mean = 0, .variance = 1}};
    std::vector<linear_term> const terms{{.coefficient = 0, .factor = 1}};
    for (int i = 0; i < 500; ++i) {
        estimate.observe(terms, 1, 0.1);
    }
    CHECK(estimate.value(0) > 0.9);
    for (int i = 0; i < 200; ++i) {
        estimate.drift(0.01);
        estimate.observe(terms, -1, 0.1);
    }
    CHECK(estimate.value(0) < -0.9);
}
