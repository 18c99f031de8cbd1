#include "simulated_world.hpp"

#include "foxtaillift/jobs/worker_record.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;
using foxtaillift::jobs::testing::simulated_ports;
using foxtaillift::jobs::testing::simulated_world;

namespace
{

/// A number of the environment, for runs by hand: FOXTAIL_SCHEDULES for other
/// counts, FOXTAIL_FIRST_SEED to play one seed again.
std::uint32_t number_of(char const* name, std::uint32_t in_ci)
{
    auto const* const text = std::getenv(name);
    return text == nullptr ? in_ci
                           : static_cast<std::uint32_t>(std::atoi(text));
}

/// A worker is drained, leaves and comes back with nothing of before. Half of
/// the time it does not answer while it drains.
void replace_worker(simulated_world& world, std::size_t worker)
{
    constexpr std::uint32_t longest_notice_ms = 4000;
    if (world.workers[worker].is_draining) {
        return;
    }
    world.set_draining(worker, true);
    auto const notice = base::milliseconds(
        500 + base::uniform_below(world.random, longest_notice_ms));
    if (base::uniform_below(world.random, 2) == 0) {
        world.time.at(world.time.now + notice / 2, [&world, worker] {
            world.workers[worker].is_reachable = false;
        });
    }
    world.time.at(world.time.now + notice, [&world, worker] {
        world.restart_worker(worker);
        world.workers[worker].is_reachable = true;
        world.set_draining(worker, false);
    });
}

/// Kills, cuts and outages at random for 20 s, then calm.
void play(simulated_world& world, bool is_replacing_workers = false)
{
    int job = 0;
    for (int step = 0; step < 40; ++step) {
        auto const chance = base::uniform_below(world.random, 12);
        auto const host = base::uniform_below(world.random, 3);
        auto const worker = base::uniform_below(world.random, 4);
        if (chance == 0 && world.hosts[host]) {
            world.kill_host(host);
        } else if (chance == 1 && !world.hosts[host]) {
            world.start_host(host);
        } else if (chance == 2) {
            world.store.is_down = !world.store.is_down;
        } else if (chance == 9) {
            world.store.is_silent = !world.store.is_silent;
        } else if (chance == 3) {
            world.workers[worker].is_reachable =
                !world.workers[worker].is_reachable;
        } else if (chance < 9) {
            world.submit(
                host, "job" + std::to_string(job++),
                1 + base::uniform_below(world.random, 4));
        } else if (is_replacing_workers) {
            replace_worker(world, worker);
        }
        world.run_for(base::milliseconds(500));
    }
    world.store.is_down = false;
    world.store.is_silent = false;
    world.faults = {};
    for (auto& worker : world.workers) {
        worker.is_reachable = true;
    }
    for (std::size_t i = 0; i < world.hosts.size(); ++i) {
        if (!world.hosts[i]) {
            world.start_host(i);
        }
    }
    world.run_for(base::seconds(40));
}

/// What contradicts the conclusions that a leader may draw: workers refuse
/// connections and run on, their entries go while they live and come back, and
/// hosts lose the store, just after a takeover as well. For 20 s, then calm.
void mislead(simulated_world& world)
{
    constexpr std::uint32_t steps = 40;
    constexpr std::uint32_t longest_outage_ms = 7000;
    auto const lasting = [&] {
        return base::milliseconds(
            500 + base::uniform_below(world.random, longest_outage_ms));
    };
    int job = 0;
    for (std::uint32_t step = 0; step < steps; ++step) {
        auto const chance = base::uniform_below(world.random, 12);
        auto const host = base::uniform_below(world.random, 3);
        auto const worker = base::uniform_below(
            world.random, static_cast<std::uint32_t>(world.workers.size()));
        if (chance < 6) {
            world.submit(
                host, "job" + std::to_string(job++),
                1 + base::uniform_below(world.random, 4));
        } else if (chance < 8) {
            auto& target = world.workers[worker];
            (chance == 6 ? target.is_refusing : target.is_reachable) =
                chance == 6;
            world.time.at(world.time.now + lasting(), [&target] {
                target.is_refusing = false;
                target.is_reachable = true;
            });
        } else if (chance == 8) {
            for (std::size_t i = 0; i < world.workers.size(); ++i) {
                if (base::uniform_below(world.random, 4) > 0) {
                    world.set_listed(i, false);
                    world.time.at(world.time.now + lasting(), [&world, i] {
                        world.set_listed(i, true);
                    });
                }
            }
        } else if (chance == 9) {
            world.without_store.insert(host);
            world.time.at(world.time.now + lasting(), [&world, host] {
                world.without_store.erase(host);
            });
        } else if (chance == 10 && world.hosts[host]) {
            world.kill_host(host);
            auto const gap = base::uniform_below(world.random, 3000);
            world.time.at(
                world.time.now + base::milliseconds(gap),
                [&world, host] { world.start_host(host); });
        } else if (chance == 11) {
            world.store.is_silent = true;
            world.time.at(world.time.now + lasting(), [&world] {
                world.store.is_silent = false;
            });
        }
        world.run_for(base::milliseconds(500));
    }
    world.faults = {};
    world.run_for(base::seconds(50));
}

} // namespace

