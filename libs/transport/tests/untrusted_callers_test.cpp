#include "foxtaillift/transport/http_server.hpp"
#include "support.hpp"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

using namespace support;
using transport::http_server;

namespace
{

constexpr std::size_t body_bytes = 100'000;

std::string head(std::size_t length)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
}

std::string unfinished()
{
    return head(body_bytes) + std::string(body_bytes - 1, 'a');
}

/// Room for about three requests of `body_bytes`.
transport::http_server_options with_small_budget()
{
    return {.body_limit = body_bytes, .buffer_limit = 400'000};
}

std::string answer_to(http_server const& server, std::string const& text)
{
    raw_connection caller{server.port()};
    caller.send(text);
    return caller.read_until("\r\n\r\n");
}

} // namespace

// Guards against bodies that never end and keep the memory from others, and
// against memory of sessions that does not count.
TEST_CASE("requests that stand still give way to those that arrive")
{
    runner threads;
    http_server server{threads.io, with_small_budget(), echo};
    std::vector<std::unique_ptr<raw_connection>> crowd;
    constexpr std::size_t count = 8;
    for (std::size_t i = 0; i < count; ++i) {
        crowd.push_back(std::make_unique<raw_connection>(server.port()));
        crowd.back()->send(unfinished());
        if (i == 0) {
            // The others begin when this one has stopped already.
            CHECK(wait_until([&] {
                return server.statistics().buffered_bytes > body_bytes;
            }));
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }
    CHECK(wait_until([&] {
        auto const now = server.statistics();
        return now.dropped_for_memory + now.refused_for_memory >= count - 3 &&
               now.buffered_bytes <= 400'000;
    }));
    CHECK(answer_to(server, head(2) + "ab").starts_with("HTTP/1.1 200"));
    CHECK(answer_to(server, head(body_bytes) + std::string(body_bytes, 'a'))
              .starts_with("HTTP/1.1 200"));
    auto const refusal = crowd.front()->read_until("\r\n\r\n");
    CHECK(refusal.starts_with("HTTP/1.1 503"));
    CHECK(refusal.find("Foxtail-Outcome: not-run") != std::string::npos);
    crowd.clear();
    CHECK(
        wait_until([&] { return server.statistics().connections_open == 0; }));
    CHECK(wait_until([&] { return server.statistics().buffered_bytes == 0; }));
    threads.stop();
}

// Guards against a whole request that is dropped for one that arrives.
TEST_CASE("a whole request never gives way")
{
    runner threads;
    inbox requests;
    http_server server{threads.io, with_small_budget(), requests.handler()};
    std::vector<std::unique_ptr<raw_connection>> whole;
    constexpr std::size_t count = 3;
    for (std::size_t i = 0; i < count; ++i) {
        whole.push_back(std::make_unique<raw_connection>(server.port()));
        whole.back()->send(head(body_bytes) + std::string(body_bytes, 'a'));
        REQUIRE(requests.wait_for(i + 1));
    }
    raw_connection late{server.port()};
    late.send(unfinished());
    CHECK(late.read_until("\r\n\r\n").starts_with("HTTP/1.1 503"));
    for (std::size_t i = 0; i < count; ++i) {
        requests.reply(i).send({.body = "done"});
        CHECK(whole[i]->read_until("done").ends_with("done"));
    }
    CHECK(server.statistics().dropped_for_memory == 0);
    CHECK(server.statistics().refused_for_memory == 1);
    threads.stop();
}

// Guards against connections without a request that keep others out.
TEST_CASE("at the limit of connections one without a request is closed")
{
    runner threads;
    inbox requests;
    http_server server{threads.io, {.connections = 2}, requests.handler()};
    raw_connection working{server.port()};
    working.send(head(2) + "ab");
    REQUIRE(requests.wait_for(1));
    raw_connection partial{server.port()};
    partial.send("POST /x HTTP/1.1\r\nHo");
    CHECK(wait_until(
        [&] { return server.statistics().connections_accepted == 2; }));
    raw_connection next{server.port()};
    next.send(head(2) + "cd");
    REQUIRE(requests.wait_for(2));
    partial.read_all(); // ends with the connection
    raw_connection refused{server.port()};
    CHECK(refused.read_all().starts_with("HTTP/1.1 503"));
    requests.reply(0).send({.body = "done"});
    CHECK(working.read_until("done").ends_with("done"));
    requests.reply(1).send({.body = "done"});
    CHECK(next.read_until("done").ends_with("done"));
    CHECK(server.statistics().dropped_for_connections == 1);

    // A lower limit closes what is idle; nothing else is open.
    server.limit_connections(1);
    CHECK(
        wait_until([&] { return server.statistics().connections_open <= 1; }));
    threads.stop();
}

// Guards against a listener that never accepts again after it had no
// descriptor for a connection.
TEST_CASE("a server accepts again after it was out of descriptors")
{
    runner threads;
    http_server server{threads.io, {}, echo};
    raw_connection warm{server.port()};
    warm.send(head(2) + "ab");
    warm.read_until("POST ab");
    raw_connection waiting{server.port()};
    CHECK(wait_until(
        [&] { return server.statistics().connections_accepted == 2; }));

    rlimit before{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
    net::io_context io;
    tcp::socket late{io};
    late.open(tcp::v4());
    auto const next_free = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    REQUIRE(next_free >= 0);
    rlimit lowered = before;
    lowered.rlim_cur = static_cast<rlim_t>(next_free) + 1;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    late.connect({net::ip::make_address_v4("127.0.0.1"), server.port()});
    std::this_thread::sleep_for(std::chrono::milliseconds(350));
    CHECK(server.statistics().connections_accepted == 2);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &before) == 0);
    ::close(next_free);
    CHECK(wait_until(
        [&] { return server.statistics().connections_accepted == 3; }));
    threads.stop();
}
