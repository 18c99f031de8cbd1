#include "foxtaillift/transport/table_client.hpp"

#include "json_body.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace foxtaillift::transport
{

namespace
{

using formats::transact_status;

/// Statuses with which a server refuses a request before it acts on it. 503 is
/// not among them: a proxy may send it after it has forwarded the request.
bool is_refusal(response const& answer)
{
    static constexpr std::array<int, 6> statuses{400, 404, 405, 413, 422, 429};
    return std::ranges::find(statuses, answer.status) != statuses.end() ||
           states_not_run(answer);
}

formats::transact_result read_transact(exchange_result const& result)
{
    formats::transact_result out;
    if (result.outcome != delivery::answered) {
        out.status = result.outcome == delivery::not_sent
                         ? transact_status::rejected
                         : transact_status::unknown;
        out.message =
            std::string{to_string(result.reason)} + ": " + result.message;
        return out;
    }
    auto const& answer = result.answer;
    if (answer.status != 200 && answer.status != 409) {
        out.status = is_refusal(answer) ? transact_status::rejected
                                        : transact_status::unknown;
        out.message = describe(answer);
        return out;
    }
    bool const is_committed = answer.status == 200;
    auto rows = read_json(
        answer,
        [is_committed](nlohmann::json const& body) {
            if (!is_committed) {
                return body.at("conflicts")
                    .get<std::vector<formats::row_condition>>();
            }
            std::vector<formats::row_condition> versions;
            for (auto const& [key, version] : body.at("versions").items()) {
                versions.push_back({key, version.get<formats::row_version>()});
            }
            return versions;
        },
        out.message);
    if (rows) {
        out.status = is_committed ? transact_status::committed
                                  : transact_status::conflict;
        out.rows = std::move(*rows);
    }
    return out;
}

formats::rows_result read_rows(exchange_result const& result)
{
    formats::rows_result out;
    if (result.outcome != delivery::answered) {
        out.message =
            std::string{to_string(result.reason)} + ": " + result.message;
        return out;
    }
    if (result.answer.status != 200) {
        out.message = describe(result.answer);
        return out;
    }
    auto read = read_json(
        result.answer,
        [](nlohmann::json const& body) {
            return std::pair{
                body.at("rows").get<std::vector<formats::row>>(),
                body.value("more", false)};
        },
        out.message);
    if (read) {
        out.is_answered = true;
        out.rows = std::move(read->first);
        out.has_more = read->second;
    }
    return out;
}

} // namespace

table_client::table_client(
    http_client_pool& client_pool,
    std::string server_address,
    base::duration request_timeout)
    : pool(client_pool)
    , address(std::move(server_address))
    , timeout(request_timeout)
{}

void table_client::post(request message, exchange_callback callback)
{
    this->pool.send(
        this->address, std::move(message), this->timeout, std::move(callback));
}

void table_client::async_transact(
    formats::transaction const& transaction,
    std::function<void(formats::transact_result)> callback)
{
    this->post(
        make_json_request("/v1/transact", transaction),
        [callback = std::move(callback)](exchange_result const& result) {
            callback(read_transact(result));
        });
}

void table_client::async_read(
    std::vector<std::string> const& keys,
    std::function<void(formats::rows_result)> callback)
{
    this->post(
        make_json_request("/v1/read", {{"keys", keys}}),
        [callback = std::move(callback)](exchange_result const& result) {
            callback(read_rows(result));
        });
}

void table_client::async_scan(
    formats::scan_request const& scan,
    std::function<void(formats::rows_result)> callback)
{
    this->post(
        make_json_request("/v1/scan", scan),
        [callback = std::move(callback)](exchange_result const& result) {
            callback(read_rows(result));
        });
}

} // namespace foxtaillift::transport
