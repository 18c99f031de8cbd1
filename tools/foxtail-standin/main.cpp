#include "foxtaillift/standin/load_generator.hpp"
#include "foxtaillift/standin/table_service.hpp"
#include "foxtaillift/standin/tcp_proxy.hpp"
#include "foxtaillift/standin/worker_service.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace
{

using namespace foxtaillift;

template <class Service, class Options>
void run(std::string_view role, Options const& options)
{
    boost::asio::io_context context;
    Service const service{context, options};
    standin::announce(role, service.address());
    standin::run_until_signal(context);
}

void add_listen_options(CLI::App& app, standin::http_server_options& options)
{
    app.add_option("--address", options.address, "address to listen on");
    app.add_option("--port", options.port, "0: chosen by the system");
}

void add_worker_options(CLI::App& app, standin::worker_service_options& options)
{
    app.add_option(
        "--processors", options.capacity.processors, "thousandths of a core");
    app.add_option("--memory-mb", options.capacity.memory_mb);
    app.add_option("--accelerators", options.capacity.accelerators);
    app.add_option("--slots", options.slots, "concurrent calls");
    app.add_option(
        "--connections", options.server.max_connections,
        "further connections are closed at once");
    app.add_option("--call-ms", options.call_ms, "default service time");
    app.add_option_function<std::vector<std::string>>(
        "--interference",
        [&options](std::vector<std::string> const& items) {
            for (auto const& item : items) {
                auto const equals = item.find('=');
                if (equals == std::string::npos) {
                    throw CLI::ValidationError(item, "expected CLASS=FACTOR");
                }
                options.interference[item.substr(0, equals)] =
                    std::stod(item.substr(equals + 1));
            }
        },
        "CLASS=FACTOR or SERVICE/CLASS=FACTOR: slowdown of calls on a worker "
        "filled with the class");
    app.add_option(
        "--call-harm", options.call_harm,
        "tasks take 1 + this times as long while all slots are in use");
    app.add_option(
        "--objects", options.objects,
        "address of the object store for checkpoints");
    app.add_option("--checkpoint-ms", options.checkpoint_ms);
    app.add_option("--report-every-ms", options.report_every_ms);
    app.add_option("--report-lag-ms", options.report_lag_ms);
    app.add_option(
        "--check-capacity", options.is_capacity_checked,
        "false: accept every start and show the sum in the audit");
    app.add_option("--seed", options.seed, "seed of the faults");
}

struct registration
{
    std::string name = "w1";
    std::string table; ///< empty: does not register
    std::string rack = "r1";
    std::string zone = "z1";
    std::vector<std::string> services;
};

void register_worker(
    standin::worker_service_options const& options,
    registration const& place,
    std::string const& address)
{
    formats::worker_entry entry;
    entry.worker = options.worker;
    entry.address = address;
    entry.rack = base::rack_id{place.rack};
    entry.failure_domain = base::failure_domain_id{place.zone};
    entry.capacity = options.capacity;
    entry.slots = options.slots;
    entry.connections =
        static_cast<std::int32_t>(options.server.max_connections);
    for (auto const& service : place.services) {
        entry.services.emplace_back(service);
    }
    standin::http_request request;
    request.method = "POST";
    request.path = "/v1/hosts";
    request.body =
        nlohmann::json{{"hosts", nlohmann::json::array({entry})}}.dump();
    auto const result = standin::fetch_blocking(
        place.table, std::move(request), base::seconds(10));
    if (result.status != standin::fetch_status::answered ||
        result.answer.status != 200) {
        throw std::runtime_error("cannot register at " + place.table);
    }
}

void run_worker(
    standin::worker_service_options const& options, registration const& place)
{
    boost::asio::io_context context;
    standin::worker_service const service{context, options};
    if (!place.table.empty()) {
        register_worker(options, place, service.address());
    }
    standin::announce("worker", service.address());
    standin::run_until_signal(context);
}

// For scripts; 0 if the answer is 2xx.
int run_request(
    std::string const& address, standin::http_request const& request)
{
    auto const result =
        standin::fetch_blocking(address, request, base::seconds(10));
    if (result.status != standin::fetch_status::answered) {
        std::cout << "no answer: " << result.message << '\n';
        return 1;
    }
    std::cout << result.answer.status << ' ' << result.answer.body << '\n';
    return result.answer.status / 100 == 2 ? 0 : 1;
}

void run_proxy(standin::tcp_proxy_options const& options)
{
    boost::asio::io_context context;
    standin::tcp_proxy const proxy{context, options};
    standin::announce("control", proxy.control_address());
    standin::announce("proxy", proxy.address());
    standin::run_until_signal(context);
}

// 0: every guarantee held, 1: one is broken, 2: the audits were not readable.
int run_load(
    standin::load_options& options, std::string const& file, bool is_text)
{
    options.work = standin::read_workload(file);
    auto const account = standin::run_load(options);
    std::cout
        << (is_text ? standin::describe_account(account)
                    : account.dump(2) + '\n');
    if (!account.at("violations").empty()) {
        return 1;
    }
    return account.at("unjudged").empty() ? 0 : 2;
}

} // namespace