TEST_CASE("jobs run to their end on a calm day")
{
    simulated_world world{1, {}};
    world.run_for(base::seconds(2));
    for (int i = 0; i < 20; ++i) {
        world.submit(0, "job" + std::to_string(i), 3);
        world.run_for(base::milliseconds(200));
    }
    world.run_for(base::seconds(30));
    CHECK(world.accepted.size() == 20);
    CHECK(world.unfinished().empty());
    CHECK(world.violations.empty());
}

// Guards against a handover that waits for the patience with a dead leader: the
// process that had resigned went on to say that it leads (two incidents, 1.8 s
// without a leader at each planned stop).
TEST_CASE("a leader that stops is replaced within a second")
{
    simulated_world world{1, {}};
    world.run_for(base::seconds(3));
    std::size_t leading = 0;
    while (!world.hosts[leading]->service->is_leading()) {
        ++leading;
    }
    bool is_done = false;
    world.hosts[leading]->service->stop([&is_done] { is_done = true; });
    world.run_for(base::milliseconds(1000));
    CHECK(is_done);
    std::size_t leaders = 0;
    for (auto const& host : world.hosts) {
        leaders += host->service->is_leading() ? 1 : 0;
    }
    CHECK(leaders == 1);
    CHECK_FALSE(world.hosts[leading]->service->is_leading());
}

// The pattern: more jobs change than the writes of a stopping leader hold,
// since its workers go on. Guards against a leader that writes until nothing is
// left to write (grown Directorate: 2.1 s after SIGTERM in which nothing
// started).
TEST_CASE("a leader that stops under load resigns with its next write")
{
    simulated_world world{1, {}, {.recording = {.job_rows_in_commit = 1}}};
    world.run_for(base::seconds(3));
    for (int i = 0; i < 40; ++i) {
        world.submit(0, "job" + std::to_string(i), 4);
        world.run_for(base::milliseconds(100));
    }
    std::size_t leading = 0;
    while (!world.hosts[leading]->service->is_leading()) {
        ++leading;
    }
    world.store.change_time = base::milliseconds(300);
    world.run_for(base::milliseconds(1000));
    bool is_done = false;
    world.hosts[leading]->service->stop([&is_done] { is_done = true; });
    // The write that is out, and one more.
    world.run_for(base::milliseconds(700));
    CHECK(is_done);
    world.store.change_time = {};
    world.run_for(base::seconds(100));
    CHECK(world.unfinished().empty());
    CHECK(world.violations.empty());
}

// Guards against a small host that leads although a larger one is up again.
TEST_CASE("a leader yields to a much larger host, and work goes on")
{
    simulated_world world{1, {}};
    world.run_for(base::seconds(2));
    constexpr std::size_t large = 2;
    world.sizes[large] = 500;
    world.kill_host(large);
    world.start_host(large);
    for (int i = 0; i < 10; ++i) {
        world.submit(0, "job" + std::to_string(i), 3);
        world.run_for(base::milliseconds(600));
    }
    CHECK(world.hosts[large]->service->is_leading());
    world.run_for(base::seconds(20));
    CHECK(world.hosts[large]->service->is_leading());
    CHECK(world.unfinished().empty());
    CHECK(world.violations.empty());
}

