#include "foxtaillift/transport/agent_client.hpp"
#include "foxtaillift/transport/host_list_client.hpp"
#include "foxtaillift/transport/http_server.hpp"
#include "foxtaillift/transport/object_client.hpp"
#include "foxtaillift/transport/table_client.hpp"
#include "scripted_server.hpp"
#include "support.hpp"

#include <nlohmann/json.hpp>

using namespace support;
using transport::http_client_pool;
using transport::http_server;
namespace formats = foxtaillift::formats;

namespace
{

constexpr auto timeout = base::seconds(20);

/// Sends one request through an adapter to a server that gives one answer, or
/// none at all, or that does not exist.
class adapter_case
{
public:
    /// Returns what `call(pool, address, callback)` delivers.
    template <class Result, class Call>
    Result run(std::optional<transport::response> answer, Call call)
    {
        runner threads;
        http_server server{
            threads.io, {}, [&](auto request, transport::responder reply) {
                this->received = std::move(request);
                if (answer) {
                    reply.send(*answer);
                } else {
                    this->kept = std::move(reply);
                    server.abort();
                }
            }};
        http_client_pool pool{threads.io, {}};
        receiver<Result> result;
        call(pool, local_address(server.port()), result.callback());
        auto value = result.get();
        threads.stop();
        this->kept = {};
        return value;
    }

    template <class Result, class Call>
    static Result run_unreachable(Call call)
    {
        runner threads;
        http_client_pool pool{threads.io, {}};
        pool.stop();
        receiver<Result> result;
        call(pool, "127.0.0.1:1", result.callback());
        return result.get();
    }

    transport::received_request received;

private:
    transport::responder kept;
};

transport::response
answer(int status, std::string body = {}, bool is_not_run = false)
{
    transport::response out{.status = status, .body = std::move(body)};
    if (is_not_run) {
        out.headers.push_back({"foxtail-outcome", "not-run"});
    }
    return out;
}

void transact(http_client_pool& pool, std::string const& address, auto callback)
{
    transport::table_client table{pool, address, timeout};
    table.async_transact(
        {.operation = "op1",
         .conditions = {{"a", 3}},
         .writes = {{"a", "v"}, {"b", std::nullopt}}},
        std::move(callback));
}

void start(http_client_pool& pool, std::string const& address, auto callback)
{
    transport::agent_client agents{pool, timeout};
    agents.async_start(
        address,
        {.cell = base::cell_id{"c"},
         .epoch = 4,
         .task = base::task_id{"t"},
         .attempt = 2,
         .task_class = "k",
         .size = {1000, 10, 0},
         .lease_ms = 15000,
         .run_ms = 5,
         .checkpoint = "",
         .payload = "p"},
        std::move(callback));
}

} // namespace

// Guards against a transaction that took effect but is reported as rejected, or
// the reverse.
TEST_CASE("every outcome of a transaction has its status")
{
    using formats::transact_status;
    adapter_case one;
    auto const run = [&](std::optional<transport::response> given) {
        return one.run<formats::transact_result>(
            std::move(given),
            [](auto&&... arguments) { transact(arguments...); });
    };
    auto result = run(answer(200, R"({"versions":{"a":4,"b":9}})"));
    CHECK(result.status == transact_status::committed);
    CHECK(
        result.rows == std::vector<formats::row_condition>{{"a", 4}, {"b", 9}});
    CHECK(one.received.method == "POST");
    CHECK(one.received.target == "/v1/transact");
    auto const sent = nlohmann::json::parse(one.received.body);
    CHECK(sent.at("operation") == "op1");
    CHECK(sent.at("writes").at(1).at("delete") == true);

    result = run(answer(409, R"({"conflicts":[{"key":"a","version":7}]})"));
    CHECK(result.status == transact_status::conflict);
    CHECK(result.rows == std::vector<formats::row_condition>{{"a", 7}});

    CHECK(run(answer(429)).status == transact_status::rejected);
    CHECK(run(answer(400)).status == transact_status::rejected);
    CHECK(run(answer(503, "", true)).status == transact_status::rejected);
    CHECK(run(answer(503)).status == transact_status::unknown);
    CHECK(run(answer(500)).status == transact_status::unknown);
    CHECK(run(answer(200, "{}")).status == transact_status::unknown);
    CHECK(run(answer(200, "{")).status == transact_status::unknown);
    CHECK(run(answer(200, "{", true)).status == transact_status::unknown);
    CHECK(run(answer(409, "")).status == transact_status::unknown);
    CHECK(run(std::nullopt).status == transact_status::unknown);
    result = adapter_case::run_unreachable<formats::transact_result>(
        [](auto&&... arguments) { transact(arguments...); });
    CHECK(result.status == transact_status::rejected);
}

