/// Follows a table of the platform's store: reads it whole, then its changes.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/event_line.hpp"
#include "foxtaillift/jobs/rows.hpp"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace foxtaillift::jobs
{

struct row_follower_options
{
    std::string table{};
    /// How long the store holds a request for changes. It bounds how long a
    /// connection that has gone silent stays unnoticed.
    base::duration wait = base::milliseconds(1500);
    /// Before changes are asked for again after some have come. Each call has a
    /// price, so rows that change often are followed with a pause.
    base::duration pause{};
    /// From a request that failed until the next one is sent, growing with
    /// each failure in a row.
    base::duration retry = base::milliseconds(200);
    base::duration longest_retry = base::milliseconds(1000);
};

/// Reports each row once for each version, in order, and never an older version
/// of a row after a newer one: a store that lags answers with old rows. The
/// first rows are those of one moment, by their keys. A row at which the
/// handler throws is logged and counts as reported.
///
/// `Ports` is described in coordinator.hpp. The object must outlive no
/// callback: stop() makes all later answers void.
template <class Ports>
class row_follower : public std::enable_shared_from_this<row_follower<Ports>>
{
public:
    using row_handler = std::function<void(row const&)>;

    row_follower(
        Ports& ports_to_use,
        row_follower_options settings,
        row_handler on_row,
        std::function<void()> on_complete = {})
        : ports(ports_to_use)
        , options(std::move(settings))
        , handler(std::move(on_row))
        , complete(std::move(on_complete))
    {}

    void start() { this->read_all(); }
    void stop() { this->is_stopped = true; }

    /// The whole table has been read at least once.
    [[nodiscard]] bool is_complete() const { return this->was_read; }
    /// When the store last answered.
    [[nodiscard]] base::instant answered_at() const { return this->answered; }
    /// All changes up to this version of the store have been reported.
    [[nodiscard]] std::int64_t read_version() const { return this->version; }

private:
    void read_all()
    {
        this->found.clear();
        this->read_from("");
    }

    void read_from(std::string const& from)
    {
        this->asked = this->ports.now();
        auto self = this->shared_from_this();
        this->ports.read(
            this->options.table, from, "", [self, from](rows_result result) {
                self->on_page(std::move(result), from);
            });
    }

    void on_page(rows_result result, std::string const& from)
    {
        if (this->is_stopped) {
            return;
        }
        if (result.status != store_status::done ||
            result.version < this->version) {
            // The pages before it stay: a host under load may never read a
            // whole table without a failure.
            this->again([this, from] { this->read_from(from); });
            return;
        }
        this->on_answer();
        if (this->found.empty()) {
            this->snapshot_version = result.version;
        }
        // Later pages may be newer; the changes since the first are read again.
        this->snapshot_version =
            std::min(this->snapshot_version, result.version);
        std::string last;
        for (auto& row : result.rows) {
            last = row.key;
            this->found[row.key] = std::move(row);
        }
        if (result.has_more && !last.empty()) {
            this->read_from(last + '\0');
            return;
        }
        this->take_snapshot();
    }

    void take_snapshot()
    {
        auto const known = this->versions;
        for (auto const& [key, version_seen] : known) {
            if (!this->found.contains(key)) {
                this->report(
                    {.table = this->options.table,
                     .key = key,
                     .version = this->snapshot_version,
                     .is_removed = true});
            }
        }
        for (auto const& [key, row] : this->found) {
            // A row that has changed since the first page may rest on a change
            // to an earlier page. The changes that are read next have both, in
            // order.
            if (row.version <= this->snapshot_version) {
                this->report(row);
            }
        }
        this->found.clear();
        this->version = std::max(this->version, this->snapshot_version);
        bool const is_first = !std::exchange(this->was_read, true);
        if (is_first && this->complete) {
            this->complete();
        }
        this->watch();
    }

    void watch()
    {
        if (this->is_stopped) {
            return;
        }
        this->asked = this->ports.now();
        auto self = this->shared_from_this();
        this->ports.watch(
            this->options.table, this->version, this->options.wait,
            [self](rows_result const& result) { self->on_changes(result); });
    }

    void on_changes(rows_result const& result)
    {
        if (this->is_stopped) {
            return;
        }
        if (result.status == store_status::history_lost) {
            this->read_all();
            return;
        }
        if (result.status != store_status::done) {
            this->again([this] { this->watch(); });
            return;
        }
        this->on_answer();
        for (auto const& row : result.rows) {
            this->report(row);
        }
        this->version = std::max(this->version, result.version);
        if (result.rows.empty() || this->options.pause.ms <= 0) {
            this->watch();
            return;
        }
        auto self = this->shared_from_this();
        this->ports.after(this->options.pause, [self] { self->watch(); });
    }

    void report(row const& row)
    {
        auto& known = this->versions[row.key];
        if (row.version <= known) {
            return;
        }
        known = row.version;
        try {
            this->handler(row);
        } catch (std::exception const& failure) {
            // The rows after it are followed all the same.
            this->ports.log(base::event_line{"row_unusable"}
                                .add("table", row.table)
                                .add("key", row.key)
                                .add("version", row.version)
                                .add("reason", failure.what()));
        }
        if (row.is_removed) {
            this->versions.erase(row.key);
        }
    }

    void on_answer()
    {
        this->answered = this->ports.now();
        this->failures = 0;
    }

    template <class Function>
    void again(Function const& next)
    {
        ++this->failures;
        auto const gap = std::min(
            this->options.longest_retry, this->options.retry * this->failures);
        auto const delay = this->asked + gap - this->ports.now();
        auto self = this->shared_from_this();
        this->ports.after(std::max(base::duration{}, delay), [self, next] {
            if (!self->is_stopped) {
                next();
            }
        });
    }

    Ports& ports;
    row_follower_options options;
    row_handler handler;
    std::function<void()> complete;
    std::map<std::string, row> found{};
    std::map<std::string, std::int64_t> versions{};
    std::int64_t version = 0;
    std::int64_t snapshot_version = 0;
    base::instant answered{-1'000'000};
    base::instant asked{}; ///< when the last request was sent
    int failures = 0;      ///< in a row
    bool was_read = false;
    bool is_stopped = false;
};

} // namespace foxtaillift::jobs
