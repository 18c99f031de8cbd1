/// Stand-in of the platform's table service, host list and object store, in
/// memory.
#pragma once

#include "foxtaillift/base/random.hpp"
#include "foxtaillift/formats/hosts.hpp"
#include "foxtaillift/formats/table.hpp"
#include "foxtaillift/standin/http.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace foxtaillift::standin
{

struct table_service_options
{
    http_server_options server;
    std::size_t max_rows = 1'000'000;                       ///< more: 507
    std::size_t max_object_bytes = std::size_t{512} << 20U; ///< more: 507
    std::uint32_t seed = 1;
};

/// Faults that tests switch on through `POST /control`; only the given members
/// change.
struct table_faults
{
    bool down = false;              ///< closes every connection, without effect
    std::int64_t delay_ms = 0;      ///< before every answer
    double lose_answers = 0;        ///< share of writes applied, not answered
    std::int64_t lose_next = 0;     ///< the next n writes: same
    double refuse = 0;              ///< share of requests answered with 503
    std::int64_t late_apply_ms = 0; ///< unanswered writes apply this later
    std::int64_t writes_per_second =
        0; ///< 0: unlimited; excess waits, then 503
    /// Addresses of workers in the host list for clients that reach the table
    /// under the given address: {"IP:port": {"worker": "IP:port"}}.
    std::map<std::string, std::map<std::string, std::string>> worker_addresses;
};

class table_service
{
public:
    table_service(
        boost::asio::io_context& context, table_service_options options);

    [[nodiscard]] std::string address() const;

private:
    boost::asio::awaitable<http_answer> handle(http_request request);
    boost::asio::awaitable<http_answer> write(http_request request);
    boost::asio::awaitable<void> apply_later(http_request request);
    http_answer apply(http_request const& request);
    http_answer transact(http_request const& request);
    http_answer put_object(http_request const& request);
    http_answer query(http_request const& request);
    void add_hosts(nlohmann::json const& added);
    http_answer read(nlohmann::json const& keys);
    http_answer scan(formats::scan_request const& request);
    http_answer list_hosts(http_request const& request) const;
    http_answer control(http_request const& request);
    [[nodiscard]] base::duration reserve_write();

    table_service_options options;
    table_faults faults;
    base::random_engine random;
    base::instant next_write{}; ///< when the write rate allows the next one
    formats::row_version last_version = 0;
    std::map<std::string, formats::row> rows;
    std::map<std::string, std::string> objects;
    std::size_t object_bytes = 0;
    std::vector<formats::worker_entry> hosts;
    std::map<std::string, std::int64_t> counters;
    http_server server;
};

} // namespace foxtaillift::standin
