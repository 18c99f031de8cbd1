#include "test_cluster.hpp"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <numeric>

namespace foxtaillift::test
{

namespace
{

using harness::program;
using nlohmann::json;

constexpr char const* operator_key = "ffeeddccbbaa99887766554433221100";

std::int64_t count_of(json const& account, char const* part, char const* kind)
{
    return account.contains(part) ? account[part].value(kind, std::int64_t{0})
                                  : -1;
}

} // namespace

std::int64_t load_result::calls(char const* kind) const
{
    return count_of(this->account, "calls", kind);
}

std::int64_t load_result::tasks(char const* kind) const
{
    return count_of(this->account, "tasks", kind);
}

std::string load_result::problems() const
{
    return this->account.value("violations", json::array()).dump() +
           this->account.value("unjudged", json::array()).dump();
}

running_load::running_load(
    json const& workload,
    std::filesystem::path const& file,
    std::vector<std::string> const& to,
    std::vector<std::string> const& workers)
{
    std::ofstream{file} << workload.dump();
    std::vector<std::string> arguments{"load", "--workload", file.string()};
    arguments.emplace_back("--to");
    arguments.insert(arguments.end(), to.begin(), to.end());
    arguments.emplace_back("--worker");
    arguments.insert(arguments.end(), workers.begin(), workers.end());
    this->process = std::make_unique<program>("foxtail-standin", arguments);
}

load_result running_load::finish()
{
    load_result result;
    result.status = this->process->wait(base::seconds(150)).value_or(-1);
    harness::wait_until(
        [&] { return this->process->output().ends_with("}\n"); },
        base::seconds(5));
    result.account = json::parse(this->process->output(), nullptr, false);
    return result;
}

test_cluster::test_cluster(test_cluster_options wanted)
    : options(wanted)
{
    auto name = (std::filesystem::temp_directory_path() / "entry_hosts_XXXXXX")
                    .string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("no temporary directory");
    }
    this->directory = name;
    this->table_process = std::make_unique<program>(
        "foxtail-standin", std::vector<std::string>{"table"});
    this->table_address = this->table_process->address("table");
    if (this->options.has_table_proxy) {
        this->table_proxy = std::make_unique<program>(
            "foxtail-standin",
            std::vector<std::string>{"proxy", "--target", this->table_address});
    }
    for (std::size_t i = 0; i < this->options.workers; ++i) {
        this->start_worker(i);
    }
    this->register_workers();
    if (this->options.can_cut_host_0) {
        this->start_peer_proxies();
    }
    this->hosts.resize(this->options.hosts);
    for (std::size_t i = 0; i < this->options.hosts; ++i) {
        this->start_host(i);
    }
}

void test_cluster::start_peer_proxies()
{
    // The hosts are started later, so the target follows then.
    std::vector<std::string> const arguments{
        "proxy", "--target", this->table_address};
    this->proxies_to_peer.resize(this->options.hosts);
    this->proxies_to_host_0.resize(this->options.hosts);
    for (std::size_t i = 1; i < this->options.hosts; ++i) {
        this->proxies_to_peer[i] =
            std::make_unique<program>("foxtail-standin", arguments);
        this->proxies_to_host_0[i] =
            std::make_unique<program>("foxtail-standin", arguments);
    }
    json direct = json::object();
    for (std::size_t i = 0; i < this->workers_at.size(); ++i) {
        direct["w" + std::to_string(i)] = this->workers_at[i];
    }
    harness::post_json(
        this->table_address, "/control",
        {{"worker_addresses",
          {{this->table_proxy->address("proxy"), direct}}}});
}

void test_cluster::connect_peer_proxies(std::size_t index)
{
    json const target = {{"target", this->hosts[index]->address("peers")}};
    if (index > 0) {
        harness::post_json(
            this->proxies_to_peer[index]->address("control"), "/control",
            target);
        return;
    }
    for (std::size_t i = 1; i < this->options.hosts; ++i) {
        harness::post_json(
            this->proxies_to_host_0[i]->address("control"), "/control", target);
    }
}

