// Load of the store at the two-year peak: 8,200 task records a second in group
// commits of all hosts, with lease renewals. Virtual time.

#include "foxtaillift/store/simulated_committer.hpp"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace base = foxtaillift::base;
namespace store = foxtaillift::store;

namespace
{

struct peak_run
{
    std::uint64_t records = 0;
    std::vector<std::int64_t> waits; ///< submission to completion, ms
};

class peak_host
{
public:
    peak_host(
        store::virtual_time& time,
        store::fake_table& table,
        std::size_t index,
        std::size_t members,
        peak_run& run)
        : process(time)
        , committer(
              process,
              table,
              options(index),
              static_cast<std::uint32_t>(index),
              [this, &run](store::completion const& done) {
                  run.waits.push_back(
                      this->process.now().ms -
                      static_cast<std::int64_t>(done.id.number >> 24U));
                  ++run.records;
              })
        , name(std::to_string(index))
    {
        this->committer.set_members(members);
    }

    void submit(store::priority level, std::string const& key)
    {
        store::submission item;
        auto const now = static_cast<std::uint64_t>(this->process.now().ms);
        item.id.number = (now << 24U) + ++this->last;
        item.level = level;
        item.conditions = {{"owner/" + this->name, 0}};
        item.writes = {{key, std::string(120, 'r')}};
        this->committer.submit(item);
    }
    void submit_record()
    {
        this->submit(
            store::priority::task_record,
            "log/" + this->name + "/" + std::to_string(this->last));
    }

private:
    static store::group_committer_options options(std::size_t index)
    {
        store::group_committer_options result;
        result.host = "h" + std::to_string(index);
        result.writer = "w" + std::to_string(index);
        return result;
    }

    store::virtual_process process;
    store::simulated_committer committer;
    std::string name;
    std::uint64_t last = 0;
};

void report_peak(std::size_t members, std::int64_t records_a_second)
{
    // The first transactions of all hosts are left out. The span is a multiple
    // of every interval.
    constexpr std::int64_t warm_up = 3'000;
    constexpr std::int64_t span = 60'000;
    store::virtual_time time;
    store::fake_table table{time, {.delay = base::milliseconds(2)}, 1};
    peak_run run;
    std::vector<std::unique_ptr<peak_host>> hosts;
    hosts.reserve(members);
    for (std::size_t i = 0; i < members; ++i) {
        hosts.push_back(
            std::make_unique<peak_host>(time, table, i, members, run));
    }
    std::int64_t due = 0;
    std::size_t next = 0;
    std::uint64_t warm_transactions = 0;
    for (std::int64_t ms = 0; ms < warm_up + span; ++ms) {
        if (ms == warm_up) {
            warm_transactions = table.counters().transactions;
            run = {};
        }
        for (due += records_a_second; due >= 1000; due -= 1000) {
            hosts[next++ % members]->submit_record();
        }
        if (ms % 2000 < static_cast<std::int64_t>(members)) {
            auto const index = static_cast<std::size_t>(ms % 2000);
            hosts[index]->submit(
                store::priority::lease_renewal,
                "host/" + std::to_string(index));
        }
        time.run_until(base::instant{ms + 1});
    }
    std::sort(run.waits.begin(), run.waits.end());
    auto const transactions =
        static_cast<double>(table.counters().transactions - warm_transactions);
    auto const writes = transactions / (static_cast<double>(span) / 1000);
    std::printf(
        "members %3zu  records %5lld/s  store writes %6.1f/s (%.3f of 200)  "
        "records a write %5.1f  wait p50 %lld ms  p99 %lld ms\n",
        members, static_cast<long long>(records_a_second), writes, writes / 200,
        static_cast<double>(run.records) / transactions,
        static_cast<long long>(run.waits[run.waits.size() / 2]),
        static_cast<long long>(run.waits[run.waits.size() * 99 / 100]));
}

} // namespace

int main()
{
    for (std::size_t const members : {6U, 9U, 30U, 100U}) {
        report_peak(members, 8200);
    }
    report_peak(9, 100);
    return 0;
}