// The pattern: a burst while the store is 70 times slower (trouble-2 of both
// deployments). Guards against a change of the store for each submission: 5 a
// second are carried out, and the others were refused.
TEST_CASE("a burst is accepted while the store is slow")
{
    simulated_world world{1, {}};
    world.run_for(base::seconds(3));
    world.store.change_time = base::milliseconds(213);
    constexpr int jobs = 40;
    for (int i = 0; i < jobs; ++i) {
        world.submit(
            static_cast<std::size_t>(i) % 3, "job" + std::to_string(i), 1);
        world.run_for(base::milliseconds(40));
    }
    world.run_for(base::seconds(2));
    CHECK(world.accepted.size() == jobs);
    world.run_for(base::seconds(60));
    CHECK(world.unfinished().empty());
    CHECK(world.violations.empty());
}

// The pattern: the leader dies while the store is 70 times slower, and 34 jobs
// a second come (trouble-2 of the grown Directorate: 4 s in which no write of
// the new leader was carried out). Guards against hosts that write each job by
// themselves meanwhile: the store carries out five changes a second, and those
// of a new leader wait behind all others.
TEST_CASE("callers do not keep a new leader from a slow store")
{
    simulated_world world{1, {}};
    world.run_for(base::seconds(3));
    world.store.change_time = base::milliseconds(213);
    world.store.read_time = base::milliseconds(240);
    world.run_for(base::seconds(1));
    std::size_t leading = 0;
    while (!world.hosts[leading]->service->is_leading()) {
        ++leading;
    }
    world.kill_host(leading);
    constexpr int jobs = 270;
    constexpr int first_checked = 135; // 4 s after the death
    for (int i = 0; i < jobs; ++i) {
        world.submit(
            (leading + 1 + static_cast<std::size_t>(i) % 2) % 3,
            "job" + std::to_string(i), 1);
        world.run_for(base::milliseconds(30));
    }
    world.run_for(base::seconds(1));
    int accepted = 0;
    for (int i = first_checked; i < jobs; ++i) {
        accepted += world.accepted.contains("job" + std::to_string(i)) ? 1 : 0;
    }
    CHECK(accepted >= (jobs - first_checked) * 9 / 10);
    // Only those who handed their job to the dead leader are left in doubt: it
    // is taken as alive for 0.9 s.
    CHECK(world.unknown_outcomes <= 31);
    world.store.change_time = {};
    world.store.read_time = {};
    world.run_for(base::seconds(100));
    CHECK(world.unfinished().empty());
    CHECK(world.violations.empty());
}

// The pattern: the store goes silent for seconds while callers go on (trouble-3
// of the grown Directorate: 298 of 361 callers were told that the outcome was
// unknown, since each host wrote by itself what the leader had not). A caller
// who is told so may not come again; one who is refused does.
TEST_CASE("while the store is silent callers are refused, not left in doubt")
{
    simulated_world world{1, {}};
    world.run_for(base::seconds(3));
    world.store.is_silent = true;
    constexpr int jobs = 40;
    for (int i = 0; i < jobs; ++i) {
        world.submit(
            static_cast<std::size_t>(i) % 3, "job" + std::to_string(i), 1);
        world.run_for(base::milliseconds(100));
    }
    world.store.is_silent = false;
    world.run_for(base::seconds(3));
    // The write that was out when the store fell silent holds one or two.
    CHECK(world.unknown_outcomes <= 2);
    // Two copies of that write, and a look by the host itself.
    constexpr std::int64_t copies_ms = 2 * 250;
    constexpr std::int64_t own_look_ms = 150;
    constexpr std::int64_t way_ms = 100;
    CHECK(world.longest_refusal.ms <= copies_ms + own_look_ms + way_ms);
    CHECK(world.refused.size() + world.accepted.size() >= jobs - 2);
    world.run_for(base::seconds(60));
    CHECK(world.unfinished().empty());
    CHECK(world.violations.empty());
}

