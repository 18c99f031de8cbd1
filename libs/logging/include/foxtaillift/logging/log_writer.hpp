/// Writes event lines through glog to stderr without blocking their author.
#pragma once

#include "foxtaillift/base/event_line.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace foxtaillift::logging
{

struct log_writer_options
{
    /// Lines that wait for a slow reader of stderr. More are dropped; the next
    /// line that is written reports how many.
    std::size_t queue_lines = 20000;
    /// Where lines go; glog by default. Called on the writer's own thread.
    std::function<void(std::string const&)> sink;
};

/// A bounded queue with one writing thread. `write` is safe for concurrent use
/// and never waits for the reader of stderr.
class log_writer
{
public:
    explicit log_writer(log_writer_options options);
    /// Writes what is queued, then ends the thread.
    ~log_writer();

    log_writer(log_writer const&) = delete;
    log_writer& operator=(log_writer const&) = delete;

    void write(base::event_line const& line);
    void write(std::string line);

    /// Lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace foxtaillift::logging
