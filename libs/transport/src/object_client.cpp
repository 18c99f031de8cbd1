#include "foxtaillift/transport/object_client.hpp"

#include "json_body.hpp"

#include <utility>

namespace foxtaillift::transport
{

namespace
{

bool is_unreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') ||
           std::string_view{"-._~/"}.find(c) != std::string_view::npos;
}

std::string make_target(std::string_view name)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string target = "/v1/objects/";
    for (char const c : name) {
        if (is_unreserved(c)) {
            target += c;
        } else {
            auto const code = static_cast<unsigned char>(c);
            target += '%';
            target += digits[code >> 4U];
            target += digits[code & 15U];
        }
    }
    return target;
}

/// Statuses of a refusal before any effect; as in the table client.
bool is_refusal(response const& answer)
{
    return answer.status == 400 || answer.status == 405 ||
           answer.status == 413 || answer.status == 422 ||
           answer.status == 429 || states_not_run(answer);
}

object_result read_result(exchange_result result)
{
    object_result out;
    if (result.outcome != delivery::answered) {
        out.status = result.outcome == delivery::not_sent
                         ? object_status::rejected
                         : object_status::unknown;
        out.message =
            std::string{to_string(result.reason)} + ": " + result.message;
        return out;
    }
    auto& answer = result.answer;
    if (answer.status >= 200 && answer.status < 300) {
        out.status = object_status::done;
        out.content = std::move(answer.body);
    } else if (answer.status == 404 || answer.status == 410) {
        out.status = object_status::absent;
    } else if (answer.status == 412) {
        out.status = object_status::exists;
    } else {
        out.status = is_refusal(answer) ? object_status::rejected
                                        : object_status::unknown;
        out.message = describe(answer);
    }
    return out;
}

} // namespace

std::string_view to_string(object_status status)
{
    switch (status) {
    case object_status::done:
        return "done";
    case object_status::exists:
        return "exists";
    case object_status::absent:
        return "absent";
    case object_status::rejected:
        return "rejected";
    case object_status::unknown:
        return "unknown";
    }
    return "invalid";
}

object_client::object_client(
    http_client_pool& client_pool,
    std::string server_address,
    base::duration request_timeout)
    : pool(client_pool)
    , address(std::move(server_address))
    , timeout(request_timeout)
{}

void object_client::send(request message, object_callback callback)
{
    this->pool.send(
        this->address, std::move(message), this->timeout,
        [callback = std::move(callback)](exchange_result result) {
            callback(read_result(std::move(result)));
        });
}

void object_client::async_put_if_absent(
    std::string_view name, std::string content, object_callback callback)
{
    this->send(
        {.method = "PUT",
         .target = make_target(name),
         .headers =
             {{"If-None-Match", "*"},
              {"Content-Type", "application/octet-stream"}},
         .body = std::move(content)},
        std::move(callback));
}

void object_client::async_get(std::string_view name, object_callback callback)
{
    this->send({.target = make_target(name)}, std::move(callback));
}

void object_client::async_delete(
    std::string_view name, object_callback callback)
{
    this->send(
        {.method = "DELETE", .target = make_target(name)}, std::move(callback));
}

} // namespace foxtaillift::transport
