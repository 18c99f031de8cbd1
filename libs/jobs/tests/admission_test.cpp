/// What the answer "rejected" promises, in a world with overload and faults.
#include "simulated_world.hpp"

#include "foxtaillift/base/error.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using namespace foxtaillift::jobs::testing;

namespace
{

std::size_t leader_of(simulated_world const& world)
{
    for (std::size_t i = 0; i < world.hosts.size(); ++i) {
        if (world.hosts[i] && world.hosts[i]->service->is_leading()) {
            return i;
        }
    }
    return world.hosts.size();
}

/// Callers who bring 25 times the work that the fleet completes: 50 jobs/s of
/// 16 tasks that take 0.5 s on 0.9 of 16 processors.
struct overload
{
    explicit overload(
        std::uint32_t seed = 1,
        fault_rates rates = {},
        leader_options leading = {})
        : world(seed, rates, std::move(leading))
    {
        constexpr base::duration until_settled = base::seconds(10);
        this->world.run_for(until_settled);
    }

    simulated_job job(std::string id) const
    {
        return {
            .id = std::move(id),
            .tasks = 16,
            .need = {.processors = 900, .memory_mb = 10},
            .work = base::milliseconds(500)};
    }

    void flood(base::duration span)
    {
        constexpr base::duration gap = base::milliseconds(20);
        auto const end = this->world.time.now + span;
        while (this->world.time.now < end) {
            auto const host = this->count % this->world.hosts.size();
            this->world.submit(host, this->job("f" + std::to_string(count++)));
            this->world.run_for(gap);
        }
        this->world.run_for(base::milliseconds(100)); // the last answers
    }

    /// Rejected jobs that no request has brought in.
    std::vector<std::string> rejected() const
    {
        std::vector<std::string> result;
        for (auto const& [id, retry_after] : this->world.rejected) {
            if (!this->world.accepted.contains(id)) {
                result.push_back(id);
            }
        }
        return result;
    }

    std::size_t rejection_rows() const
    {
        return static_cast<std::size_t>(std::count_if(
            this->world.store.rows.begin(), this->world.store.rows.end(),
            [](auto const& each) {
                return each.first.first == tables::ended &&
                       each.second.value == rejection_value;
            }));
    }

    /// All that was accepted has run, and nothing that was refused.
    void check_end()
    {
        constexpr base::duration step = base::seconds(10);
        constexpr int longest = 100; // steps
        for (int i = 0; i < longest && !this->open_jobs().empty(); ++i) {
            this->world.run_for(step);
        }
        CHECK(this->open_jobs().empty());
        CHECK(this->world.violations.empty());
    }

    /// Accepted jobs that have not started or are not over. The states of older
    /// ones are gone.
    std::vector<std::string> open_jobs() const
    {
        auto const& rows = this->world.store.rows;
        std::vector<std::string> result;
        for (auto const& id : this->world.accepted) {
            auto const state = rows.find({tables::ended, id});
            bool const is_failed =
                state != rows.end() &&
                state->second.value != to_string(job_state::completed);
            if (!this->world.started_at.contains(id) || is_failed ||
                rows.contains({tables::jobs, submission_key(id)})) {
                result.push_back(id);
            }
        }
        return result;
    }

    simulated_world world;
    std::size_t count = 0;
};

} // namespace

// Guards against a rejected job that runs, and against one that its caller
// brings again and that the rejection row keeps out for good.
TEST_CASE("a rejected job runs only if it is submitted again")
{
    overload test;
    test.flood(base::seconds(4));
    auto const rejected = test.rejected();
    REQUIRE(rejected.size() > 3);
    for (auto const& id : rejected) {
        CHECK(test.world.rejected.at(id) >= base::seconds(1));
    }
    CHECK(test.rejection_rows() == rejected.size());
    test.world.run_for(base::seconds(60)); // until the overload is over
    for (std::size_t i = 0; i < 3; ++i) {
        test.world.submit(i, test.job(rejected[i]));
    }
    test.world.run_for(base::milliseconds(500));
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(test.world.accepted.contains(rejected[i]));
    }
    CHECK(test.rejection_rows() == rejected.size() - 3);
    test.check_end();
}

// Guards against a write of an earlier request that is carried out after the
// caller has heard that the job was not accepted.
TEST_CASE("a write that was out during a rejection has no effect")
{
    overload test;
    test.flood(base::seconds(4));
    auto const id = test.rejected().at(0);
    row_change const late{
        .conditions =
            {{tables::jobs, submission_key(id), 0}, {tables::ended, id, 0}},
        .puts = {{.table = tables::jobs, .key = submission_key(id)}}};
    CHECK(test.world.store.apply(late).status == store_status::conflict);
    test.check_end();
}

