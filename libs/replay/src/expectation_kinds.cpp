#include "expectation_kinds.hpp"

#include "call_expectations.hpp"

#include "foxtaillift/batch/cell_query.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <limits>
#include <sstream>

namespace foxtaillift::replay
{

namespace
{

using batch::task_view;

enum needed_member : unsigned
{
    needs_nothing = 0,
    needs_limit = 1, ///< at_most, at_least or both
    needs_at_most = 2,
    needs_is = 4,
    needs_worker = 8
};

enum class subject
{
    cell,
    baseline, ///< the cell compared with the baseline
    calls
};

struct kind
{
    std::string_view name;
    unsigned needs;
    subject about;
    std::string (*check)(expectation const&, replay_outcome const&);
};

[[noreturn]] void refuse(std::string const& reason)
{
    throw base::error(base::error_code::invalid_argument, reason);
}

std::string print(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

bool is_selected(
    expectation const& wanted,
    std::string const& name,
    submitted_task const& task)
{
    auto const matches = [](std::string const& pattern, std::string_view text) {
        return pattern.empty() || pattern == text ||
               (pattern.back() == '*' &&
                text.starts_with(
                    std::string_view{pattern}.substr(0, pattern.size() - 1)));
    };
    return matches(wanted.task, name) &&
           matches(wanted.team, task.spec.team.view()) &&
           matches(wanted.task_class, task.spec.task_class) &&
           matches(wanted.priority, to_string(task.spec.priority));
}

/// One selected task with what the cell and the workers know of it.
struct task_outcome
{
    std::string const& name;
    submitted_task const& task;
    std::optional<task_view> view;
    batch::run_judge::run_counts counts;
    std::optional<double> wait_ms; ///< from submission to the first start
};

task_outcome describe(
    player const& played, std::string const& name, submitted_task const& task)
{
    auto const& cell = played.cell();
    task_outcome out{name, task, {}, {}, {}};
    out.view = batch::find_task(cell.state(), task.id, cell.now);
    auto const counts = cell.judge.counts.find(task.id);
    if (counts != cell.judge.counts.end()) {
        out.counts = counts->second;
    }
    auto const start = cell.first_start.find(task.id.str());
    if (start != cell.first_start.end()) {
        out.wait_ms = static_cast<double>((start->second - task.submitted).ms);
    }
    return out;
}

/// Calls `check` for the selected tasks until it returns a reason.
std::string check_tasks(
    expectation const& wanted,
    player const& played,
    std::function<std::string(task_outcome const&)> const& check)
{
    std::size_t selected = 0;
    for (auto const& [name, task] : played.tasks()) {
        if (!is_selected(wanted, name, task)) {
            continue;
        }
        ++selected;
        auto reason = check(describe(played, name, task));
        if (!reason.empty()) {
            return reason.insert(0, "task " + name + ": ");
        }
    }
    return selected == 0 ? "no submitted task is selected" : "";
}

std::string state_of(task_outcome const& of)
{
    return of.view ? std::string(to_string(of.view->state))
                   : std::string{"unknown to the cell"};
}

std::string check_finished_once(task_outcome const& of)
{
    if (state_of(of) != "finished") {
        return "state is " + state_of(of) + ", not finished";
    }
    if (of.counts.finishes != 1) {
        return "ran to its end " + std::to_string(of.counts.finishes) +
               " times";
    }
    return {};
}

std::string finished_once(expectation const& wanted, replay_outcome const& of)
{
    return check_tasks(wanted, of.played, check_finished_once);
}

std::string state(expectation const& wanted, replay_outcome const& of)
{
    return check_tasks(wanted, of.played, [&](task_outcome const& task) {
        auto const found = state_of(task);
        return found == wanted.is ? ""
                                  : "state is " + found + ", not " + wanted.is;
    });
}

std::string reply(expectation const& wanted, replay_outcome const& of)
{
    return check_tasks(wanted, of.played, [&](task_outcome const& task) {
        std::string const found =
            task.task.reply ? std::string(to_string(*task.task.reply)) : "none";
        return found == wanted.is
                   ? ""
                   : "last reply is " + found + ", not " + wanted.is;
    });
}

using number_of = double (*)(task_outcome const&);

double evictions_of(task_outcome const& of)
{
    return of.view ? of.view->evictions : 0; // from the records
}

double starts_of(task_outcome const& of)
{
    return of.counts.starts;
}

double resumes_of(task_outcome const& of)
{
    return of.counts.resumes;
}

/// Infinite if the task was never started.
double wait_of(task_outcome const& of)
{
    return of.wait_ms.value_or(std::numeric_limits<double>::infinity());
}

template <number_of Number>
std::string each(expectation const& wanted, replay_outcome const& of)
{
    return check_tasks(wanted, of.played, [&](task_outcome const& task) {
        return check_limits(wanted, Number(task));
    });
}

/// Adds to `result`; the reason if no task is selected.
template <number_of Number>
std::string
sum_up(expectation const& wanted, player const& played, double& result)
{
    return check_tasks(wanted, played, [&](task_outcome const& task) {
        result += Number(task);
        return std::string{};
    });
}

template <number_of Number>
std::string sum(expectation const& wanted, replay_outcome const& of)
{
    double value = 0;
    auto reason = sum_up<Number>(wanted, of.played, value);
    return reason.empty() ? check_limits(wanted, value) : reason;
}

double count_thrown_away(player const& played)
{
    double sum = 0;
    for (auto const& on : played.cell().workers) {
        sum += on.thrown_away;
    }
    return sum;
}

std::string
evictions_of_baseline(expectation const& wanted, replay_outcome const& of)
{
    double value = 0;
    double baseline = 0;
    sum_up<evictions_of>(wanted, *of.baseline, baseline);
    auto reason = sum_up<evictions_of>(wanted, of.played, value);
    return reason.empty()
               ? check_limits(wanted, value / std::max(baseline, 1.0))
               : reason;
}

std::string
thrown_away_of_baseline(expectation const& wanted, replay_outcome const& of)
{
    auto const baseline = count_thrown_away(*of.baseline);
    return check_limits(
        wanted, count_thrown_away(of.played) / std::max(baseline, 1.0));
}

std::string capacity_kept(expectation const&, replay_outcome const& of)
{
    auto const& worker = of.played.overcommitment();
    return worker.empty()
               ? ""
               : "worker " + worker + " was committed beyond its capacity";
}

std::string
capacity_refusals(expectation const& wanted, replay_outcome const& of)
{
    double sum = 0;
    for (auto const& on : of.played.cell().workers) {
        sum += static_cast<double>(on.capacity_refusals);
    }
    return check_limits(wanted, sum);
}

std::string one_place(expectation const&, replay_outcome const& of)
{
    auto const& found = of.played.cell().judge.violations;
    return found.empty() ? "" : found.front();
}

std::string nothing_lost(expectation const&, replay_outcome const& of)
{
    return of.played.cell().find_loss();
}

std::string quarantined(expectation const& wanted, replay_outcome const& of)
{
    auto const view =
        batch::find_worker(of.played.cell().state(), wanted.worker);
    if (!view) {
        return "worker " + wanted.worker.str() + " is unknown to the cell";
    }
    auto const found = view->takes_work ? "takes work" : view->reason;
    return found.find("quarantine") != std::string::npos
               ? ""
               : "worker " + wanted.worker.str() + ": " + found;
}

std::string places_again_ms(expectation const& wanted, replay_outcome const& of)
{
    auto const gap = of.played.longest_gap();
    return gap ? check_limits(wanted, static_cast<double>(gap->ms))
               : "no owner ended, or nothing was started after its end";
}

constexpr std::array kinds{
    kind{"finished_once", needs_nothing, subject::cell, finished_once},
    kind{"state", needs_is, subject::cell, state},
    kind{"reply", needs_is, subject::cell, reply},
    kind{"start_wait_ms", needs_at_most, subject::cell, each<wait_of>},
    kind{"starts_of_task", needs_limit, subject::cell, each<starts_of>},
    kind{"evictions_of_task", needs_limit, subject::cell, each<evictions_of>},
    kind{"evictions", needs_limit, subject::cell, sum<evictions_of>},
    kind{"resumes", needs_limit, subject::cell, sum<resumes_of>},
    kind{
        "evictions_of_baseline", needs_at_most, subject::baseline,
        evictions_of_baseline},
    kind{
        "thrown_away_of_baseline", needs_at_most, subject::baseline,
        thrown_away_of_baseline},
    kind{"capacity_kept", needs_nothing, subject::cell, capacity_kept},
    kind{"capacity_refusals", needs_at_most, subject::cell, capacity_refusals},
    kind{"one_place", needs_nothing, subject::cell, one_place},
    kind{"nothing_lost", needs_nothing, subject::cell, nothing_lost},
    kind{"quarantined", needs_worker, subject::cell, quarantined},
    kind{"calls_safe", needs_nothing, subject::calls, check_calls_safe},
    kind{"call_outcome", needs_is, subject::calls, check_call_outcome},
    kind{"call_wait_ms", needs_at_most, subject::calls, check_call_wait},
    kind{"call_retries", needs_limit, subject::calls, check_call_retries},
    kind{"places_again_ms", needs_at_most, subject::cell, places_again_ms},
};

kind const& find_kind(std::string const& name)
{
    for (auto const& one : kinds) {
        if (one.name == name) {
            return one;
        }
    }
    refuse("unknown expectation '" + name + "'");
}

} // namespace

std::string check_limits(expectation const& wanted, double value)
{
    if (wanted.at_most && value > *wanted.at_most) {
        return print(value) + " is above " + print(*wanted.at_most);
    }
    if (wanted.at_least && value < *wanted.at_least) {
        return print(value) + " is below " + print(*wanted.at_least);
    }
    return {};
}

void check_expectation_members(expectation const& wanted)
{
    auto const needs = find_kind(wanted.kind).needs;
    auto const need = [&](needed_member member, bool is_there,
                          char const* name) {
        if ((needs & member) != 0 && !is_there) {
            refuse("expectation " + wanted.kind + " needs " + name);
        }
    };
    bool const is_limited = wanted.at_most || wanted.at_least;
    need(needs_limit, is_limited, "at_most or at_least");
    need(needs_at_most, wanted.at_most.has_value(), "at_most");
    need(needs_is, !wanted.is.empty(), "is");
    need(needs_worker, !wanted.worker.empty(), "worker");
}

bool needs_baseline(expectation const& wanted)
{
    return find_kind(wanted.kind).about == subject::baseline;
}

std::string
find_violation(expectation const& wanted, replay_outcome const& outcome)
{
    auto const& kind = find_kind(wanted.kind);
    if (kind.about != subject::calls && !outcome.played.cell().is_owned()) {
        return "no host owns the cell at the end";
    }
    return kind.check(wanted, outcome);
}

} // namespace foxtaillift::replay
