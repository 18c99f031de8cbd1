/// The platform's table service and host list over an HTTP pool.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/formats/table.hpp"
#include "foxtaillift/transport/http_client_pool.hpp"

#include <functional>
#include <string>
#include <vector>

namespace foxtaillift::transport
{

/// Sends each request once. Timeouts beyond the given one, retries and
/// read-back are the store client's.
///
/// A transaction is `rejected` only if it was not sent, or if the answer is a
/// refusal: 400, 404, 405, 413, 422 or 429, or any other error status with
/// `Foxtail-Outcome: not-run`. Everything else that is not 200 or 409 with a
/// readable body is `unknown`.
///
/// Functions are safe from any thread; callbacks run on the io_context of the
/// pool. The pool must outlive the client.
class table_client
{
public:
    table_client(
        http_client_pool& client_pool,
        std::string server_address,
        base::duration request_timeout);

    void async_transact(
        formats::transaction const& transaction,
        std::function<void(formats::transact_result)> callback);

    void async_read(
        std::vector<std::string> const& keys,
        std::function<void(formats::rows_result)> callback);

    void async_scan(
        formats::scan_request const& scan,
        std::function<void(formats::rows_result)> callback);

private:
    void post(request message, exchange_callback callback);

    http_client_pool& pool;
    std::string address;
    base::duration timeout;
};

} // namespace foxtaillift::transport
