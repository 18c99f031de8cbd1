// Reading versions from the store, and snapshots.

#include "configuration_state.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/event_line.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace foxtaillift::cluster
{

namespace
{

constexpr auto first_retry = base::milliseconds(200);
constexpr auto longest_retry = base::milliseconds(2000);
constexpr std::size_t deletions_per_submission = 128;

configuration_version parse_head(std::string const& text)
{
    auto const parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("version") ||
        !parsed.at("version").is_number_unsigned()) {
        throw base::error(
            base::error_code::corrupt_data,
            "row config/head has no version: " + text);
    }
    return parsed.at("version").get<configuration_version>();
}

} // namespace

// Fixed width, so that the rows sort by version.
std::string change_key(configuration_version version)
{
    char digits[32];
    std::snprintf(
        digits, sizeof digits, "%012llu",
        static_cast<unsigned long long>(version));
    return std::string{"config/change/"} + digits;
}

std::string snapshot_name(configuration_version version)
{
    return "config/snapshot/" + std::to_string(version);
}

void configuration::state::want_read(context&)
{
    this->is_read_wanted = true;
}

// Reads the head row and the next changes in one request. A change that is
// present was accepted, whatever the head row said at that moment.
void configuration::state::start_read(context& call)
{
    if (this->reading &&
        call.now >= this->reading->sent + this->options.request_timeout) {
        this->fail_read("no answer within the timeout", call);
    }
    if (this->reading || !this->is_read_wanted || call.now < this->next_read) {
        return;
    }
    this->reading = store_request{
        .number = ++this->last_number, .sent = call.now, .snapshot = 0};
    ++this->counts.head_reads;
    read_configuration_rows request{.request = this->last_number};
    request.keys.emplace_back(head_key);
    for (std::size_t i = 1; i <= this->options.deltas_per_read; ++i) {
        request.keys.push_back(change_key(this->document.version() + i));
    }
    call.out.emplace_back(std::move(request));
}

void configuration::state::fail_read(std::string_view reason, context& call)
{
    this->reading.reset();
    auto const doublings = std::min(this->failed_reads, std::uint32_t{8});
    ++this->failed_reads;
    auto const bound =
        std::min(first_retry * (std::int64_t{1} << doublings), longest_retry);
    this->next_read = call.now + base::jitter(call.random, bound);
    this->log(
        base::event_line{"configuration_read_failed"}
            .add("reason", reason)
            .add("failures", this->failed_reads)
            .str(),
        call);
}

void configuration::state::on(
    configuration_rows_read const& event, context& call)
{
    if (!this->reading || this->reading->number != event.request ||
        this->reading->what != store_request::kind::rows) {
        return;
    }
    if (!event.result.is_answered || event.result.rows.empty()) {
        this->fail_read(event.result.message, call);
        return;
    }
    this->finish_read(event.result, call);
}

void configuration::state::finish_read(
    formats::rows_result const& result, context& call)
{
    auto const& head = result.rows.front();
    configuration_version version = 0;
    try {
        version = head.version == 0 ? 0 : parse_head(head.value);
        this->take_rows(result.rows, version, call);
    } catch (base::error const& failure) {
        this->fail_read(failure.what(), call);
        return;
    }
    auto const own = this->document.version();
    if (own == version) {
        this->head_row = head.version;
    }
    if (own >= version) {
        this->finish_catch_up(call);
        return;
    }
    // Behind the head: either more changes follow, or the next one was deleted
    // after a snapshot.
    bool const is_missing = result.rows.size() > 1 &&
                            result.rows[1].version == 0 &&
                            result.rows[1].key == change_key(own + 1);
    if (is_missing) {
        auto const interval = this->options.snapshot_interval;
        auto const snapshot = version / interval * interval;
        if (snapshot > own) {
            this->get_snapshot(snapshot, call);
        } else {
            this->fail_read("a change is missing", call);
        }
        return;
    }
    this->reading.reset();
    this->next_read = call.now;
    this->start_read(call);
}

