#include "foxtaillift/store/simulated_committer.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace base = foxtaillift::base;
namespace formats = foxtaillift::formats;
namespace store = foxtaillift::store;

namespace
{

// Several hosts that write own rows and compete for shared ones, on a table
// with faults. Every write has a unique value, so that the effects of each
// submission can be counted.
class fault_schedule
{
public:
    explicit fault_schedule(std::uint32_t seed)
        : random(seed)
        , table(time, {}, seed + 1)
    {
        this->table.set_observer(
            [this](auto const& transaction, auto const& versions) {
                this->observe(transaction, versions);
            });
        auto const count = 3 + base::uniform_below(this->random, 7);
        for (std::uint32_t i = 0; i < count; ++i) {
            this->add_host(i, count);
        }
    }

    void run()
    {
        for (int step = 0; step < 600; ++step) {
            this->change_faults();
            for (std::size_t i = 0; i < this->hosts.size(); ++i) {
                this->act(*this->hosts[i], i);
            }
            this->time.run_until(this->time.now() + base::milliseconds(100));
        }
        this->table.faults().set_down(false);
        this->table.faults().set_options({});
        for (auto& each : this->hosts) {
            each->process.resume();
        }
        this->time.run_until(this->time.now() + base::seconds(60));
        this->check();
    }

private:
    struct host
    {
        host(store::virtual_time& time, double rate)
            : process(time, rate)
        {}
        store::virtual_process process;
        std::unique_ptr<store::simulated_committer> committer;
        std::map<std::uint64_t, std::string> sent; ///< number to value
        std::uint64_t last_number = 0;
    };
    struct effect
    {
        int count = 0;
        formats::row_version version = 0;
    };

    void add_host(std::uint32_t index, std::uint32_t count)
    {
        auto const rate = 0.99 + 0.02 * base::uniform_unit(this->random);
        auto added = std::make_unique<host>(this->time, rate);
        store::group_committer_options options;
        options.host = "h" + std::to_string(index);
        options.writer = "w" + std::to_string(index);
        auto* const self = added.get();
        added->committer = std::make_unique<store::simulated_committer>(
            added->process, this->table, options, index,
            [this, self](store::completion const& done) {
                this->complete(*self, done);
            });
        added->committer->set_members(count);
        this->hosts.push_back(std::move(added));
    }

    void change_faults()
    {
        if (base::uniform_below(this->random, 20) == 0) {
            auto& faults = this->table.faults();
            faults.set_down(base::uniform_below(this->random, 5) == 0);
            auto const draw = [this] {
                return 0.2 * base::uniform_unit(this->random);
            };
            faults.set_options(
                {.refuse = draw(),
                 .lose_request = draw(),
                 .lose_answer = draw(),
                 .apply_late = draw(),
                 .slow = draw(),
                 .late_delay = base::milliseconds(
                     100 + base::uniform_below(this->random, 8000)),
                 .slow_delay = base::milliseconds(4000)});
        }
    }

    void act(host& each, std::size_t index)
    {
        if (base::uniform_below(this->random, 50) == 0) {
            each.process.pause();
        } else if (base::uniform_below(this->random, 10) == 0) {
            each.process.resume();
        }
        if (each.process.is_paused()) {
            return;
        }
        store::submission item;
        item.id.number = ++each.last_number;
        auto const value =
            std::to_string(index) + ":" + std::to_string(item.id.number);
        item.level = store::priority{
            static_cast<std::uint8_t>(base::uniform_below(this->random, 6))};
        auto const own = "own/" + value;
        auto const shared =
            "shared/" + std::to_string(base::uniform_below(this->random, 4));
        item.writes = {{own, value}};
        if (base::uniform_below(this->random, 2) == 0) {
            item.writes.push_back({shared, value});
        }
        if (base::uniform_below(this->random, 2) == 0) {
            item.conditions = {{shared, this->table.read_now(shared).version}};
        }
        if (base::uniform_below(this->random, 4) == 0) {
            item.deadline = each.process.now() + base::milliseconds(1000);
        }
        each.sent.emplace(item.id.number, value);
        each.committer->submit(item);
    }

