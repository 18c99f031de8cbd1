#include "host_watch.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace foxtaillift::daemon
{

base::cell_id cell_of(formats::worker_entry const& worker)
{
    return base::cell_id{worker.rack.str()};
}

host_watch::host_watch(context& context, transport::host_list_client& list)
    : shared(context)
    , client(list)
    , timer(context.control.get_executor(), [this] { this->poll(); })
{}

void host_watch::start(listener to)
{
    this->changed = std::move(to);
    this->poll();
}

void host_watch::poll()
{
    this->client.async_get([this](transport::host_list_result result) {
        if (result.is_answered) {
            this->note_unreadable(result);
            this->take(std::move(result.hosts));
        } else {
            base::event_line line{"host_list_unavailable"};
            this->shared.log.write(line.add("reason", result.message));
        }
        auto const now = this->shared.now();
        this->timer.wake_at(
            now + this->shared.settings.platform.host_list_interval, now);
    });
}

void host_watch::note_unreadable(transport::host_list_result const& result)
{
    // The list is read every few seconds; a line for each change is enough.
    if (std::exchange(this->unreadable, result.unreadable) ==
        result.unreadable) {
        return;
    }
    base::event_line line{"host_list_entries_unreadable"};
    this->shared.log.write(
        line.add("entries", result.unreadable).add("reason", result.message));
}

void host_watch::take(std::vector<formats::worker_entry> hosts)
{
    auto text = nlohmann::json(hosts).dump();
    if (text == this->fingerprint) {
        return;
    }
    this->fingerprint = std::move(text);
    this->current = std::move(hosts);
    auto const leaving = std::count_if(
        this->current.begin(), this->current.end(), [](auto const& worker) {
            return worker.state == formats::worker_state::leaving;
        });
    base::event_line line{"host_list_changed"};
    line.add("workers", this->current.size()).add("leaving", leaving);
    this->shared.log.write(line);
    this->changed();
}

std::vector<formats::worker_entry>
host_watch::workers_of(base::cell_id const& cell) const
{
    std::vector<formats::worker_entry> found;
    for (auto const& worker : this->current) {
        if (cell_of(worker) == cell) {
            found.push_back(worker);
        }
    }
    return found;
}

formats::worker_entry const*
host_watch::find(base::worker_id const& worker) const
{
    auto const found = std::find_if(
        this->current.begin(), this->current.end(),
        [&](auto const& entry) { return entry.worker == worker; });
    return found == this->current.end() ? nullptr : &*found;
}

std::vector<base::cell_id> host_watch::cells() const
{
    std::set<base::cell_id> found;
    for (auto const& worker : this->current) {
        found.insert(cell_of(worker));
    }
    return {found.begin(), found.end()};
}

std::map<base::worker_id, std::string> host_watch::addresses() const
{
    std::map<base::worker_id, std::string> table;
    for (auto const& worker : this->current) {
        table.emplace(worker.worker, worker.address);
    }
    return table;
}

} // namespace foxtaillift::daemon