// Guards against a copy of an earlier request that reaches the leader after the
// rejection and is taken for a caller who came again.
TEST_CASE("a delayed copy of a rejected submission is not accepted")
{
    overload test;
    test.flood(base::seconds(4));
    auto const id = test.rejected().at(0);
    test.world.run_for(base::seconds(60));
    std::optional<peer_reply> reply;
    auto const submit = [&](std::int64_t replaces) {
        reply.reset();
        job_spec job{.id = id, .queue = "q"};
        job.steps.push_back(
            {.count = 1, .need = {.processors = 900, .memory_mb = 10}});
        test.world.hosts[leader_of(test.world)]->service->on_peer(
            {.kind = peer_kind::submit,
             .name = id,
             .value = encode(job),
             .replaces = replaces,
             .knows_rejections = true},
            [&](peer_reply const& found) { reply = found; });
        test.world.run_for(base::milliseconds(500));
        REQUIRE(reply);
    };
    submit(0);
    CHECK(reply->submission == store_status::barred);
    auto const version = reply->rejection_version;
    CHECK(version > 0);
    submit(version - 1); // one that saw an older rejection
    CHECK(reply->submission == store_status::barred);
    CHECK(test.rejection_rows() == test.rejected().size());
}

// Guards against "rejected" for a job that a write which is not answered may
// have left accepted, and against one told before it is durable.
TEST_CASE("while the store does not answer nobody is told of a rejection")
{
    overload test;
    test.flood(base::seconds(4));
    auto const before = test.world.rejected.size();
    REQUIRE(before > 0);
    test.world.store.is_silent = true;
    test.world.run_for(base::milliseconds(50)); // answers under way
    auto const told = test.world.rejected.size();
    test.flood(base::seconds(4));
    CHECK(test.world.rejected.size() == told);
    test.world.store.is_silent = false;
    test.check_end();
}

// Guards against rejections by a leader that does not know the work and the
// workers yet, and against jobs that an inherited row keeps out for good.
TEST_CASE("a new leader rejects nothing at first and knows earlier rejections")
{
    overload test;
    test.flood(base::seconds(4));
    auto const id = test.rejected().at(0);
    auto const earlier = leader_of(test.world);
    test.world.kill_host(earlier);
    while (leader_of(test.world) == test.world.hosts.size()) {
        test.flood(base::milliseconds(100));
    }
    auto const told = test.world.rejected.size();
    test.flood(base::seconds(4));
    CHECK(test.world.rejected.size() == told);
    auto const host = leader_of(test.world);
    REQUIRE(host < test.world.hosts.size());
    test.world.submit(host, test.job(id));
    test.world.run_for(base::seconds(1));
    CHECK(test.world.accepted.contains(id));
    test.world.start_host(earlier);
    test.world.run_for(base::seconds(20));
    test.check_end();
    // Inherited rows are removed in time.
    test.world.run_for(base::seconds(150));
    CHECK(test.rejection_rows() == 0);
}

// Guards against a caller who hears "accepted" of a host without a leader,
// which has only found the rejection row of the job, and against a row that
// keeps the job out from then on.
TEST_CASE("a host without a leader refuses what was rejected")
{
    overload test;
    test.flood(base::seconds(4));
    auto const id = test.rejected().at(0);
    auto const earlier = leader_of(test.world);
    test.world.kill_host(earlier);
    auto const host = (earlier + 1) % test.world.hosts.size();
    test.world.run_for(base::milliseconds(950)); // its pings fail
    REQUIRE(leader_of(test.world) == test.world.hosts.size());
    auto const rows = test.rejection_rows();
    test.world.submit(host, test.job(id));
    test.world.submit(host, test.job("new"));
    test.world.run_for(base::milliseconds(300));
    CHECK(test.world.refused.contains(id));
    CHECK(test.world.accepted.contains("new"));
    CHECK(test.rejection_rows() == rows);
    test.world.start_host(earlier);
    test.world.run_for(base::seconds(10));
    test.world.submit(host, test.job(id));
    test.world.run_for(base::seconds(1));
    CHECK(test.world.accepted.contains(id));
    test.check_end();
}

