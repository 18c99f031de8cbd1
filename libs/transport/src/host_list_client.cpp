#include "foxtaillift/transport/host_list_client.hpp"

#include "json_body.hpp"

#include <utility>

namespace foxtaillift::transport
{

namespace
{

host_list_result read_hosts(exchange_result const& result)
{
    host_list_result out;
    if (result.outcome != delivery::answered) {
        out.message =
            std::string{to_string(result.reason)} + ": " + result.message;
        return out;
    }
    if (result.answer.status != 200) {
        out.message = describe(result.answer);
        return out;
    }
    auto hosts = read_json(
        result.answer,
        [](nlohmann::json const& body) {
            return body.at("hosts").get<std::vector<formats::worker_entry>>();
        },
        out.message);
    if (hosts) {
        out.is_answered = true;
        out.hosts = std::move(*hosts);
    }
    return out;
}

} // namespace

host_list_client::host_list_client(
    http_client_pool& client_pool,
    std::string server_address,
    base::duration request_timeout)
    : pool(client_pool)
    , address(std::move(server_address))
    , timeout(request_timeout)
{}

void host_list_client::async_get(std::function<void(host_list_result)> callback)
{
    this->pool.send(
        this->address, {.target = "/v1/hosts"}, this->timeout,
        [callback = std::move(callback)](exchange_result const& result) {
            callback(read_hosts(result));
        });
}

} // namespace foxtaillift::transport
