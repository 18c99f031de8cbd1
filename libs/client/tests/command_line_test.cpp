#include "foxtaillift/client/command_line.hpp"

#include <doctest/doctest.h>

#include <sstream>
#include <string>
#include <vector>

namespace client = foxtaillift::client;

namespace
{

struct result
{
    client::exit_code code;
    std::string out;
    std::string err;
};

result run(std::vector<std::string> const& arguments)
{
    std::vector<char const*> argv{"foxtailctl"};
    for (auto const& argument : arguments) {
        argv.push_back(argument.c_str());
    }
    std::ostringstream out;
    std::ostringstream err;
    auto const code = client::run_command_line(
        static_cast<int>(argv.size()), argv.data(), out, err);
    return {code, out.str(), err.str()};
}

std::vector<std::string> with_link(std::vector<std::string> verb)
{
    std::vector<std::string> all{
        "--address", "127.0.0.1:1", "--key",
        "00112233445566778899aabbccddeeff"};
    all.insert(all.end(), verb.begin(), verb.end());
    return all;
}

} // namespace

// Guards against verbs that --help does not mention.
TEST_CASE("--help names every group")
{
    auto const help = run({"--help"});
    CHECK(help.code == client::exit_code::done);
    for (auto const* const group :
         {"status", "quota", "task", "job", "worker", "config", "override",
          "explain"}) {
        CHECK(help.out.find(group) != std::string::npos);
    }
}

// Guards against bad input that is sent instead of refused.
TEST_CASE("bad arguments are refused before anything is sent")
{
    CHECK(run({}).code == client::exit_code::usage);
    CHECK(run({"status"}).code == client::exit_code::usage);
    CHECK(run({"frobnicate"}).code == client::exit_code::usage);
    CHECK(
        run(with_link({"--output", "xml", "status"})).code ==
        client::exit_code::usage);
    CHECK(
        run(with_link({"task", "submit", "/nonexistent.json"})).code ==
        client::exit_code::usage);
    CHECK(
        run(with_link({"config", "set", "a.b"})).code ==
        client::exit_code::usage);
}

// Guards against overrides without a reason or a statement on their expiry.
TEST_CASE("an override needs a reason and an expiry")
{
    auto const no_reason = run(with_link(
        {"override", "add", "worker.state", "w1", "drained", "--author", "x",
         "--no-expiry"}));
    CHECK(no_reason.code == client::exit_code::usage);
    CHECK(no_reason.err.find("--reason") != std::string::npos);
    auto const no_expiry = run(with_link(
        {"override", "add", "worker.state", "w1", "drained", "--author", "x",
         "--reason", "disk is failing"}));
    CHECK(no_expiry.code == client::exit_code::usage);
    CHECK(no_expiry.err.find("--no-expiry") != std::string::npos);
}

// Guards against a silent host being reported as a refusal.
TEST_CASE("a host that does not answer has its own exit status")
{
    auto const answer = run(with_link({"status"}));
    CHECK(answer.code == client::exit_code::silent);
    CHECK(answer.err.find("127.0.0.1:1") != std::string::npos);
}

// Guards against spans read with the wrong unit.
TEST_CASE("spans have a unit")
{
    CHECK(client::parse_span("90s") == 90'000);
    CHECK(client::parse_span("15m") == 900'000);
    CHECK(client::parse_span("2h") == 7'200'000);
    CHECK(client::parse_span("1d") == 86'400'000);
    CHECK_FALSE(client::parse_span("5").has_value());
    CHECK_FALSE(client::parse_span("-1h").has_value());
    CHECK_FALSE(client::parse_span("h").has_value());
}
