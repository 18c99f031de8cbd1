#include "foxtaillift/replay/trace.hpp"

#include "event_parser.hpp"
#include "expectation_kinds.hpp"

#include "foxtaillift/formats/member_reader.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace foxtaillift::replay
{

using formats::member_reader;
using nlohmann::json;

namespace
{

constexpr std::size_t max_events = 100'000;
constexpr std::size_t max_workers = 1'000;
constexpr std::size_t max_expectations = 10'000;
constexpr std::int64_t max_length_ms = 3'600'000;

[[noreturn]] void refuse(std::string const& reason)
{
    throw base::error(base::error_code::invalid_argument, reason);
}

void parse_header(json const& line, trace& into)
{
    json options = json::object();
    auto& chosen = into.options;
    member_reader{line}
        .require("trace", into.name)
        .require("seed", into.seed)
        .require("lasts_ms", into.lasts_ms)
        .read("harm", into.harm)
        .read("options", options)
        .finish("the header");
    auto& longest_wait = chosen.settings.other_classes.longest_wait;
    member_reader{options}
        .read("log_rows", chosen.log_rows)
        .read("snapshot_tasks", chosen.snapshot_tasks)
        .read("longest_wait_ms", longest_wait.ms)
        .read("failures_to_quarantine", chosen.failures_to_quarantine)
        .finish("options");
    if (into.lasts_ms < 1 || into.lasts_ms > max_length_ms) {
        refuse("lasts_ms is not between 1 and 3600000");
    }
    if (chosen.log_rows == 0 || chosen.snapshot_tasks == 0 ||
        chosen.failures_to_quarantine == 0 || longest_wait.ms <= 0) {
        refuse("an option is not positive");
    }
}

void add_events(json const& line, std::size_t number, trace& into)
{
    auto const parsed = parse_event(line);
    auto const count = static_cast<std::uint64_t>(parsed.count);
    if (count > max_events || into.events.size() + count > max_events) {
        refuse("more than 100000 events");
    }
    if (parsed.first.at_ms > into.lasts_ms || parsed.every_ms > max_length_ms ||
        parsed.first.at_ms + (parsed.count - 1) * parsed.every_ms >
            into.lasts_ms) {
        refuse("event is after the end of the trace");
    }
    for (std::int64_t n = 0; n < parsed.count; ++n) {
        into.events.push_back(repeat_event(parsed, n));
        into.events.back().line = number;
    }
}

expectation parse_expectation(json const& line, std::size_t number)
{
    expectation wanted;
    wanted.line = number;
    std::string worker;
    member_reader{line}
        .require("expect", wanted.kind)
        .read("task", wanted.task)
        .read("team", wanted.team)
        .read("class", wanted.task_class)
        .read("priority", wanted.priority)
        .read("caller", wanted.caller)
        .read("at_most", wanted.at_most)
        .read("at_least", wanted.at_least)
        .read("is", wanted.is)
        .read("worker", worker)
        .finish("expectation " + wanted.kind);
    wanted.worker = base::worker_id{worker};
    check_expectation_members(wanted);
    return wanted;
}

/// Checks that events name only workers and tasks that came before.
class reference_check
{
public:
    void check(trace_event const& event)
    {
        std::visit([this](auto const& body) { this->see(body); }, event.body);
    }

private:
    void see(workers_change const& change)
    {
        for (auto const& entry : change.workers) {
            this->workers.insert(entry.worker);
        }
        if (this->workers.size() > max_workers) {
            refuse("more than 1000 workers");
        }
    }
    void see(submission const& wanted) { this->tasks.insert(wanted.spec.key); }
    void see(cancellation const& wanted) const
    {
        if (!this->tasks.contains(wanted.task)) {
            refuse("task " + wanted.task + " was not submitted");
        }
    }
    void see(worker_change const& change) const { this->know(change.worker); }
    void see(batch::service_pressure const& measured) const
    {
        this->know(measured.worker);
    }
    void see(batch::worker_ordered const& order) const
    {
        this->know(order.worker);
    }
    // A paused owner may lose the cell while it sleeps, but it has to be
    // replaced before it wakes: the simulation has one active owner.
    void see(owner_step step)
    {
        bool const may_wake =
            this->was_paused && this->last_step == owner_step::take_over;
        if (step == owner_step::wake && !may_wake) {
            refuse("wake needs a pause and then a take_over before it");
        }
        this->was_paused = step == owner_step::pause ||
                           (this->was_paused && step != owner_step::wake);
        this->last_step = step;
    }
    template <class Other>
    void see(Other const&) const
    {}

    void know(base::worker_id const& worker) const
    {
        if (!this->workers.contains(worker)) {
            refuse("worker " + worker.str() + " is not listed");
        }
    }

    std::set<base::worker_id> workers;
    std::set<std::string> tasks;
    bool was_paused = false;
    owner_step last_step = owner_step::kill;
};

void parse_line(json const& line, std::size_t number, trace& into)
{
    if (into.name.empty()) {
        parse_header(line, into);
    } else if (line.contains("expect")) {
        into.expectations.push_back(parse_expectation(line, number));
        if (into.expectations.size() > max_expectations) {
            refuse("more than 10000 expectations");
        }
    } else if (!into.expectations.empty()) {
        refuse("an event follows an expectation");
    } else {
        add_events(line, number, into);
    }
}

/// Runs `work` and names file and line in its errors.
template <class Work>
void with_line(std::string const& file, std::size_t line, Work const& work)
{
    try {
        work();
    } catch (std::exception const& failure) {
        throw trace_error(file, line, failure.what());
    }
}

} // namespace

trace_error::trace_error(
    std::string_view file, std::size_t line, std::string const& reason)
    : base::error(
          base::error_code::invalid_argument,
          std::string{file} + ":" + std::to_string(line) + ": " + reason)
{}

trace parse_trace(std::string_view text, std::string const& file)
{
    trace result;
    result.file = file;
    std::istringstream in{std::string{text}};
    std::string line;
    std::size_t number = 0;
    while (std::getline(in, line)) {
        ++number;
        if (line.find_first_not_of(" \t\r") == std::string::npos) {
            continue;
        }
        with_line(file, number, [&] {
            parse_line(json::parse(line), number, result);
        });
    }
    if (result.expectations.empty()) {
        throw trace_error(file, number, "no expectation");
    }
    // Keeps the order of the lines for events of one time.
    std::multimap<std::int64_t, trace_event> by_time;
    for (auto& event : std::exchange(result.events, {})) {
        by_time.emplace(event.at_ms, std::move(event));
    }
    reference_check references;
    for (auto& [at_ms, event] : by_time) {
        with_line(file, event.line, [&] { references.check(event); });
        result.events.push_back(std::move(event));
    }
    return result;
}

trace read_trace(std::string const& path)
{
    std::ifstream file{path};
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        throw trace_error(path, 0, "cannot be read");
    }
    return parse_trace(text.str(), path);
}

} // namespace foxtaillift::replay