int main(int argument_count, char** arguments)
{
    CLI::App app{"Stand-ins of the platform, for tests"};
    app.require_subcommand(1);

    standin::table_service_options table_options;
    auto* const table = app.add_subcommand(
        "table", "table service, host list and object store");
    add_listen_options(*table, table_options.server);
    table->add_option("--seed", table_options.seed, "seed of the faults");

    standin::worker_service_options worker_options;
    auto* const worker =
        app.add_subcommand("worker", "worker agent and upstream service");
    add_listen_options(*worker, worker_options.server);
    add_worker_options(*worker, worker_options);
    registration place;
    worker->add_option("--name", place.name, "name of the worker");
    worker->add_option(
        "--register", place.table, "table service whose host list it joins");
    worker->add_option("--rack", place.rack, "for --register");
    worker->add_option("--failure-domain", place.zone, "for --register");
    worker->add_option("--service", place.services, "for --register");

    standin::tcp_proxy_options proxy_options;
    auto* const proxy =
        app.add_subcommand("proxy", "fault-injecting TCP proxy");
    proxy->add_option("--target", proxy_options.target, "IP:PORT")->required();
    proxy->add_option(
        "--address", proxy_options.address, "address to listen on");
    proxy->add_option("--port", proxy_options.port, "0: chosen by the system");
    proxy->add_option(
        "--control-port", proxy_options.control_port,
        "0: chosen by the system");

    standin::load_options load_options;
    std::string workload_file;
    bool is_text = false;
    auto* const load = app.add_subcommand(
        "load",
        "sends a workload, prints an account as JSON and fails if a guarantee "
        "is broken");
    load->add_option("--workload", workload_file, "see workloads/README.md")
        ->required();
    load->add_option("--to", load_options.addresses, "entry hosts, IP:PORT")
        ->required();
    load->add_option(
        "--worker", load_options.workers, "workers to read audits from");
    load->add_flag("--text", is_text, "a few lines of text instead of JSON");

    standin::http_request message;
    std::string request_address;
    auto* const request =
        app.add_subcommand("request", "sends one HTTP request, for scripts");
    request->add_option("--to", request_address, "IP:PORT")->required();
    request->add_option("--path", message.path)->required();
    request->add_option("--method", message.method);
    request->add_option("--body", message.body);

    CLI11_PARSE(app, argument_count, arguments);
    try {
        if (*table) {
            run<standin::table_service>("table", table_options);
        } else if (*worker) {
            worker_options.worker = base::worker_id{place.name};
            run_worker(worker_options, place);
        } else if (*proxy) {
            run_proxy(proxy_options);
        } else if (*request) {
            return run_request(request_address, message);
        } else if (*load) {
            return run_load(load_options, workload_file, is_text);
        }
        return 0;
    } catch (std::exception const& failure) {
        std::cerr << "event=failed reason=\"" << failure.what() << "\"\n";
        return 1;
    }
}
