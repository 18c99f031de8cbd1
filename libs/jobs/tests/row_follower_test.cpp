#include "foxtaillift/jobs/row_follower.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;

namespace
{

/// A table whose rows change at a steady rate, on virtual time.
class busy_table
{
public:
    explicit busy_table(base::duration between_changes)
        : interval(between_changes)
    {}

    [[nodiscard]] base::instant now() const { return this->time; }

    void after(base::duration delay, std::function<void()> callback)
    {
        this->events.push(
            {this->time + delay, this->count++, std::move(callback)});
    }

    void read(
        std::string const&,
        std::string const&,
        std::string const&,
        std::function<void(rows_result)> const& callback)
    {
        this->after(latency, [this, callback] {
            callback(
                {.status = store_status::done, .version = this->version()});
        });
    }

    void watch(
        std::string const&,
        std::int64_t since,
        base::duration wait,
        std::function<void(rows_result)> const& callback)
    {
        ++this->watches;
        auto const next = base::instant{(since + 1) * this->interval.ms};
        auto const answer_at =
            std::min(this->time + wait, std::max(this->time, next) + latency);
        this->after(answer_at - this->time, [this, since, callback] {
            rows_result result{
                .status = store_status::done, .version = this->version()};
            for (auto each = since + 1; each <= result.version; ++each) {
                result.rows.push_back(
                    {.table = "servers",
                     .key = std::to_string(each % 10),
                     .version = each});
            }
            callback(result);
        });
    }

    void run_for(base::duration span)
    {
        auto const end = this->time + span;
        while (!this->events.empty() && this->events.top().time <= end) {
            auto const event = this->events.top();
            this->events.pop();
            this->time = event.time;
            event.callback();
        }
        this->time = end;
    }

    [[nodiscard]] std::int64_t version() const
    {
        return this->time.ms / this->interval.ms;
    }

    void log(base::event_line const& line)
    {
        this->lines.push_back(line.str());
    }

    int watches = 0;
    std::vector<std::string> lines{};

private:
    static constexpr base::duration latency = base::milliseconds(4);

    struct entry
    {
        base::instant time{};
        int number = 0;
        std::function<void()> callback{};
        bool operator<(entry const& other) const
        {
            return std::pair{other.time, other.number} <
                   std::pair{this->time, this->number};
        }
    };
    std::priority_queue<entry> events{};
    int count = 0;
    base::instant time{1000};
    base::duration interval;
};

} // namespace

/// A table of two pages in which a job is accepted and cancelled between their
/// readings; the row of the submission sorts on the first one.
class paged_table
{
public:
    [[nodiscard]] base::instant now() const { return this->time; }
    void after(base::duration, std::function<void()> const&) {}
    void log(base::event_line const&) {}

    void read(
        std::string const&,
        std::string const& from,
        std::string const&,
        std::function<void(rows_result)> const& callback)
    {
        bool const is_first = from.empty();
        callback(
            {.status = store_status::done,
             .rows =
                 {is_first ? row{.key = "a", .version = 3}
                           : row{.key = cancellation_key("j"), .version = 12}},
             .has_more = is_first,
             .version = is_first ? 9 : 14});
    }

    void watch(
        std::string const&,
        std::int64_t since,
        base::duration,
        std::function<void(rows_result)> const& callback)
    {
        if (std::exchange(this->is_watched, true)) {
            return;
        }
        CHECK(since == 9);
        callback(
            {.status = store_status::done,
             .rows =
                 {{.key = submission_key("j"), .version = 11},
                  {.key = cancellation_key("j"), .version = 12}},
             .version = 14});
    }

private:
    base::instant time{1000};
    bool is_watched = false;
};

/// A table of several pages whose readings fail in turn.
class failing_pages : public busy_table
{
public:
    failing_pages()
        : busy_table(base::milliseconds(100))
    {}

    void read(
        std::string const&,
        std::string const& from,
        std::string const&,
        std::function<void(rows_result)> const& callback)
    {
        constexpr int pages = 6;
        this->asked.push_back(from);
        if (this->asked.size() % 2 == 0) {
            this->after(base::seconds(1), [callback] { callback({}); });
            return;
        }
        auto const page = this->pages_read++;
        this->after(base::milliseconds(400), [this, page, callback] {
            callback(
                {.status = store_status::done,
                 .rows = {{.key = std::to_string(page), .version = 1}},
                 .has_more = page + 1 < pages,
                 .version = this->version()});
        });
    }

    std::vector<std::string> asked{};
    int pages_read = 0;
};

/// A store whose answers to requests for changes fail after some time.
class failing_table : public busy_table
{
public:
    explicit failing_table(base::duration time_until_failure)
        : busy_table(base::milliseconds(100))
        , until_failure(time_until_failure)
    {}

    void watch(
        std::string const&,
        std::int64_t,
        base::duration,
        std::function<void(rows_result)> const& callback)
    {
        this->watched_at.push_back(this->now());
        this->after(this->until_failure, [callback] { callback({}); });
    }

