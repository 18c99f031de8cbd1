#include "queries.hpp"

#include "change_file.hpp"

#include <array>
#include <ctime>

namespace foxtaillift::client
{

namespace
{

using nlohmann::json;

exit_code print_rows(
    session const& use,
    answer const& received,
    char const* key,
    std::span<column const> columns)
{
    if (!received.is_done()) {
        return report_refusal(use, received);
    }
    if (use.format == output_format::json) {
        use.out << received.body.dump(2) << "\n";
        return exit_code::done;
    }
    use.out << make_table(received.body.value(key, json::array()), columns);
    for (auto const& host : received.body.value("no_answer", json::array())) {
        use.err << "warning: host " << host.value("host", "?")
                << " did not answer, its part is missing\n";
    }
    return exit_code::done;
}

std::string utc_text(std::int64_t wall_ms)
{
    std::time_t const seconds = wall_ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

json with_time(json rows, char const* key)
{
    for (auto& row : rows) {
        if (row.contains(key) && row[key].is_number()) {
            row["time"] = utc_text(row[key].get<std::int64_t>());
        }
    }
    return rows;
}

} // namespace

exit_code show_status(session const& use)
{
    auto const received = use.link.get("/v1/status");
    if (!received.is_done() || use.format == output_format::json) {
        return print_rows(use, received, "hosts", {});
    }
    constexpr std::array hosts{
        column{"HOST", "host"},
        column{"DOMAIN", "failure_domain"},
        column{"READY", "ready"},
        column{"LEASE", "lease"},
        column{"MEMBERS", "members"},
        column{"CONFIG", "configuration"},
        column{"WAITING", "waiting_calls"},
        column{"ERROR", "error"}};
    use.out << make_table(received.body["hosts"], hosts) << "\n";
    auto cells = received.body["owners"];
    for (auto& cell : cells) {
        for (auto const& host : received.body["hosts"]) {
            for (auto const& owned : host.value("cells", json::array())) {
                if (owned["cell"] == cell["cell"]) {
                    cell.update(owned);
                    cell["owner"] = host["host"];
                }
            }
        }
    }
    constexpr std::array columns{
        column{"CELL", "cell"},         column{"OWNER", "owner"},
        column{"EPOCH", "epoch"},       column{"PHASE", "phase"},
        column{"TASKS", "tasks"},       column{"RUNNING", "running"},
        column{"QUEUED", "queued"},     column{"EVICTIONS", "evictions"},
        column{"CAPACITY", "capacity"}, column{"COMMITTED", "committed"}};
    use.out << make_table(cells, columns);
    return exit_code::done;
}

exit_code list_workers(session const& use)
{
    constexpr std::array columns{
        column{"WORKER", "worker"},       column{"CELL", "cell"},
        column{"STATE", "state"},         column{"ADOPTED", "adopted"},
        column{"REACHABLE", "reachable"}, column{"TAKES WORK", "takes_work"},
        column{"RUNS", "runs"},           column{"PRESSURE", "pressure"},
        column{"CAPACITY", "capacity"},   column{"COMMITTED", "committed"},
        column{"REASON", "reason"}};
    return print_rows(
        use, use.link.get_from_leader("/v1/workers"), "workers", columns);
}

exit_code list_evacuations(session const& use)
{
    constexpr std::array columns{
        column{"DOMAIN", "failure_domain"}, column{"KNOWN MS", "known_ms"},
        column{"WORKERS", "workers"}, column{"RUNS", "runs"}};
    return print_rows(
        use, use.link.get_from_leader("/v1/evacuations"), "evacuations",
        columns);
}

exit_code list_teams(session const& use)
{
    constexpr std::array columns{
        column{"TEAM", "team"},     column{"CELL", "cell"},
        column{"QUEUED", "queued"}, column{"USED", "used"},
        column{"QUOTA", "quota"},   column{"SHARE", "share"}};
    return print_rows(use, use.link.get("/v1/teams"), "teams", columns);
}

exit_code list_tasks(
    session const& use, std::string const& team, std::string const& state)
{
    std::string path = "/v1/tasks?limit=1000";
    path += team.empty() ? "" : "&team=" + team;
    path += state.empty() ? "" : "&state=" + state;
    constexpr std::array columns{
        column{"TEAM", "team"},           column{"KEY", "key"},
        column{"CLASS", "class"},         column{"STATE", "state"},
        column{"ATTEMPT", "attempt"},     column{"WORKER", "worker"},
        column{"EVICTIONS", "evictions"}, column{"SIZE", "size"},
        column{"MESSAGE", "message"}};
    return print_rows(use, use.link.get(path), "tasks", columns);
}

exit_code list_jobs(session const& use)
{
    constexpr std::array columns{
        column{"JOB", "job"},
        column{"QUEUE", "queue"},
        column{"STATE", "state"},
        column{"AGE MS", "age_ms"},
        column{"OBJECTIVE MS", "objective_ms"},
        column{"TASKS", "tasks"},
        column{"DONE", "done"},
        column{"RUNS", "runs"},
        column{"WAITING", "waiting"}};
    return print_rows(
        use, use.link.get_from_leader("/v1/jobs"), "jobs", columns);
}

exit_code show_job(session const& use, std::string const& id)
{
    auto const received = use.link.get_from_leader("/v1/jobs/" + id);
    if (!received.is_done() || use.format == output_format::json) {
        return print_rows(use, received, "steps", {});
    }
    constexpr std::array summary{
        column{"JOB", "job"},       column{"QUEUE", "queue"},
        column{"STATE", "state"},   column{"RECORDED", "recorded_state"},
        column{"AGE MS", "age_ms"}, column{"OBJECTIVE MS", "objective_ms"}};
    use.out << make_table(json::array({received.body}), summary);
    constexpr std::array steps{
        column{"OCCURRENCE", "occurrence"},
        column{"STEP", "step"},
        column{"TASKS", "tasks"},
        column{"DONE", "done"},
        column{"IDLE", "idle"},
        column{"MAY START", "may_start"}};
    use.out << "\n"
            << make_table(received.body.value("steps", json::array()), steps);
    constexpr std::array runs{
        column{"TASK", "task"},       column{"ATTEMPT", "attempt"},
        column{"WORKER", "worker"},   column{"PHASE", "phase"},
        column{"PERCENT", "percent"}, column{"PACE", "pace"},
        column{"AGE MS", "age_ms"}};
    use.out << "\n"
            << make_table(received.body.value("present", json::array()), runs);
    if (received.body.contains("last_wait")) {
        use.out << "\nlast wait, by what kept workers from the task: "
                << received.body["last_wait"].dump() << "\n";
    }
    return exit_code::done;
}

exit_code show_task(session const& use, std::string const& name)
{
    auto const received = use.link.get("/v1/tasks/" + name);
    if (!received.is_done()) {
        return report_refusal(use, received);
    }
    if (use.format == output_format::json) {
        use.out << received.body.dump(2) << "\n";
        return exit_code::done;
    }
    for (auto const& [key, value] : received.body.items()) {
        use.out << key << ": " << cell_text(value) << "\n";
    }
    return exit_code::done;
}

exit_code explain_task(session const& use, std::string const& name)
{
    auto const received = use.link.get("/v1/tasks/" + name);
    if (!received.is_done()) {
        return report_refusal(use, received);
    }
    use.out << received.body.value("explanation", "") << "\n";
    return exit_code::done;
}

exit_code explain_call(session const& use, std::string const& call)
{
    auto const received = use.link.get("/v1/explain/call/" + call);
    if (!received.is_done()) {
        return report_refusal(use, received);
    }
    for (auto const& line : received.body["lines"]) {
        use.out << line.get<std::string>() << "\n";
    }
    return exit_code::done;
}

exit_code show_configuration(session const& use)
{
    auto const received = use.link.get("/v1/config");
    if (received.is_done() && use.format == output_format::table) {
        use.out << "version " << received.body["version"] << "\n";
    }
    constexpr std::array columns{
        column{"NAME", "name"},          column{"VALUE", "value"},
        column{"BUILT IN", "built_in"},  column{"UNIT", "unit"},
        column{"OVERRIDES BY", "scope"}, column{"MEANING", "description"}};
    return print_rows(use, received, "defaults", columns);
}

exit_code list_overrides(session const& use)
{
    auto received = use.link.get("/v1/config");
    if (received.is_done()) {
        received.body["overrides"] =
            with_time(received.body["overrides"], "expires_at_ms");
    }
    constexpr std::array columns{
        column{"NAME", "name"},     column{"SUBJECT", "subject"},
        column{"VALUE", "value"},   column{"EXPIRES", "time"},
        column{"AUTHOR", "author"}, column{"SINCE", "since_version"},
        column{"REASON", "reason"}};
    return print_rows(use, received, "overrides", columns);
}

exit_code show_history(session const& use)
{
    auto received = use.link.get("/v1/config/history");
    if (received.is_done()) {
        received.body["history"] =
            with_time(received.body["history"], "time_ms");
    }
    constexpr std::array columns{
        column{"VERSION", "version"}, column{"TIME", "time"},
        column{"AUTHOR", "author"}, column{"REASON", "reason"},
        column{"EDITS", "edits"}};
    return print_rows(use, received, "history", columns);
}

exit_code show_difference(session const& use, std::string const& path)
{
    auto const change = read_change_file(path);
    auto const received = use.link.get("/v1/config");
    if (!received.is_done()) {
        return report_refusal(use, received);
    }
    for (auto const& edit : change.at("edits")) {
        auto const name = edit.value("name", std::string{});
        auto const subject = edit.value("subject", std::string{});
        std::string old = "(unknown setting)";
        for (auto const& row : received.body["defaults"]) {
            old = row["name"] == name ? row["value"].get<std::string>() : old;
        }
        for (auto const& row : received.body["overrides"]) {
            if (row["name"] == name && row["subject"] == subject) {
                old = row["value"].get<std::string>();
            }
        }
        use.out << name << (subject.empty() ? "" : "[" + subject + "]") << ": "
                << old << " -> " << edit.value("value", "(removed)") << "\n";
    }
    return exit_code::done;
}

} // namespace foxtaillift::client
