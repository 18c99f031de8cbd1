/// Which workers a leader may use: those that the platform lists and that are
/// durably named, so that a successor knows whom to ask.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/scheduler.hpp"
#include "foxtaillift/jobs/worker.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace foxtaillift::jobs
{

/// The workers that one row names. The names of a large fleet do not fit in one
/// row, and a change rewrites one page only.
struct roster_page
{
    std::size_t number = 0;
    std::vector<worker_info> workers{}; ///< empty: the row goes
};

/// Not thread-safe.
class worker_roster
{
public:
    /// Some 60 bytes each, 12 KB in all; the store's rows hold 64 KB.
    static constexpr std::size_t workers_in_page = 200;
    /// Of the entries of a transaction, see record_options.
    static constexpr std::size_t pages_in_record = 4;

    /// Workers by identifier.
    using worker_map = std::map<std::string, worker_info>;

    // Commands

    /// A page of an earlier leader. A worker that another page names counts
    /// once.
    void recall(roster_page const& page);
    void list(worker_info const& worker);
    void unlist(std::string const& worker);
    /// These pages are on their way to the store. A worker that they leave out
    /// is not recorded any more, whether or not they have arrived.
    void on_record_sent(std::vector<roster_page> const& written);
    /// These pages are durable now.
    void on_recorded(std::vector<roster_page> const& written);

    // Queries

    [[nodiscard]] worker_map const& listed() const { return this->in_list; }
    [[nodiscard]] bool is_recorded(std::string const& worker) const
    {
        return this->page_of.contains(worker) &&
               !this->removed.contains(worker);
    }
    [[nodiscard]] std::size_t recorded_count() const
    {
        return this->page_of.size();
    }
    /// The pages to be written; nothing if the last record still holds. A
    /// worker is named before the first task starts there, and until nothing
    /// can run there, so that a successor waits for no others.
    [[nodiscard]] std::vector<roster_page>
    to_record(scheduler const& decisions, base::instant now) const;

private:
    void forget(std::size_t page);

    worker_map in_list{};
    std::vector<worker_map> pages{}; ///< as recorded
    std::unordered_map<std::string, std::size_t> page_of{};
    // Kept so that an unchanged record of a large fleet costs no search.
    std::set<std::string> unnamed{};  ///< listed and not recorded
    std::set<std::string> departed{}; ///< recorded and not listed
    std::set<std::string> removed{};  ///< left out by pages that were sent
};

} // namespace foxtaillift::jobs
