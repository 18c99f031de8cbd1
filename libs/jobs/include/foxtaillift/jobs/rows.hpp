/// Rows of the platform's store as the job service uses them, and the tables
/// that it keeps there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::jobs
{

struct row
{
    std::string table{};
    std::string key{};
    std::string value{};
    std::int64_t version = 0; ///< grows with every change of the store
    bool is_removed = false;
};

/// Of a row's value, in bytes. The store holds 64 KB and refuses a change with
/// more as a whole.
inline constexpr std::size_t longest_value = 60UL * 1024;

/// Of all values of one kind in a change. The store takes 1 MB in a call, as
/// base64, for submissions, progress and the leader's own rows.
inline constexpr std::size_t longest_values = 256UL * 1024;

/// A row must have this version; 0: it must not exist.
struct row_condition
{
    std::string table{};
    std::string key{};
    std::int64_t version = 0;
};

/// Carried out as a whole or not at all.
struct row_change
{
    std::vector<row_condition> conditions{};
    std::vector<row> puts{};
    std::vector<row> removals{};
};

enum class store_status
{
    done,
    conflict,     ///< a condition did not hold; nothing was changed
    not_done,     ///< certainly nothing was changed
    unknown,      ///< may have been or may yet be carried out
    history_lost, ///< the changes since the given version are not kept
    // Of a submission only:
    rejected, ///< not accepted, which is durable; see `rejection_value`
    barred,   ///< nothing was changed: the job was rejected before
    full,     ///< not taken: the leader has no memory for the job
};

std::string_view to_string(store_status status);

struct change_result
{
    store_status status = store_status::unknown;
    std::int64_t version = 0;   ///< of the rows written, if done
    std::vector<row> current{}; ///< rows of the conditions, in a conflict
    std::int64_t store_ms = 0;  ///< the store's own steady clock; 0: not told
};

struct rows_result
{
    store_status status = store_status::unknown;
    std::vector<row> rows{};
    bool has_more = false;
    std::int64_t version = 0;  ///< newest of the store
    std::int64_t store_ms = 0; ///< the store's own steady clock; 0: not told
};

namespace tables
{
inline constexpr char lead[] = "lead";         ///< who leads; keys below
inline constexpr char jobs[] = "jobs";         ///< submissions, cancellations
inline constexpr char progress[] = "progress"; ///< by job, while it is open
inline constexpr char ended[] = "ended";       ///< final state, by job
} // namespace tables

/// In the place of a final state in the table `ended`: the job was cancelled
/// before it was accepted. Every submission has the condition that the table
/// has no row of its job, so that no later one is carried out.
inline constexpr char tombstone_value[] = "tombstone";

/// In the place of a final state in the table `ended`: the job was not accepted
/// for lack of capacity. Only a submission that names the version of this row
/// is accepted, and removes it.
inline constexpr char rejection_value[] = "rejected";

namespace lead_keys
{
inline constexpr char epoch[] = "epoch"; ///< changes with each takeover
inline constexpr char beat[] = "beat";   ///< changes with each commit
/// What a successor reads; not among the rows of an election.
inline constexpr char inherited[] = "workers";
/// What a successor need not learn anew.
inline constexpr char learned[] = "workers.learned";
/// Workers that may run tasks; followed by the number of a page.
inline constexpr char roster[] = "workers.named.";
/// The longest lease that workers may hold.
inline constexpr char lease[] = "workers.lease";
/// Workers that do not answer or leave, with what may run there.
inline constexpr char closed[] = "workers.closed";
} // namespace lead_keys

/// The key of a page of the workers that may run tasks.
std::string roster_key(std::size_t page);
/// The number of the page; nothing for other keys.
std::optional<std::size_t> parse_roster_key(std::string_view key);

/// Keys of the table `jobs`. Identifiers hold no '.'.
std::string submission_key(std::string_view job);
std::string cancellation_key(std::string_view job);
/// Tells the leader of a tombstone, which it removes in time.
std::string tombstone_key(std::string_view job);

/// The bounds of the keys above: first, and one after the last.
std::string first_key(std::string_view job);
std::string end_key(std::string_view job);

/// A key of the table `jobs`, taken apart.
struct job_row_key
{
    std::string job{};
    bool is_cancellation = false;
    bool is_tombstone = false;
    bool is_valid = false;
};
job_row_key parse_job_key(std::string_view key);

/// Whether the tombstone of the job is among the rows.
bool has_tombstone(std::span<row const> rows, std::string_view job);

/// The version of the job's rejection row among the rows; 0: there is none.
std::int64_t rejection_version(std::span<row const> rows, std::string_view job);

} // namespace foxtaillift::jobs