// The pattern: an outage of the store for all hosts (trouble-3 of the grown
// Directorate). Guards against a takeover from a sound leader as soon as the
// store is back, and against a leader that waits for the timeout of its last
// write before it accepts jobs again.
TEST_CASE("after an outage of the store its leader goes on at once")
{
    for (bool const is_silent : {false, true}) {
        CAPTURE(is_silent);
        simulated_world world{1, {}};
        world.run_for(base::seconds(3));
        std::size_t leading = 0;
        while (!world.hosts[leading]->service->is_leading()) {
            ++leading;
        }
        world.store.is_silent = is_silent;
        world.store.is_down = !is_silent;
        // Later than a write, so that the timeout of the next one is not over.
        world.run_for(base::milliseconds(4100));
        world.store.is_silent = false;
        world.store.is_down = false;
        world.run_for(base::milliseconds(500));
        for (std::size_t host = 0; host < world.hosts.size(); ++host) {
            world.submit(host, "job" + std::to_string(host), 1);
        }
        world.run_for(base::milliseconds(100));
        CHECK(world.accepted.size() == world.hosts.size());
        world.run_for(base::seconds(20));
        CHECK(world.hosts[leading]->service->is_leading());
        CHECK(world.unfinished().empty());
        CHECK(world.violations.empty());
    }
}

// Guards against LOST: a leader that has never seen the configuration which
// accepted a job knew nothing of its queue (review/5).
TEST_CASE("jobs of a renamed queue end under a successor of their leader")
{
    simulated_world world{1, {}};
    world.run_for(base::seconds(3));
    for (int i = 0; i < 12; ++i) {
        world.submit(i % 3, "job" + std::to_string(i), 4);
    }
    world.run_for(base::milliseconds(300));
    CHECK(world.accepted.size() == 12);
    world.rename_queue("r");
    world.run_for(base::milliseconds(100));
    std::size_t leading = 0;
    while (!world.hosts[leading]->service->is_leading()) {
        ++leading;
    }
    world.kill_host(leading);
    world.start_host(leading);
    world.run_for(base::seconds(40));
    CHECK(world.unfinished().empty());
    CHECK(world.violations.empty());
}

// Guards against a count of 0 from a host that knows no leader, which callers
// take for an empty queue.
TEST_CASE("a count of waiting jobs that is unknown or old is not given")
{
    simulated_world world{1, {}};
    std::optional<std::size_t> count = 99;
    auto const ask = [&] {
        count = 99;
        world.hosts[2]->service->pending(
            "q", [&count](std::optional<std::size_t> found) { count = found; });
        world.run_for(base::seconds(1));
    };
    ask();
    CHECK_FALSE(count.has_value());
    world.run_for(base::seconds(2));
    REQUIRE_FALSE(world.hosts[2]->service->is_leading());
    ask();
    CHECK(count == std::size_t{0});
    world.store.is_down = true;
    world.kill_host(0);
    world.kill_host(1);
    world.run_for(base::seconds(3));
    ask();
    CHECK_FALSE(count.has_value());
}

// Guards against leaders that stay in memory after their leadership: hosts with
// 160 MB change leaders many times a day.
TEST_CASE("a leader that is given up is released with all that it holds")
{
    simulated_world world{1, {}};
    auto const owner = std::make_shared<int>();
    std::weak_ptr<int> const is_held = owner;
    auto led = std::make_shared<leader<simulated_ports>>(
        *world.hosts[0], leader_options{}, lead_rows{},
        [owner = owner](std::string const&) {});
    led->start();
    SUBCASE("before it has read what lasts")
    {
        led->stop();
    }
    SUBCASE("after that")
    {
        world.run_for(base::seconds(2));
        CHECK(led->is_loaded());
        led->stop();
    }
    std::weak_ptr<leader<simulated_ports>> const released = led;
    led.reset();
    world.run_for(base::seconds(40)); // timers and reads that were out
    CHECK(released.expired());
    CHECK(is_held.use_count() == 1); // the test's own
}

// The pattern: hosts are restarted one after the other while the store turns
// some of them away. Guards against callers of a host that stops, which are
// refused because it does not know the next leader.
TEST_CASE("a host that stops hands submissions to the next leader")
{
    simulated_world world{1, {}};
    world.run_for(base::seconds(3));
    std::size_t stopping = 0;
    while (!world.hosts[stopping]->service->is_leading()) {
        ++stopping;
    }
    bool is_resigned = false;
    world.hosts[stopping]->service->stop([&] { is_resigned = true; });
    world.run_for(base::milliseconds(1000));
    CHECK(is_resigned);
    CHECK_FALSE(world.hosts[stopping]->service->is_leading());
    world.without_store.insert(stopping);
    world.submit(stopping, "job", 1);
    world.run_for(base::milliseconds(1000));
    CHECK(world.accepted.contains("job"));
    world.run_for(base::seconds(20));
    CHECK(world.unfinished().empty());
}

