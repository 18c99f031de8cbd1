#include "filling_mix.hpp"

#include <doctest/doctest.h>

#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;

namespace
{

/// Teaches the model the harm of a pair.
void learn(
    interference_model& model,
    image_number serving,
    image_number filling,
    double harm)
{
    for (int i = 0; i < 200; ++i) {
        base::instant const at{i * 5000};
        std::vector<image_use> const none;
        margin_report const before{
            .margin = 2.6, .variance = 0.02, .uses = none, .at = at};
        std::vector<image_use> const uses{{filling, 0.1}};
        model.learn(
            serving, &before,
            {.margin = 2.6 - harm * 0.1,
             .variance = 0.02,
             .uses = uses,
             .at = at + base::milliseconds(500)});
    }
}

} // namespace

// The pattern: filling images of which each disturbs other services. Guards
// against services that are mixed on many workers, so that no worker suits most
// filling tasks (quiet-1 of Rezni Oblak, seed 7: 4% of the fleet bore three
// images that asked for half of the filling work, and these had a fifth of
// their speed).
TEST_CASE("a worker suits the work that all of its services bear")
{
    interference_model model;
    auto const tolerant = model.number_of("tolerant");
    auto const first = model.number_of("first");
    auto const second = model.number_of("second");
    auto const one = model.number_of("one");
    auto const other = model.number_of("other");
    learn(model, tolerant, one, 0.5);
    learn(model, tolerant, other, 0.5);
    learn(model, first, one, 10);
    learn(model, first, other, 0.5);
    learn(model, second, one, 0.5);
    learn(model, second, other, 10);
    filling_mix mix;
    mix.add(one, 3000);
    mix.add(other, 1000);
    auto const suits = [&](std::vector<image_number> const& serving) {
        return mix.versatility(model, serving);
    };
    CHECK(suits({}) == doctest::Approx(1));
    CHECK(suits({tolerant}) > 0.95);
    // Three quarters of the work disturb the first, a quarter the second.
    CHECK(suits({first}) < 0.45);
    CHECK(suits({second}) > 0.75);
    CHECK(suits({first, second}) < suits({first}));
    CHECK(suits({tolerant, second}) == doctest::Approx(suits({second})));
}

TEST_CASE("mixing costs less where services are mixed already")
{
    interference_model const model;
    filling_mix const mix; // nothing is known yet
    std::vector<image_number> serving;
    double before = 1;
    double lost = 1;
    for (image_number image = 0; image < 4; ++image) {
        serving.push_back(image);
        double const now = mix.versatility(model, serving);
        CHECK(now > 0);
        CHECK(before - now < lost);
        lost = before - now;
        before = now;
    }
}

// Guards against old demand that outweighs what is asked for now.
TEST_CASE("work of long ago counts less")
{
    interference_model model;
    auto const serving = model.number_of("s");
    auto const old = model.number_of("old");
    auto const current = model.number_of("current");
    learn(model, serving, old, 10);
    learn(model, serving, current, 0.5);
    filling_mix mix;
    mix.add(old, 900'000);
    std::vector<image_number> const one{serving};
    CHECK(mix.versatility(model, one) < 0.3);
    for (int i = 0; i < 30; ++i) {
        mix.add(current, 100'000);
    }
    CHECK(mix.versatility(model, one) > 0.8);
}
