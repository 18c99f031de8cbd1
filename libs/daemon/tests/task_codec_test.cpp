#include "task_codec.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/cluster/msgpack_identifier.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift;

// Guards against a body of a caller that ends the process: numbers out of range
// are no syntax error to the reader of JSON.
TEST_CASE("declarations of tasks that are odd are refused")
{
    auto const with = [](std::string_view members) {
        std::string body =
            R"({"team":"a","key":"k","class":"c","processors":1,"memory_mb":2)";
        body += members;
        return body;
    };
    CHECK(daemon::parse_declaration(with("}")).key == "k");
    constexpr std::size_t levels = 200'000;
    std::string nested(levels, '[');
    nested.append(levels, ']');
    std::string nested_priority = R"(,"priority":)";
    nested_priority.append(nested).append("}");
    std::string nested_payload = R"(,"payload":)";
    nested_payload.append(nested).append("}");
    for (auto const& body :
         {std::string{}, std::string{"[]"}, with(""), nested,
          with(R"(,"run_ms":1e999})"),
          with(R"(,"run_ms":99999999999999999999})"), with(nested_priority),
          with(nested_payload)}) {
        CAPTURE(body.substr(0, 200));
        CHECK_THROWS_AS(daemon::parse_declaration(body), base::error);
    }
}

TEST_CASE("a peer's message that states an impossible size is refused")
{
    for (std::string const& bytes :
         {std::string{"\xdd\xff\xff\xff\xff", 5},
          std::string{"\xdf\xff\xff\xff\xff", 5}, std::string{},
          std::string{"\x92\x01"}}) {
        CHECK_THROWS_AS(cluster::decode<std::vector<int>>(bytes), base::error);
    }
    CHECK(cluster::decode<std::vector<int>>("\x92\x01\x02").size() == 2);
}
