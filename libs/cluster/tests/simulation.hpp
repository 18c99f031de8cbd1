/// Entry hosts with all engines of this library on virtual time, a fake store
/// and links between peers. Checks the invariants of ownership and
/// configuration at every event and collects violations.
#pragma once

#include "foxtaillift/cluster/configuration.hpp"
#include "foxtaillift/cluster/membership.hpp"
#include "foxtaillift/cluster/ownership.hpp"
#include "foxtaillift/store/fake_object_store.hpp"
#include "foxtaillift/store/simulated_committer.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace foxtaillift::cluster::tests
{

class simulation;

class simulated_host
{
public:
    simulated_host(
        simulation& world,
        std::string const& name,
        std::uint32_t seed,
        double clock_rate);

    void start();
    void stop() { this->drive(stop_requested{}); }
    void submit(store::submission item);
    /// Writes a record of each owned cell under the condition of its owner row.
    void write_records();

    void drive(ownership_event const& event);
    void drive_configuration(configuration_event const& event);
    void drive_membership(membership_event const& event);
    /// Sets the default of a quota; returns the number of the request.
    std::uint64_t change(
        configuration_version expected,
        std::string const& author,
        std::int64_t quota);

    base::host_id id;
    store::virtual_process process;
    store::simulated_committer committer;
    ownership cells;
    configuration fleet;
    membership members;
    std::map<std::uint64_t, change_answer> answers;
    std::uint64_t bytes_sent = 0;    ///< of heartbeats and configuration
    std::uint64_t scanned_bytes = 0; ///< keys and values of scanned rows
    bool has_stopped = false;
    std::set<base::cell_id> draining;

private:
    void tick();
    void complete(store::completion const& done);
    void act(ownership_action& action);
    void act(configuration_action& action);
    void act(membership_action& action);
    template <class Message>
    void send(base::host_id const& to, Message const& message);
    void update_seeds();
    void update_peers();

    simulation& world;
    base::random_engine random;
    std::uint64_t last_record = 0;
    std::uint64_t last_request = 0;
    std::uint32_t seed;
    base::instant next_seeds{};
    configuration_version highest = 0;
};

struct simulation_options
{
    std::uint32_t seed = 1;
    std::size_t hosts = 3;
    std::size_t cells = 9;
    bool has_equal_clocks = false; ///< else rates differ by up to 1%
    bool has_cells = true;         ///< drive the ownership
    bool has_peers = false; ///< drive the membership and the configuration
    base::duration tick = base::milliseconds(20);
};

class simulation
{
public:
    explicit simulation(simulation_options initial);

    simulated_host& add_host(std::string const& name);
    void run_for(base::duration span);
    /// Calls `function` at the host after the delay of a link, unless the link
    /// is cut or the message is lost.
    void deliver(
        base::host_id const& from,
        base::host_id const& to,
        std::function<void(simulated_host&)> function);
    [[nodiscard]] simulated_host* find(base::host_id const& name);
    [[nodiscard]] std::vector<cells_changed::cell> cell_list() const;

    /// Number of cells owned, and of those that exactly one live host holds.
    [[nodiscard]] std::size_t count_owned();

    void violate(std::string const& text) { this->violations.push_back(text); }
    /// Called when a version comes into force at a host.
    std::function<void(base::host_id const&, configuration_version)> on_version;
    void record_gain(base::host_id const& host, cell_gained const& gained);

    simulation_options options;
    base::random_engine random;
    store::virtual_time time;
    store::fake_table table;
    store::fake_object_store objects;
    double loss = 0.0; ///< of messages between peers
    std::set<std::pair<base::host_id, base::host_id>> cut_links;
    std::vector<std::unique_ptr<simulated_host>> hosts;
    std::vector<std::string> violations;
    /// Instants of gains, by cell.
    std::map<base::cell_id, base::instant> gained_at;
    std::uint64_t gains = 0;
    std::uint64_t records_committed = 0;

private:
    void observe(
        formats::transaction const& transaction,
        std::vector<formats::row_condition> const& versions);
    void observe_owner(base::cell_id const& cell, std::string const& value);
    void observe_record(std::string const& key, std::string const& value);

    std::map<std::pair<base::cell_id, std::uint64_t>, base::host_id> epochs;
    std::map<base::cell_id, owner_record> table_owners;
};

} // namespace foxtaillift::cluster::tests
