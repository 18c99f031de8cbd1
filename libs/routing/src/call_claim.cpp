#include "foxtaillift/routing/call_claim.hpp"

#include "foxtaillift/base/error.hpp"

#include <utility>

namespace foxtaillift::routing
{

call_claim::call_claim(std::string id)
    : operation(std::move(id))
{
    if (this->operation.empty()) {
        throw base::error{
            base::error_code::invalid_argument,
            "a keyed call needs an operation id"};
    }
}

bool call_claim::is_held() const
{
    return this->current == step::held;
}

bool call_claim::is_done() const
{
    return this->current == step::done;
}

claim_action call_claim::start()
{
    if (this->current != step::idle) {
        throw base::error{
            base::error_code::invalid_state, "the claim was started before"};
    }
    this->current = step::creating;
    return claim_create{};
}

claim_action call_claim::handle(claim_event const& event)
{
    switch (this->current) {
    case step::creating:
        return this->on_create(event);
    case step::reading:
        return this->on_read(event);
    case step::storing:
    case step::deleting:
        return this->on_final_write(event);
    case step::idle:
    case step::held:
    case step::done:
        break;
    }
    return {};
}

claim_action call_claim::on_create(claim_event const& event)
{
    if (auto const* committed = std::get_if<write_committed>(&event)) {
        this->version = committed->version;
        this->current = step::held;
        return claim_dispatch{};
    }
    if (std::holds_alternative<write_rejected>(event)) {
        this->current = step::done;
        return claim_refuse{"the claim could not be written"};
    }
    if (std::holds_alternative<write_conflict>(event) ||
        std::holds_alternative<write_unknown>(event)) {
        this->current = step::reading;
        return claim_read{};
    }
    return {};
}

claim_action call_claim::on_read(claim_event const& event)
{
    if (std::holds_alternative<row_read_failed>(event)) {
        // This call has not been dispatched, whoever holds the key.
        this->current = step::done;
        return claim_refuse{"the claim could not be read"};
    }
    auto const* read = std::get_if<row_read>(&event);
    if (read == nullptr) {
        return {};
    }
    if (!read->row) {
        // The row may still appear if the write is only delayed. It would
        // then stay "in progress" and later requests get 409, which is safe.
        this->current = step::done;
        return claim_refuse{"the claim was not written"};
    }
    if (read->row->answer) {
        this->current = step::done;
        return claim_reply_stored{*read->row->answer};
    }
    if (read->row->operation != this->operation) {
        this->current = step::done;
        return claim_reply_conflict{};
    }
    this->version = read->row->version;
    this->current = step::held;
    return claim_dispatch{};
}

claim_action call_claim::finish(stored_answer outcome)
{
    if (this->current != step::held) {
        throw base::error{
            base::error_code::invalid_state, "the claim is not held"};
    }
    if (outcome.body.size() > max_stored_body) {
        outcome.body.clear();
        outcome.has_body = false;
    }
    this->answer = std::move(outcome);
    this->current = step::storing;
    return claim_store{*this->answer, this->version};
}

claim_action call_claim::abandon()
{
    if (this->current != step::held) {
        throw base::error{
            base::error_code::invalid_state, "the claim is not held"};
    }
    this->current = step::deleting;
    return claim_delete{this->version};
}

void call_claim::leave_unknown()
{
    if (this->current != step::held) {
        throw base::error{
            base::error_code::invalid_state, "the claim is not held"};
    }
    this->current = step::done;
}

claim_action call_claim::on_final_write(claim_event const& event)
{
    if (std::holds_alternative<write_committed>(event)) {
        this->current = step::done;
        return {};
    }
    if (std::holds_alternative<row_read>(event) ||
        std::holds_alternative<row_read_failed>(event)) {
        return {};
    }
    this->writes_left -= 1;
    // A conflict means that the row changed, at the latest by an earlier try
    // of this write whose answer was lost; trying again cannot help.
    if (this->writes_left == 0 ||
        std::holds_alternative<write_conflict>(event)) {
        this->outcome_lost = this->writes_left == 0;
        this->current = step::done;
        return {};
    }
    if (this->current == step::deleting) {
        return claim_delete{this->version};
    }
    return claim_store{*this->answer, this->version};
}

} // namespace foxtaillift::routing
