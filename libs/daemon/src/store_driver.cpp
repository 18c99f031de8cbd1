#include "store_driver.hpp"

#include <utility>

namespace foxtaillift::daemon
{

store_driver::store_driver(context& context, transport::table_client& client)
    : shared(context)
    , table(client)
    , committer(
          {.host = context.settings.host.id,
           .writer = context.process,
           .timeout = context.settings.platform.request_timeout})
    , timer(context.control.get_executor(), [this] {
        this->handle(store::committer_tick{});
    })
{}

void store_driver::submit(store::submission content, completion_handler done)
{
    this->waiting[content.id] = std::move(done);
    this->handle(std::move(content));
}

void store_driver::submit_other(
    store::submission content, completion_handler done)
{
    content.id = {store::submitter::other, this->next_number++};
    this->submit(std::move(content), std::move(done));
}

void store_driver::read(std::vector<std::string> const& keys, rows_handler done)
{
    this->table.async_read(keys, std::move(done));
}

void store_driver::scan(formats::scan_request const& request, rows_handler done)
{
    this->table.async_scan(request, std::move(done));
}

void store_driver::scan_all(std::string prefix, rows_handler done)
{
    this->scan_page(
        {.prefix = std::move(prefix), .after = {}, .limit = 200}, {},
        std::move(done));
}

void store_driver::scan_page(
    formats::scan_request request,
    formats::rows_result collected,
    rows_handler done)
{
    this->table.async_scan(
        request, [this, request, collected = std::move(collected),
                  done = std::move(done)](formats::rows_result page) mutable {
            if (!page.is_answered) {
                done(std::move(page));
                return;
            }
            for (auto& row : page.rows) {
                collected.rows.push_back(std::move(row));
            }
            if (!page.has_more || collected.rows.empty()) {
                collected.is_answered = true;
                done(std::move(collected));
                return;
            }
            request.after = collected.rows.back().key;
            this->scan_page(request, std::move(collected), std::move(done));
        });
}

void store_driver::set_members(std::size_t members)
{
    this->handle(store::member_count_changed{members});
}

void store_driver::handle(store::committer_event const& event)
{
    std::vector<store::committer_action> actions;
    auto const now = this->shared.now();
    this->committer.handle(event, now, this->shared.random, actions);
    for (auto& action : actions) {
        std::visit(
            [this](auto& wanted) { this->perform(std::move(wanted)); }, action);
    }
    this->timer.wake_at(this->committer.wake_at(), now);
}

void store_driver::perform(store::send_transaction const& action)
{
    this->table.async_transact(
        action.content, [this, operation = action.content.operation](
                            formats::transact_result result) {
            this->handle(
                store::transact_finished{operation, std::move(result)});
        });
}

void store_driver::perform(store::read_rows const& action)
{
    this->table.async_read(
        action.keys,
        [this, request = action.request](formats::rows_result result) {
            this->handle(store::read_finished{request, std::move(result)});
        });
}

void store_driver::perform(store::completion const& action)
{
    auto const found = this->waiting.find(action.id);
    if (found == this->waiting.end()) {
        return;
    }
    auto const done = std::move(found->second);
    this->waiting.erase(found);
    done(action);
}

void store_driver::perform(store::log_line action)
{
    this->shared.log.write(std::move(action.text));
}

} // namespace foxtaillift::daemon