std::vector<std::string> test_cluster::routes_of(std::size_t index)
{
    if (index > 0) {
        return {"host0=" + this->proxies_to_host_0[index]->address("proxy")};
    }
    std::vector<std::string> routes;
    for (std::size_t i = 1; i < this->options.hosts; ++i) {
        routes.push_back(
            "host" + std::to_string(i) + "=" +
            this->proxies_to_peer[i]->address("proxy"));
    }
    return routes;
}

test_cluster::~test_cluster()
{
    this->hosts.clear();
    std::filesystem::remove_all(this->directory);
}

void test_cluster::start_worker(std::size_t index)
{
    this->workers.push_back(std::make_unique<program>(
        "foxtail-standin",
        std::vector<std::string>{
            "worker", "--name", "w" + std::to_string(index), "--processors",
            "8000", "--memory-mb", "32000", "--objects", this->table_address,
            "--check-capacity", "false"}));
    this->workers_at.push_back(this->workers.back()->address("worker"));
    if (this->options.has_worker_proxies) {
        this->proxies.push_back(std::make_unique<program>(
            "foxtail-standin",
            std::vector<std::string>{
                "proxy", "--target", this->workers_at.back()}));
    }
}

void test_cluster::register_workers()
{
    auto list = json::array();
    for (std::size_t i = 0; i < this->workers_at.size(); ++i) {
        auto const rack = std::to_string(i / 2);
        list.push_back(
            {{"worker", "w" + std::to_string(i)},
             {"address", this->options.has_worker_proxies
                             ? this->proxies[i]->address("proxy")
                             : this->workers_at[i]},
             {"rack", "rack" + rack},
             {"failure_domain", "domain" + rack},
             {"state", "live"},
             {"processors", 8000},
             {"memory_mb", 32000},
             {"accelerators", 0},
             {"slots", 8},
             {"connections", 64},
             {"services", {"proof"}}});
    }
    harness::put_json(this->table_address, "/v1/hosts", {{"hosts", list}});
}

std::string test_cluster::proxy_control(std::size_t worker)
{
    return this->proxies[worker]->address("control");
}

void test_cluster::kill_worker(std::size_t index)
{
    this->workers[index]->send_signal(SIGKILL);
}

std::string test_cluster::table_proxy_control()
{
    return this->table_proxy->address("control");
}

void test_cluster::cut_peers(bool is_cut)
{
    for (std::size_t i = 1; i < this->options.hosts; ++i) {
        for (auto* proxy :
             {this->proxies_to_peer[i].get(),
              this->proxies_to_host_0[i].get()}) {
            harness::post_json(
                proxy->address("control"), "/control",
                {{"drop_silently", is_cut}});
        }
    }
}

void test_cluster::cut_table(bool is_cut)
{
    harness::post_json(
        this->table_proxy_control(), "/control", {{"drop_silently", is_cut}});
}

void test_cluster::cut_worker(std::size_t index, bool is_cut)
{
    harness::post_json(
        this->proxy_control(index), "/control", {{"drop_silently", is_cut}});
}

std::vector<std::string> test_cluster::cells_of(std::size_t host)
{
    auto const found = harness::post_json(
        this->table_address, "/v1/scan",
        {{"prefix", "owner/"}, {"after", ""}, {"limit", 100}});
    std::vector<std::string> cells;
    for (auto const& row : found.json.at("rows")) {
        auto const owner = json::parse(row.at("value").get<std::string>());
        if (owner.at("host") == "host" + std::to_string(host)) {
            cells.push_back(row.at("key").get<std::string>().substr(6));
        }
    }
    return cells;
}

std::vector<std::size_t> test_cluster::workers_of(std::string const& cell)
{
    auto const rack = std::stoul(cell.substr(std::string{"rack"}.size()));
    return {rack * 2, rack * 2 + 1};
}

