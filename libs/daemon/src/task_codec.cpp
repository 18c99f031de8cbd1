#include "task_codec.hpp"

#include "foxtaillift/base/bounded_json.hpp"
#include "foxtaillift/base/error.hpp"

#include <array>
#include <utility>

namespace foxtaillift::daemon
{

namespace
{

using nlohmann::json;

constexpr std::array<std::string_view, 10> known_fields{
    "team",   "key",         "class",    "processors", "memory_mb",
    "run_ms", "deadline_ms", "priority", "payload",    "accelerators"};

[[noreturn]] void refuse(std::string const& field, std::string const& allowed)
{
    throw base::error(
        base::error_code::invalid_argument, field + ": must be " + allowed);
}

std::string read_name(json const& in, char const* field)
{
    if (!in.contains(field) || !in[field].is_string()) {
        refuse(field, "a string");
    }
    auto text = in[field].get<std::string>();
    if (text.empty() || text.size() > 256 ||
        text.find_first_of("/ \t\r\n") != std::string::npos) {
        refuse(field, "1 to 256 characters without '/' and white space");
    }
    return text;
}

std::int64_t read_amount(json const& in, char const* field, bool is_required)
{
    if (!in.contains(field)) {
        if (is_required) {
            refuse(field, "given");
        }
        return 0;
    }
    if (!in[field].is_number_integer() || in[field].get<std::int64_t>() < 0) {
        refuse(field, "a whole number that is not negative");
    }
    return in[field].get<std::int64_t>();
}

batch::task_priority read_priority(json const& in)
{
    auto const found = in.value("priority", json("normal"));
    if (found == "normal") {
        return batch::task_priority::normal;
    }
    if (found == "urgent") {
        return batch::task_priority::urgent;
    }
    refuse("priority", "\"normal\" or \"urgent\"");
}

void check_fields(json const& in)
{
    if (!in.is_object()) {
        throw base::error(
            base::error_code::invalid_argument, "a task must be an object");
    }
    for (auto const& [name, value] : in.items()) {
        bool is_known = false;
        for (auto const known : known_fields) {
            is_known = is_known || name == known;
        }
        if (!is_known) {
            throw base::error(
                base::error_code::invalid_argument, name + ": unknown field");
        }
    }
}

int status_of(batch::reply_status status)
{
    switch (status) {
    case batch::reply_status::accepted:
        return 202;
    case batch::reply_status::existing:
        return 200;
    case batch::reply_status::key_conflict:
        return 422;
    case batch::reply_status::invalid:
        return 400;
    case batch::reply_status::too_many:
        return 429;
    case batch::reply_status::unavailable:
        return 503;
    case batch::reply_status::not_found:
        return 404;
    case batch::reply_status::not_allowed:
        return 409;
    }
    return 500;
}

transport::response
reply_response(batch::reply_status status, json body, std::string message)
{
    body["status"] = batch::to_string(status);
    if (!message.empty()) {
        body["message"] = std::move(message);
    }
    auto out = json_response(status_of(status), body);
    if (out.status == 503 || out.status == 429) {
        out.headers.push_back({"Retry-After", "1"});
    }
    return out;
}

json amounts(formats::resources const& value)
{
    return value;
}

} // namespace

transport::response json_response(int status, json const& body)
{
    transport::response out;
    out.status = status;
    out.headers = {{"Content-Type", "application/json"}};
    out.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return out;
}

transport::response
error_response(int status, std::string_view code, std::string message)
{
    return json_response(
        status, {{"status", code}, {"message", std::move(message)}});
}

batch::task_spec parse_declaration(std::string_view text)
{
    auto const in = base::parse_json(text);
    check_fields(in);
    batch::task_spec spec;
    spec.team = base::team_id{read_name(in, "team")};
    spec.key = read_name(in, "key");
    spec.task_class = read_name(in, "class");
    spec.size.processors = read_amount(in, "processors", true);
    spec.size.memory_mb = read_amount(in, "memory_mb", true);
    spec.size.accelerators = read_amount(in, "accelerators", false);
    spec.run_ms = read_amount(in, "run_ms", false);
    spec.deadline_ms = read_amount(in, "deadline_ms", false);
    spec.priority = read_priority(in);
    if (in.contains("payload")) {
        if (!in["payload"].is_string()) {
            refuse("payload", "a string");
        }
        spec.payload = in["payload"].get<std::string>();
    }
    return spec;
}

json to_json(batch::task_view const& task, std::string explanation)
{
    return {
        {"task", task.task.str()},
        {"team", task.spec.team.str()},
        {"key", task.spec.key},
        {"class", task.spec.task_class},
        {"size", amounts(task.spec.size)},
        {"priority", batch::to_string(task.spec.priority)},
        {"state", batch::to_string(task.state)},
        {"attempt", task.attempt},
        {"worker", task.worker.str()},
        {"evictions", task.evictions},
        {"waiting_ms", task.waiting.ms},
        {"message", task.message},
        {"explanation", std::move(explanation)}};
}

json to_json(batch::worker_view const& worker)
{
    return {
        {"worker", worker.worker.str()},
        {"adopted", worker.is_adopted},
        {"reachable", worker.is_reachable},
        {"takes_work", worker.takes_work},
        {"reason", worker.reason},
        {"capacity", amounts(worker.capacity)},
        {"committed", amounts(worker.committed)},
        {"free", amounts(worker.free)},
        {"runs", worker.runs},
        {"pressure", worker.pressure}};
}

transport::response
to_response(batch::submission_reply const& reply, std::string const& cell)
{
    json body = {{"task", reply.task.str()}, {"cell", cell}};
    return reply_response(reply.status, std::move(body), reply.message);
}

transport::response to_response(batch::cancel_reply const& reply)
{
    json body = {{"task", reply.task.str()}};
    return reply_response(reply.status, std::move(body), reply.message);
}

} // namespace foxtaillift::daemon