namespace
{

/// Runs until another host has taken over in the store, before it hears so.
/// Returns its index.
std::size_t run_until_takeover(simulated_world& world)
{
    auto const epoch = [&] {
        return world.store.rows.at({tables::lead, lead_keys::epoch});
    };
    auto const version = epoch().version;
    while (epoch().version == version) {
        world.run_for(base::milliseconds(1));
    }
    auto const host = decode_leadership(epoch().value).host;
    return static_cast<std::size_t>(host.back() - '0');
}

/// A world of which the leader was just killed, after it had learned something.
void kill_leader(simulated_world& world)
{
    world.run_for(base::seconds(5));
    std::size_t leading = 0;
    while (!world.hosts[leading]->service->is_leading()) {
        ++leading;
    }
    world.kill_host(leading);
}

std::string value_of(simulated_world const& world, std::string const& key)
{
    auto const found = world.store.rows.find({tables::lead, key});
    return found == world.store.rows.end() ? "" : found->second.value;
}

} // namespace

// The pattern: hosts are restarted one after the other beside a death. Guards
// against a host that begins to lead while it stops: nobody takes over until
// its beat has stood still.
TEST_CASE("a host that stops while it takes over resigns at once")
{
    simulated_world world{1, {}};
    kill_leader(world);
    auto const stopping = run_until_takeover(world);
    world.hosts[stopping]->service->stop([] {});
    world.run_for(base::milliseconds(300));
    CHECK_FALSE(world.hosts[stopping]->service->is_leading());
    auto const row = value_of(world, lead_keys::epoch);
    auto const current = decode_leadership(row);
    bool const is_other = current.host != "h" + std::to_string(stopping);
    CHECK((current.address.empty() || is_other));
}

// The same while the store is slow. Guards against a leader that gives up
// before it has read what lasts and writes its own empty state over it: its
// successor would not know of workers that may have runs.
TEST_CASE("a leader that gives up before it has loaded changes no record")
{
    simulated_world world{1, {}};
    // A worker that the platform does not list any more may have runs.
    worker_info const unlisted{.id = "u", .address = "u", .service = "s"};
    kill_leader(world);
    auto const key = roster_key(0);
    auto named = decode_workers(value_of(world, key));
    REQUIRE(named.size() == world.workers.size());
    named.push_back(unlisted);
    world.store.rows.at({tables::lead, key}).value = encode_workers(named);
    auto const pages = value_of(world, key);
    auto const learned = value_of(world, lead_keys::learned);
    auto const stopping = run_until_takeover(world);
    world.store.read_time = base::milliseconds(400);
    world.run_for(base::milliseconds(100));
    REQUIRE(world.hosts[stopping]->service->is_leading());
    bool is_resigned = false;
    world.hosts[stopping]->service->stop([&] { is_resigned = true; });
    world.run_for(base::milliseconds(100));
    CHECK(is_resigned);
    CHECK(value_of(world, key) == pages);
    CHECK(value_of(world, lead_keys::learned) == learned);
}

// The pattern: a fleet of 2,000 workers, whose names took 100 KB in one row of
// the store. Guards against a leader that can write no more, since the store
// refuses a change that is too large as a whole.
TEST_CASE("a leader names a large fleet in rows that the store takes")
{
    simulated_world world{
        1, {}, {}, {.workers = 2000, .prefix = "worker-of-a-large-fleet-"}};
    world.run_for(base::seconds(3));
    constexpr int jobs = 20;
    for (int i = 0; i < jobs; ++i) {
        world.submit(0, "job" + std::to_string(i), 3);
        world.run_for(base::milliseconds(100));
    }
    CHECK(world.accepted.size() == jobs);
    std::size_t leading = 0;
    while (!world.hosts[leading]->service->is_leading()) {
        ++leading;
    }
    constexpr std::size_t all = 2000;
    CHECK(
        world.hosts[leading]
            ->service->decisions()
            ->workers_in_use(world.time.now)
            .size() == all);
    world.kill_host(leading); // the successor reads all pages
    world.run_for(base::seconds(20));
    CHECK(world.unfinished().empty());
    CHECK(world.violations.empty());
}

