#include "simulation.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::cluster::tests
{

namespace
{

store::group_committer_options
committer_options(std::string const& host, std::uint32_t seed)
{
    store::group_committer_options options;
    options.host = host;
    options.writer = "w" + std::to_string(seed);
    return options;
}

ownership_options cell_options(std::string const& host, std::uint32_t seed)
{
    ownership_options options;
    options.host = base::host_id{host};
    options.address = host + ":1";
    options.process = "p" + std::to_string(seed);
    return options;
}

configuration_options fleet_options(
    simulation const& world, std::string const& host, std::uint32_t seed)
{
    configuration_options options;
    options.host = base::host_id{host};
    options.process = "p" + std::to_string(seed);
    options.snapshot_interval = 16;
    options.history = 32;
    for (std::size_t i = 0; i < world.options.hosts; ++i) {
        options.seeds.emplace_back("h" + std::to_string(i));
    }
    return options;
}

membership_options member_options(std::string const& host)
{
    membership_options options;
    options.host = base::host_id{host};
    options.address = "10.0.0." + host + ":4100";
    return options;
}

} // namespace

simulated_host::simulated_host(
    simulation& shared,
    std::string const& name,
    std::uint32_t seed_value,
    double rate)
    : id(name)
    , process(shared.time, rate)
    , committer(
          process,
          shared.table,
          committer_options(name, seed_value),
          seed_value,
          [this](auto const& done) { this->complete(done); })
    , cells(cell_options(name, seed_value))
    , fleet(fleet_options(shared, name, seed_value))
    , members(member_options(name))
    , world(shared)
    , random(seed_value)
    , seed(seed_value)
{}

void simulated_host::start()
{
    this->process.run([this] {
        this->committer.set_members(this->world.options.hosts);
        this->drive(cells_changed{this->world.cell_list()});
        this->tick();
    });
}

void simulated_host::tick()
{
    if (this->world.options.has_cells) {
        this->drive(ownership_tick{});
    }
    if (this->world.options.has_peers) {
        this->update_seeds();
        this->drive_membership(membership_tick{});
        this->drive_configuration(configuration_tick{});
    }
    this->process.schedule(this->world.options.tick, [this] { this->tick(); });
}

void simulated_host::submit(store::submission item)
{
    this->committer.submit(std::move(item));
}

void simulated_host::complete(store::completion const& done)
{
    if (done.id.source == store::submitter::ownership) {
        this->drive(done);
    } else if (done.id.source == store::submitter::configuration) {
        this->drive_configuration(done);
    }
}

void simulated_host::write_records()
{
    for (auto const& owned : this->cells.owned()) {
        store::submission item;
        item.id = {store::submitter::tasks, ++this->last_record};
        item.conditions = {{owner_key(owned.cell), owned.owner_row}};
        item.writes = {
            {"log/" + owned.cell.str() + "/" + std::to_string(this->seed) +
                 "-" + std::to_string(this->last_record),
             this->id.str() + ":" + std::to_string(owned.epoch)}};
        this->submit(std::move(item));
    }
}

void simulated_host::drive(ownership_event const& event)
{
    std::vector<ownership_action> actions;
    this->cells.handle(event, this->process.now(), this->random, actions);
    for (auto& action : actions) {
        this->act(action);
    }
}

void simulated_host::act(ownership_action& action)
{
    if (auto* const item = std::get_if<store::submission>(&action)) {
        this->submit(std::move(*item));
    } else if (auto const* const scan = std::get_if<scan_rows>(&action)) {
        this->world.table.async_scan(
            scan->content, [this, request = scan->request](auto const& result) {
                for (auto const& row : result.rows) {
                    this->scanned_bytes += row.key.size() + row.value.size();
                }
                this->process.run([this, request, result] {
                    this->drive(ownership_scan_finished{request, result});
                });
            });
    } else if (auto const* const gained = std::get_if<cell_gained>(&action)) {
        this->world.record_gain(this->id, *gained);
    } else if (auto const* const lost = std::get_if<cell_lost>(&action)) {
        this->draining.erase(lost->cell);
    } else if (auto const* const drain = std::get_if<cell_draining>(&action)) {
        this->draining.insert(drain->cell);
    } else if (auto const* const resume = std::get_if<cell_resumed>(&action)) {
        this->draining.erase(resume->cell);
    } else if (
        auto const* const sent = std::get_if<send_handover_offer>(&action)) {
        this->world.deliver(
            this->id, sent->to,
            [content = sent->content](auto& host) { host.drive(content); });
    } else if (
        auto const* const answer = std::get_if<send_handover_answer>(&action)) {
        this->world.deliver(
            this->id, answer->to,
            [content = answer->content](auto& host) { host.drive(content); });
    } else if (std::holds_alternative<ownership_stopped>(action)) {
        this->has_stopped = true;
        this->process.kill();
    }
}

simulation::simulation(simulation_options initial)
    : options(initial)
    , random(initial.seed)
    , table(time, {}, initial.seed + 1)
    , objects(time, {}, initial.seed + 2)
{
    this->table.set_observer(
        [this](auto const& transaction, auto const& versions) {
            this->observe(transaction, versions);
        });
    for (std::size_t i = 0; i < initial.hosts; ++i) {
        this->add_host("h" + std::to_string(i)).start();
    }
}

simulated_host& simulation::add_host(std::string const& name)
{
    auto const rate = this->options.has_equal_clocks
                          ? 1.0
                          : 0.99 + 0.02 * base::uniform_unit(this->random);
    auto const seed = this->options.seed * 1000 +
                      static_cast<std::uint32_t>(this->hosts.size());
    this->hosts.push_back(
        std::make_unique<simulated_host>(*this, name, seed, rate));
    return *this->hosts.back();
}

void simulation::run_for(base::duration span)
{
    this->time.run_until(this->time.now() + span);
}

simulated_host* simulation::find(base::host_id const& name)
{
    // The newest process of that name; older ones are dead.
    auto const found = std::find_if(
        this->hosts.rbegin(), this->hosts.rend(),
        [&name](auto const& host) { return host->id == name; });
    return found == this->hosts.rend() ? nullptr : found->get();
}

void simulation::deliver(
    base::host_id const& from,
    base::host_id const& to,
    std::function<void(simulated_host&)> function)
{
    auto* const target = this->find(to);
    if (target == nullptr || this->cut_links.contains({from, to}) ||
        base::uniform_unit(this->random) < this->loss) {
        return;
    }
    // 1.5 ms on average in whole milliseconds.
    auto const delay = 1 + base::uniform_below(this->random, 2);
    this->time.schedule(
        base::milliseconds(delay), [target, function = std::move(function)] {
            target->process.run([target, function] { function(*target); });
        });
}

std::vector<cells_changed::cell> simulation::cell_list() const
{
    std::vector<cells_changed::cell> result;
    result.reserve(this->options.cells);
    for (std::size_t i = 0; i < this->options.cells; ++i) {
        result.push_back({base::cell_id{"c" + std::to_string(i)}, 1.0});
    }
    return result;
}

std::size_t simulation::count_owned()
{
    std::map<base::cell_id, int> holders;
    for (auto const& host : this->hosts) {
        if (host->process.is_alive()) {
            for (auto const& owned : host->cells.owned()) {
                ++holders[owned.cell];
            }
        }
    }
    return static_cast<std::size_t>(
        std::count_if(holders.begin(), holders.end(), [](auto const& entry) {
            return entry.second == 1;
        }));
}

void simulation::record_gain(
    base::host_id const& host, cell_gained const& gained)
{
    auto const epoch = std::pair{gained.cell, gained.epoch};
    if (!this->epochs.emplace(epoch, host).second) {
        this->violate(
            "two owners of " + gained.cell.str() + " in epoch " +
            std::to_string(gained.epoch));
    }
    this->gained_at[gained.cell] = this->time.now();
    ++this->gains;
}

void simulation::observe(
    formats::transaction const& transaction,
    std::vector<formats::row_condition> const&)
{
    for (auto const& write : transaction.writes) {
        if (write.key.starts_with("owner/")) {
            this->observe_owner(
                base::cell_id{write.key.substr(6)}, write.value.value_or(""));
        }
    }
    for (auto const& write : transaction.writes) {
        if (write.key.starts_with("log/")) {
            this->observe_record(write.key, write.value.value_or(""));
        }
    }
}

void simulation::observe_owner(
    base::cell_id const& cell, std::string const& value)
{
    auto const record = parse_owner_record(value);
    auto& before = this->table_owners[cell];
    auto const expected = before.epoch + (record.host.empty() ? 0 : 1);
    if (record.epoch != expected) {
        this->violate("epoch of " + cell.str() + " did not grow by one");
    }
    before = record;
}

void simulation::observe_record(
    std::string const& key, std::string const& value)
{
    auto const cell = key.substr(4, key.find('/', 4) - 4);
    auto const& owner = this->table_owners[base::cell_id{cell}];
    if (value != owner.host.str() + ":" + std::to_string(owner.epoch)) {
        this->violate(
            "write of " + value + " accepted for " + cell + ", owned by " +
            owner.host.str() + ":" + std::to_string(owner.epoch));
    }
    ++this->records_committed;
}

} // namespace foxtaillift::cluster::tests
