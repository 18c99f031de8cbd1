/// The addresses that the load generator sends to, and shared functions of its
/// two halves.
#pragma once

#include "foxtaillift/base/random.hpp"
#include "foxtaillift/standin/http.hpp"

#include <cmath>
#include <string>
#include <vector>

namespace foxtaillift::standin
{

class entry_hosts
{
public:
    entry_hosts(std::vector<std::string> host_addresses, std::uint32_t seed)
        : addresses(std::move(host_addresses))
        , random(seed)
    {}

    /// Sends to a random host. If the connection fails, nothing was sent, and
    /// the next host is tried.
    boost::asio::awaitable<fetch_result>
    fetch_any(http_request request, base::duration timeout)
    {
        auto const count = this->addresses.size();
        auto const first = base::uniform_below(
            this->random, static_cast<std::uint32_t>(count));
        fetch_result result;
        for (std::size_t i = 0; i < count; ++i) {
            result = co_await fetch(
                this->addresses[(first + i) % count], request, timeout);
            if (result.status != fetch_status::not_connected) {
                break;
            }
        }
        co_return result;
    }

    /// Random distance between two events of a Poisson process.
    base::duration next_distance(double rate)
    {
        double const unit = 1.0 - base::uniform_unit(this->random);
        return base::milliseconds(
            std::llround(-std::log(unit) * 1000.0 / rate));
    }

    /// True with this probability.
    bool draw(double share) { return base::uniform_unit(this->random) < share; }

private:
    std::vector<std::string> addresses;
    base::random_engine random;
};

inline base::instant now()
{
    return base::steady_clock{}.now();
}

inline base::duration from_seconds(double seconds)
{
    return base::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

} // namespace foxtaillift::standin