    void observe(
        formats::transaction const& transaction,
        std::vector<formats::row_condition> const& versions)
    {
        for (std::size_t i = 0; i < transaction.writes.size(); ++i) {
            auto const& write = transaction.writes[i];
            if (write.key.starts_with("own/")) {
                auto& seen = this->effects[*write.value];
                ++seen.count;
                seen.version = versions[i].version;
            }
        }
    }

    void complete(host& from, store::completion const& done)
    {
        auto const value = from.sent.at(done.id.number);
        REQUIRE(this->outcomes.emplace(value, done.result).second);
        auto const seen = this->effects[value];
        // At the time of the answer, not only at the end.
        CHECK(seen.count == (done.result == store::outcome::committed ? 1 : 0));
        auto const version = store::version_in(done, "own/" + value);
        CHECK(version.value_or(seen.version) == seen.version);
    }

    void check()
    {
        std::size_t sent = 0;
        for (auto const& each : this->hosts) {
            sent += each->sent.size();
            for (auto const& [number, value] : each->sent) {
                INFO("submission " << value);
                REQUIRE(this->outcomes.contains(value));
                auto const expected =
                    this->outcomes.at(value) == store::outcome::committed;
                CHECK(this->effects[value].count == (expected ? 1 : 0));
            }
        }
        CHECK(sent > 100);
    }

    base::random_engine random;
    store::virtual_time time;
    store::fake_table table;
    std::vector<std::unique_ptr<host>> hosts;
    std::map<std::string, effect> effects;
    std::map<std::string, store::outcome> outcomes;
};

} // namespace

// Guards against submissions that act twice, that act after they were reported
// as without effect, and that are never answered.
TEST_CASE("under random faults each submission acts once or never")
{
    for (std::uint32_t seed = 100; seed < 140; ++seed) {
        INFO("seed " << seed);
        std::cout << "fault schedule, seed " << seed << '\n';
        fault_schedule{seed}.run();
    }
}

// Guards against a flood when the store returns: all hosts have thousands of
// records waiting.
TEST_CASE("after an outage the store sees no flood")
{
    store::virtual_time time;
    store::fake_table table{time, {}, 1};
    std::vector<std::unique_ptr<store::virtual_process>> processes;
    std::vector<std::unique_ptr<store::simulated_committer>> committers;
    std::size_t completed = 0;
    constexpr std::uint64_t hosts = 9;
    constexpr std::uint64_t records = 2000;
    for (std::uint64_t i = 0; i < hosts; ++i) {
        processes.push_back(std::make_unique<store::virtual_process>(time));
        store::group_committer_options options;
        options.host = "h" + std::to_string(i);
        options.writer = "w" + std::to_string(i);
        committers.push_back(std::make_unique<store::simulated_committer>(
            *processes.back(), table, options, static_cast<std::uint32_t>(i),
            [&completed](auto const&) { ++completed; }));
        committers.back()->set_members(hosts);
    }
    table.faults().set_down(true);
    for (std::uint64_t i = 0; i < hosts * records; ++i) {
        store::submission item;
        item.id.number = i;
        item.writes = {{"k" + std::to_string(i), "v"}};
        committers[i % hosts]->submit(item);
    }
    auto previous = table.counters();
    auto const run_second = [&] {
        previous = table.counters();
        time.run_until(time.now() + base::seconds(1));
        return table.counters().transactions - previous.transactions;
    };
    for (int second = 0; second < 120; ++second) {
        // Single probes: few for each host, and none with content twice.
        CHECK(run_second() <= hosts);
        CHECK(table.counters().reads - previous.reads <= 3 * hosts);
    }
    table.faults().set_down(false);
    std::uint64_t sent = 0;
    for (int second = 0; second < 10; ++second) {
        auto const transactions = run_second();
        sent += transactions;
        CHECK(transactions <= 200);
    }
    CHECK(completed == hosts * records);
    CHECK(sent < hosts * records / 20);
}
