#include "foxtaillift/replay/replay.hpp"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace foxtaillift;

namespace
{

std::string const folder = FOXTAILLIFT_SOURCE_DIR "/traces/";

std::string submit_line(std::string const& at_ms)
{
    return R"({"event": "submit", "spec": {"team": "a", "key": "t", )"
           R"("class": "c", "size": {"processors": 1000, "memory_mb": 100}, )"
           R"("run_ms": 2000}, "at_ms": )" +
           at_ms + "}\n";
}

std::string workers_line(
    std::string const& at_ms,
    std::string const& worker,
    std::string const& processors)
{
    return R"({"event": "workers", "workers": [{"address": "127.0.0.1:1", )"
           R"("rack": "r1", "failure_domain": "z1", "memory_mb": 60000, )"
           R"("services": ["web"], )"
           R"("processors": )" +
           processors + R"(, "worker": ")" + worker + R"("}], "at_ms": )" +
           at_ms + "}\n";
}

std::string const call_line =
    R"({"at_ms": 500, "event": "call", "service": "web", "caller": "c", )"
    R"("run_ms": 5})"
    "\n";

// Lines 1 to 4: one worker, its owner and one task of two seconds.
std::string const short_trace =
    R"({"trace": "short", "seed": 1, "lasts_ms": 40000})"
    "\n" +
    workers_line("0", "w0", "16000") +
    R"({"at_ms": 0, "event": "owner", "step": "take_over"})"
    "\n" +
    submit_line("1000");

std::vector<replay::violation> replay_lines(std::string const& lines)
{
    return replay::replay_trace(
               replay::parse_trace(short_trace + lines, "test"))
        .violations;
}

/// Writes a file that is removed with the object.
struct temporary_file
{
    explicit temporary_file(std::string const& text)
        : path(
              std::filesystem::temp_directory_path() /
              ("foxtail-replay-test-" +
               std::to_string(reinterpret_cast<std::uintptr_t>(this))))
    {
        std::ofstream{this->path} << text;
    }
    temporary_file(temporary_file const&) = delete;
    temporary_file& operator=(temporary_file const&) = delete;
    ~temporary_file() { std::filesystem::remove(this->path); }

    std::filesystem::path path;
};

} // namespace

// Guards against a change of the decisions that breaks a stated outcome.
TEST_CASE("the traces of this repository have their stated outcomes")
{
    for (std::string const name :
         {"noisy-wave", "failing-worker", "stragglers-urgent", "owner-change",
          "cancellation-wave", "failing-calls"}) {
        auto const from = replay::read_trace(folder + name + ".jsonl");
        for (auto const& one : replay::replay_trace(from).violations) {
            FAIL_CHECK(
                name << ":" << one.line << " " << one.kind << ": "
                     << one.reason);
        }
    }
}

// Guards against a trace in the folder that the test above does not run.
TEST_CASE("every trace of the folder is run")
{
    std::size_t files = 0;
    for (auto const& entry : std::filesystem::directory_iterator{folder}) {
        files += entry.path().extension() == ".jsonl" ? 1 : 0;
    }
    CHECK(files == 6);
}

