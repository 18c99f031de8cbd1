/// In-memory table on virtual time that injects faults.
#pragma once

#include "foxtaillift/store/concepts.hpp"
#include "foxtaillift/store/fault_source.hpp"
#include "foxtaillift/store/virtual_time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace foxtaillift::store
{

/// Number of requests that arrived at the table.
struct fake_table_counters
{
    std::uint64_t transactions = 0;
    std::uint64_t reads = 0; ///< reads and scans
};

/// Satisfies `async_table`. A request that is lost gets no callback: callers
/// must have their own timeouts, as with a silent connection.
class fake_table
{
public:
    /// Called for each transaction that takes effect, with the new versions.
    using commit_observer = std::function<void(
        formats::transaction const&,
        std::vector<formats::row_condition> const& versions)>;

    fake_table(virtual_time& time, fault_options faults, std::uint32_t seed);

    void async_transact(
        formats::transaction transaction, transact_callback callback);
    void async_read(std::vector<std::string> keys, rows_callback callback);
    void async_scan(formats::scan_request request, rows_callback callback);

    /// Applies a transaction at once, without faults.
    formats::transact_result
    transact_now(formats::transaction const& transaction);
    [[nodiscard]] formats::row read_now(std::string const& key) const;
    [[nodiscard]] formats::rows_result
    scan_now(formats::scan_request const& request) const;

    void set_observer(commit_observer changed);
    [[nodiscard]] fault_source& faults() { return this->source; }
    [[nodiscard]] fake_table_counters const& counters() const
    {
        return this->counts;
    }

private:
    struct stored_row
    {
        formats::row_version version = 0; ///< grows over deletion
        bool is_present = false;
        std::string value;
    };

    [[nodiscard]] formats::row_version version_of(std::string const& key) const;
    void answer_rows(
        std::function<formats::rows_result()> read, rows_callback callback);

    virtual_time& time;
    fault_source source;
    commit_observer observer;
    fake_table_counters counts;
    std::map<std::string, stored_row> rows;
};

} // namespace foxtaillift::store
