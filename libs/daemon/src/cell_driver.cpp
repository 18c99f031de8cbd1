#include "cell_driver.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/batch/records.hpp"

#include <utility>

namespace foxtaillift::daemon
{

namespace
{

constexpr auto tick_interval = base::milliseconds(100);
constexpr auto inbox_interval = base::milliseconds(2000);

batch::scheduler_options
options_of(context& shared, batch::scheduler_settings settings)
{
    auto const& batch = shared.settings.batch;
    return {
        .random_seed = shared.random(),
        .settings = std::move(settings),
        .task_lease = batch.task_lease,
        .renew_every = batch.task_renewal_interval,
        .lease_margin = batch.task_lease_margin,
        .max_tasks = static_cast<std::size_t>(batch.queue_limit)};
}

} // namespace

cell_driver::cell_driver(cell_services used, base::cell_id id)
    : services(std::move(used))
    , cell(std::move(id))
    , engine(options_of(services.shared, services.settings(cell)))
    , tick_timer(
          services.shared.control.get_executor(), [this] { this->on_tick(); })
    , replay_timer(
          services.shared.control.get_executor(), [this] { this->read_head(); })
{}

void cell_driver::take(formats::epoch_number won)
{
    this->epoch = won;
    this->handle(batch::cell_taken{this->cell, won});
    this->set_workers();
    this->read_head();
    this->on_tick();
}

void cell_driver::release()
{
    this->handle(batch::cell_released{});
    this->is_released = true;
    this->tick_timer.cancel();
    this->replay_timer.cancel();
    this->answer_waiting();
}

void cell_driver::set_workers()
{
    this->handle(
        batch::workers_listed{this->services.hosts.workers_of(this->cell)});
}

void cell_driver::handle(batch::event const& event)
{
    if (this->is_released) {
        return;
    }
    std::vector<batch::action> actions;
    try {
        this->engine.handle(event, this->services.shared.now(), actions);
    } catch (base::error const& failure) {
        this->services.refused(this->cell, failure.what());
        return;
    }
    for (auto& action : actions) {
        std::visit(
            [this](auto& wanted) { this->perform(std::move(wanted)); }, action);
    }
}

void cell_driver::submit(batch::task_spec spec, submission_handler done)
{
    auto const request = this->next_request++;
    this->submissions[request] = std::move(done);
    this->handle(batch::task_submitted{request, std::move(spec)});
}

void cell_driver::cancel(base::task_id task, cancel_handler done)
{
    auto const request = this->next_request++;
    this->cancels[request] = std::move(done);
    this->handle(batch::cancel_requested{request, std::move(task)});
}

void cell_driver::move(
    base::task_id task, base::cell_id target, move_handler done)
{
    auto const request = this->next_request++;
    this->moves[request] = std::move(done);
    this->handle(
        batch::move_requested{request, std::move(task), std::move(target)});
}

void cell_driver::on_tick()
{
    auto const now = this->services.shared.now();
    this->handle(batch::tick{});
    if (now >= this->next_report) {
        this->next_report =
            now + this->services.shared.settings.batch.report_interval;
        this->poll_reports();
    }
    if (now >= this->next_inbox) {
        this->next_inbox = now + inbox_interval;
        this->poll_inbox();
    }
    this->tick_timer.wake_at(now + tick_interval, now);
}

void cell_driver::poll_reports()
{
    for (auto const& worker : this->adopted) {
        if (!this->reporting.insert(worker).second) {
            continue;
        }
        this->services.agents.async_report(
            this->address_of(worker),
            this->guarded(
                [this, worker](
                    transport::agent_result<formats::usage_report> result) {
                    this->reporting.erase(worker);
                    if (result.status == formats::agent_status::done) {
                        this->handle(
                            batch::usage_reported{std::move(result.answer)});
                    }
                }));
    }
}

void cell_driver::poll_inbox()
{
    if (this->is_reading_inbox ||
        batch::summarize(this->state()).phase != batch::cell_phase::active) {
        return;
    }
    this->is_reading_inbox = true;
    this->services.store.scan_all(
        batch::inbox_prefix(this->cell),
        this->guarded([this](formats::rows_result result) {
            this->is_reading_inbox = false;
            if (result.is_answered && !result.rows.empty()) {
                this->handle(batch::inbox_read{std::move(result.rows)});
            }
        }));
}

std::string cell_driver::address_of(base::worker_id const& worker) const
{
    auto const* entry = this->services.hosts.find(worker);
    return entry == nullptr ? "" : entry->address;
}

void cell_driver::perform(batch::adopt_worker const& action)
{
    this->services.agents.async_adopt(
        this->address_of(action.worker), action.message,
        this->guarded(
            [this, request = action.request, worker = action.worker](
                transport::agent_result<formats::adopt_answer> result) {
                if (result.status == formats::agent_status::done) {
                    this->adopted.insert(worker);
                    this->services.adopted(
                        worker, result.answer.calls_in_progress);
                }
                this->handle(batch::worker_adopted{
                    request, worker, result.status, std::move(result.answer)});
            }));
}

void cell_driver::perform(batch::commit action)
{
    auto const owned = this->services.find_owned(this->cell);
    if (!owned || owned->epoch != this->epoch) {
        // The table would refuse it; the loss of the cell follows.
        this->handle(batch::commit_finished{
            action.id, formats::transact_status::rejected, {}});
        return;
    }
    store::submission content{
        .level = action.priority == batch::commit_priority::history
                     ? store::priority::history
                     : store::priority::task_record,
        .conditions = std::move(action.conditions),
        .writes = std::move(action.writes)};
    auto const owner_key = cluster::owner_key(this->cell);
    content.conditions.push_back({owner_key, owned->owner_row});
    this->services.store.submit_other(
        std::move(content),
        this->guarded([this, id = action.id,
                       owner_key](store::completion const& finished) {
            batch::commit_finished event{id, {}, finished.rows};
            switch (finished.result) {
            case store::outcome::committed:
                event.status = formats::transact_status::committed;
                break;
            case store::outcome::conflict:
                event.status = formats::transact_status::conflict;
                break;
            case store::outcome::rejected:
                event.status = formats::transact_status::rejected;
                break;
            }
            bool const is_owner_refused =
                event.status == formats::transact_status::conflict &&
                store::version_in(finished, owner_key).has_value();
            this->handle(event);
            if (is_owner_refused) {
                this->services.refused(this->cell, "owner row changed");
            }
        }));
}

void cell_driver::perform(batch::read_rows const& action)
{
    this->services.store.read(
        action.keys, this->guarded([this, request = action.request](
                                       formats::rows_result result) {
            this->handle(batch::rows_read{request, std::move(result)});
        }));
}

void cell_driver::perform(batch::write_object action)
{
    this->services.objects.async_put_if_absent(
        action.name, std::move(action.content),
        this->guarded(
            [this, name = action.name](transport::object_result const& result) {
                // Names are unique to an epoch, so an existing object is the
                // one whose answer was lost.
                bool const is_done =
                    result.status == transport::object_status::done ||
                    result.status == transport::object_status::exists;
                this->handle(batch::object_written{name, is_done});
            }));
}

void cell_driver::perform(batch::delete_object const& action)
{
    this->services.objects.async_delete(
        action.name, [](transport::object_result const&) {});
}

namespace
{

template <class Handlers, class Reply>
void answer(Handlers& handlers, Reply const& reply)
{
    auto const found = handlers.find(reply.request);
    if (found == handlers.end()) {
        return;
    }
    auto const done = std::move(found->second);
    handlers.erase(found);
    done(reply);
}

} // namespace

void cell_driver::answer_waiting()
{
    // A commit may be in flight, so the caller must repeat the request with
    // the same key, which is idempotent.
    std::string const message =
        "the owner of the cell changed; repeat with the same key";
    while (!this->submissions.empty()) {
        answer(
            this->submissions, batch::submission_reply{
                                   .request = this->submissions.begin()->first,
                                   .message = message});
    }
    while (!this->cancels.empty()) {
        answer(
            this->cancels,
            batch::cancel_reply{
                .request = this->cancels.begin()->first, .message = message});
    }
    while (!this->moves.empty()) {
        answer(
            this->moves,
            batch::move_reply{
                .request = this->moves.begin()->first, .message = message});
    }
}

void cell_driver::perform(batch::submission_reply const& action)
{
    answer(this->submissions, action);
}

void cell_driver::perform(batch::cancel_reply const& action)
{
    answer(this->cancels, action);
}

void cell_driver::perform(batch::move_reply const& action)
{
    answer(this->moves, action);
}

void cell_driver::perform(batch::log_line const& action)
{
    this->services.shared.log.write(action.line);
}

void cell_driver::perform(batch::cell_lost const& action)
{
    this->services.refused(this->cell, action.reason);
}

} // namespace foxtaillift::daemon
