/// Drives the group committer with the platform's table service.
#pragma once

#include "context.hpp"
#include "wake_timer.hpp"

#include "foxtaillift/store/group_committer.hpp"
#include "foxtaillift/transport/table_client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace foxtaillift::daemon
{

/// Control thread only.
class store_driver
{
public:
    using completion_handler = std::function<void(store::completion const&)>;
    using rows_handler = std::function<void(formats::rows_result)>;

    store_driver(context& shared, transport::table_client& table);

    /// Commits a submission whose id its source chose. `done` follows exactly
    /// once, with a final outcome.
    void submit(store::submission content, completion_handler done);
    /// Commits a submission under an id of this driver.
    void submit_other(store::submission content, completion_handler done);

    void read(std::vector<std::string> const& keys, rows_handler done);
    void scan(formats::scan_request const& request, rows_handler done);
    /// Reads all rows of a prefix, in pages. Fails as a whole.
    void scan_all(std::string prefix, rows_handler done);

    void set_members(std::size_t members);

    [[nodiscard]] store::group_committer_statistics statistics() const
    {
        return this->committer.statistics();
    }

private:
    void handle(store::committer_event const& event);
    void perform(store::send_transaction const& action);
    void perform(store::read_rows const& action);
    void perform(store::completion const& action);
    void perform(store::log_line action);
    void scan_page(
        formats::scan_request request,
        formats::rows_result collected,
        rows_handler done);

    context& shared;
    transport::table_client& table;
    store::group_committer committer;
    wake_timer timer;
    std::map<store::submission_id, completion_handler> waiting;
    std::uint64_t next_number = 1;
};

} // namespace foxtaillift::daemon
