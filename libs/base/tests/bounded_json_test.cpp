#include "foxtaillift/base/bounded_json.hpp"

#include <doctest/doctest.h>

#include <string>

namespace base = foxtaillift::base;

namespace
{

std::string nested_json(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string nested_msgpack(std::size_t levels)
{
    constexpr char array_of_one = '\x91';
    constexpr char nil = '\xc0';
    return std::string(levels, array_of_one) + nil;
}

} // namespace

// Guards against a short message that ends the stack of the process reading it.
TEST_CASE("documents are read up to a bounded nesting")
{
    for (std::size_t const levels : {std::size_t{1}, base::longest_nesting}) {
        CHECK(base::parse_json(nested_json(levels)).is_array());
        CHECK(base::parse_msgpack(nested_msgpack(levels)).is_array());
    }
    for (std::size_t const levels :
         {base::longest_nesting + 1, std::size_t{100'000},
          std::size_t{1'000'000}}) {
        CAPTURE(levels);
        CHECK_THROWS_AS(base::parse_json(nested_json(levels)), base::error);
        CHECK_THROWS_AS(
            base::parse_json(std::string(levels, '[')), base::error);
        CHECK_THROWS_AS(
            base::parse_json(R"({"a":)" + nested_json(levels) + "}"),
            base::error);
        CHECK_THROWS_AS(
            base::parse_msgpack(nested_msgpack(levels)), base::error);
    }
}

TEST_CASE("texts that are no document are refused with one type of error")
{
    for (auto const* const text :
         {"", "{", "1e999", "[1e999]", "\xff", "nul"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(base::parse_json(text), base::error);
    }
    for (std::string const& bytes :
         {std::string{}, std::string{"\x92\x01"}, std::string{"\xc1"},
          std::string{"\xdd\xff\xff\xff\xff", 5}}) {
        CHECK_THROWS_AS(base::parse_msgpack(bytes), base::error);
    }
    CHECK(base::parse_json(R"({"a":[1,2.5,"x",null]})")["a"].size() == 4);
}
