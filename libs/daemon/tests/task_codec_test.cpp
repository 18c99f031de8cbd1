#include "task_codec.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/cluster/msgpack_identifier.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace base = foxtaillift::base;
using namespace foxtaillift;

// Guards against a body of a caller that ends the process: numbers out of range
// are no syntax error to the reader of JSON.
TEST_CASE("declarations of tasks that are odd are refused")
{
    std::string const good =
        R"({"team":"a","key":"k","class":"c","processors":1,"memory_mb":2)";
    CHECK(daemon::parse_declaration(good + "}").key == "k");
    std::string const nested =
        std::string(200'000, '[') + std::string(200'000, ']');
    for (auto const& body :
         {std::string{}, std::string{"[]"}, good, nested,
          good + R"(,"run_ms":1e999})", good + R"(,"priority":)" + nested + "}",
          good + R"(,"run_ms":99999999999999999999})",
          good + R"(,"payload":)" + nested + "}"}) {
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
