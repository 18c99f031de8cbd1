#include "task_service.hpp"

#include "task_codec.hpp"

#include "foxtaillift/base/bounded_json.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/batch/records.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::daemon
{

namespace
{

using nlohmann::json;

constexpr auto peer_timeout = base::seconds(5);
constexpr std::string_view tasks_path = "/v1/tasks";

transport::response not_confirmed(std::string const& reason)
{
    auto out = error_response(
        503, "unavailable",
        "not confirmed, repeat with the same key: " + reason);
    out.headers.push_back({"Retry-After", "1"});
    return out;
}

transport::response not_accepted(std::string const& reason)
{
    auto out = error_response(
        503, "unavailable", "not accepted, try again: " + reason);
    out.headers.push_back({"Retry-After", "1"});
    return out;
}

/// Splits "<team>/<key>".
std::optional<std::pair<std::string, std::string>>
split_name(std::string_view text)
{
    auto const slash = text.find('/');
    if (slash == std::string_view::npos || slash == 0 ||
        slash + 1 == text.size() ||
        text.find('/', slash + 1) != std::string_view::npos) {
        return std::nullopt;
    }
    return std::pair{
        std::string{text.substr(0, slash)},
        std::string{text.substr(slash + 1)}};
}

} // namespace

task_service::task_service(
    context& context,
    store_driver& table,
    peer_links& peers,
    host_watch& workers,
    cell_set& owned,
    ownership_driver& owners,
    cell_load_board& board)
    : shared(context)
    , store(table)
    , links(peers)
    , hosts(workers)
    , cells(owned)
    , ownership(owners)
    , loads(board)
{}

bool task_service::is_own(base::host_id const& host) const
{
    return host.str() == this->shared.settings.host.id;
}

std::optional<base::host_id>
task_service::owner_of(base::cell_id const& cell) const
{
    if (this->cells.find(cell)) {
        return base::host_id{this->shared.settings.host.id};
    }
    for (auto const& owner : this->ownership.state().owners()) {
        if (owner.cell == cell && !owner.host.empty()) {
            return owner.host;
        }
    }
    return std::nullopt;
}

std::optional<base::cell_id> task_service::choose_cell(
    formats::resources const& size, base::cell_id const& except)
{
    struct candidate
    {
        base::cell_id cell;
        bool can_hold = false;
        std::int64_t room = 0;
    };
    std::map<base::cell_id, candidate> candidates;
    for (auto const& worker : this->hosts.workers()) {
        auto const cell = cell_of(worker);
        auto& entry = candidates[cell];
        entry.cell = cell;
        entry.can_hold = entry.can_hold || size.fits_in(worker.capacity);
        entry.room = std::max(entry.room, worker.capacity.processors / 1000);
    }
    candidate const* best = nullptr;
    for (auto& [cell, entry] : candidates) {
        if (cell == except || !this->owner_of(cell)) {
            continue;
        }
        entry.room = this->loads.batch_free(cell).value_or(entry.room);
        if (best == nullptr || std::pair{entry.can_hold, entry.room} >
                                   std::pair{best->can_hold, best->room}) {
            best = &entry;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->cell};
}

void task_service::handle_request(
    transport::received_request const& received, transport::responder reply)
{
    auto const holder =
        std::make_shared<transport::responder>(std::move(reply));
    auto const done = [holder](transport::response answer) {
        holder->send(std::move(answer));
    };
    auto const target = std::string_view{received.target};
    auto const path = target.substr(0, target.find('?'));
    if (path == tasks_path && received.method == "POST") {
        this->submit(received, done);
        return;
    }
    auto const name = path.size() > tasks_path.size() + 1
                          ? split_name(path.substr(tasks_path.size() + 1))
                          : std::nullopt;
    if (!name) {
        done(error_response(
            404, "not_found",
            "use POST /v1/tasks, or GET or DELETE /v1/tasks/<team>/<key>"));
    } else if (received.method == "GET") {
        this->find_task("task", base::team_id{name->first}, name->second, done);
    } else if (received.method == "DELETE") {
        this->find_task(
            "cancel", base::team_id{name->first}, name->second, done);
    } else {
        done(error_response(
            405, "invalid", "allowed methods here: GET, DELETE"));
    }
}

void task_service::submit(
    transport::received_request const& received, answer_handler done)
{
    batch::task_spec spec;
    try {
        spec = parse_declaration(received.body);
    } catch (base::error const& failure) {
        done(error_response(400, "invalid", failure.what()));
        return;
    }
    auto const cell = this->choose_cell(spec.size);
    if (!cell) {
        done(not_accepted("no cell has an owner"));
        return;
    }
    this->loads.count_submitted(*cell, spec.size.processors);
    this->submit_to(*cell, std::move(spec), std::move(done));
}

void task_service::submit_to(
    base::cell_id const& cell, batch::task_spec spec, answer_handler done)
{
    auto const owner = this->owner_of(cell);
    if (!owner) {
        done(not_accepted("the cell has no owner"));
        return;
    }
    if (this->is_own(*owner)) {
        this->submit_here(cell, std::move(spec), std::move(done));
        return;
    }
    json const body = {{"cell", cell.str()}, {"spec", spec}};
    this->links.send(
        *owner,
        {.method = "POST",
         .target = "/peer/submit",
         .headers = {},
         .body = body.dump(-1, ' ', false, json::error_handler_t::replace)},
        peer_timeout,
        [done = std::move(done)](transport::exchange_result result) {
            if (result.outcome == transport::delivery::answered) {
                done(std::move(result.answer));
            } else if (result.outcome == transport::delivery::not_sent) {
                done(not_accepted(result.message));
            } else {
                done(not_confirmed(result.message));
            }
        });
}

void task_service::submit_here(
    base::cell_id const& cell, batch::task_spec spec, answer_handler done)
{
    auto const driver = this->cells.find(cell);
    if (!driver) {
        done(not_accepted("the cell moved to another host"));
        return;
    }
    driver->submit(
        std::move(spec),
        [cell, done = std::move(done)](batch::submission_reply const& reply) {
            done(to_response(reply, cell.str()));
        });
}

void task_service::find_task(
    std::string const& verb,
    base::team_id const& team,
    std::string const& key,
    answer_handler done)
{
    batch::task_spec name;
    name.team = team;
    name.key = key;
    this->store.read(
        {batch::submit_key(name)},
        [this, verb, done = std::move(done)](formats::rows_result result) {
            if (!result.is_answered || result.rows.size() != 1) {
                done(error_response(
                    503, "unavailable", "the table does not answer"));
                return;
            }
            if (result.rows.front().version == 0) {
                done(error_response(404, "not_found", "no such task"));
                return;
            }
            try {
                auto const record =
                    batch::decode_submit(result.rows.front().value);
                this->ask_owner(verb, record.cell, record.task, done);
            } catch (base::error const& failure) {
                done(error_response(500, "corrupt_data", failure.what()));
            }
        });
}

void task_service::ask_owner(
    std::string const& verb,
    base::cell_id const& cell,
    base::task_id const& task,
    answer_handler done)
{
    auto const owner = this->owner_of(cell);
    if (!owner) {
        done(error_response(503, "unavailable", "the cell has no owner"));
        return;
    }
    if (this->is_own(*owner)) {
        if (verb == "cancel") {
            this->cancel_here(cell, task, std::move(done));
        } else {
            this->show_here(cell, task, done);
        }
        return;
    }
    json const body = {{"cell", cell.str()}, {"task", task.str()}};
    this->links.send(
        *owner,
        {.method = "POST",
         .target = "/peer/" + verb,
         .headers = {},
         .body = body.dump()},
        peer_timeout,
        [done = std::move(done)](transport::exchange_result result) {
            if (result.outcome == transport::delivery::answered) {
                done(std::move(result.answer));
            } else {
                done(error_response(503, "unavailable", result.message));
            }
        });
}

void task_service::show_here(
    base::cell_id const& cell,
    base::task_id const& task,
    answer_handler const& done)
{
    auto const driver = this->cells.find(cell);
    if (!driver) {
        done(error_response(503, "unavailable", "the cell moved"));
        return;
    }
    auto const now = this->shared.now();
    auto const view = batch::find_task(driver->state(), task, now);
    if (!view) {
        auto const phase = batch::summarize(driver->state()).phase;
        if (phase != batch::cell_phase::active &&
            phase != batch::cell_phase::adopting) {
            done(error_response(
                503, "unavailable", "the cell's log is being read"));
            return;
        }
        done(error_response(404, "not_found", "no such task"));
        return;
    }
    auto body = to_json(*view, batch::explain(driver->state(), task, now));
    body["cell"] = cell.str();
    done(json_response(200, body));
}

void task_service::cancel_here(
    base::cell_id const& cell, base::task_id task, answer_handler done)
{
    auto const driver = this->cells.find(cell);
    if (!driver) {
        done(error_response(503, "unavailable", "the cell moved"));
        return;
    }
    driver->cancel(
        std::move(task),
        [done = std::move(done)](batch::cancel_reply const& reply) {
            done(to_response(reply));
        });
}

void task_service::handle_peer(
    transport::received_request const& received, transport::responder reply)
{
    auto const holder =
        std::make_shared<transport::responder>(std::move(reply));
    auto const done = [holder](transport::response answer) {
        holder->send(std::move(answer));
    };
    try {
        auto const body = base::parse_json(received.body);
        base::cell_id const cell{body.at("cell").get<std::string>()};
        if (received.target == "/peer/submit") {
            this->submit_here(
                cell, body.at("spec").get<batch::task_spec>(), done);
            return;
        }
        base::task_id const task{body.at("task").get<std::string>()};
        if (received.target == "/peer/cancel") {
            this->cancel_here(cell, task, done);
        } else {
            this->show_here(cell, task, done);
        }
    } catch (std::exception const& failure) {
        done(error_response(400, "invalid", failure.what()));
    }
}

} // namespace foxtaillift::daemon
