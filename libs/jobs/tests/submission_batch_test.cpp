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
            {.job = job,
             .value = "v",
             .callback = [this, job](auto const& answer) {
                 this->answers.emplace(job, answer.status);
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

// Guards against an accepted job whose rejection row stays, and against a
// rejection that is told before it is written.
TEST_CASE("a rejection is a row, which a later submission replaces")
{
    fixture test;
    test.batch.add(
        {.job = "no",
         .callback =
             [&](auto const& answer) {
                 test.answers.emplace("no", answer.status);
                 CHECK(answer.retry_after.ms == 3000);
             },
         .is_rejection = true,
         .retry_after = {3000}});
    test.batch.add(
        {.job = "again",
         .value = "v",
         .callback =
             [&](auto const& answer) {
                 test.answers.emplace("again", answer.status);
             },
         .replaces = 7});
    test.batch.take(20);
    CHECK(test.batch.taken_entries() == 2 * submission_batch::entries + 1);
    auto const change = test.change();
    REQUIRE(change.puts.size() == 2);
    CHECK(change.puts[0].table == tables::ended);
    CHECK(change.puts[0].value == rejection_value);
    REQUIRE(change.removals.size() == 1);
    CHECK(change.removals[0].key == "again");
    CHECK(change.conditions[3].version == 7);
    CHECK(test.answers.empty());
    CHECK(test.batch.rejections() == std::vector<std::string>{"no"});
    CHECK(test.batch.on_done().size() == 1);
    CHECK(test.answers.find("no")->second == store_status::rejected);
    CHECK(test.answers.find("again")->second == store_status::done);
}

// Guards against "rejected" for a job that was accepted before, against an
// accepted job for a copy that did not know of the rejection, and against a
// rejection that an older one keeps out.
TEST_CASE("rows that a rejection finds decide what is told")
{
    fixture test;
    for (std::string const job : {"accepted", "rejected"}) {
        test.batch.add(
            {.job = job,
             .callback =
                 [&test, job](auto const& answer) {
                     test.answers.emplace(job, answer.status);
                 },
             .is_rejection = true});
    }
    test.add("copy");
    test.batch.take(20);
    std::vector<row> const current{
        {.table = tables::jobs,
         .key = submission_key("accepted"),
         .version = 4},
        {.table = tables::ended,
         .key = "rejected",
         .value = rejection_value,
         .version = 5},
        {.table = tables::ended,
         .key = "copy",
         .value = rejection_value,
         .version = 6}};
    CHECK(test.batch.on_conflict(current));
    CHECK(test.answers.find("accepted")->second == store_status::done);
    CHECK(test.answers.find("copy")->second == store_status::barred);
    CHECK_FALSE(test.answers.contains("rejected"));
    CHECK(test.change().conditions[1].version == 5);
    test.batch.end(store_status::unknown);
    CHECK(test.answers.find("rejected")->second == store_status::unknown);
}
