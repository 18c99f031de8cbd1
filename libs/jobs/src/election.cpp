#include "foxtaillift/jobs/election.hpp"

#include "foxtaillift/base/error.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <memory>
#include <system_error>

namespace foxtaillift::jobs
{

namespace
{

/// One lost ping is no sign; the second follows at once. The rows are read from
/// the first one on.
constexpr int failed_pings_until_suspect = 2;

} // namespace

std::string encode(leadership const& value)
{
    return nlohmann::json{
        {"token", value.token},
        {"host", value.host},
        {"address", value.address},
        {"nonce", value.nonce},
        {"size", value.size}}
        .dump();
}

leadership decode_leadership(std::string_view text)
{
    try {
        auto const object = nlohmann::json::parse(text);
        return {
            .token = object.at("token"),
            .host = object.at("host"),
            .address = object.at("address"),
            .nonce = object.at("nonce"),
            .size = object.value("size", std::int64_t{0})};
    } catch (nlohmann::json::exception const& failure) {
        throw base::error{
            base::error_code::corrupt_data,
            std::string{"the row of the leader cannot be decoded: "} +
                failure.what()};
    }
}

std::string encode(leader_beat const& value)
{
    return std::to_string(value.sequence) + " " +
           std::to_string(value.store_ms);
}

leader_beat decode_beat(std::string_view text)
{
    leader_beat beat;
    auto const* const begin = std::to_address(text.begin());
    auto const* const end = std::to_address(text.end());
    auto const sequence = std::from_chars(begin, end, beat.sequence);
    bool const is_sequence_read = sequence.ec == std::errc{} &&
                                  sequence.ptr != end && *sequence.ptr == ' ';
    if (is_sequence_read) {
        auto const time = std::from_chars(sequence.ptr + 1, end, beat.store_ms);
        if (time.ec == std::errc{} && time.ptr == end) {
            return beat;
        }
    }
    throw base::error{
        base::error_code::corrupt_data,
        "the beat of the leader cannot be decoded"};
}

election::election(election_options settings)
    : options(settings)
{}

bool election::is_much_larger(std::int64_t other, std::int64_t own)
{
    constexpr std::int64_t times = 2; // less is not worth a change
    return own > 0 && other >= own * times;
}

base::duration election::own_wait() const
{
    bool const is_smaller =
        this->rows &&
        is_much_larger(this->rows->current.size, this->options.size);
    return this->options.stagger +
           (is_smaller ? this->options.smaller_wait : base::duration{});
}

bool election::is_suspect() const
{
    return this->failed_pings >= failed_pings_until_suspect ||
           this->is_resigned;
}

base::instant election::beat_since() const
{
    return this->is_suspect() && this->beat_written_at
               ? std::min(this->beat_seen_at, *this->beat_written_at)
               : this->beat_seen_at;
}

std::optional<base::duration> election::patience() const
{
    if (this->is_suspect()) {
        return this->options.silent_patience;
    }
    if (!this->is_stalled) {
        return std::nullopt;
    }
    return this->is_store_quick ? this->options.stalled_patience
                                : this->options.slow_store_patience;
}

bool election::is_outage_over(base::instant now) const
{
    auto const grace =
        this->is_suspect() ? base::duration{} : this->options.stalled_patience;
    return now - this->unread_at >= grace + this->own_wait();
}

std::string election::leader_address() const
{
    return this->rows ? this->rows->current.address : std::string{};
}

election::step election::next(base::instant now)
{
    bool const is_known = this->rows && this->rows->epoch_version != 0 &&
                          !this->rows->current.address.empty();
    bool const may_read =
        now - this->last_read_at >= this->options.read_interval;
    if (!this->rows || !is_known) {
        if (this->rows && this->is_read_fresh &&
            now - this->beat_seen_at >= this->own_wait()) {
            return step::take_over;
        }
        return may_read ? step::read : step::none;
    }
    auto const wait = this->patience();
    if (wait && this->is_read_fresh && this->is_outage_over(now)) {
        auto const due = this->beat_since() + *wait + this->own_wait();
        if (now >= due) {
            return this->last_read_at >= due ? step::take_over : step::read;
        }
    }
    bool const is_repeated = this->failed_pings > 0 && !this->is_suspect();
    bool const is_ping_due =
        is_repeated || now - this->last_ping_at >= this->options.ping_interval;
    if ((wait || this->failed_pings > 0) && may_read &&
        (is_repeated || !is_ping_due)) {
        return step::read;
    }
    return is_ping_due ? step::ping : step::none;
}

void election::on_ping(
    bool is_leading,
    base::duration store_age,
    std::int64_t beat_version,
    base::instant now)
{
    this->last_ping_at = now;
    this->reported_beat = beat_version;
    this->reported_at = now - store_age;
    this->failed_pings = 0;
    this->is_resigned = !is_leading;
    this->is_stalled = store_age > this->options.stalled_after;
    if (!this->is_resigned && !this->is_stalled) {
        this->is_read_fresh = false;
    }
}

void election::on_ping_failed(base::instant now)
{
    this->last_ping_at = now;
    ++this->failed_pings;
}

void election::on_read(
    lead_rows const& read, base::duration took, base::instant now)
{
    this->is_store_quick = took <= this->options.quick_read;
    bool const is_changed = !this->rows ||
                            this->rows->beat_version != read.beat_version ||
                            this->rows->epoch_version != read.epoch_version;
    if (is_changed) {
        // A leader that answers tells itself how long its beat stands still.
        bool const is_reported =
            this->is_store_quick && read.beat_version == this->reported_beat;
        this->beat_seen_at = is_reported ? this->reported_at : now;
    }
    this->beat_written_at =
        read.beat_age ? std::optional{now - *read.beat_age} : std::nullopt;
    if (this->rows && this->rows->epoch_version != read.epoch_version) {
        this->failed_pings = 0;
        this->is_resigned = false;
        this->is_stalled = false;
    }
    this->rows = read;
    this->last_read_at = now;
    this->is_read_fresh = true;
}

void election::on_read_failed(base::instant now)
{
    this->last_read_at = now;
    this->unread_at = now;
    this->is_read_fresh = false;
}

void election::on_leader_named(
    std::int64_t token, std::string const& address, base::instant now)
{
    if (address.empty() || (this->rows && token <= this->rows->current.token)) {
        return;
    }
    constexpr std::int64_t not_read = -1; // no row has this version
    this->rows = lead_rows{
        .current = {.token = token, .address = address},
        .epoch_version = not_read,
        .beat_version = not_read};
    this->beat_seen_at = now;
    this->is_read_fresh = false;
    this->failed_pings = 0;
    this->is_resigned = false;
    this->is_stalled = false;
}

void election::on_not_leading(base::instant now)
{
    this->is_read_fresh = false;
    this->failed_pings = 0;
    this->is_resigned = false;
    this->is_stalled = false;
    this->last_ping_at = now;
    this->last_read_at = {-1'000'000};
    this->rows.reset();
}

} // namespace foxtaillift::jobs