void test_cluster::start_host(std::size_t index)
{
    bool const is_proxied = index == 0 && this->options.has_table_proxy;
    auto const platform =
        is_proxied ? this->table_proxy->address("proxy") : this->table_address;
    auto const name = std::to_string(index);
    auto const path = this->directory / ("host" + name + ".json");
    json settings = {
        {"host", {{"id", "host" + name}, {"failure_domain", "domain" + name}}},
        {"platform", {{"table", platform}}},
        {"peer", {{"key", "00112233445566778899aabbccddeeff"}}},
        {"operator", {{"key", operator_key}}}};
    if (this->options.can_cut_host_0) {
        settings["peer"]["routes"] = this->routes_of(index);
    }
    std::ofstream{path} << settings.dump();
    this->hosts[index] = std::make_unique<program>(
        "foxtaild", std::vector<std::string>{"--config", path.string()});
    if (this->options.can_cut_host_0) {
        this->connect_peer_proxies(index);
    }
}

std::string test_cluster::callers(std::size_t index)
{
    return this->hosts[index]->address("callers");
}

std::vector<std::string> test_cluster::all_callers()
{
    std::vector<std::string> all;
    all.reserve(this->hosts.size());
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        all.push_back(this->callers(i));
    }
    return all;
}

std::int64_t test_cluster::metric(std::size_t host, std::string const& name)
{
    auto const reply = harness::send_request(
        "GET", this->hosts[host]->address("monitors"), "/metrics");
    auto const found = reply.text.find("\n" + name + " ");
    if (found == std::string::npos) {
        return -1;
    }
    return std::stoll(reply.text.substr(found + name.size() + 2));
}

bool test_cluster::wait_ready(std::vector<std::size_t> const& indices)
{
    auto const cells =
        static_cast<std::int64_t>((this->options.workers + 1) / 2);
    auto const is_ready = [&] {
        std::int64_t owned = 0;
        for (auto const index : indices) {
            auto const reply = harness::send_request(
                "GET", this->hosts[index]->address("monitors"), "/readyz");
            if (reply.status != 200) {
                return false;
            }
            owned += this->metric(index, "foxtail_cells");
        }
        return owned == cells;
    };
    return harness::wait_until(is_ready, base::seconds(60));
}

bool test_cluster::wait_ready()
{
    std::vector<std::size_t> all(this->hosts.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    return this->wait_ready(all);
}

running_load test_cluster::start_load(
    json const& workload, std::optional<std::vector<std::string>> to)
{
    auto const file =
        this->directory / ("load" + std::to_string(this->loads++) + ".json");
    return {workload, file, to ? *to : this->all_callers(), this->workers_at};
}

std::pair<int, std::string>
test_cluster::run_ctl(std::size_t host, std::vector<std::string> arguments)
{
    std::vector<std::string> all{
        "--address", this->hosts[host]->address("operators"), "--key",
        operator_key};
    all.insert(all.end(), arguments.begin(), arguments.end());
    program ctl{"foxtailctl", all};
    auto const status = ctl.wait(base::seconds(30)).value_or(-1);
    std::string text;
    harness::wait_until(
        [&] {
            text = ctl.output();
            return !text.empty();
        },
        base::milliseconds(500));
    return {status, text};
}

json steady_workload(int seconds, int rate, int tasks)
{
    json work = {
        {"seed", 11},
        {"wait_seconds", 60},
        {"calls",
         {{{"service", "proof"},
           {"path", "/plan"},
           {"seconds", seconds},
           {"rate", rate},
           {"call_ms", 5},
           {"long_share", 0.05},
           {"long_ms", 200},
           {"keyed_share", 0.1},
           {"unkeyed_share", 0.05},
           {"deadline_ms", 5000}}}}};
    if (tasks > 0) {
        work["tasks"] = {
            {{"team", "nesting"},
             {"class", "quiet"},
             {"count", tasks},
             {"rate", 10},
             {"processors", 1000},
             {"memory_mb", 500},
             {"run_ms", 1500}}};
    }
    return work;
}

} // namespace foxtaillift::test
