#include "call_lane.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

namespace foxtaillift::daemon
{

namespace
{

constexpr auto poll_interval = base::milliseconds(1);

/// A peer must answer a little before the call's deadline, so that its answer
/// can still be passed on.
constexpr auto forward_reserve = base::milliseconds(5);

/// Lines kept for `foxtailctl explain`; older ones are only in the log.
constexpr std::size_t journal_lines = 20'000;

constexpr char const* not_run = "not-run";

routing::stored_answer to_stored(
    transport::response const& answer, routing::call_attributes const& call)
{
    routing::stored_answer stored{
        .status = static_cast<std::uint16_t>(answer.status),
        .headers = {},
        .body = {}};
    if (!call.key.empty()) {
        stored.headers = encode_headers(answer_headers(answer.headers));
        stored.has_body =
            answer.body.size() <= routing::call_claim::max_stored_body;
        stored.body = stored.has_body ? answer.body : std::string{};
    }
    return stored;
}

} // namespace

call_lane::call_lane(
    call_services& used, routing::call_router_options const& options)
    : services(used)
    , strand(boost::asio::make_strand(used.shared.calls))
    , router(
          used.table,
          used.classes,
          used.health,
          base::make_seeded_engine(),
          options)
    , poll_timer(this->strand, [this] { this->poll(); })
    , addresses(std::make_shared<address_book>())
{}

void call_lane::start(parsed_call call, transport::responder reply)
{
    // A shared holder, because a handler must be copyable.
    auto holder = std::make_shared<transport::responder>(std::move(reply));
    boost::asio::post(
        this->strand, [self = this->shared_from_this(), call = std::move(call),
                       holder]() mutable {
            self->begin(std::move(call), std::move(*holder));
        });
}

void call_lane::set_addresses(std::shared_ptr<address_book const> book)
{
    boost::asio::post(
        this->strand,
        [self = this->shared_from_this(), book = std::move(book)]() mutable {
            self->addresses = std::move(book);
        });
}

routing::call_counters call_lane::counters() const
{
    std::lock_guard const lock{this->counters_mutex};
    return this->last_counters;
}

void call_lane::begin(parsed_call call, transport::responder reply)
{
    auto const handle = this->next_call++;
    reply.on_disconnect([weak = this->weak_from_this(), handle] {
        if (auto const self = weak.lock()) {
            boost::asio::post(self->strand, [self, handle] {
                self->handle(routing::caller_gone{handle});
            });
        }
    });
    auto attributes = call.attributes;
    this->sessions.emplace(
        handle, session{
                    .call = std::move(call),
                    .reply = std::move(reply),
                    .attempts = {},
                    .timer = nullptr,
                    .started = this->services.shared.now()});
    this->handle(routing::call_arrived{
        handle, std::move(attributes), base::make_unique_id()});
}

void call_lane::handle(routing::call_event const& event)
{
    std::vector<routing::call_action> actions;
    this->router.handle(event, this->services.shared.now(), actions);
    this->perform_all(actions);
}

void call_lane::poll()
{
    std::vector<routing::call_action> actions;
    this->router.poll(this->services.shared.now(), actions);
    this->perform_all(actions);
}

void call_lane::perform_all(std::vector<routing::call_action>& actions)
{
    for (auto const& action : actions) {
        std::visit(
            [this](auto const& wanted) { this->perform(wanted); }, action);
    }
    auto const waiting = this->router.waiting();
    this->waiting_calls = waiting;
    if (waiting > 0) {
        auto const now = this->services.shared.now();
        this->poll_timer.wake_at(now + poll_interval, now);
    }
    std::lock_guard const lock{this->counters_mutex};
    this->last_counters = this->router.counters();
}

call_lane::session* call_lane::find(routing::call_handle call)
{
    auto const found = this->sessions.find(call);
    return found == this->sessions.end() ? nullptr : &found->second;
}

transport::exchange_callback
call_lane::on_strand(std::function<void(transport::exchange_result)> function)
{
    return [self = this->shared_from_this(), function = std::move(function)](
               transport::exchange_result result) mutable {
        boost::asio::post(
            self->strand, [function = std::move(function),
                           result = std::move(result)]() mutable {
                function(std::move(result));
            });
    };
}

void call_lane::perform(routing::claim_work const& action)
{
    auto* const current = this->find(action.call);
    if (current == nullptr) {
        return;
    }
    auto const& attributes = current->call.attributes;
    this->services.claims(
        action, claim_key(attributes), attributes.deadline,
        [self = this->shared_from_this(),
         call = action.call](routing::claim_event result) {
            boost::asio::post(
                self->strand, [self, call, result = std::move(result)] {
                    self->handle(routing::claim_result{call, result});
                });
        });
}

void call_lane::perform(routing::dispatch const& action)
{
    auto* const current = this->find(action.call);
    if (current == nullptr) {
        return;
    }
    auto const address = this->addresses->workers.find(action.worker);
    auto const& attributes = current->call.attributes;
    auto message = to_upstream(
        current->call.request, attributes, action.cell, action.epoch);
    auto const remaining = std::max(
        action.deadline - this->services.shared.now(), base::milliseconds(1));
    current->attempts[action.attempt].exchange = this->services.upstreams.send(
        address == this->addresses->workers.end() ? "" : address->second,
        std::move(message), remaining,
        this->on_strand([this, call = action.call, attempt = action.attempt](
                            transport::exchange_result result) {
            this->on_upstream(call, attempt, std::move(result));
        }));
}

void call_lane::on_upstream(
    routing::call_handle call,
    routing::attempt_index attempt,
    transport::exchange_result result)
{
    using transport::failure_reason;
    switch (result.outcome) {
    case transport::delivery::not_sent:
        this->handle(routing::dispatch_failed{call, attempt, false});
        return;
    case transport::delivery::sent_unknown:
        if (result.reason == failure_reason::malformed_answer ||
            result.reason == failure_reason::incomplete_answer ||
            result.reason == failure_reason::answer_too_large) {
            this->handle(routing::answer_broken{call, attempt});
        } else {
            this->handle(routing::dispatch_failed{call, attempt, true});
        }
        return;
    case transport::delivery::answered:
        break;
    }
    auto const outcome =
        transport::find_header(result.answer.headers, "Foxtail-Outcome");
    if (outcome == not_run) {
        this->handle(routing::attempt_refused{
            call, attempt, result.answer.status == 412});
        return;
    }
    this->keep_answer(call, attempt, std::move(result.answer));
}

void call_lane::keep_answer(
    routing::call_handle call,
    routing::attempt_index attempt,
    transport::response answer)
{
    auto* const current = this->find(call);
    routing::answer_complete event{call, attempt, {}};
    if (current != nullptr) {
        event.answer = to_stored(answer, current->call.attributes);
        current->attempts[attempt].answer = std::move(answer);
    }
    this->handle(event);
}

void call_lane::perform(routing::forward const& action)
{
    auto* const current = this->find(action.call);
    if (current == nullptr) {
        return;
    }
    auto on_result =
        this->on_strand([this, call = action.call, attempt = action.attempt](
                            transport::exchange_result result) {
            this->on_peer(call, attempt, std::move(result));
        });
    auto const& links = this->addresses->links;
    auto const found =
        links ? links->find(action.host) : link_table::const_iterator{};
    if (!links || found == links->end()) {
        on_result(
            {.outcome = transport::delivery::not_sent,
             .reason = transport::failure_reason::no_connection,
             .message = "no link to host " + action.host.str(),
             .answer = {}});
        return;
    }
    auto const remaining = std::max(
        action.deadline - this->services.shared.now() - forward_reserve,
        base::milliseconds(1));
    auto const message = to_forwarded(current->call, action.avoid, remaining);
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    current->attempts[action.attempt].exchange = found->second->send(
        {.method = "POST",
         .target = "/peer/call",
         .headers = {},
         .body = std::string{buffer.data(), buffer.size()}},
        remaining + forward_reserve, std::move(on_result));
}

void call_lane::on_peer(
    routing::call_handle call,
    routing::attempt_index attempt,
    transport::exchange_result result)
{
    if (result.outcome != transport::delivery::answered) {
        bool const may_have_left =
            result.outcome == transport::delivery::sent_unknown;
        this->handle(routing::dispatch_failed{call, attempt, may_have_left});
        return;
    }
    auto const load =
        transport::find_header(result.answer.headers, "Foxtail-Cell-Load");
    if (!load.empty()) {
        this->services.cell_load_seen(std::string{load});
    }
    auto const outcome =
        transport::find_header(result.answer.headers, "Foxtail-Outcome");
    if (outcome == "ran") {
        this->keep_answer(call, attempt, std::move(result.answer));
    } else if (outcome == not_run) {
        this->handle(routing::attempt_refused{call, attempt, false});
    } else {
        this->handle(routing::answer_broken{call, attempt});
    }
}

void call_lane::perform(routing::wait_until const& action)
{
    auto* const current = this->find(action.call);
    if (current == nullptr) {
        return;
    }
    if (!current->timer) {
        current->timer = std::make_unique<wake_timer>(
            this->strand, [this, call = action.call] {
                this->handle(routing::timer_expired{call});
            });
    }
    current->timer->wake_at(action.when, this->services.shared.now());
}

void call_lane::perform(routing::cancel_attempt const& action)
{
    auto* const current = this->find(action.call);
    if (current == nullptr) {
        return;
    }
    auto const found = current->attempts.find(action.attempt);
    if (found != current->attempts.end()) {
        found->second.exchange.cancel();
    }
}

transport::response
call_lane::build_reply(session& current, routing::reply const& action) const
{
    transport::response out;
    out.status = action.status;
    if (action.answer_of) {
        auto& answer = current.attempts[*action.answer_of].answer;
        out.headers = answer_headers(std::move(answer.headers));
        out.body = std::move(answer.body);
    } else if (action.stored) {
        out.headers = decode_headers(action.stored->headers);
        out.body = action.stored->body;
    } else {
        out.headers.push_back({"Content-Type", "text/plain"});
        out.body = std::string{action.reason} + "\n";
    }
    out.headers.push_back(
        {"Foxtail-Outcome", std::string{to_string(action.outcome)}});
    if (action.retry_after.ms > 0) {
        auto const seconds = (action.retry_after.ms + 999) / 1000;
        out.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    if (current.call.attributes.is_forwarded) {
        out.headers.push_back(
            {"Foxtail-Cell-Load", this->addresses->cell_load});
    }
    return out;
}

void call_lane::perform(routing::reply const& action)
{
    if (auto* const current = this->find(action.call)) {
        current->reply.send(this->build_reply(*current, action));
    }
}

void call_lane::perform(routing::call_ended const& action)
{
    this->sessions.erase(action.call);
}

void call_lane::perform(routing::log_line const& action)
{
    this->journal.push_back(action.text);
    if (this->journal.size() > journal_lines) {
        this->journal.pop_front();
    }
    this->services.shared.log.write(action.text);
}

void call_lane::explain(
    std::string call, std::function<void(std::vector<std::string>)> done)
{
    boost::asio::post(
        this->strand, [self = this->shared_from_this(), call = std::move(call),
                       done = std::move(done)] {
            auto const field = " call=" + call;
            std::vector<std::string> lines;
            for (auto const& line : self->journal) {
                auto const found = line.find(field);
                auto const end = found + field.size();
                if (found != std::string::npos &&
                    (end == line.size() || line[end] == ' ')) {
                    lines.push_back(line);
                }
            }
            done(std::move(lines));
        });
}

} // namespace foxtaillift::daemon
