#include "cell_load_board.hpp"

#include "foxtaillift/batch/cell_query.hpp"
#include "foxtaillift/cluster/msgpack_identifier.hpp"
#include "foxtaillift/routing/summary_query.hpp"

#include <boost/algorithm/hex.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace foxtaillift::daemon
{

namespace
{

/// Measurements are taken at this interval, so that a summary is at most this
/// old when it is sent. It is taken as that old.
constexpr auto measurement_age = base::milliseconds(250);

/// Peers that one round of summaries goes to. The bytes a host sends do not
/// grow with the number of hosts; with 9 hosts a peer hears every second round.
constexpr std::size_t receivers_per_round = 4;

std::string encode(std::vector<cell_load_entry> const& entries)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, entries);
    return {buffer.data(), buffer.size()};
}

} // namespace

cell_load_board::cell_load_board(
    context& context, call_service& service, cell_set& owned, peer_links& peers)
    : shared(context)
    , calls(service)
    , cells(owned)
    , links(peers)
{}

void cell_load_board::measure()
{
    std::vector<std::pair<base::cell_id, routing::cell_summary>> summaries;
    {
        routing::snapshot_reader snapshot{this->calls.table()};
        summaries = routing::summarise_local_cells(*snapshot);
    }
    // The queues are those of the host, not of a cell.
    auto const waiting = summaries.empty()
                             ? 0
                             : this->calls.waiting() /
                                   static_cast<std::uint32_t>(summaries.size());
    std::vector<cell_load_entry> entries;
    entries.reserve(summaries.size());
    for (auto const& [cell, summary] : summaries) {
        cell_load_entry entry{
            .cell = cell.str(),
            .free_slots = summary.free_slots,
            .waiting = waiting,
            .latency_ms = summary.latency_ms};
        if (auto const driver = this->cells.find(cell)) {
            auto const batch = batch::summarize(driver->state());
            entry.batch_free =
                batch.batch_capacity.processors - batch.committed.processors;
            entry.batch_tasks = batch.tasks;
        }
        entries.push_back(std::move(entry));
    }
    this->encoded = encode(entries);
    this->take(std::move(entries));
}

void cell_load_board::send(std::span<base::host_id const> peers)
{
    for (auto const& host : this->receivers.next(peers, receivers_per_round)) {
        this->links.send(host, "/peer/load", this->encoded);
    }
}

void cell_load_board::keep(std::span<base::cell_id const> listed)
{
    std::erase_if(this->known, [listed](auto const& entry) {
        return std::find(listed.begin(), listed.end(), entry.first) ==
               listed.end();
    });
}

std::string cell_load_board::header() const
{
    std::string text;
    boost::algorithm::hex_lower(this->encoded, std::back_inserter(text));
    return text;
}

void cell_load_board::take_header(std::string const& text)
{
    std::string bytes;
    try {
        boost::algorithm::unhex(text, std::back_inserter(bytes));
    } catch (boost::algorithm::hex_decode_error const&) {
        return;
    }
    this->take_bytes(bytes);
}

void cell_load_board::take_bytes(std::string const& bytes)
{
    if (bytes.empty()) {
        return;
    }
    try {
        this->take(cluster::decode<std::vector<cell_load_entry>>(bytes));
    } catch (std::exception const&) {
        // A peer of another version; its summaries are not needed.
        return;
    }
}

void cell_load_board::take(std::vector<cell_load_entry> entries)
{
    auto const now = this->shared.now();
    for (auto& entry : entries) {
        base::cell_id const cell{entry.cell};
        this->calls.table().update_summary(
            cell,
            {.free_slots = entry.free_slots,
             .waiting = entry.waiting,
             .latency_ms = entry.latency_ms,
             .age = measurement_age},
            now);
        this->known[cell] = {std::move(entry), 0};
    }
}

std::optional<std::int64_t>
cell_load_board::batch_free(base::cell_id const& cell) const
{
    auto const found = this->known.find(cell);
    if (found == this->known.end()) {
        return std::nullopt;
    }
    return found->second.entry.batch_free - found->second.submitted;
}

void cell_load_board::count_submitted(
    base::cell_id const& cell, std::int64_t processors)
{
    this->known[cell].submitted += processors;
}

} // namespace foxtaillift::daemon
