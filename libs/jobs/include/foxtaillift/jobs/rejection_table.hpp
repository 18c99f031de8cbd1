/// The rejection rows of the store that a leader knows.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/leader_record.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace foxtaillift::jobs
{

/// Their versions and ages. Another host may have replaced a row that is named
/// here; every use of it has the condition of its version. Not thread-safe.
class rejection_table
{
public:
    /// The row was there at this time. Replaces an older version.
    void add(std::string const& job, std::int64_t version, base::instant at)
    {
        this->remove(job);
        this->rows[job] = {.version = version, .at = at};
        this->by_age.emplace(at, job);
    }

    /// Does nothing if the job is not named.
    void remove(std::string const& job)
    {
        auto const found = this->rows.find(job);
        if (found == this->rows.end()) {
            return;
        }
        auto [first, last] = this->by_age.equal_range(found->second.at);
        while (first != last && first->second != job) {
            ++first;
        }
        this->by_age.erase(first);
        this->rows.erase(found);
    }

    /// 0: not known.
    [[nodiscard]] std::int64_t version_of(std::string const& job) const
    {
        auto const found = this->rows.find(job);
        return found == this->rows.end() ? 0 : found->second.version;
    }

    /// For how long the row has been known; 0 if it is not.
    [[nodiscard]] base::duration
    age_of(std::string const& job, base::instant now) const
    {
        auto const found = this->rows.find(job);
        return found == this->rows.end() ? base::duration{}
                                         : now - found->second.at;
    }

    [[nodiscard]] std::size_t size() const { return this->rows.size(); }

    /// The oldest rows that were written before this time, `limit` at most,
    /// without those that `is_left_out` names.
    template <class Predicate>
    [[nodiscard]] std::vector<expired_rejection> expired(
        base::instant before, std::size_t limit, Predicate is_left_out) const
    {
        std::vector<expired_rejection> found;
        for (auto const& [at, job] : this->by_age) {
            if (at >= before || found.size() >= limit) {
                break;
            }
            if (!is_left_out(job)) {
                found.push_back(
                    {.job = job, .version = this->rows.at(job).version});
            }
        }
        return found;
    }

private:
    struct entry
    {
        std::int64_t version = 0;
        base::instant at{};
    };
    std::map<std::string, entry> rows{};
    std::multimap<base::instant, std::string> by_age{};
};

} // namespace foxtaillift::jobs
