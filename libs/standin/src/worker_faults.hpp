/// Faults that tests switch on through `POST /control` of a worker; only the
/// given members change.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>

namespace foxtaillift::standin
{

struct worker_faults
{
    double fail_tasks = 0; ///< share of starts that fail at once
    double fail_calls = 0; ///< share of calls answered with 500
    bool answer_errors_fast = false;
    std::int64_t leave_answers_unsent = 0; ///< next n calls run, no answer
    std::int64_t cut_bodies = 0;           ///< next n answers are cut
    std::int64_t freeze_ms = 0;            ///< the whole process, once
};

inline void from_json(nlohmann::json const& in, worker_faults& value)
{
    value.fail_tasks = in.value("fail_tasks", value.fail_tasks);
    value.fail_calls = in.value("fail_calls", value.fail_calls);
    value.answer_errors_fast =
        in.value("answer_errors_fast", value.answer_errors_fast);
    value.leave_answers_unsent =
        in.value("leave_answers_unsent", value.leave_answers_unsent);
    value.cut_bodies = in.value("cut_bodies", value.cut_bodies);
    value.freeze_ms = in.value("freeze_ms", std::int64_t{0});
}

} // namespace foxtaillift::standin
