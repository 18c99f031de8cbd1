/// The platform's list of live and leaving workers over an HTTP pool.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/formats/hosts.hpp"
#include "foxtaillift/transport/http_client_pool.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace foxtaillift::transport
{

/// `hosts` is meaningful only if `is_answered`.
struct host_list_result
{
    bool is_answered = false;
    std::vector<formats::worker_entry> hosts{};
    /// Entries that name no worker: malformed, or with an address that no
    /// connection can be opened to. They are left out of `hosts`.
    std::size_t unreadable = 0;
    /// Reason if not answered, or of the last entry that was left out.
    std::string message{};
};

/// Safe from any thread. The pool must outlive the client.
class host_list_client
{
public:
    host_list_client(
        http_client_pool& client_pool,
        std::string server_address,
        base::duration request_timeout);

    void async_get(std::function<void(host_list_result)> callback);

private:
    http_client_pool& pool;
    std::string address;
    base::duration timeout;
};

} // namespace foxtaillift::transport
