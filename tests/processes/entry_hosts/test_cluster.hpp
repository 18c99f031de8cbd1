/// A small cluster of real processes for tests: the platform's stand-ins and
/// several foxtaild.
#pragma once

#include "foxtaillift/harness/program.hpp"
#include "foxtaillift/harness/requests.hpp"

#include <cstddef>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtaillift::test
{

struct test_cluster_options
{
    std::size_t hosts = 3;
    std::size_t workers = 6; ///< two to a rack
    /// Calls and agent requests reach each worker through a proxy.
    bool has_worker_proxies = false;
    /// Host 0 reaches the platform through a proxy.
    bool has_table_proxy = false;
    /// Host 0 and each of its peers reach each other through proxies. Host 0
    /// reaches the workers directly, also with `has_worker_proxies`, so that
    /// a worker can be cut from the others alone. Needs has_table_proxy.
    bool can_cut_host_0 = false;
};

struct load_result
{
    int status = -1;
    nlohmann::json account;

    [[nodiscard]] std::int64_t calls(char const* kind) const;
    [[nodiscard]] std::int64_t tasks(char const* kind) const;
    /// Violations of the guarantees, and what could not be judged.
    [[nodiscard]] std::string problems() const;
};

/// A load generator that runs beside the test.
class running_load
{
public:
    running_load(
        nlohmann::json const& workload,
        std::filesystem::path const& file,
        std::vector<std::string> const& to,
        std::vector<std::string> const& workers);
    load_result finish();

private:
    std::unique_ptr<harness::program> process;
};

class test_cluster
{
public:
    explicit test_cluster(test_cluster_options options = {});
    ~test_cluster();
    test_cluster(test_cluster const&) = delete;
    test_cluster& operator=(test_cluster const&) = delete;

    /// Starts one more foxtaild under the name of the index.
    void start_host(std::size_t index);
    harness::program& host(std::size_t index) { return *this->hosts[index]; }
    std::string callers(std::size_t index);
    std::vector<std::string> all_callers();
    std::string table() { return this->table_address; }
    std::string proxy_control(std::size_t worker);
    std::string table_proxy_control();
    /// Cuts or restores both directions between host 0 and its peers. Bytes
    /// are dropped silently.
    void cut_peers(bool is_cut);
    void cut_table(bool is_cut);
    /// Cuts or restores the worker for all entry hosts but host 0.
    void cut_worker(std::size_t index, bool is_cut);
    /// Cells that the owner rows give to a host.
    std::vector<std::string> cells_of(std::size_t host);
    /// The workers of a cell.
    static std::vector<std::size_t> workers_of(std::string const& cell);
    void kill_worker(std::size_t index);
    std::string worker(std::size_t index) { return this->workers_at[index]; }

    /// Waits until the given hosts are ready and own all cells together.
    bool wait_ready(std::vector<std::size_t> const& indices);
    bool wait_ready();
    /// Value of a metric of a host, or -1.
    std::int64_t metric(std::size_t host, std::string const& name);

    running_load start_load(
        nlohmann::json const& workload,
        std::optional<std::vector<std::string>> to = std::nullopt);
    /// Runs foxtailctl against a host; returns exit status and output.
    std::pair<int, std::string>
    run_ctl(std::size_t host, std::vector<std::string> arguments);

private:
    void start_worker(std::size_t index);
    void register_workers();
    void start_peer_proxies();
    /// Lets the proxies lead to the running hosts.
    void connect_peer_proxies(std::size_t index);
    std::vector<std::string> routes_of(std::size_t index);

    test_cluster_options options;
    std::filesystem::path directory;
    std::unique_ptr<harness::program> table_process;
    std::string table_address;
    std::vector<std::unique_ptr<harness::program>> workers;
    std::vector<std::unique_ptr<harness::program>> proxies;
    std::unique_ptr<harness::program> table_proxy;
    /// By the peer's index; the first entry is not used.
    std::vector<std::unique_ptr<harness::program>> proxies_to_peer;
    std::vector<std::unique_ptr<harness::program>> proxies_to_host_0;
    std::vector<std::string> workers_at;
    std::vector<std::unique_ptr<harness::program>> hosts;
    std::size_t loads = 0;
};

/// Calls at a steady rate with some keyed ones, and optionally tasks.
nlohmann::json steady_workload(int seconds, int rate, int tasks);

} // namespace foxtaillift::test
