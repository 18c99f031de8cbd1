/// Reads the platform's list of workers at an interval.
#pragma once

#include "context.hpp"
#include "wake_timer.hpp"

#include "foxtaillift/formats/hosts.hpp"
#include "foxtaillift/transport/host_list_client.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace foxtaillift::daemon
{

/// The cell of a worker: its rack.
base::cell_id cell_of(formats::worker_entry const& worker);

/// Control thread only.
class host_watch
{
public:
    using listener = std::function<void()>;

    host_watch(context& shared, transport::host_list_client& client);

    /// Begins to read; `changed` is called after each list that differs from
    /// the one before.
    void start(listener changed);

    [[nodiscard]] std::vector<formats::worker_entry> const& workers() const
    {
        return this->current;
    }
    [[nodiscard]] std::vector<formats::worker_entry>
    workers_of(base::cell_id const& cell) const;
    [[nodiscard]] formats::worker_entry const*
    find(base::worker_id const& worker) const;
    /// The cells of the listed workers, each once.
    [[nodiscard]] std::vector<base::cell_id> cells() const;
    /// Address by worker, as a table that call threads may keep.
    [[nodiscard]] std::map<base::worker_id, std::string> addresses() const;

private:
    void poll();
    void note_unreadable(transport::host_list_result const& result);
    void take(std::vector<formats::worker_entry> hosts);

    context& shared;
    transport::host_list_client& client;
    wake_timer timer;
    listener changed;
    std::vector<formats::worker_entry> current;
    std::size_t unreadable = 0; ///< entries of the last list
    std::string fingerprint;    ///< of the list, to notice a change
};

} // namespace foxtaillift::daemon
