#include "foxtaillift/transport/http_server.hpp"
#include "support.hpp"

using namespace support;
using transport::http_server;

namespace
{

std::string post(std::string_view headers, std::string_view body)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\n" + std::string{headers} + "\r\n" +
           std::string{body};
}

std::string answer_to(
    std::string const& text, transport::http_server_options const& options = {})
{
    runner threads;
    http_server server{threads.io, options, echo};
    raw_connection caller{server.port()};
    caller.send(text);
    auto const answer = caller.read_all();
    threads.stop();
    return answer;
}

} // namespace

// Guards against answers that overtake each other on one connection.
TEST_CASE("pipelined requests are answered in order")
{
    runner threads;
    inbox requests;
    http_server server{threads.io, {}, requests.handler()};
    raw_connection caller{server.port()};
    caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    REQUIRE(requests.wait_for(1));
    CHECK(requests.at(0).target == "/1");
    CHECK(requests.at(0).remote_address == "127.0.0.1");
    CHECK(server.requests_in_progress() == 1);
    std::thread{[&] { requests.reply(0).send({.body = "first"}); }}.join();
    REQUIRE(requests.wait_for(2));
    requests.reply(1).send({.body = "second"});
    auto const text = caller.read_all();
    CHECK(text.find("first") < text.find("second"));
    CHECK(text.find("second") != std::string::npos);
    CHECK(text.find("Connection: close") > text.find("first"));
    CHECK(wait_until([&] { return server.requests_in_progress() == 0; }));
    threads.stop();
}

// Guards against a caller that stays with a host which asked it to leave.
TEST_CASE("an answer that closes its connection is the last one")
{
    runner threads;
    inbox requests;
    http_server server{threads.io, {}, requests.handler()};
    raw_connection caller{server.port()};
    caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(requests.wait_for(1));
    requests.reply(0).send(
        {.status = 503, .body = "elsewhere", .closes_connection = true});
    auto const text = caller.read_all(); // ends with the connection
    CHECK(text.find("Connection: close") != std::string::npos);
    CHECK(text.ends_with("elsewhere"));
    threads.stop();
}

