/// Load summaries of cells: those of this host, as peers are told, and those
/// that peers told.
#pragma once

#include "call_service.hpp"
#include "cell_set.hpp"
#include "context.hpp"
#include "peer_links.hpp"
#include "peer_rotation.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace foxtaillift::daemon
{

/// Load of one cell as its owner measured it.
struct cell_load_entry
{
    std::string cell;
    std::uint32_t free_slots = 0;
    std::uint32_t waiting = 0;
    double latency_ms = 0;
    std::int64_t batch_free = 0;   ///< thousandths of a core
    std::uint64_t batch_tasks = 0; ///< waiting or running
    MSGPACK_DEFINE(
        cell, free_slots, waiting, latency_ms, batch_free, batch_tasks)
};

/// Control thread only.
class cell_load_board
{
public:
    cell_load_board(
        context& shared,
        call_service& calls,
        cell_set& cells,
        peer_links& links);

    /// Measures the cells of this host.
    void measure();

    /// Sends the last measurement to the next few of the peers.
    void send(std::span<base::host_id const> peers);
    /// Forgets the loads of cells that are not in the list.
    void keep(std::span<base::cell_id const> listed);

    /// The last measurement as bytes for heartbeats, and as header text.
    [[nodiscard]] std::string const& bytes() const { return this->encoded; }
    [[nodiscard]] std::string header() const;

    /// Takes what a peer sent in either form; malformed input is ignored.
    void take_bytes(std::string const& bytes);
    void take_header(std::string const& text);

    /// Free processors for batch work in a cell, less what this host sent there
    /// since it learned of them; nothing if the load is not known.
    [[nodiscard]] std::optional<std::int64_t>
    batch_free(base::cell_id const& cell) const;
    void count_submitted(base::cell_id const& cell, std::int64_t processors);

private:
    struct known_load
    {
        cell_load_entry entry;
        std::int64_t submitted = 0; ///< since `entry` was learned
    };

    void take(std::vector<cell_load_entry> entries);

    context& shared;
    call_service& calls;
    cell_set& cells;
    peer_links& links;
    peer_rotation receivers;
    std::string encoded;
    std::map<base::cell_id, known_load> known;
};

} // namespace foxtaillift::daemon
