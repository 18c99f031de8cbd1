/// Waiting submissions by priority, and the choice of those that may share a
/// transaction.
#pragma once

#include "foxtaillift/store/submission.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace foxtaillift::store::detail
{

/// Which rows the submissions of a set use. Two submissions may share a
/// transaction if neither writes a row that the other one uses, and if they
/// expect the same version of every row that both only condition.
class row_uses
{
public:
    [[nodiscard]] bool can_add(submission const& item) const;
    void add(submission const& item);

private:
    struct use
    {
        bool is_written = false;
        formats::row_version condition = 0;
    };
    std::unordered_map<std::string, use> uses;
};

/// Rows used by submissions that were passed over. A later submission must not
/// overtake them if it writes one of these rows or conditions a written one.
class passed_over
{
public:
    [[nodiscard]] bool blocks(submission const& item) const;
    void add(submission const& item);

private:
    std::unordered_map<std::string, bool> is_written;
};

/// Approximate memory of a submission in bytes.
std::size_t size_of(submission const& item);

class submission_queue
{
public:
    submission_queue(std::size_t max_length, std::size_t max_bytes);

    /// Adds a submission. Appends what is displaced, possibly `item` itself, to
    /// `displaced`.
    void push(submission item, std::vector<submission>& displaced);

    /// Puts a group back in front of its queues, in its former order. May
    /// exceed the bounds by this group.
    void push_front(std::vector<submission> group);

    /// Removes and returns a group of submissions that may share a transaction.
    std::vector<submission>
    take_group(std::size_t max_items, std::size_t max_bytes);

    /// Removes submissions whose deadline has passed.
    std::vector<submission> take_expired(base::instant now);

    [[nodiscard]] std::size_t length() const { return this->items; }
    [[nodiscard]] std::size_t bytes() const { return this->total; }

private:
    using level_queue = std::deque<submission>;

    [[nodiscard]] bool fits(std::size_t added) const;
    bool displace_below(priority level, std::vector<submission>& displaced);

    std::size_t max_length;
    std::size_t max_bytes;
    std::size_t items = 0;
    std::size_t total = 0;
    std::array<level_queue, priority_count> levels;
};

} // namespace foxtaillift::store::detail
