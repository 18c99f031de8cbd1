/// The asynchronous table and object store that foxtaillift depends on.
///
/// Every function returns at once and calls its callback exactly once, later,
/// on the thread that drives the adapter. A callback may start new operations.
#pragma once

#include "foxtaillift/formats/table.hpp"

#include <functional>
#include <string>
#include <vector>

namespace foxtaillift::store
{

enum class object_status
{
    done,     ///< put or deleted; for a get, `body` is the content
    exists,   ///< put: an object of that name was there already
    absent,   ///< get and delete: there is no object of that name
    rejected, ///< certainly had no effect
    unknown,  ///< no answer: may have taken or may still take effect
};

struct object_result
{
    object_status status = object_status::unknown;
    std::string body = {};
    std::string message = {}; ///< reason for `rejected` and `unknown`
};

using transact_callback = std::function<void(formats::transact_result)>;
using rows_callback = std::function<void(formats::rows_result)>;
using object_callback = std::function<void(object_result)>;

/// A transactional table. Reads and scans see every write that was answered
/// before they started.
template <class T>
concept async_table = requires(
    T& table,
    formats::transaction transaction,
    std::vector<std::string> keys,
    formats::scan_request scan,
    transact_callback on_transacted,
    rows_callback on_rows)
{
    table.async_transact(transaction, on_transacted);
    table.async_read(keys, on_rows);
    table.async_scan(scan, on_rows);
};

/// A store of immutable named objects.
template <class T>
concept async_object_store = requires(
    T& objects, std::string name, std::string body, object_callback on_done)
{
    objects.async_put_if_absent(name, body, on_done);
    objects.async_get(name, on_done);
    objects.async_delete(name, on_done);
};

} // namespace foxtaillift::store
