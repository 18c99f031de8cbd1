/// What a leader finds in the store at its takeover.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/event_line.hpp"
#include "foxtaillift/jobs/host_ports.hpp"
#include "foxtaillift/jobs/job.hpp"
#include "foxtaillift/jobs/progress.hpp"
#include "foxtaillift/jobs/rows.hpp"
#include "foxtaillift/jobs/worker.hpp"
#include "foxtaillift/jobs/worker_record.hpp"
#include "foxtaillift/jobs/worker_roster.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace foxtaillift::jobs
{

/// Everything but the jobs themselves, which the leader goes on following.
struct inherited_state
{
    std::vector<roster_page> workers{}; ///< that may have runs
    std::vector<closed_worker> closed{};
    std::optional<recorded_lease> lease{}; ///< nothing: not recorded
    std::string learned{}; ///< for scheduler::take_learned(); may be empty
    std::map<std::string, job_progress> progress{};         ///< by job
    std::vector<std::pair<std::string, job_state>> ended{}; ///< whose rows are
                                                            ///< gone
    std::map<std::string, std::int64_t> rejections{}; ///< versions, by job
};

/// Logs a row that cannot be read.
template <host_ports Ports>
void report_bad_row(Ports& ports, row const& row, base::error const& failure)
{
    ports.log(base::event_line{"row_unreadable"}
                  .add("table", row.table)
                  .add("key", row.key)
                  .add("reason", failure.what()));
}

/// Reads it, however long the store takes. Rows that cannot be read are left
/// out.
template <host_ports Ports>
class inherited_state_loader
    : public std::enable_shared_from_this<inherited_state_loader<Ports>>
{
public:
    using loaded_callback = std::function<void(inherited_state)>;

    inherited_state_loader(Ports& ports_to_use, loaded_callback on_loaded)
        : ports(ports_to_use)
        , done(std::move(on_loaded))
    {}

    void start() { this->load_lead(lead_keys::inherited); }

    /// Nothing is called back any more.
    void stop() { this->is_stopped = true; }

private:
    static constexpr base::duration retry_gap = base::milliseconds(100);

    /// Reads the rows of a table from a key on, page by page; the handler of
    /// the pages decides what follows the last one.
    template <class Handler>
    void read(char const* table, std::string const& from, Handler on_rows)
    {
        auto self = this->shared_from_this();
        this->ports.read(
            table, from, "",
            [self, table, from, on_rows](rows_result const& result) {
                if (self->is_stopped) {
                    return;
                }
                if (result.status == store_status::done) {
                    on_rows(result);
                    return;
                }
                self->ports.after(retry_gap, [self, table, from, on_rows] {
                    self->read(table, from, on_rows);
                });
            });
    }

    void load_lead(std::string const& from)
    {
        this->read(tables::lead, from, [this](rows_result const& result) {
            for (auto const& row : result.rows) {
                this->take_lead_row(row);
            }
            if (result.has_more && !result.rows.empty()) {
                this->load_lead(result.rows.back().key + '\0');
            } else {
                this->load_progress("");
            }
        });
    }

    void take_lead_row(row const& row)
    {
        if (auto const page = parse_roster_key(row.key)) {
            this->state.workers.push_back(
                {.number = *page, .workers = decode_workers(row.value)});
        } else if (row.key == lead_keys::learned) {
            this->state.learned = row.value;
        } else if (row.key == lead_keys::lease) {
            this->take(
                row, [&] { this->state.lease = decode_lease(row.value); });
        } else if (row.key == lead_keys::closed) {
            this->take(
                row, [&] { this->state.closed = decode_closed(row.value); });
        }
    }

    void load_progress(std::string const& from)
    {
        this->read(tables::progress, from, [this](rows_result const& result) {
            for (auto const& row : result.rows) {
                this->take(row, [&] {
                    this->state.progress[row.key] = decode_progress(row.value);
                });
            }
            if (result.has_more && !result.rows.empty()) {
                this->load_progress(result.rows.back().key + '\0');
            } else {
                this->load_ended("");
            }
        });
    }

    /// Without them, ends of these jobs that a worker still lists would seem to
    /// belong to jobs whose rows are still to come.
    void load_ended(std::string const& from)
    {
        this->read(tables::ended, from, [this](rows_result const& result) {
            for (auto const& row : result.rows) {
                if (auto const ended = parse_job_state(row.value)) {
                    this->state.ended.emplace_back(row.key, *ended);
                } else if (row.value == rejection_value) {
                    this->state.rejections[row.key] = row.version;
                }
            }
            if (result.has_more && !result.rows.empty()) {
                this->load_ended(result.rows.back().key + '\0');
            } else {
                this->done(std::move(this->state));
            }
        });
    }

    template <class Function>
    void take(row const& row, Function decode)
    {
        try {
            decode();
        } catch (base::error const& failure) {
            report_bad_row(this->ports, row, failure);
        }
    }

    Ports& ports;
    loaded_callback done;
    inherited_state state{};
    bool is_stopped = false;
};

} // namespace foxtaillift::jobs
