#include "submission_queue.hpp"

#include <algorithm>
#include <ranges>
#include <utility>

namespace foxtaillift::store::detail
{

namespace
{

// Submissions that are examined for each one that a group can hold. Bounds the
// cost when many wait for the same row.
constexpr std::size_t examined_per_item = 4;

std::size_t level_index(priority level)
{
    return static_cast<std::size_t>(level);
}

} // namespace

bool row_uses::can_add(submission const& item) const
{
    auto const is_free = [this](formats::row_write const& write) {
        return !this->uses.contains(write.key);
    };
    auto const agrees = [this](formats::row_condition const& condition) {
        auto const found = this->uses.find(condition.key);
        return found == this->uses.end() ||
               (!found->second.is_written &&
                found->second.condition == condition.version);
    };
    return std::all_of(item.writes.begin(), item.writes.end(), is_free) &&
           std::all_of(item.conditions.begin(), item.conditions.end(), agrees);
}

void row_uses::add(submission const& item)
{
    for (auto const& condition : item.conditions) {
        this->uses[condition.key].condition = condition.version;
    }
    for (auto const& write : item.writes) {
        this->uses[write.key].is_written = true;
    }
}

bool passed_over::blocks(submission const& item) const
{
    auto const is_used = [this](formats::row_write const& write) {
        return this->is_written.contains(write.key);
    };
    auto const is_changed = [this](formats::row_condition const& condition) {
        auto const found = this->is_written.find(condition.key);
        return found != this->is_written.end() && found->second;
    };
    return std::any_of(item.writes.begin(), item.writes.end(), is_used) ||
           std::any_of(
               item.conditions.begin(), item.conditions.end(), is_changed);
}

void passed_over::add(submission const& item)
{
    for (auto const& condition : item.conditions) {
        this->is_written.try_emplace(condition.key, false);
    }
    for (auto const& write : item.writes) {
        this->is_written[write.key] = true;
    }
}

std::size_t size_of(submission const& item)
{
    constexpr std::size_t overhead = 64;
    auto bytes = sizeof(submission);
    for (auto const& condition : item.conditions) {
        bytes += condition.key.size() + overhead;
    }
    for (auto const& write : item.writes) {
        bytes += write.key.size() + overhead;
        bytes += write.value ? write.value->size() : 0;
    }
    return bytes;
}

submission_queue::submission_queue(std::size_t length, std::size_t bytes)
    : max_length(length)
    , max_bytes(bytes)
{}

bool submission_queue::fits(std::size_t added) const
{
    return this->items < this->max_length &&
           this->total + added <= this->max_bytes;
}

bool submission_queue::displace_below(
    priority level, std::vector<submission>& displaced)
{
    for (auto i = priority_count; i-- > level_index(level) + 1;) {
        if (this->levels[i].empty()) {
            continue;
        }
        displaced.push_back(std::move(this->levels[i].back()));
        this->levels[i].pop_back();
        --this->items;
        this->total -= size_of(displaced.back());
        return true;
    }
    return false;
}

void submission_queue::push(submission item, std::vector<submission>& displaced)
{
    auto const bytes = size_of(item);
    while (!this->fits(bytes)) {
        if (bytes > this->max_bytes ||
            !this->displace_below(item.level, displaced)) {
            displaced.push_back(std::move(item));
            return;
        }
    }
    ++this->items;
    this->total += bytes;
    this->levels[level_index(item.level)].push_back(std::move(item));
}

void submission_queue::push_front(std::vector<submission> group)
{
    for (auto& item : std::views::reverse(group)) {
        ++this->items;
        this->total += size_of(item);
        this->levels[level_index(item.level)].push_front(std::move(item));
    }
}

std::vector<submission>
submission_queue::take_group(std::size_t max_items, std::size_t max_group_bytes)
{
    std::vector<submission> group;
    row_uses uses;
    passed_over passed;
    std::size_t bytes = 0;
    std::size_t examined = 0;
    bool is_full = false;
    for (auto& level : this->levels) {
        level_queue kept;
        while (!level.empty() && !is_full) {
            auto& item = level.front();
            auto const size = size_of(item);
            is_full = group.size() == max_items ||
                      examined++ == max_items * examined_per_item ||
                      (!group.empty() && bytes + size > max_group_bytes);
            if (is_full) {
                break;
            }
            if (passed.blocks(item) || !uses.can_add(item)) {
                passed.add(item);
                kept.push_back(std::move(item));
            } else {
                uses.add(item);
                bytes += size;
                group.push_back(std::move(item));
                --this->items;
                this->total -= size;
            }
            level.pop_front();
        }
        for (auto& item : std::views::reverse(kept)) {
            level.push_front(std::move(item));
        }
    }
    return group;
}

std::vector<submission> submission_queue::take_expired(base::instant now)
{
    std::vector<submission> expired;
    for (auto& level : this->levels) {
        std::erase_if(level, [now, &expired](submission const& item) {
            bool const is_expired = item.deadline && now >= *item.deadline;
            if (is_expired) {
                expired.push_back(item);
            }
            return is_expired;
        });
    }
    for (auto const& item : expired) {
        --this->items;
        this->total -= size_of(item);
    }
    return expired;
}

} // namespace foxtaillift::store::detail
