/// The platform's object store over an HTTP pool.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/transport/http_client_pool.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace foxtaillift::transport
{

enum class object_status
{
    done,     ///< stored, read or deleted
    exists,   ///< put: an object of that name exists; nothing was changed
    absent,   ///< get and delete: there is no such object
    rejected, ///< certainly had no effect
    unknown,  ///< no answer: may have taken effect
};

std::string_view to_string(object_status status);

struct object_result
{
    object_status status = object_status::unknown;
    std::string content{}; ///< get only
    std::string message{}; ///< reason for `rejected` and `unknown`
};

using object_callback = std::function<void(object_result)>;

/// Names may contain any byte; all except letters, digits and "-._~/" are
/// percent-encoded. Safe from any thread. The pool must outlive the client.
class object_client
{
public:
    object_client(
        http_client_pool& client_pool,
        std::string server_address,
        base::duration request_timeout);

    void async_put_if_absent(
        std::string_view name, std::string content, object_callback callback);
    void async_get(std::string_view name, object_callback callback);
    void async_delete(std::string_view name, object_callback callback);

private:
    void send(request message, object_callback callback);

    http_client_pool& pool;
    std::string address;
    base::duration timeout;
};

} // namespace foxtaillift::transport
