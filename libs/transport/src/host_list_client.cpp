#include "foxtaillift/transport/host_list_client.hpp"

#include "foxtaillift/base/bounded_json.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/transport/address_text.hpp"
#include "json_body.hpp"

#include <simdjson.h>

#include <algorithm>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace foxtaillift::transport
{

namespace
{

/// An entry of another writer names no worker; the others hold.
void read_entry(std::string_view text, host_list_result& out)
{
    try {
        auto worker = base::parse_json(text).get<formats::worker_entry>();
        if (!is_address(worker.address)) {
            throw base::error{
                base::error_code::corrupt_data,
                "the address of worker " + worker.worker.str() +
                    " is no IP number and port"};
        }
        out.hosts.push_back(std::move(worker));
    } catch (std::exception const& failure) {
        ++out.unreadable;
        out.message = failure.what();
    }
}

/// Bytes that are not UTF-8 would make the whole document unreadable; names and
/// addresses are ASCII, so only the entry that holds them is spoilt.
std::string with_readable_bytes(std::string text)
{
    if (!simdjson::validate_utf8(text)) {
        constexpr unsigned char first_beyond_ascii = 0x80;
        std::replace_if(
            text.begin(), text.end(),
            [](unsigned char byte) { return byte >= first_beyond_ascii; }, '?');
    }
    return text;
}

/// Cuts the list into the texts of its entries, since a number out of range or
/// a deep nesting in one entry ends the parser of a whole document.
void read_list(std::string const& body, host_list_result& out)
{
    simdjson::padded_string const text{with_readable_bytes(body)};
    simdjson::ondemand::parser parser;
    auto document = parser.iterate(text);
    for (auto entry : document["hosts"].get_array()) {
        simdjson::ondemand::object object;
        std::string_view entry_text;
        if (entry.get_object().get(object) == simdjson::SUCCESS &&
            object.raw_json().get(entry_text) == simdjson::SUCCESS) {
            read_entry(entry_text, out);
        } else {
            ++out.unreadable;
            out.message = "an entry is no object";
        }
    }
}

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
    try {
        read_list(result.answer.body, out);
        // Of a list of another format nothing is readable.
        out.is_answered = out.unreadable == 0 || !out.hosts.empty();
    } catch (simdjson::simdjson_error const& failure) {
        out.message = std::string{"unreadable list: "} + failure.what();
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
