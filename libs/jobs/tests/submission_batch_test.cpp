#include "foxtaillift/jobs/submission_batch.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace foxtaillift::jobs;

namespace
{

struct fixture
{
    void add(std::string const& job)
    {
        this->batch.add(
            {.job = job, .value = "v", .callback = [this, job](auto status) {
                 this->answers.emplace(job, status);
             }});
    }

    row_change change() const
    {
        row_change result;
        this->batch.add_to(result);
        return result;
    }

    submission_batch batch{};
    std::multimap<std::string, store_status> answers{};
};

} // namespace

// The pattern: a burst while the store is 70 times slower and carries out five
// changes a second. Guards against a change for each submission, of which most
// were refused (trouble-2 of Rezni Oblak: 21 of 59 in two seconds).
TEST_CASE("all submissions that wait share a change")
{
    fixture test;
    for (int i = 0; i < 30; ++i) {
        test.add("j" + std::to_string(i));
    }
    test.batch.take(20);
    auto const first = test.change();
    CHECK(first.puts.size() == 20);
    CHECK(
        first.puts.size() + first.conditions.size() ==
        20 * submission_batch::entries);
    CHECK(test.answers.empty()); // not before the change is carried out
    CHECK(test.batch.on_done().size() == 20);
    CHECK(test.answers.size() == 20);
    CHECK(test.batch.is_waiting());
    test.batch.take(20);
    CHECK(test.change().puts.size() == 10);
}

// Guards against a submission that keeps those beside it from being written,
// since its job exists already.
TEST_CASE("a job that exists is answered, and the others stay in the change")
{
    fixture test;
    test.add("new");
    test.add("known");
    test.add("over");
    test.batch.take(20);
    std::vector<row> const current{
        {.table = tables::jobs, .key = submission_key("known"), .version = 4},
        {.table = tables::ended, .key = "over", .version = 5}};
    CHECK(test.batch.on_conflict(current));
    CHECK(test.answers.find("known")->second == store_status::done);
    CHECK(test.answers.find("over")->second == store_status::done);
    CHECK_FALSE(test.answers.contains("new"));
    CHECK(test.change().puts.size() == 1);
    CHECK(test.batch.on_done().front().first == "new");
}

// Guards against "accepted" for a job that was cancelled before and never runs.
TEST_CASE("a job with a tombstone ends its submission as a conflict")
{
    fixture test;
    test.add("new");
    test.add("barred");
    test.batch.take(20);
    std::vector<row> const current{
        {.table = tables::ended,
         .key = "barred",
         .value = tombstone_value,
         .version = 4}};
    CHECK(test.batch.on_conflict(current));
    CHECK(test.answers.find("barred")->second == store_status::conflict);
    CHECK(test.batch.on_done().front().first == "new");
}

// Guards against "not accepted" for a submission whose write may yet be carried
// out, and against callers who wait for one that certainly was not.
TEST_CASE("the end of a leadership tells what is certain")
{
    fixture test;
    test.add("sent");
    test.batch.take(20);
    test.add("waiting");
    test.batch.end(store_status::unknown);
    CHECK(test.answers.find("sent")->second == store_status::unknown);
    CHECK(test.answers.find("waiting")->second == store_status::not_done);
    test.add("refused");
    test.batch.take(20);
    test.batch.on_not_done();
    CHECK(test.answers.find("refused")->second == store_status::not_done);
    CHECK(test.change().puts.empty());
}

TEST_CASE("a caller that comes twice gets one row and two answers")
{
    fixture test;
    test.add("j");
    test.add("j");
    test.batch.take(20);
    test.add("j");
    CHECK(test.change().puts.size() == 1);
    test.batch.on_done();
    CHECK(test.answers.count("j") == 3);
    CHECK_FALSE(test.batch.is_waiting());
}

// Guards against memory that grows with each submission while nothing is
// written.
TEST_CASE("submissions beyond the limit are refused at once")
{
    fixture test;
    for (std::size_t i = 0; i < submission_batch::waiting_limit + 10; ++i) {
        test.add("j" + std::to_string(i));
    }
    CHECK(test.answers.size() == 10);
    for (auto const& [job, status] : test.answers) {
        CHECK(status == store_status::not_done);
    }
}

// Guards against callers who are held until their deadline while the store does
// not answer, although their submissions were never sent (trouble-3 of the
// grown Directorate: 94 of worth).
TEST_CASE("what waits is refused at once when a write fails")
{
    fixture test;
    test.add("sent");
    test.batch.take(20);
    test.add("waiting");
    test.batch.refuse_waiting();
    CHECK(test.answers.find("waiting")->second == store_status::not_done);
    CHECK_FALSE(test.answers.contains("sent")); // its write may be carried out
}
