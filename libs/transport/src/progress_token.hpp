/// Counts requests in progress.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace foxtaillift::transport
{

using progress_counter = std::shared_ptr<std::atomic<std::size_t>>;

/// Counts a request as in progress while it exists.
class progress_token
{
public:
    explicit progress_token(progress_counter shared)
        : counter(std::move(shared))
    {
        ++*this->counter;
    }
    progress_token(progress_token const&) = delete;
    progress_token& operator=(progress_token const&) = delete;
    ~progress_token() { --*this->counter; }

private:
    progress_counter counter;
};

} // namespace foxtaillift::transport
