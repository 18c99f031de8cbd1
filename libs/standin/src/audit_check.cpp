#include "foxtaillift/standin/audit_check.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <map>

namespace foxtaillift::standin
{

using nlohmann::json;

namespace
{

struct audited_run
{
    std::string worker;
    std::int64_t attempt = 0;
    std::int64_t start = 0;
    std::int64_t end = 0;
    std::string state;
    std::string resumed_from;

    [[nodiscard]] std::string name() const
    {
        return this->worker + " attempt " + std::to_string(this->attempt);
    }
};

/// Runs by the tag of their task, in order of their start.
using runs_by_task = std::map<std::string, std::vector<audited_run>>;

class violation_list
{
public:
    void add(std::string const& guarantee, std::string const& message)
    {
        constexpr std::size_t max_of_a_kind = 20;
        if (++this->counts[guarantee] <= max_of_a_kind) {
            this->messages.push_back(guarantee + ": " + message);
        }
    }

    std::vector<std::string> messages;

private:
    std::map<std::string, std::size_t> counts;
};

runs_by_task collect_runs(std::vector<json> const& audits)
{
    runs_by_task runs;
    for (auto const& audit : audits) {
        for (auto const& in : audit.at("history")) {
            audited_run run;
            run.worker = audit.at("worker");
            run.attempt = in.at("attempt");
            run.start = in.at("start");
            run.end = in.at("end").is_null()
                          ? audit.at("now").get<std::int64_t>()
                          : in.at("end").get<std::int64_t>();
            run.state = in.at("state");
            run.resumed_from = in.at("resumed_from");
            auto const tag = in.at("tag").get<std::string>();
            runs[tag.empty() ? in.at("task").get<std::string>() : tag]
                .push_back(run);
        }
    }
    for (auto& [task, list] : runs) {
        std::sort(list.begin(), list.end(), [](auto const& a, auto const& b) {
            return a.start < b.start;
        });
    }
    return runs;
}

void check_capacity(std::vector<json> const& audits, violation_list& out)
{
    for (auto const& audit : audits) {
        auto const& peak = audit.at("peak");
        auto const name = audit.at("worker").get<std::string>();
        for (auto const& [resource, limit] : audit.at("capacity").items()) {
            auto const committed =
                peak.at("committed").at(resource).get<std::int64_t>();
            if (committed > limit.get<std::int64_t>()) {
                auto text = "worker " + name + " overcommitted ";
                out.add("G1", text.append(resource));
            }
        }
        if (peak.at("calls") > audit.at("slots")) {
            out.add("G1", "worker " + name + " ran more calls than slots");
        }
    }
}

void check_overlaps(
    std::string const& task,
    std::vector<audited_run> const& runs,
    violation_list& out)
{
    for (std::size_t i = 1; i < runs.size(); ++i) {
        auto const longest = std::max_element(
            runs.begin(), runs.begin() + static_cast<std::ptrdiff_t>(i),
            [](auto const& a, auto const& b) { return a.end < b.end; });
        if (runs[i].start < longest->end) {
            out.add(
                "G2", "task " + task + " ran on " + longest->name() + " and " +
                          runs[i].name() + " at once");
        }
    }
}

// A run that resumed and then failed or lost its lease may be repeated from the
// same checkpoint. One that got further may not.
void check_resumes(
    std::string const& task,
    std::vector<audited_run> const& runs,
    violation_list& out)
{
    std::map<std::string, int> successes;
    for (auto const& run : runs) {
        bool const is_success =
            run.state == "finished" || run.state == "checkpointed";
        if (!run.resumed_from.empty() && is_success &&
            ++successes[run.resumed_from] == 2) {
            out.add(
                "G3",
                "task " + task + " resumed twice from " + run.resumed_from);
        }
    }
}

void check_calls(audit_check_input const& input, violation_list& out)
{
    std::map<std::string, std::int64_t> runs_by_tag;
    std::map<std::string, std::int64_t> runs_by_key;
    for (auto const& audit : *input.audits) {
        for (auto const& call : audit.at("calls")) {
            auto const runs = call.at("runs").get<std::int64_t>();
            runs_by_tag[call.at("tag")] += runs;
            runs_by_key[call.at("key")] += runs;
        }
        if (audit.at("dropped_calls") > 0) {
            out.add(
                "audit", "worker " + audit.at("worker").get<std::string>() +
                             " saw more calls than its audit holds");
        }
    }
    for (auto const& call : input.calls) {
        auto const runs = runs_by_tag[call.tag];
        if (call.is_told_not_run && runs > 0) {
            out.add("G5", "call " + call.tag + " was told not run, but ran");
        }
        if (!call.is_idempotent && call.key.empty() && runs > 1) {
            out.add("G6", "call " + call.tag + " ran more than once");
        }
    }
    runs_by_key.erase("");
    for (auto const& [key, runs] : runs_by_key) {
        if (runs > 1) {
            out.add(
                "G6", "key " + key + " ran " + std::to_string(runs) + " times");
        }
    }
}

void check_tasks(
    audit_check_input const& input,
    runs_by_task const& runs,
    violation_list& out)
{
    for (auto const& task : input.tasks) {
        auto const found = runs.find(task.tag);
        std::ptrdiff_t finished = 0;
        if (found != runs.end()) {
            finished = std::count_if(
                found->second.begin(), found->second.end(),
                [](auto const& run) { return run.state == "finished"; });
        }
        if (finished > 1 && !input.may_finish_twice) {
            out.add(
                "G2", "task " + task.tag + " finished " +
                          std::to_string(finished) + " times");
        }
        if (task.state == "finished" && finished == 0) {
            out.add(
                "lost", "task " + task.tag +
                            " is called finished, but no worker "
                            "finished it");
        }
        bool const is_ended =
            task.state == "finished" || task.state == "failed" ||
            task.state == "cancelled" || task.state == "impossible";
        if (task.is_accepted && !is_ended) {
            out.add(
                "lost", "task " + task.tag +
                            " was accepted and did not end; it is " +
                            task.state + ", " + task.explanation);
        }
    }
}

} // namespace

std::vector<std::string> check_audits(audit_check_input const& input)
{
    violation_list out;
    auto const runs = collect_runs(*input.audits);
    check_capacity(*input.audits, out);
    for (auto const& [task, list] : runs) {
        check_overlaps(task, list, out);
        check_resumes(task, list, out);
    }
    check_calls(input, out);
    check_tasks(input, runs, out);
    return out.messages;
}

} // namespace foxtaillift::standin