// Guards against a check that holds whatever happens.
TEST_CASE("each kind of expectation can be violated")
{
    struct expected
    {
        std::string lines;
        std::string reason;
    };
    for (auto const& [lines, reason] : std::initializer_list<expected>{
             {R"({"expect": "state", "is": "cancelled"})",
              "task t: state is finished, not cancelled"},
             {R"({"expect": "reply", "is": "existing"})",
              "task t: last reply is accepted, not existing"},
             {R"({"expect": "start_wait_ms", "at_most": 0})", "task t: "},
             {R"({"expect": "starts_of_task", "at_least": 2})",
              "task t: 1 is below 2"},
             {R"({"expect": "evictions_of_task", "at_least": 1})",
              "task t: 0 is below 1"},
             {R"({"expect": "evictions", "at_least": 1})", "0 is below 1"},
             {R"({"expect": "resumes", "at_least": 1})", "0 is below 1"},
             {R"({"expect": "capacity_refusals", "at_most": -1})",
              "0 is above -1"},
             {R"({"expect": "evictions_of_baseline", "at_most": -1})",
              "0 is above -1"},
             {R"({"expect": "thrown_away_of_baseline", "at_most": -1})",
              "0 is above -1"},
             {R"({"expect": "quarantined", "worker": "w0"})",
              "worker w0: takes work"},
             {R"({"expect": "quarantined", "worker": "w1"})",
              "worker w1 is unknown to the cell"},
             {R"({"expect": "finished_once", "team": "b"})",
              "no submitted task is selected"},
             {R"({"expect": "evictions", "team": "b", "at_most": 1})",
              "no submitted task is selected"},
             {R"({"expect": "evictions_of_baseline", "team": "b", )"
              R"("at_most": 1})",
              "no submitted task is selected"},
             {R"({"expect": "places_again_ms", "at_most": 10000})",
              "no owner ended, or nothing was started after its end"},
             {R"({"at_ms": 1500, "event": "cancel", "task": "t"}
                 {"expect": "finished_once"})",
              "task t: state is cancelled, not finished"},
             // The run ends unheard on w0 and again on w1.
             {workers_line("1500", "w1", "16000") +
                  R"({"at_ms": 1600, "event": "worker", "worker": "w0", )"
                  R"("is_reachable": false}
                     {"expect": "finished_once"})",
              "task t: ran to its end 2 times"},
             {workers_line("1500", "w0", "500") +
                  R"({"expect": "capacity_kept"})",
              "worker w0 was committed beyond its capacity"},
             {R"({"at_ms": 1500, "event": "worker", "worker": "w0", )"
              R"("is_reachable": false}
                 {"expect": "nothing_lost"})",
              "c1-1-000000001 is "},
             {R"({"at_ms": 5000, "event": "owner", "step": "kill"}
                 {"expect": "nothing_lost"})",
              "no host owns the cell at the end"},
             {R"({"at_ms": 5000, "event": "owner", "step": "kill"}
                 {"at_ms": 6000, "event": "owner", "step": "take_over"}
                 {"expect": "places_again_ms", "at_most": 10000})",
              "no owner ended, or nothing was started after its end"},
             {R"({"expect": "calls_safe"})", "no call is selected"},
             {call_line + R"({"expect": "call_outcome", "is": "not-run"})",
              "call 0: outcome is ran"},
             {call_line + R"({"expect": "call_wait_ms", "at_most": -1})",
              "call 0: 0 is above -1"},
             {call_line + R"({"expect": "call_retries", "at_least": 1})",
              "0 is below 1"},
             {R"({"at_ms": 100, "event": "worker", "worker": "w0", )"
              R"("is_reachable": false}
)" + call_line + R"({"expect": "call_outcome", "is": "ran"})",
              "call 0: outcome is not-run"},
         }) {
        CAPTURE(lines);
        auto const found = replay_lines(lines);
        REQUIRE(found.size() == 1);
        CHECK(found[0].reason.find(reason) == 0);
    }
}

// Guards against a replay that ignores faults of the store: the successor
// must find the write whose answer was lost.
TEST_CASE("a write whose answer is lost took effect")
{
    // The submitter, which got no answer, asks again.
    auto const again = submit_line("9000");
    auto const lost =
        replay_lines(
            R"({"at_ms": 500, "event": "store", "loses_answers": true}
           {"at_ms": 1500, "event": "owner", "step": "kill"}
           {"at_ms": 8000, "event": "owner", "step": "take_over"}
)" + again + R"({"expect": "reply", "is": "existing"}
                {"expect": "finished_once"})");
    CHECK(lost.empty());
    auto const down =
        replay_lines(R"({"at_ms": 500, "event": "store", "is_down": true}
            {"expect": "reply", "is": "unavailable"}
            {"expect": "finished_once"})");
    REQUIRE(down.size() == 1);
    CHECK(down[0].kind == "finished_once");
}

// Guards against a violated expectation that goes unreported, and against two
// replays of one trace that differ.
TEST_CASE("exit code and output tell held, violated and malformed traces")
{
    auto const violated = short_trace + R"({"expect": "finished_once"}
{"expect": "start_wait_ms", "at_most": 0}
)";
    temporary_file const file{violated};
    temporary_file const broken{short_trace + "{\n"};
    std::string const good = folder + "failing-worker.jsonl";
    auto const run = [](std::vector<std::string> const& files, int wanted) {
        std::ostringstream out;
        std::ostringstream errors;
        CHECK(replay::replay_files(files, out, errors) == wanted);
        return out.str() + errors.str();
    };
    CHECK(
        run({good}, 0) == "event=replayed trace=\"worker that fails "
                          "everything\" events=264 expectations=6 "
                          "violated=0\n");
    auto const text = run({file.path.string(), good}, 1);
    CHECK(
        text.find(
            file.path.string() + ":6: violated start_wait_ms: task t: ") == 0);
    CHECK(text == run({file.path.string(), good}, 1));
    CHECK(
        run({broken.path.string(), file.path.string()}, 2)
            .find(broken.path.string() + ":5: ") != std::string::npos);
    CHECK(run({"/does/not/exist"}, 2) == "/does/not/exist:0: cannot be read\n");
}
