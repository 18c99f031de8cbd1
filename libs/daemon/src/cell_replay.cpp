// Reads what the table and the object store hold of a cell after it was taken.
// Nobody else can append to the log at that point, because every append carries
// the version of the owner row.

#include "cell_driver.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/batch/records.hpp"

#include <utility>

namespace foxtaillift::daemon
{

namespace
{

constexpr auto replay_retry = base::milliseconds(500);

} // namespace

struct cell_driver::replay
{
    batch::log_replayed result;
    batch::head_record head;
};

void cell_driver::retry_replay()
{
    auto const now = this->services.shared.now();
    base::event_line line{"cell_replay_delayed"};
    this->services.shared.log.write(line.add("cell", this->cell));
    this->replay_timer.wake_at(now + replay_retry, now);
}

void cell_driver::read_head()
{
    auto on_read = [weak =
                        this->weak_from_this()](formats::rows_result result) {
        auto const self = weak.lock();
        if (!self || self->is_released) {
            return;
        }
        if (!result.is_answered || result.rows.size() != 1) {
            self->retry_replay();
            return;
        }
        auto progress = std::make_shared<replay>();
        if (result.rows[0].version != 0) {
            progress->result.head = std::move(result.rows[0].value);
            try {
                progress->head = batch::decode_head(progress->result.head);
            } catch (base::error const& failure) {
                self->services.refused(self->cell, failure.what());
                return;
            }
        }
        self->read_object(progress, 0);
    };
    this->services.store.read({batch::head_key(this->cell)}, on_read);
}

void cell_driver::read_object(
    std::shared_ptr<replay> const& progress, std::size_t index)
{
    if (index == progress->head.objects.size()) {
        this->read_log(progress);
        return;
    }
    this->services.objects.async_get(
        progress->head.objects[index],
        [weak = this->weak_from_this(), progress,
         index](transport::object_result result) {
            auto const self = weak.lock();
            if (!self || self->is_released) {
                return;
            }
            if (result.status != transport::object_status::done) {
                self->retry_replay();
                return;
            }
            progress->result.objects.push_back(std::move(result.content));
            self->read_object(progress, index + 1);
        });
}

void cell_driver::read_log(std::shared_ptr<replay> const& progress)
{
    this->scan_rows(
        batch::log_prefix(this->cell),
        [progress](cell_driver& self, std::vector<formats::row> rows) {
            progress->result.log = std::move(rows);
            self.read_inbox(progress);
        });
}

void cell_driver::read_inbox(std::shared_ptr<replay> const& progress)
{
    this->scan_rows(
        batch::inbox_prefix(this->cell),
        [progress](cell_driver& self, std::vector<formats::row> rows) {
            progress->result.inbox = std::move(rows);
            self.finish_replay(*progress);
        });
}

void cell_driver::scan_rows(std::string const& prefix, row_handler done)
{
    this->services.store.scan_all(
        prefix, [weak = this->weak_from_this(),
                 done = std::move(done)](formats::rows_result result) {
            auto const self = weak.lock();
            if (!self || self->is_released) {
                return;
            }
            if (!result.is_answered) {
                self->retry_replay();
                return;
            }
            done(*self, std::move(result.rows));
        });
}

void cell_driver::finish_replay(replay const& progress)
{
    base::event_line line{"cell_replayed"};
    line.add("cell", this->cell).add("epoch", this->epoch);
    line.add("objects", progress.result.objects.size());
    line.add("rows", progress.result.log.size());
    this->services.shared.log.write(line);
    this->handle(progress.result);
}

} // namespace foxtaillift::daemon
