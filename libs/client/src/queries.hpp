/// Verbs that only read.
#pragma once

#include "session.hpp"

#include <string>

namespace foxtaillift::client
{

exit_code show_status(session const& use);
exit_code list_workers(session const& use);
/// Failure domains in which nothing starts (the job service).
exit_code list_evacuations(session const& use);
exit_code list_teams(session const& use);
exit_code list_tasks(
    session const& use, std::string const& team, std::string const& state);
/// Jobs of the job service that are not over.
exit_code list_jobs(session const& use);
/// Steps and runs of a job, and why its next task waits.
exit_code show_job(session const& use, std::string const& id);
exit_code show_task(session const& use, std::string const& name);
exit_code explain_task(session const& use, std::string const& name);
exit_code explain_call(session const& use, std::string const& call);
exit_code show_configuration(session const& use);
exit_code list_overrides(session const& use);
exit_code show_history(session const& use);
/// What the edits of a file would change, without changing it.
exit_code show_difference(session const& use, std::string const& path);

} // namespace foxtaillift::client
