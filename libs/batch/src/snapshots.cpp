// Snapshots of the task book, written in parts between other work.
#include "cell_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::batch
{

namespace
{

// Deleted in one commit; the rest follows in later ones.
constexpr std::uint64_t rows_deleted_at_once = 512;

} // namespace

void cell_state::keep_snapshot()
{
    auto& own = this->owned;
    if (own.is_head_due || own.is_head_committing) {
        return;
    }
    if (!own.snapshot) {
        bool const is_due = own.next_sequence - own.head.first_sequence >=
                            this->options.log_rows;
        if (!is_due || this->now < own.next_part) {
            return;
        }
        // Records of the commit in flight are not in the book yet; their row
        // has this number and is applied on top.
        own.snapshot = head_record{{}, own.next_sequence};
        own.snapshot_cursor = {};
        own.has_more_parts = true;
    }
    if (!own.part_in_flight.empty() || this->now < own.next_part) {
        return;
    }
    if (!own.has_more_parts) {
        own.is_head_due = true;
        return;
    }
    auto content = own.book.encode_part(
        own.snapshot_cursor, this->options.snapshot_tasks, own.has_more_parts);
    own.part_in_flight = "snapshot/" + own.cell.str() + "/" +
                         std::to_string(own.epoch) + "-" +
                         std::to_string(own.snapshot->first_sequence) + "-" +
                         std::to_string(own.snapshot->objects.size());
    this->emit(write_object{own.part_in_flight, std::move(content)});
}

void cell_state::on(object_written const& input)
{
    auto& own = this->owned;
    if (own.part_in_flight.empty() || input.name != own.part_in_flight) {
        return;
    }
    own.part_in_flight.clear();
    if (input.is_done) {
        own.snapshot->objects.push_back(input.name);
        return;
    }
    // The whole snapshot is given up and begun again later, with what was
    // written removed.
    for (auto const& name : own.snapshot->objects) {
        this->emit(delete_object{name});
    }
    this->emit(delete_object{input.name});
    own.snapshot.reset();
    own.next_part = this->now + this->options.commit_retry * 10;
}

void cell_state::add_snapshot_writes(commit& wanted)
{
    auto& own = this->owned;
    std::uint64_t end = own.head.first_sequence;
    if (own.is_head_due) {
        wanted.writes.push_back(
            {head_key(own.cell), encode_head(*own.snapshot)});
        own.is_head_committing = true;
        end = own.snapshot->first_sequence;
    }
    auto const last = std::min(end, own.oldest_row + rows_deleted_at_once);
    own.deletes_committing.clear();
    for (auto row = own.oldest_row; row < last; ++row) {
        own.deletes_committing.push_back(log_key(own.cell, row));
        wanted.writes.push_back({own.deletes_committing.back(), std::nullopt});
    }
}

void cell_state::finish_head()
{
    auto& own = this->owned;
    own.oldest_row += own.deletes_committing.size();
    own.deletes_committing.clear();
    if (!own.is_head_committing) {
        return;
    }
    for (auto const& name : own.head.objects) {
        this->emit(delete_object{name});
    }
    own.head = std::move(*own.snapshot);
    own.snapshot.reset();
    own.is_head_due = false;
    own.is_head_committing = false;
}

} // namespace foxtaillift::batch
