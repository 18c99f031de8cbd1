#include "feasibility_index.hpp"
#include "interference_model.hpp"
#include "resource_ledger.hpp"
#include "run_time_model.hpp"
#include "team_queues.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/random.hpp"

#include <doctest/doctest.h>

using namespace foxtaillift;
using namespace foxtaillift::batch;

TEST_CASE("the ledger refuses an overdraft and never gives back too much")
{
    resource_ledger ledger;
    auto const worker = ledger.add_worker();
    ledger.set_limit(worker, {8'000, 1'000, 1}, {2'000, 100, 0});
    ledger.set_open(worker, true);
    CHECK(ledger.commit(worker, {6'000, 500, 1}, commitment::normal));
    CHECK_FALSE(ledger.commit(worker, {1, 0, 0}, commitment::normal));
    CHECK_FALSE(ledger.commit(worker, {0, 0, 1}, commitment::urgent));
    CHECK(ledger.commit(worker, {2'000, 500, 0}, commitment::urgent));
    CHECK_FALSE(ledger.commit(worker, {1, 0, 0}, commitment::urgent));
    // A reported run is a fact; no new work fits until it is gone.
    CHECK(ledger.commit(worker, {1'000, 0, 0}, commitment::reported));
    CHECK(ledger.free_urgent(worker).processors == -1'000);
    CHECK_THROWS_AS(ledger.release(worker, {9'001, 0, 0}), base::error);
}

TEST_CASE("the index finds what a scan of all workers finds")
{
    base::random_engine random{5};
    feasibility_index index;
    std::vector<formats::resources> free(300);
    for (int step = 0; step < 3'000; ++step) {
        auto const worker = base::uniform_below(random, 300);
        free[worker] = {
            base::uniform_below(random, 16), base::uniform_below(random, 16),
            base::uniform_below(random, 3)};
        index.set(worker, free[worker]);
        formats::resources const size{
            base::uniform_below(random, 18), base::uniform_below(random, 18),
            base::uniform_below(random, 3)};
        std::vector<std::uint32_t> found;
        index.find(size, base::uniform_below(random, 300), 1'000, found);
        std::size_t expected = 0;
        for (std::uint32_t i = 0; i < index.size(); ++i) {
            expected += size.fits_in(free[i]) && free[i].processors >= 0;
        }
        if (step > 2'500) { // all workers are set by then
            CHECK(found.size() == expected);
        }
        for (auto const one : found) {
            CHECK(size.fits_in(free[one]));
        }
    }
}

TEST_CASE("harm is learned by pair and level, and learned again after a shift")
{
    interference_model model;
    base::random_engine random{3};
    base::instant now{0};
    auto const learn = [&](double noisy, double quiet) {
        for (int i = 0; i < 400; ++i) {
            now += base::milliseconds(500);
            std::vector<class_load> const loads{
                {0, 4.0 * base::uniform_unit(random)},
                {1, 4.0 * base::uniform_unit(random)}};
            double const ratio =
                1 + noisy * loads[0].cores + quiet * loads[1].cores;
            model.learn(2, 3, ratio, loads, now);
        }
    };
    learn(0.2, 0.01);
    CHECK(model.harm(0, 2, 3) == doctest::Approx(0.2).epsilon(0.1));
    CHECK(model.harm(1, 2, 3) < 0.03);
    learn(0.02, 0.15);
    CHECK(model.harm(0, 2, 3) < 0.05);
    CHECK(model.harm(1, 2, 3) == doctest::Approx(0.15).epsilon(0.1));
    CHECK(model.evidence(0, 1, 3) == 0); // another service knows nothing
}

TEST_CASE("run times replace what was declared")
{
    run_time_model model;
    auto const declared = base::seconds(3600);
    CHECK(model.quantile(4, 0.5, declared) == declared);
    for (int i = 0; i < 100; ++i) {
        model.add(4, base::seconds(i < 90 ? 10 : 1000));
    }
    CHECK(model.quantile(4, 0.5, declared).ms < 12'000);
    CHECK(model.quantile(4, 0.5, declared).ms > 8'000);
    CHECK(model.quantile(4, 0.95, declared).ms > 800'000);
}

TEST_CASE("teams below their quota go before borrowers")
{
    team_queues queues;
    auto const one = queues.team(base::team_id{"one"});
    auto const two = queues.team(base::team_id{"two"});
    queues.set_quota(one, {.processors = 4'000});
    queues.set_quota(two, {.processors = 8'000, .may_borrow = false});
    queues.insert(one, queue_kind::short_run, {1, 1, 1});
    queues.insert(two, queue_kind::short_run, {2, 2, 2});
    queues.add_used(one, {5'000, 0, 0});
    queues.add_used(two, {6'000, 0, 0});
    CHECK(queues.turn(queue_kind::short_run).begin()->second == two);
    CHECK(queues.may_use(one, {1'000, 0, 0}));
    CHECK_FALSE(queues.may_use(two, {3'000, 0, 0}));
    CHECK_FALSE(queues.could_use(two, {9'000, 0, 0}));
    queues.remove_used(one, {5'000, 0, 0});
    CHECK(queues.turn(queue_kind::short_run).begin()->second == one);
}

// Guards against a team that takes all memory or accelerators with few
// processors and still counts as one that is below its quota.
TEST_CASE("quotas of memory and accelerators decide on the turn too")
{
    team_quota const quota{
        .processors = 100'000, .memory_mb = 64'000, .accelerators = 4};
    std::vector<formats::resources> const large{
        {1'000, 60'000, 0}, {1'000, 0, 3}, {1'000, 90'000, 0}, {1'000, 0, 6}};
    for (auto const& used : large) {
        CAPTURE(used.memory_mb);
        CAPTURE(used.accelerators);
        team_queues queues;
        auto const wide = queues.team(base::team_id{"wide"});
        auto const plain = queues.team(base::team_id{"plain"});
        queues.set_quota(wide, quota);
        queues.set_quota(plain, quota);
        queues.insert(wide, queue_kind::short_run, {1, 1, 1});
        queues.insert(plain, queue_kind::short_run, {2, 2, 2});
        queues.add_used(wide, used);
        queues.add_used(plain, {50'000, 10'000, 0});
        CHECK(queues.turn(queue_kind::short_run).begin()->second == plain);
        // A higher quota makes it the team whose turn it is again.
        queues.set_quota(
            wide, {.processors = 100'000,
                   .memory_mb = 1'000'000,
                   .accelerators = 100});
        CHECK(queues.turn(queue_kind::short_run).begin()->second == wide);
    }
}

// Guards against a quota of zero that holds back tasks without accelerators.
TEST_CASE("a team that may not borrow stays within each quota")
{
    team_queues queues;
    auto const team = queues.team(base::team_id{"one"});
    queues.set_quota(
        team, {.processors = 100'000,
               .memory_mb = 10'000,
               .accelerators = 0,
               .may_borrow = false});
    CHECK(queues.share(team) == 0);
    CHECK(queues.may_use(team, {1'000, 10'000, 0}));
    CHECK_FALSE(queues.may_use(team, {1'000, 10'001, 0}));
    CHECK_FALSE(queues.may_use(team, {1'000, 100, 1}));
    CHECK(
        queues.short_quota(team, {1'000, 10'001, 0}) ==
        std::string{"memory_mb"});
    CHECK(
        queues.short_quota(team, {1'000, 100, 1}) ==
        std::string{"accelerators"});
    queues.add_used(team, {1'000, 9'000, 2});
    CHECK(queues.may_use(team, {1'000, 1'000, 0}));
    CHECK_FALSE(queues.may_use(team, {1'000, 1'001, 0}));
}
