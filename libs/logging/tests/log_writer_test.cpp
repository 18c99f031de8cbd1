#include "foxtaillift/logging/log_writer.hpp"

#include <doctest/doctest.h>

#include <future>
#include <string>
#include <vector>

namespace base = foxtaillift::base;
using foxtaillift::logging::log_writer;

// Guards against a slow reader of stderr that stalls the author of a line, and
// against drops that nobody sees.
TEST_CASE("a blocked sink drops lines and reports their number")
{
    std::promise<void> entered;
    std::promise<void> gate;
    auto open = gate.get_future().share();
    std::vector<std::string> written;
    {
        log_writer writer{
            {.queue_lines = 3, .sink = [&](std::string const& line) {
                 if (written.empty()) {
                     entered.set_value();
                 }
                 open.wait();
                 written.push_back(line);
             }}};
        writer.write(base::event_line{"x"}.add("n", 0));
        // The writing thread holds only the first line from here on, so that
        // three more fit into the queue whatever the threads' timing is.
        entered.get_future().wait();
        for (int i = 1; i < 20; ++i) {
            writer.write(base::event_line{"x"}.add("n", i));
        }
        CHECK(writer.dropped() == 16);
        gate.set_value();
    }
    CHECK(
        written == std::vector<std::string>{
                       "event=x n=0", "event=log_lines_dropped count=16",
                       "event=x n=1", "event=x n=2", "event=x n=3"});
}
