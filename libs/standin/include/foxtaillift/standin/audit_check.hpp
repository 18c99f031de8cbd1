/// Compares what the scheduler told its callers with the audits of the workers.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace foxtaillift::standin
{

/// What one call was told. A call that is sent again has the same identifier
/// and key, and a tag of its own for each try.
struct call_outcome
{
    std::string tag;
    std::string key;
    bool is_idempotent = true;
    bool is_told_not_run = false;
};

/// What the scheduler says of one submitted task. The tag is in the payload.
struct task_outcome
{
    std::string tag;
    bool is_accepted = false;
    std::string state;         ///< last state seen, or empty
    std::string explanation{}; ///< why it has this state, if given
};

struct audit_check_input
{
    std::vector<call_outcome> calls;
    std::vector<task_outcome> tasks;
    /// Answers of `GET /v1/audit?history=1`, one of each worker. Their times
    /// are comparable because the workers run on one machine.
    std::vector<nlohmann::json> const* audits = nullptr;
    bool may_finish_twice = false;
};

/// One sentence per broken guarantee, at most 20 per kind, starting with its
/// identifier ("G2: ...").
std::vector<std::string> check_audits(audit_check_input const& input);

} // namespace foxtaillift::standin