// Guards against rows that are lost or that count as read without an answer.
TEST_CASE("reads and scans are answered or not")
{
    adapter_case one;
    auto const run = [&](std::optional<transport::response> given) {
        return one.run<formats::rows_result>(
            std::move(given),
            [](http_client_pool& pool, std::string const& address, auto done) {
                transport::table_client table{pool, address, timeout};
                table.async_scan(
                    {.prefix = "p/", .after = "p/1", .limit = 5},
                    std::move(done));
            });
    };
    auto result = run(answer(
        200,
        R"({"rows":[{"key":"p/2","version":3,"value":"v"}],"more":true})"));
    CHECK(result.is_answered);
    CHECK(result.has_more);
    CHECK(result.rows == std::vector<formats::row>{{"p/2", 3, "v"}});
    CHECK(nlohmann::json::parse(one.received.body).at("after") == "p/1");
    CHECK_FALSE(run(answer(500)).is_answered);
    CHECK_FALSE(run(answer(200, "[]")).is_answered);
    CHECK_FALSE(run(std::nullopt).is_answered);
    result = one.run<formats::rows_result>(
        answer(200, R"({"rows":[{"key":"a","version":0}]})"),
        [](http_client_pool& pool, std::string const& address, auto done) {
            transport::table_client table{pool, address, timeout};
            table.async_read({"a"}, std::move(done));
        });
    CHECK(one.received.body == R"({"keys":["a"]})");
    CHECK(result.rows == std::vector<formats::row>{{"a", 0, ""}});
}

// Guards against a refused start that counts as possibly running, or the
// reverse.
TEST_CASE("every answer of an agent has its status")
{
    using formats::agent_status;
    using result_type = transport::agent_result<formats::run_entry>;
    adapter_case one;
    auto const run = [&](std::optional<transport::response> given) {
        return one.run<result_type>(
            std::move(given), [](auto&&... arguments) { start(arguments...); });
    };
    formats::run_entry const entry{
        .task = base::task_id{"t"},
        .attempt = 2,
        .state = formats::run_state::finished,
        .task_class = "k",
        .size = {1000, 10, 0},
        .checkpoint = "",
        .message = ""};
    auto result = run(answer(200, nlohmann::json(entry).dump()));
    CHECK(result.status == agent_status::done);
    CHECK(result.answer.state == formats::run_state::finished);
    CHECK(one.received.target == "/v1/tasks/start");
    CHECK(nlohmann::json::parse(one.received.body).at("payload") == "p");
    result = run(answer(412, R"({"epoch":9})"));
    CHECK(result.status == agent_status::stale_epoch);
    CHECK(result.epoch == 9);
    CHECK(run(answer(412)).status == agent_status::stale_epoch);
    CHECK(run(answer(507)).status == agent_status::insufficient_capacity);
    result = run(answer(503, "", true));
    CHECK(result.status == agent_status::refused);
    CHECK(result.is_sent);
    CHECK(run(answer(400, "", true)).status == agent_status::refused);
    CHECK(run(answer(503)).status == agent_status::unknown);
    CHECK(run(answer(200, "{}")).status == agent_status::unknown);
    result = run(std::nullopt);
    CHECK(result.status == agent_status::unknown);
    CHECK(result.is_sent);
    result = adapter_case::run_unreachable<result_type>(
        [](auto&&... arguments) { start(arguments...); });
    CHECK(result.status == agent_status::refused);
    CHECK_FALSE(result.is_sent);
}

// Guards against requests that go to the wrong path of the agent.
TEST_CASE("the other requests to an agent")
{
    using formats::agent_status;
    adapter_case one;
    formats::runs_request const runs{
        .cell = base::cell_id{"c"},
        .epoch = 4,
        .tasks = {{.task = base::task_id{"t"}, .checkpoint = ""}}};
    using transport::runs_action;
    for (auto const action :
         {runs_action::renew, runs_action::throttle, runs_action::checkpoint,
          runs_action::stop, runs_action::acknowledge}) {
        auto const result =
            one.run<transport::agent_result<formats::runs_answer>>(
                answer(200, R"({"runs":[]})"),
                [&](http_client_pool& pool, auto const& address, auto done) {
                    transport::agent_client agents{pool, timeout};
                    agents.async_runs(address, action, runs, std::move(done));
                });
        CHECK(result.status == agent_status::done);
        CHECK(
            one.received.target ==
            "/v1/tasks/" + std::string{to_string(action)});
    }
    formats::adopt_answer const audit{
        .worker = base::worker_id{"w"},
        .epoch = 4,
        .capacity = {1, 2, 3},
        .calls_in_progress = 2,
        .runs = {}};
    auto const text = nlohmann::json(audit).dump();
    using audit_result = transport::agent_result<formats::adopt_answer>;
    auto adopted = one.run<audit_result>(
        answer(200, text),
        [](http_client_pool& pool, auto const& address, auto done) {
            transport::agent_client agents{pool, timeout};
            agents.async_adopt(
                address, {base::cell_id{"c"}, 4}, std::move(done));
        });
    CHECK(one.received.target == "/v1/adopt");
    CHECK(adopted.answer.calls_in_progress == 2);
    adopted = one.run<audit_result>(
        answer(200, text),
        [](http_client_pool& pool, auto const& address, auto done) {
            transport::agent_client agents{pool, timeout};
            agents.async_audit(address, std::move(done));
        });
    CHECK(one.received.target == "/v1/audit");
    CHECK(adopted.status == agent_status::done);
    formats::usage_report const report{
        .worker = base::worker_id{"w"}, .sequence = 5, .used = {}, .runs = {}};
    auto const reported =
        one.run<transport::agent_result<formats::usage_report>>(
            answer(200, nlohmann::json(report).dump()),
            [](http_client_pool& pool, auto const& address, auto done) {
                transport::agent_client agents{pool, timeout};
                agents.async_report(address, std::move(done));
            });
    CHECK(one.received.method == "GET");
    CHECK(reported.answer.sequence == 5);
}