void configuration::state::take_rows(
    std::vector<formats::row> const& rows,
    configuration_version head,
    context& call)
{
    auto const before = this->document.version();
    for (auto row = rows.begin() + 1; row != rows.end(); ++row) {
        if (row->version == 0 ||
            row->key != change_key(this->document.version() + 1)) {
            break;
        }
        this->take_delta(parse_delta(row->value), call);
    }
    if (this->document.version() != before) {
        this->announce_version(call);
        if (this->must_announce) {
            this->push_to(this->peers, before, call);
        }
    } else if (head < before) {
        this->log(
            base::event_line{"configuration_head_is_behind"}
                .add("head", head)
                .add("version", before)
                .str(),
            call);
    }
}

void configuration::state::get_snapshot(
    configuration_version version, context& call)
{
    this->reading = store_request{
        .what = store_request::kind::snapshot,
        .number = ++this->last_number,
        .sent = call.now,
        .snapshot = version};
    call.out.emplace_back(
        get_configuration_object{this->last_number, snapshot_name(version)});
}

void configuration::state::finish_catch_up(context& call)
{
    this->reading.reset();
    this->is_read_wanted = false;
    this->must_announce = false;
    this->failed_reads = 0;
    this->next_read = call.now;
    if (!this->ready) {
        this->ready = true;
        this->log(
            base::event_line{"configuration_ready"}
                .add("version", this->document.version())
                .add("source", "store")
                .str(),
            call);
    }
}

void configuration::state::on(
    configuration_object_finished const& event, context& call)
{
    if (event.request == this->snapshot_request &&
        this->snapshot_request != 0) {
        this->snapshot_request = 0;
        if (event.result.status == store::object_status::done) {
            ++this->counts.snapshots_written;
            this->trim_rows(this->snapshot_version, call);
        }
        if (event.result.status == store::object_status::done ||
            event.result.status == store::object_status::exists) {
            this->snapshot_due.reset();
        }
        return;
    }
    if (!this->reading || this->reading->number != event.request) {
        return;
    }
    auto const wanted = this->reading->snapshot;
    if (event.result.status == store::object_status::absent &&
        wanted > this->options.snapshot_interval) {
        // Its writer may have died; the one before it exists, as changes are
        // deleted only below a snapshot that was written.
        this->get_snapshot(wanted - this->options.snapshot_interval, call);
        return;
    }
    if (event.result.status != store::object_status::done) {
        this->fail_read("no snapshot: " + event.result.message, call);
        return;
    }
    try {
        this->take_snapshot(
            configuration_document::from_text(event.result.body), call);
    } catch (base::error const& failure) {
        this->fail_read(failure.what(), call);
        return;
    }
    this->announce_version(call);
    this->reading.reset();
    this->start_read(call);
}

void configuration::state::put_snapshot(context& call)
{
    bool const is_waiting =
        this->snapshot_request != 0 &&
        call.now < this->snapshot_sent + this->options.request_timeout;
    if (!this->snapshot_due || is_waiting) {
        return;
    }
    this->snapshot_request = ++this->last_number;
    this->snapshot_sent = call.now;
    this->snapshot_version = this->snapshot_due->version();
    call.out.emplace_back(put_configuration_object{
        this->snapshot_request, snapshot_name(this->snapshot_version),
        this->snapshot_due->to_text()});
}

// Deletes the changes of two intervals that are older than the history. The
// second interval is for those whose turn was lost with their writer.
void configuration::state::trim_rows(
    configuration_version snapshot, context& call)
{
    auto const kept = this->options.history;
    if (snapshot <= kept) {
        return;
    }
    auto const last = snapshot - kept;
    auto const span = this->options.snapshot_interval * 2;
    auto const first = last > span ? last - span + 1 : 1;
    store::submission item;
    for (auto version = first; version <= last; ++version) {
        item.writes.push_back({change_key(version), std::nullopt});
        if (item.writes.size() == deletions_per_submission || version == last) {
            item.level = store::priority::history;
            this->submit(std::exchange(item, {}), call);
        }
    }
}

void configuration::state::submit(store::submission item, context& call)
{
    item.id = {store::submitter::configuration, ++this->last_number};
    call.out.emplace_back(std::move(item));
}

} // namespace foxtaillift::cluster
