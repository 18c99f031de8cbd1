#include "foxtaillift/base/error.hpp"
#include "foxtaillift/formats/table.hpp"
#include "foxtaillift/formats/worker_agent.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace base = foxtaillift::base;
namespace formats = foxtaillift::formats;

using nlohmann::json;

// Guards against a delete that is encoded as an empty value, or the reverse.
TEST_CASE("a transaction keeps its writes and deletes")
{
    formats::transaction const sent{
        .operation = "op1",
        .conditions = {{"a", 0}, {"b", 7}},
        .writes = {{"a", "x"}, {"b", std::nullopt}, {"c", ""}}};
    auto const text = json(sent).dump();
    auto const received = json::parse(text).get<formats::transaction>();
    CHECK(received.operation == sent.operation);
    CHECK(received.conditions == sent.conditions);
    CHECK(received.writes == sent.writes);
}

// Guards against a field of a run that is lost between worker and owner.
TEST_CASE("an adoption answer survives its codec")
{
    formats::adopt_answer const sent{
        .worker = base::worker_id{"w1"},
        .epoch = 9,
        .capacity = {32000, 125000, 2},
        .calls_in_progress = 3,
        .runs = {
            {.task = base::task_id{"t1"},
             .attempt = 4,
             .state = formats::run_state::checkpointed,
             .task_class = "nesting",
             .size = {1000, 500, 1},
             .checkpoint = "c/t1/4",
             .ran_ms = 10,
             .since_checkpoint_ms = 2,
             .throttle = 0.5,
             .message = "m"}}};
    auto const received = json(sent).get<formats::adopt_answer>();
    CHECK(json(received) == json(sent));
    CHECK(received.runs.at(0).state == formats::run_state::checkpointed);
    CHECK(received.runs.at(0).throttle == 0.5);
    CHECK(received.capacity == sent.capacity);
}

// Guards against unknown states being read as a known one.
TEST_CASE("an unknown run state is refused")
{
    json const text = {
        {"task", "t"},
        {"attempt", 1},
        {"state", "paused"},
        {"size", formats::resources{}}};
    CHECK_THROWS_AS(
        static_cast<void>(text.get<formats::run_entry>()), base::error);
}

// Guards against a comparison that ignores one of the resources.
TEST_CASE("resources fit only if every amount fits")
{
    formats::resources const limit{1000, 100, 1};
    CHECK(formats::resources{1000, 100, 1}.fits_in(limit));
    CHECK_FALSE(formats::resources{1001, 100, 1}.fits_in(limit));
    CHECK_FALSE(formats::resources{1000, 101, 1}.fits_in(limit));
    CHECK_FALSE(formats::resources{1000, 100, 2}.fits_in(limit));
}