// Guards against an object that counts as stored, absent or rejected wrongly.
TEST_CASE("every outcome of an object request has its status")
{
    using transport::object_status;
    adapter_case one;
    auto const put = [&](std::optional<transport::response> given) {
        return one
            .run<transport::object_result>(
                std::move(given),
                [](http_client_pool& pool, auto const& address, auto done) {
                    transport::object_client objects{pool, address, timeout};
                    objects.async_put_if_absent("a/b c%", "x", std::move(done));
                })
            .status;
    };
    CHECK(put(answer(201)) == object_status::done);
    CHECK(one.received.method == "PUT");
    CHECK(one.received.target == "/v1/objects/a/b%20c%25");
    CHECK(transport::find_header(one.received.headers, "If-None-Match") == "*");
    CHECK(put(answer(412)) == object_status::exists);
    CHECK(put(answer(429)) == object_status::rejected);
    CHECK(put(answer(503, "", true)) == object_status::rejected);
    CHECK(put(answer(503)) == object_status::unknown);
    CHECK(put(std::nullopt) == object_status::unknown);

    auto const result = one.run<transport::object_result>(
        answer(200, "content"),
        [](http_client_pool& pool, auto const& address, auto done) {
            transport::object_client objects{pool, address, timeout};
            objects.async_get("n", std::move(done));
        });
    CHECK(result.content == "content");
    CHECK(
        one.run<transport::object_result>(
               answer(404),
               [](http_client_pool& pool, auto const& address, auto done) {
                   transport::object_client objects{pool, address, timeout};
                   objects.async_delete("n", std::move(done));
               })
            .status == object_status::absent);
    CHECK(one.received.method == "DELETE");
}

// Guards against a host list that is replaced by a failed read.
TEST_CASE("the host list is answered whole or not at all")
{
    adapter_case one;
    auto const run = [&](std::optional<transport::response> given) {
        return one.run<transport::host_list_result>(
            std::move(given),
            [](http_client_pool& pool, auto const& address, auto done) {
                transport::host_list_client hosts{pool, address, timeout};
                hosts.async_get(std::move(done));
            });
    };
    std::string const entry =
        R"({"worker":"w","address":"127.0.0.1:1","rack":"r",)"
        R"("failure_domain":"f","state":"leaving","processors":1,)"
        R"("memory_mb":2})";
    auto const result = run(answer(200, R"({"hosts":[)" + entry + "]}"));
    REQUIRE(result.is_answered);
    CHECK(result.hosts.at(0).state == formats::worker_state::leaving);
    CHECK_FALSE(run(answer(200, R"({"hosts":[{}]})")).is_answered);
    CHECK_FALSE(run(answer(503)).is_answered);
    CHECK_FALSE(run(std::nullopt).is_answered);

    // Another writer's entry names no worker, and the others hold.
    auto const with = [&](std::string const& name, std::string const& value) {
        return entry.substr(0, entry.size() - 1) + ",\"" + name +
               "\":" + value + "}";
    };
    std::string const nested =
        std::string(50'000, '[') + std::string(50'000, ']');
    for (auto const& odd :
         {nested, std::string{"7"}, std::string{"{}"}, with("odd", nested),
          with("services", nested), with("processors", "1e999"),
          with("memory_mb", "99999999999999999999999"),
          with("address", R"("127.0.0.1:65536")"),
          with("address", R"("127.0.0.1:0")"), with("address", R"("nowhere")"),
          with("state", R"("odd")"), with("rack", "\"\xff\"")}) {
        CAPTURE(odd.substr(0, 200));
        std::string list = R"({"hosts":[)";
        list.append(odd).append(",").append(entry).append("]}");
        auto const mixed = run(answer(200, list));
        REQUIRE(mixed.is_answered);
        CHECK(mixed.unreadable + mixed.hosts.size() == 2);
        REQUIRE_FALSE(mixed.hosts.empty());
        CHECK(mixed.hosts.back().worker.str() == "w");
        CHECK(mixed.hosts.back().address == "127.0.0.1:1");
    }
    CHECK(run(answer(200, R"({"hosts":[]})")).is_answered);
    CHECK_FALSE(run(answer(200, nested)).is_answered);
}
