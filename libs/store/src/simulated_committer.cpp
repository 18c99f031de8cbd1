#include "foxtaillift/store/simulated_committer.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::store
{

simulated_committer::simulated_committer(
    virtual_process& owner,
    fake_table& shared,
    group_committer_options options,
    std::uint32_t seed,
    completion_handler handler)
    : process(owner)
    , table(shared)
    , engine(std::move(options))
    , random(seed)
    , on_completion(std::move(handler))
{}

void simulated_committer::submit(submission item)
{
    this->handle(std::move(item));
}

void simulated_committer::set_members(std::size_t members)
{
    this->handle(member_count_changed{members});
}

group_committer_statistics simulated_committer::statistics() const
{
    return this->engine.statistics();
}

void simulated_committer::handle(committer_event const& event)
{
    std::vector<committer_action> actions;
    this->engine.handle(event, this->process.now(), this->random, actions);
    for (auto& action : actions) {
        this->perform(action);
    }
    this->set_timer();
}

void simulated_committer::perform(committer_action& action)
{
    if (auto* const sent = std::get_if<send_transaction>(&action)) {
        auto const operation = sent->content.operation;
        this->table.async_transact(
            std::move(sent->content),
            [this, operation](formats::transact_result const& result) {
                this->process.run([this, operation, result] {
                    this->handle(transact_finished{operation, result});
                });
            });
    } else if (auto* const read = std::get_if<read_rows>(&action)) {
        this->table.async_read(
            std::move(read->keys), [this, request = read->request](
                                       formats::rows_result const& result) {
                this->process.run([this, request, result] {
                    this->handle(read_finished{request, result});
                });
            });
    } else if (auto const* const done = std::get_if<completion>(&action)) {
        this->on_completion(*done);
    }
}

void simulated_committer::set_timer()
{
    auto const now = this->process.now();
    auto const at =
        std::max(this->engine.wake_at(), now + base::milliseconds(1));
    if (this->timer && *this->timer <= at) {
        return;
    }
    this->timer = at;
    this->process.schedule(at - now, [this, at] {
        if (this->timer == at) {
            this->timer.reset();
        }
        this->handle(committer_tick{});
    });
}

} // namespace foxtaillift::store
