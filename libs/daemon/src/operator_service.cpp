#include "operator_service.hpp"

#include "configuration_codec.hpp"
#include "task_codec.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/batch/cell_query.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <memory>
#include <utility>

namespace foxtaillift::daemon
{

namespace
{

using nlohmann::json;

constexpr auto gather_timeout = base::seconds(2);

std::string path_of(std::string const& target)
{
    return target.substr(0, target.find('?'));
}

std::string query_of(std::string const& target)
{
    auto const mark = target.find('?');
    return mark == std::string::npos ? "" : target.substr(mark + 1);
}

/// One host's part, or a note that it did not answer.
json part_of(
    base::host_id const& host, transport::exchange_result const& result)
{
    if (result.outcome == transport::delivery::answered) {
        auto part = json::parse(result.answer.body, nullptr, false);
        if (part.is_object()) {
            return part;
        }
    }
    return {{"host", host.str()}, {"error", "no answer: " + result.message}};
}

/// A cell's share of a quota, in the form of the resources in use.
formats::resources to_resources(batch::team_quota const& quota)
{
    return {
        std::llround(quota.processors), std::llround(quota.memory_mb),
        std::llround(quota.accelerators)};
}

char const* lease_name(cluster::lease_state state)
{
    switch (state) {
    case cluster::lease_state::unregistered:
        return "unregistered";
    case cluster::lease_state::confirmed:
        return "confirmed";
    case cluster::lease_state::unconfirmed:
        return "unconfirmed";
    }
    return "unknown";
}

} // namespace

operator_service::operator_service(operator_parts used)
    : parts(std::move(used))
{}

void operator_service::handle(
    transport::received_request const& received, transport::responder reply)
{
    auto const path = path_of(received.target);
    if (path.starts_with("/v1/tasks") &&
        (received.method != "GET" || path != "/v1/tasks")) {
        this->parts.tasks.handle_request(received, std::move(reply));
        return;
    }
    auto const holder =
        std::make_shared<transport::responder>(std::move(reply));
    auto const done = [holder](transport::response answer) {
        holder->send(std::move(answer));
    };
    constexpr std::string_view explain = "/v1/explain/call/";
    if (path.starts_with("/v1/config")) {
        this->handle_configuration(received, path, done);
    } else if (received.method != "GET") {
        done(error_response(405, "invalid", "allowed method here: GET"));
    } else if (path == "/v1/status") {
        this->show_status(done);
    } else if (
        path == "/v1/workers" || path == "/v1/tasks" || path == "/v1/teams") {
        this->show_list(path.substr(4), query_of(received.target), done);
    } else if (path.starts_with(explain)) {
        this->explain_call(path.substr(explain.size()), done);
    } else {
        done(error_response(404, "not_found", "no such resource: " + path));
    }
}

void operator_service::gather(
    std::string const& query, std::function<void(json)> done) const
{
    struct gathering
    {
        std::size_t missing = 1;
        json parts = json::array();
        std::function<void(json)> done;

        void add(json part)
        {
            this->parts.push_back(std::move(part));
            if (--this->missing == 0) {
                this->done(std::move(this->parts));
            }
        }
    };
    auto const all = std::make_shared<gathering>();
    all->done = std::move(done);
    auto const target = "/peer/status?" + query;
    auto const hosts = this->parts.membership.hosts();
    all->missing += hosts.size();
    for (auto const& host : hosts) {
        this->parts.links.send(
            host,
            {.method = "GET", .target = target, .headers = {}, .body = {}},
            gather_timeout,
            [all, host](transport::exchange_result const& result) {
                all->add(part_of(host, result));
            });
    }
    all->add(json::parse(this->own_status(target)));
}

std::string operator_service::own_status(std::string const& target) const
{
    auto const& parts_of = this->parts;
    auto const query = query_of(target);
    json out = {
        {"host", parts_of.shared.settings.host.id},
        {"failure_domain", parts_of.shared.settings.host.failure_domain},
        {"ready", parts_of.is_ready()},
        {"lease",
         lease_name(parts_of.ownership.state().lease(parts_of.shared.now()))},
        {"members", parts_of.membership.hosts().size() + 1},
        {"configuration", parts_of.configuration.state().document().version()},
        {"waiting_calls", parts_of.calls.waiting()}};
    if (query.starts_with("workers")) {
        out["workers"] = this->own_workers();
    } else if (query.starts_with("tasks")) {
        out["tasks"] = this->own_tasks(query);
    } else if (query.starts_with("teams")) {
        out["teams"] = this->own_teams();
    } else {
        out["cells"] = this->own_cells();
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

json operator_service::own_cells() const
{
    auto cells = json::array();
    for (auto const& [cell, driver] : this->parts.cells.all()) {
        auto const summary = batch::summarize(driver->state());
        auto const queue =
            batch::view_queue(driver->state(), this->parts.shared.now());
        auto const& counters = batch::counters_of(driver->state());
        cells.push_back(
            {{"cell", cell.str()},
             {"phase", batch::to_string(summary.phase)},
             {"epoch", summary.epoch},
             {"tasks", summary.tasks},
             {"running", summary.running},
             {"queued", queue.queued},
             {"longest_wait_ms", queue.longest_wait.ms},
             {"evictions", counters.evictions},
             {"capacity", summary.batch_capacity},
             {"committed", summary.committed}});
    }
    return cells;
}

json operator_service::own_workers() const
{
    auto workers = json::array();
    for (auto const& [cell, driver] : this->parts.cells.all()) {
        for (auto const& view : batch::list_workers(driver->state())) {
            auto entry = to_json(view);
            entry["cell"] = cell.str();
            if (auto const* listed = this->parts.hosts.find(view.worker)) {
                entry["state"] = formats::to_string(listed->state);
                entry["address"] = listed->address;
            }
            workers.push_back(std::move(entry));
        }
    }
    return workers;
}

json operator_service::own_tasks(std::string const& query) const
{
    auto tasks = json::array();
    auto const now = this->parts.shared.now();
    auto const wanted = read_task_filter(query);
    for (auto const& [cell, driver] : this->parts.cells.all()) {
        auto const left = wanted.limit - tasks.size();
        for (auto const& view :
             batch::list_tasks(driver->state(), wanted.filter, left, now)) {
            auto entry = to_json(view, "");
            entry["cell"] = cell.str();
            tasks.push_back(std::move(entry));
        }
    }
    return tasks;
}

json operator_service::own_teams() const
{
    auto teams = json::array();
    auto const now = this->parts.shared.now();
    for (auto const& [cell, driver] : this->parts.cells.all()) {
        for (auto const& team : batch::view_queue(driver->state(), now).teams) {
            teams.push_back(
                {{"team", team.team.str()},
                 {"cell", cell.str()},
                 {"queued", team.queued},
                 {"used", team.used},
                 {"quota", to_resources(team.quota)},
                 {"share", team.share}});
        }
    }
    return teams;
}

void operator_service::show_status(answer_handler done) const
{
    auto cells = json::array();
    for (auto const& owner : this->parts.ownership.state().owners()) {
        cells.push_back(
            {{"cell", owner.cell.str()},
             {"owner", owner.host.str()},
             {"epoch", owner.epoch}});
    }
    this->gather(
        "status",
        [cells = std::move(cells), done = std::move(done)](json hosts) mutable {
            done(json_response(
                200,
                {{"hosts", std::move(hosts)}, {"owners", std::move(cells)}}));
        });
}

void operator_service::show_list(
    std::string const& list,
    std::string const& query,
    answer_handler done) const
{
    this->gather(
        list + "&" + query,
        [name = list, done = std::move(done)](json const& hosts) {
            auto all = json::array();
            auto silent = json::array();
            for (auto const& host : hosts) {
                if (host.contains("error")) {
                    silent.push_back(host);
                }
                for (auto const& entry : host.value(name, json::array())) {
                    all.push_back(entry);
                }
            }
            done(json_response(
                200, {{name, std::move(all)}, {"no_answer", silent}}));
        });
}

void operator_service::explain_call(
    std::string const& call, answer_handler done) const
{
    this->parts.calls.explain(
        call, [call, done = std::move(done)](std::vector<std::string> lines) {
            if (lines.empty()) {
                done(error_response(
                    404, "not_found",
                    "this entry host keeps no line of call '" + call + "'"));
                return;
            }
            done(json_response(200, {{"call", call}, {"lines", lines}}));
        });
}

void operator_service::handle_configuration(
    transport::received_request const& received,
    std::string const& path,
    answer_handler const& done) const
{
    bool const is_get = received.method == "GET";
    bool const is_post = received.method == "POST";
    if (path == "/v1/config" && is_get) {
        this->show_configuration(done);
    } else if (path == "/v1/config" && is_post) {
        this->change_configuration(received.body, done);
    } else if (path == "/v1/config/rollback" && is_post) {
        this->roll_back(received.body, done);
    } else if (path == "/v1/config/history" && is_get) {
        this->show_history(done);
    } else if (path == "/v1/config/versions" && is_get) {
        this->show_versions(done);
    } else {
        done(error_response(404, "not_found", "no such resource: " + path));
    }
}

void operator_service::show_configuration(answer_handler const& done) const
{
    done(json_response(
        200, to_json(this->parts.configuration.state().document())));
}

void operator_service::show_history(answer_handler const& done) const
{
    auto changes = json::array();
    for (auto const& delta : this->parts.configuration.state().history()) {
        changes.push_back(to_json(delta));
    }
    done(json_response(200, {{"history", std::move(changes)}}));
}

void operator_service::show_versions(answer_handler const& done) const
{
    json hosts = json::object();
    auto const& state = this->parts.configuration.state();
    for (auto const& [host, version] : state.versions()) {
        hosts[host.str()] = version;
    }
    done(json_response(
        200, {{"version", state.document().version()}, {"hosts", hosts}}));
}

void operator_service::change_configuration(
    std::string const& body, answer_handler const& done) const
{
    try {
        this->parts.configuration.change(
            parse_change(body), [done](cluster::change_answer const& answer) {
                done(to_response(answer));
            });
    } catch (base::error const& failure) {
        done(error_response(400, "invalid", failure.what()));
    }
}

void operator_service::roll_back(
    std::string const& body, answer_handler const& done) const
{
    try {
        this->parts.configuration.roll_back(
            parse_rollback(body), [done](cluster::change_answer const& answer) {
                done(to_response(answer));
            });
    } catch (base::error const& failure) {
        done(error_response(400, "invalid", failure.what()));
    }
}

} // namespace foxtaillift::daemon
