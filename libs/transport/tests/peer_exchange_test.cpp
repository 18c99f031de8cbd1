#include "peer_exchange.hpp"

#include <doctest/doctest.h>

using namespace foxtaillift::transport;

// Guards against memory that is used after it was freed: a request that a
// stopping process drops held the last reference to its client's state and gave
// its buffer back to the budget in there afterwards (foxtaild under
// AddressSanitizer, stopped with calls in flight while the machine was busy).
TEST_CASE("a dropped request gives its buffer back before its client goes")
{
    net::io_context io;
    constexpr std::size_t limit = 1000;
    auto client = std::make_shared<peer_client_shared>(limit);
    auto* const budget = &client->budget;
    auto exchange = std::make_shared<peer_exchange>(
        net::make_strand(io), client, request{}, [](exchange_result const&) {});
    ++client->open_requests; // as the client counts it
    REQUIRE(exchange->share.grow_to(limit));
    CHECK(budget->used() == limit);
    client.reset();
    exchange.reset(); // AddressSanitizer reports the fault here
}