// Guards against request smuggling by ambiguous lengths or headers, and against
// unbounded input.
TEST_CASE("bad input gets a clear 4xx and a closed connection")
{
    auto const starts = [](std::string const& text, std::string_view status) {
        CHECK(text.starts_with("HTTP/1.1 " + std::string{status}));
        CHECK(text.find("Foxtail-Outcome: not-run") != std::string::npos);
        CHECK(text.find("Connection: close") != std::string::npos);
    };
    auto const chunked = std::string{"Transfer-Encoding: chunked\r\n"};
    starts(
        answer_to(post("Content-Length: 3\r\n" + chunked, "0\r\n\r\n")), "400");
    starts(
        answer_to(post(chunked + "Content-Length: 3\r\n", "0\r\n\r\n")), "400");
    starts(
        answer_to(post("Content-Length: 3\r\nContent-Length: 4\r\n", "abc")),
        "400");
    starts(answer_to(post("Content-Length: x\r\n", "abc")), "400");
    starts(answer_to(post("Content-Length: -1\r\n", "abc")), "400");
    starts(answer_to(post("Transfer-Encoding: gzip\r\n", "abc")), "400");
    starts(answer_to(post("X-A: 1\r\n 2\r\n", "")), "400");
    starts(answer_to(post("X-A: 1\r\n\t2\r\n", "")), "400");
    starts(answer_to(post(chunked, "zz\r\nabc\r\n")), "400");
    starts(answer_to(post(chunked, "1;" + std::string(17'000, 'e'))), "400");
    starts(answer_to("garbage\r\n\r\n"), "400");
    starts(
        answer_to(post("X-A: " + std::string(17'000, 'a') + "\r\n", "")),
        "431");
    starts(answer_to("GET /" + std::string(17'000, 'a')), "431");
    starts(answer_to(post("Content-Length: 9000000\r\n", "")), "413");
    starts(
        answer_to(
            post(chunked, "f\r\n0123456789abcde\r\n0\r\n\r\n"),
            {.body_limit = 10}),
        "413");
    starts(
        answer_to(post("Content-Length: 20\r\n", "x"), {.buffer_limit = 10}),
        "503");
}

// Guards against a refusal that is lost because the connection is reset while
// the caller still sends.
TEST_CASE("a caller that sends a large body still reads the refusal")
{
    std::string body;
    body.resize(9'000'000, 'b');
    auto const text = answer_to(post("Content-Length: 9000000\r\n", body));
    CHECK(text.starts_with("HTTP/1.1 413"));
}

// Guards against slow senders that hold connections and memory.
TEST_CASE("a header or body that takes too long is answered 408")
{
    CHECK(
        answer_to(
            "GET / HTTP/1.1\r\nHo", {.header_timeout = base::milliseconds(50)})
            .starts_with("HTTP/1.1 408"));
    CHECK(answer_to(
              post("Content-Length: 5\r\n", "ab"),
              {.body_timeout = base::milliseconds(50)})
              .starts_with("HTTP/1.1 408"));
    CHECK(answer_to("", {.header_timeout = base::milliseconds(50)}).empty());
}

// Guards against bodies that arrive altered.
TEST_CASE("bodies of both length forms arrive whole")
{
    CHECK(answer_to(post(
                        "Transfer-Encoding: chunked\r\nConnection: close\r\n",
                        "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"))
              .ends_with("\r\n\r\nPOST abcde"));
    std::string const large(1'000'000, 'b');
    CHECK(answer_to(
              post("Connection: close\r\nContent-Length: 1000000\r\n", large))
              .ends_with("\r\n\r\nPOST " + large));
}

// Guards against callers that wait for the interim answer for ever.
TEST_CASE("Expect: 100-continue is answered before the body")
{
    runner threads;
    http_server server{threads.io, {}, echo};
    raw_connection caller{server.port()};
    caller.send(post(
        "Expect: 100-continue\r\nContent-Length: 2\r\nConnection: close\r\n",
        ""));
    CHECK(caller.read_until("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("ab");
    CHECK(caller.read_all().ends_with("POST ab"));
    threads.stop();
}

// Guards against header fields of an answer that break its framing.
TEST_CASE("an answer cannot inject fields and HEAD has no body")
{
    runner threads;
    http_server server{
        threads.io, {}, [](auto const&, transport::responder reply) {
            reply.send(
                {.headers = {{"X-A", "1\r\nX-B: 2"}, {"Content-Length", "99"}},
                 .body = "abc"});
        }};
    raw_connection caller{server.port()};
    caller.send("HEAD / HTTP/1.1\r\nConnection: close\r\n\r\n");
    auto const text = caller.read_all();
    CHECK(text.find("X-B") == std::string::npos);
    CHECK(text.find("Content-Length: 3\r\n") != std::string::npos);
    CHECK(text.ends_with("\r\n\r\n"));
    threads.stop();
}

// Guards against one caller that takes all connections.
TEST_CASE("connections of one address are bounded")
{
    runner threads;
    inbox requests;
    http_server server{
        threads.io, {.connections_per_address = 1}, requests.handler()};
    {
        raw_connection first{server.port()};
        first.send("GET / HTTP/1.1\r\n\r\n");
        REQUIRE(requests.wait_for(1));
        raw_connection second{server.port()};
        CHECK(second.read_all().starts_with("HTTP/1.1 429"));
        requests.reply(0).send({});
        first.read_until("\r\n\r\n");
    }
    CHECK(
        wait_until([&] { return server.statistics().connections_open == 0; }));
    raw_connection third{server.port()};
    third.send("GET / HTTP/1.1\r\n\r\n");
    CHECK(requests.wait_for(2));
    requests.reply(1).send({});
    CHECK(server.statistics().connections_refused == 1);
    threads.stop();
}

// Guards against work that goes on for a caller that has left.
TEST_CASE("a disconnect is reported, before and after the watch")
{
    runner threads;
    inbox requests;
    http_server server{threads.io, {}, requests.handler()};
    std::atomic<int> calls{0};
    {
        raw_connection caller{server.port()};
        caller.send("GET / HTTP/1.1\r\n\r\n");
        REQUIRE(requests.wait_for(1));
        requests.reply(0).on_disconnect([&] { ++calls; });
    }
    CHECK(wait_until([&] { return calls == 1; }));
    requests.reply(0).on_disconnect([&] { ++calls; });
    CHECK(wait_until([&] { return calls == 2; }));
    CHECK(server.requests_in_progress() == 1);
    requests.reply(0).send({});
    CHECK(wait_until([&] { return server.requests_in_progress() == 0; }));
    threads.stop();
}

// Guards against requests that stay open when a handler forgets them.
TEST_CASE("a responder that is dropped answers 500")
{
    runner threads;
    http_server server{threads.io, {}, [](auto const&, auto const&) {}};
    raw_connection caller{server.port()};
    caller.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(caller.read_all().starts_with("HTTP/1.1 500"));
    threads.stop();
}

// Guards against a planned stop that cuts requests: one in the handler, one
// half received, one pipelined, one on an idle connection during the grace.
TEST_CASE("a graceful stop answers the requests in progress")
{
    runner threads;
    inbox requests;
    http_server server{threads.io, {}, requests.handler()};
    raw_connection working{server.port()};
    working.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    REQUIRE(requests.wait_for(1));
    raw_connection partial{server.port()};
    partial.send("GET /3 HTTP/1.1\r\n");
    raw_connection idle{server.port()};
    CHECK(
        wait_until([&] { return server.statistics().connections_open == 3; }));
    std::atomic<bool> is_stopped{false};
    server.stop([&] { is_stopped = true; });
    partial.send("\r\n");
    idle.send("GET /4 HTTP/1.1\r\n\r\n");
    REQUIRE(requests.wait_for(3));
    CHECK_FALSE(is_stopped);
    for (std::size_t i = 0; i < 3; ++i) {
        requests.reply(i).send({.body = "done"});
    }
    REQUIRE(requests.wait_for(4));
    requests.reply(3).send({.body = "done"});
    CHECK(
        working.read_all().find("Connection: close\r\n\r\ndone") !=
        std::string::npos);
    CHECK(partial.read_all().ends_with("Connection: close\r\n\r\ndone"));
    CHECK(idle.read_all().ends_with("Connection: close\r\n\r\ndone"));
    for (auto* caller : {&working, &partial, &idle}) {
        caller->socket.close();
    }
    CHECK(wait_until([&] { return is_stopped.load(); }));
    threads.stop();
}