    std::vector<base::instant> watched_at{};

private:
    base::duration until_failure;
};

/// The times from one request for changes to the next.
std::vector<std::int64_t> gaps_after(base::duration until_failure)
{
    failing_table table{until_failure};
    auto const follower = std::make_shared<row_follower<failing_table>>(
        table, row_follower_options{.table = "op"}, [](row const&) {});
    follower->start();
    table.run_for(base::seconds(10));
    follower->stop();
    std::vector<std::int64_t> gaps;
    for (std::size_t i = 1; i < table.watched_at.size(); ++i) {
        gaps.push_back((table.watched_at[i] - table.watched_at[i - 1]).ms);
    }
    return gaps;
}

// The rows of 350 workers change some 200 times a second. Without a pause each
// change costs a priced call to the store.
TEST_CASE("a follower with a pause gathers frequent changes")
{
    busy_table table{base::milliseconds(5)};
    std::int64_t newest = 0;
    auto const follower = std::make_shared<row_follower<busy_table>>(
        table,
        row_follower_options{
            .table = "servers", .pause = base::milliseconds(300)},
        [&](row const& row) { newest = row.version; });
    follower->start();
    table.run_for(base::seconds(10));
    CHECK(table.watches <= 34); // 10 s by 300 ms
    CHECK(table.watches >= 25);
    // Nothing is missed: the last change is at most a pause old.
    CHECK(table.version() - newest <= (300 + 2 * 4) / 5 + 1);
    follower->stop();
    table.run_for(base::seconds(2));
}

TEST_CASE("a follower without a pause hears of each change at once")
{
    busy_table table{base::milliseconds(100)};
    std::int64_t newest = 0;
    auto const follower = std::make_shared<row_follower<busy_table>>(
        table, row_follower_options{.table = "jobs"},
        [&](row const& row) { newest = row.version; });
    follower->start();
    table.run_for(base::seconds(5));
    CHECK(table.version() - newest <= 1);
    CHECK(table.watches >= 48);
    follower->stop();
    table.run_for(base::seconds(2));
}

// The report of other operators: one odd entry, and the machines that read the
// list stopped following it.
TEST_CASE("a follower goes on after a row that its handler cannot use")
{
    busy_table table{base::milliseconds(100)};
    std::int64_t newest = 0;
    auto const follower = std::make_shared<row_follower<busy_table>>(
        table, row_follower_options{.table = "servers"}, [&](row const& row) {
            if (row.key == "3") {
                throw std::out_of_range{"odd entry"};
            }
            newest = row.version;
        });
    follower->start();
    table.run_for(base::seconds(5));
    CHECK(table.version() - newest <= 2);
    // Each version of the odd row is told once.
    CHECK(table.lines.size() >= 3);
    CHECK(table.lines.size() <= 6);
    CHECK(table.lines.front().find("odd entry") != std::string::npos);
    follower->stop();
    table.run_for(base::seconds(2));
}

// Guards against a cancellation that a leader hears of before the submission
// and passes over: the job runs on though its caller was told otherwise.
TEST_CASE("rows that change while a table is read are told in their order")
{
    paged_table table;
    std::vector<std::string> told;
    auto const follower = std::make_shared<row_follower<paged_table>>(
        table, row_follower_options{.table = tables::jobs},
        [&](row const& row) { told.push_back(row.key); });
    follower->start();
    CHECK(
        told == std::vector<std::string>{
                    "a", submission_key("j"), cancellation_key("j")});
    follower->stop();
}

// The pattern: a leader under load reads a table again whose history is lost,
// and every other page runs out of time. Guards against a reading that begins
// anew each time and never ends (UNASKED on scale-2 of Solorzano: cancellations
// were not seen for 11 s).
TEST_CASE("a page that fails does not cost the pages before it")
{
    failing_pages table;
    std::size_t told = 0;
    auto const follower = std::make_shared<row_follower<failing_pages>>(
        table, row_follower_options{.table = tables::jobs},
        [&](row const&) { ++told; });
    follower->start();
    table.run_for(base::seconds(12));
    CHECK(told >= 6);
    CHECK(follower->is_complete());
    // Each page is read once, and once in vain.
    CHECK(table.asked.size() <= 12);
    follower->stop();
}

// The pattern: connections go silent, and a request for changes runs out of
// time after 2.2 s (review/10). Guards against a pause after it that makes a
// host learn of a configuration later.
TEST_CASE("a follower asks again at once after a request ran out of time")
{
    auto const silent = gaps_after(base::milliseconds(2200));
    REQUIRE(silent.size() >= 4);
    for (auto const gap : silent) {
        CHECK(gap == 2200);
    }
}

// Guards against priced calls to a store that refuses them at once.
TEST_CASE("a follower asks a store that refuses it less and less often")
{
    auto const refused = gaps_after(base::milliseconds(4));
    REQUIRE(refused.size() >= 8);
    CHECK(refused[0] == 200);
    CHECK(refused[1] == 400);
    CHECK(refused.back() == 1000);
}
