#include "foxtaillift/jobs/page_size.hpp"

#include <doctest/doctest.h>

namespace base = foxtaillift::base;
using foxtaillift::jobs::page_size;

namespace
{

constexpr base::duration quick = base::milliseconds(10);
constexpr base::duration slow = base::milliseconds(700);

} // namespace

// The pattern: a leader under load reads a table of 1 MB, and a call has 1 s.
// Guards against a page that never comes whole.
TEST_CASE("pages shrink until they come in time, and grow when they are quick")
{
    page_size page;
    CHECK(page.rows() == page_size::most_rows);
    page.on_timeout();
    CHECK(page.rows() == page_size::most_rows / 4);
    page.on_answer(slow);
    CHECK(page.rows() == page_size::most_rows / 4);
    for (int i = 0; i < 10; ++i) {
        page.on_timeout();
    }
    CHECK(page.rows() == page_size::least_rows);
    for (int i = 0; i < 10; ++i) {
        page.on_answer(quick);
    }
    CHECK(page.rows() == page_size::most_rows);
}
