/// Messages of the platform's transactional table service.
///
/// A row is a key, a string value and a version. The version is 0 while the row
/// is absent and grows with every change of the row, also over deletion.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtaillift::formats
{

using row_version = std::uint64_t;

struct row
{
    std::string key;
    row_version version = 0;
    std::string value;

    bool operator==(row const&) const = default;
};

/// Holds if the row has exactly this version; 0 means that it is absent.
struct row_condition
{
    std::string key;
    row_version version = 0;

    bool operator==(row_condition const&) const = default;
};

/// Replaces the value of a row, or deletes the row if `value` is empty.
struct row_write
{
    std::string key;
    std::optional<std::string> value;

    bool operator==(row_write const&) const = default;
};

/// All conditions are checked and all writes applied atomically.
struct transaction
{
    std::string operation; ///< unique operation id, for logs of the platform
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

enum class transact_status
{
    committed, ///< took effect; `rows` has the new versions
    conflict,  ///< had no effect; `rows` has the rows that differ
    rejected,  ///< certainly had no effect (not sent, or refused as overload)
    unknown,   ///< no answer: may have taken or may still take effect
};

struct transact_result
{
    transact_status status = transact_status::unknown;
    std::vector<row_condition> rows;
    std::string message; ///< reason for `rejected` and `unknown`
};

/// Result of a read or scan. `rows` is meaningful only if `is_answered`. Absent
/// rows of a read are returned with version 0.
struct rows_result
{
    bool is_answered = false;
    std::vector<row> rows;
    bool has_more = false; ///< scan only: the limit cut the result
    std::string message;   ///< reason if not answered
};

struct scan_request
{
    std::string prefix;
    std::string after; ///< returns keys greater than this one
    std::uint32_t limit = 1000;
};

void to_json(nlohmann::json& out, row const& value);
void from_json(nlohmann::json const& in, row& value);
void to_json(nlohmann::json& out, row_condition const& value);
void from_json(nlohmann::json const& in, row_condition& value);
void to_json(nlohmann::json& out, row_write const& value);
void from_json(nlohmann::json const& in, row_write& value);
void to_json(nlohmann::json& out, transaction const& value);
void from_json(nlohmann::json const& in, transaction& value);
void to_json(nlohmann::json& out, scan_request const& value);
void from_json(nlohmann::json const& in, scan_request& value);

} // namespace foxtaillift::formats