// Guards against a request that goes on at its host after its caller has left
// it, came again elsewhere and heard of the rejection there.
TEST_CASE("a request that is older than the rejection is not accepted")
{
    overload test;
    test.flood(base::milliseconds(3500));
    auto const leader = leader_of(test.world);
    auto const host = (leader + 1) % test.world.hosts.size();
    // Its messages wait at a leader that is suspended, or are lost.
    std::string const id = "left";
    test.world.cut.insert(host);
    std::optional<request_outcome> first;
    job_spec job{.id = id, .queue = "q"};
    job.steps.push_back(
        {.count = 16,
         .need = {.processors = 900, .memory_mb = 10},
         .estimate = base::milliseconds(500)});
    test.world.hosts[host]->service->submit(
        job, base::seconds(3),
        [&](submission_outcome const& found) { first = found.outcome; });
    test.world.run_for(base::milliseconds(100));
    test.world.submit(leader, test.job(id));
    test.world.run_for(base::milliseconds(50));
    REQUIRE(test.world.rejected.contains(id));
    test.world.cut.erase(host);
    test.world.run_for(base::seconds(4));
    REQUIRE(first);
    CHECK(first != request_outcome::accepted);
    CHECK_FALSE(test.world.accepted.contains(id));
    test.check_end();
}

// Guards against rows that nobody removes, and against the removal of a row
// that another one has replaced: that of a tombstone would let a cancelled job
// run.
TEST_CASE("rejection rows go in time, and tombstones in their place stay")
{
    leader_options leading;
    leading.recording.ended_kept = base::seconds(30);
    overload test{1, {}, leading};
    test.flood(base::seconds(4));
    auto const id = test.rejected().at(0);
    test.world.run_for(base::seconds(20));
    test.world.cancel(leader_of(test.world), id);
    test.world.run_for(base::milliseconds(100));
    REQUIRE(test.world.unknown.contains(id));
    test.world.run_for(base::seconds(15));
    CHECK(test.rejection_rows() == 0);
    CHECK(test.world.store.rows.contains({tables::ended, id}));
    for (std::size_t host = 0; host < test.world.hosts.size(); ++host) {
        test.world.submit(host, test.job(id));
        test.world.run_for(base::milliseconds(100));
    }
    CHECK_FALSE(test.world.accepted.contains(id));
    test.check_end();
    test.world.run_for(base::seconds(40));
    CHECK_FALSE(test.world.store.rows.contains({tables::ended, id}));
}

// Guards against a table that grows with the callers of an overload.
TEST_CASE("at the bound of rejection rows jobs are accepted")
{
    leader_options leading;
    leading.recording.rejection_limit = 5;
    overload test{1, {}, leading};
    test.flood(base::seconds(4));
    CHECK(test.world.rejected.size() >= 5);
    constexpr std::size_t in_one_write = 5; // beyond the bound
    CHECK(test.rejection_rows() <= 5 + in_one_write);
    CHECK(test.world.accepted.size() > 100);
    CHECK(test.world.violations.empty());
}

// Guards against hosts of the previous version, which take a rejection row for
// that of an accepted job and tell the caller so.
TEST_CASE("nothing is rejected beside hosts that do not know rejections")
{
    overload test;
    auto& leader = *test.world.hosts[leader_of(test.world)]->service;
    leader.on_peer(
        {.kind = peer_kind::ping, .address = "earlier"},
        [](peer_reply const&) {});
    test.flood(base::seconds(4));
    CHECK(test.world.rejected.empty());
    CHECK(test.rejection_rows() == 0);
    CHECK(test.world.violations.empty());
}

// Guards against deployments with enough capacity, which must be served as
// before: no request may be rejected, and no row may be written for it.
TEST_CASE("nobody is rejected while the fleet completes what comes")
{
    overload test;
    for (int i = 0; i < 40; ++i) {
        auto job = test.job("c" + std::to_string(i));
        job.tasks = 4;
        test.world.submit(static_cast<std::size_t>(i) % 3, job);
        test.world.run_for(base::milliseconds(250));
    }
    CHECK(test.world.rejected.empty());
    test.check_end();
}

// Guards against any broken promise under faults: answers that are lost or come
// late, leaders that die between a decision and its write, and callers who come
// again at other hosts.
TEST_CASE("rejections hold whatever fails")
{
    constexpr std::uint32_t seeds = 4;
    std::size_t rejections = 0;
    std::size_t accepted_later = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        overload test{seed, {.lost = 0.05, .late = 0.05}};
        for (int round = 0; round < 4; ++round) {
            test.flood(base::milliseconds(3000));
            for (auto const& id : test.rejected()) {
                auto const host = base::uniform_below(test.world.random, 3);
                test.world.submit(host, test.job(id));
            }
            auto const leader = leader_of(test.world);
            if (round == 1 && leader < test.world.hosts.size()) {
                test.world.kill_host(leader);
                test.world.run_for(base::seconds(1));
                test.world.start_host(leader);
                test.world.run_for(base::seconds(8));
            }
        }
        rejections += test.world.rejected.size();
        for (auto const& [id, retry_after] : test.world.rejected) {
            accepted_later += test.world.accepted.contains(id) ? 1 : 0;
        }
        test.check_end();
    }
    CHECK(rejections > 0);
    CHECK(accepted_later > 0);
}