// Guards against a burst of large jobs whose submissions share a write that the
// store refuses as a whole, over and over.
TEST_CASE("large jobs that come at once are accepted")
{
    simulated_world world{1, {}};
    world.run_for(base::seconds(3));
    constexpr int jobs = 26;
    for (int i = 0; i < jobs; ++i) {
        world.submit(0, "job" + std::to_string(i), 1, 50'000);
    }
    world.run_for(base::seconds(5));
    CHECK(world.accepted.size() == jobs);
}

namespace
{

void check_guarantees(simulated_world const& world)
{
    for (auto const& violation : world.violations) {
        INFO(violation);
        CHECK(world.violations.empty());
    }
    for (auto const& id : world.unfinished()) {
        INFO(id << " is not completed");
        CHECK(world.unfinished().empty());
    }
}

} // namespace

// Guards against a successor that takes a worker which was leaving as empty, or
// its tasks as free: they would run twice.
TEST_CASE("random failures while workers are replaced break no guarantee")
{
    auto const first = number_of("FOXTAIL_FIRST_SEED", 1);
    auto const count = number_of("FOXTAIL_SCHEDULES", 200);
    // The engine ignores the lowest bit of a seed.
    for (std::uint32_t seed = first; seed < first + 2 * count; seed += 2) {
        CAPTURE(seed);
        simulated_world world{seed, {.lost = 0.05, .late = 0.03}};
        world.run_for(base::seconds(2));
        play(world, true);
        check_guarantees(world);
    }
}

// Guards against a task that runs twice, a worker over its capacity and
// accepted jobs that are lost, whatever fails at once: owners, store, workers,
// answers.
TEST_CASE("random failures of everything break no guarantee")
{
    auto const first = number_of("FOXTAIL_FIRST_SEED", 1);
    auto const count = number_of("FOXTAIL_SCHEDULES", 200);
    // Seeds that failed once: a task ran twice since the leases of an earlier
    // leader were taken as over on a worker that fell silent.
    std::vector<std::uint32_t> seeds{2715};
    for (std::uint32_t seed = first; seed < first + count; ++seed) {
        seeds.push_back(seed);
    }
    std::size_t accepted = 0;
    for (auto const seed : seeds) {
        CAPTURE(seed);
        // A half has the share of lost answers that makes series of them
        // likely.
        double const lost = seed % 2 == 0 ? 0.05 : 0.3;
        simulated_world world{seed, {.lost = lost, .late = 0.03}};
        world.run_for(base::seconds(2));
        play(world);
        check_guarantees(world);
        accepted += world.accepted.size();
    }
    // A store that is down all the while accepts nothing, but not on each day.
    CHECK(accepted > count);
}

// Guards against TWICE: what a leader concludes of workers, rows and leases may
// be contradicted by workers that run on and rows that come late.
TEST_CASE("misleading failures break no guarantee")
{
    auto const first = number_of("FOXTAIL_FIRST_SEED", 1);
    auto const count = number_of("FOXTAIL_SCHEDULES", 200);
    // Seeds that failed once: a worker that the list had dropped got a task as
    // the record stopped naming it, and a successor did not know of the run.
    std::vector<std::uint32_t> seeds{51, 609};
    // The engine ignores the lowest bit of a seed.
    for (std::uint32_t seed = first; seed < first + 2 * count; seed += 2) {
        seeds.push_back(seed);
    }
    for (auto const seed : seeds) {
        CAPTURE(seed);
        simulated_world world{
            seed, {.lost = 0.05, .late = 0.03}, {}, {.workers = 7}};
        world.run_for(base::seconds(2));
        mislead(world);
        check_guarantees(world);
    }
}

// Guards against rules of a takeover that hold only where a leader calls each
// worker itself.
TEST_CASE("failures break no guarantee while hosts relay all orders")
{
    auto const first = number_of("FOXTAIL_FIRST_SEED", 1);
    auto const count = number_of("FOXTAIL_SCHEDULES", 150);
    for (std::uint32_t seed = first; seed < first + 2 * count; seed += 2) {
        CAPTURE(seed);
        simulated_world world{
            seed,
            {.lost = 0.05, .late = 0.03},
            {.relaying = {.least_workers = 1}},
            {.workers = 7}};
        world.run_for(base::seconds(2));
        if (seed % 4 == 1) {
            play(world, true);
        } else {
            mislead(world);
        }
        check_guarantees(world);
    }
}
