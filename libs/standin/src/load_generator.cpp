#include "foxtaillift/standin/load_generator.hpp"

#include "call_load.hpp"
#include "task_load.hpp"

#include <nlohmann/json.hpp>

#include <sstream>

namespace foxtaillift::standin
{

using nlohmann::json;

namespace
{

/// Reads the audits; the addresses that do not answer go to `unjudged`.
std::vector<json>
read_audits(std::vector<std::string> const& workers, json& unjudged)
{
    std::vector<json> audits;
    for (auto const& address : workers) {
        http_request request;
        request.path = "/v1/audit?history=1";
        auto const result = fetch_blocking(address, request, base::seconds(10));
        auto audit = json::parse(result.answer.body, nullptr, false);
        if (result.status == fetch_status::answered &&
            audit.contains("history")) {
            audits.push_back(std::move(audit));
        } else {
            unjudged.push_back("no audit from " + address);
        }
    }
    return audits;
}

/// Sums over the workers that help to explain the account.
json count_audits(std::vector<json> const& audits)
{
    std::map<std::string, std::int64_t> sums;
    for (auto const& audit : audits) {
        for (auto const& [reason, count] : audit.at("refused").items()) {
            sums["refused_" + reason] += count.get<std::int64_t>();
        }
        for (auto const& run : audit.at("history")) {
            ++sums["runs_" + run.at("state").get<std::string>()];
        }
        for (auto const& call : audit.at("calls")) {
            sums["calls_run"] += call.at("runs").get<std::int64_t>();
        }
    }
    return sums;
}

} // namespace

json run_load(load_options const& options)
{
    auto const started = now();
    auto const run_id = base::make_unique_id().substr(0, 8);
    entry_hosts hosts{options.addresses, options.work.seed};
    call_load calls{options.work, hosts, run_id};
    task_load tasks{options.work, hosts, run_id};
    {
        boost::asio::io_context context;
        calls.spawn(context);
        tasks.spawn(context);
        context.run();
    }
    json account;
    account["seconds"] = static_cast<double>((now() - started).ms) / 1000;
    account["calls"] = calls.count();
    account["latency"] = calls.summarise_latencies();
    account["tasks"] = tasks.count();
    account["unjudged"] = json::array();
    auto const audits = read_audits(options.workers, account["unjudged"]);
    account["workers"] = count_audits(audits);
    json violations = json::array();
    if (!options.workers.empty() && account["unjudged"].empty()) {
        audit_check_input input;
        input.calls = calls.told();
        input.tasks = tasks.outcomes();
        input.audits = &audits;
        input.may_finish_twice = options.work.may_lose_workers;
        violations = check_audits(input);
    }
    auto const wrong = account["calls"]["wrong"].get<std::int64_t>();
    if (wrong > 0) {
        violations.push_back(
            "G4: " + std::to_string(wrong) +
            " callers got an answer that is not theirs");
    }
    account["violations"] = violations;
    return account;
}

std::string describe_account(json const& account)
{
    std::ostringstream out;
    auto const list = [&out](char const* title, json const& counts) {
        out << title;
        for (auto const& [name, count] : counts.items()) {
            if (count != 0) {
                out << "  " << name << ' ' << count;
            }
        }
        out << '\n';
    };
    list("calls:  ", account.at("calls"));
    for (auto const& [kind, values] : account.at("latency").items()) {
        out << "  " << kind << " calls: p50 " << values.at("p50_ms")
            << " ms, p99 " << values.at("p99_ms") << " ms, slowest "
            << values.at("max_ms") << " ms\n";
    }
    list("tasks:  ", account.at("tasks"));
    list("workers:", account.at("workers"));
    for (auto const& message : account.at("violations")) {
        out << "violation: " << message.get<std::string>() << '\n';
    }
    for (auto const& message : account.at("unjudged")) {
        out << "not judged: " << message.get<std::string>() << '\n';
    }
    return out.str();
}

} // namespace foxtaillift::standin
