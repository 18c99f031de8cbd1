#include "foxtaillift/client/command_line.hpp"

#include "commands.hpp"
#include "queries.hpp"

#include "foxtaillift/base/error.hpp"

#include <CLI/CLI.hpp>

#include <charconv>
#include <cstdlib>
#include <functional>
#include <memory>
#include <utility>

namespace foxtaillift::client
{

namespace
{

/// Values of all arguments, and the verb that was chosen.
struct arguments
{
    connection_options link;
    std::string format = "table";
    change_options change;
    override_options exception;
    std::string expires;
    bool has_no_expiry = false;
    std::string name;
    std::string subject;
    std::string value;
    std::string team;
    std::string state;
    std::string path;
    std::uint64_t version = 0;
    std::optional<std::int64_t> wait_seconds;
    std::function<exit_code(session const&)> verb;
};

using verb_function = std::function<exit_code(session const&)>;

void on_chosen(CLI::App* command, arguments& values, verb_function verb)
{
    command->callback(
        [&values, verb = std::move(verb)] { values.verb = verb; });
}

void add_change_options(CLI::App* command, arguments& values)
{
    command->add_option("--author", values.change.author, "Who changes it")
        ->envname("FOXTAIL_AUTHOR")
        ->required();
    command->add_option("--reason", values.change.reason, "Why");
    command->add_option(
        "--expected", values.change.expected,
        "Version that you saw; another one in force refuses the change");
    command->add_option(
        "--wait", values.wait_seconds,
        "Seconds to wait until it is in force on every host");
    command->add_flag(
        "--force", values.change.is_forced,
        "Accept although no worker is left that can run something");
}

CLI::App* add_group(CLI::App& app, char const* name, char const* help)
{
    auto* const group = app.add_subcommand(name, help);
    group->require_subcommand(1);
    return group;
}

void add_task_verbs(CLI::App& app, arguments& values)
{
    auto* const group = add_group(app, "task", "Batch tasks");
    auto* const submit = group->add_subcommand(
        "submit", "Submit the task that a JSON file declares");
    submit->add_option("FILE", values.path, "See docs/batch.md")->required();
    on_chosen(submit, values, [&values](auto const& use) {
        return submit_task(use, values.path);
    });
    auto* const show = group->add_subcommand("show", "Show one task");
    show->add_option("NAME", values.name, "TEAM/KEY")->required();
    on_chosen(show, values, [&values](auto const& use) {
        return show_task(use, values.name);
    });
    auto* const cancel = group->add_subcommand("cancel", "Cancel one task");
    cancel->add_option("NAME", values.name, "TEAM/KEY")->required();
    on_chosen(cancel, values, [&values](auto const& use) {
        return cancel_task(use, values.name);
    });
    auto* const list = group->add_subcommand("list", "List tasks");
    list->add_option("--team", values.team, "Only of this team");
    list->add_option("--state", values.state, "Only in this state");
    on_chosen(list, values, [&values](auto const& use) {
        return list_tasks(use, values.team, values.state);
    });
}

void add_job_verbs(CLI::App& app, arguments& values)
{
    auto* const group =
        add_group(app, "job", "Jobs of dependent steps (the job service)");
    on_chosen(
        group->add_subcommand("list", "Jobs that are not over"), values,
        list_jobs);
    auto* const show = group->add_subcommand(
        "show", "Steps and runs of a job, and why its next task waits");
    show->add_option("ID", values.name, "Identifier of the job")->required();
    on_chosen(show, values, [&values](auto const& use) {
        return show_job(use, values.name);
    });
    auto* const submit = group->add_subcommand(
        "submit", "Submit the job that a JSON file declares");
    submit->add_option("FILE", values.path, "See docs/operator-interface.md")
        ->required();
    on_chosen(submit, values, [&values](auto const& use) {
        return submit_job(use, values.path);
    });
    auto* const cancel = group->add_subcommand("cancel", "Cancel one job");
    cancel->add_option("ID", values.name, "Identifier of the job")->required();
    on_chosen(cancel, values, [&values](auto const& use) {
        return cancel_job(use, values.name);
    });
}

void add_evacuation_verbs(CLI::App& app, arguments& values)
{
    auto* const group = add_group(
        app, "evacuation", "Evacuated failure domains (the job service)");
    on_chosen(
        group->add_subcommand("list", "Since when, and what is still there"),
        values, list_evacuations);
}

/// drain, quarantine and release are overrides of `worker.state`.
void add_worker_order(
    CLI::App* group,
    arguments& values,
    char const* verb,
    char const* help,
    char const* state)
{
    auto* const command = group->add_subcommand(verb, help);
    command->add_option("WORKER", values.name, "Name of the worker")
        ->required();
    add_change_options(command, values);
    on_chosen(command, values, [&values, state](auto const& use) {
        if (state == nullptr) {
            return remove_override(
                use, "worker.state", values.name, values.change);
        }
        return add_override(
            use,
            {.name = "worker.state",
             .subject = values.name,
             .value = state,
             .expires_in_ms = {}},
            values.change);
    });
}

void add_worker_verbs(CLI::App& app, arguments& values)
{
    auto* const group = add_group(app, "worker", "Workers");
    auto* const list = group->add_subcommand("list", "List workers");
    on_chosen(list, values, list_workers);
    add_worker_order(
        group, values, "drain", "No new work; tasks move away", "drained");
    add_worker_order(
        group, values, "quarantine", "No new work; tasks stay", "quarantined");
    add_worker_order(
        group, values, "release", "End a drain or quarantine", nullptr);
}

void add_config_verbs(CLI::App& app, arguments& values)
{
    auto* const group =
        add_group(app, "config", "Fleet configuration: defaults and history");
    on_chosen(
        group->add_subcommand("show", "Show version and defaults"), values,
        show_configuration);
    on_chosen(
        group->add_subcommand("history", "Show accepted changes"), values,
        show_history);
    auto* const diff =
        group->add_subcommand("diff", "Show what a file would change");
    diff->add_option("FILE", values.path, "Edits, see docs/OPERATIONS.md")
        ->required();
    on_chosen(diff, values, [&values](auto const& use) {
        return show_difference(use, values.path);
    });
    auto* const apply_command =
        group->add_subcommand("apply", "Apply the edits of a file");
    apply_command->add_option("FILE", values.path, "Edits")->required();
    add_change_options(apply_command, values);
    on_chosen(apply_command, values, [&values](auto const& use) {
        return apply_file(use, values.path, values.change);
    });
    auto* const set = group->add_subcommand("set", "Set one default");
    set->add_option("NAME", values.name, "Name of the setting")->required();
    set->add_option("VALUE", values.value, "New value")->required();
    add_change_options(set, values);
    on_chosen(set, values, [&values](auto const& use) {
        return set_default(use, values.name, values.value, values.change);
    });
    auto* const back = group->add_subcommand(
        "rollback", "Make a new version with the content of an earlier one");
    back->add_option("VERSION", values.version, "Earlier version")->required();
    add_change_options(back, values);
    on_chosen(back, values, [&values](auto const& use) {
        return roll_back(use, values.version, values.change);
    });
}

exit_code run_add_override(session const& use, arguments& values)
{
    if (values.expires.empty() == !values.has_no_expiry) {
        use.err << "give either --expires or --no-expiry\n";
        return exit_code::usage;
    }
    if (!values.has_no_expiry) {
        values.exception.expires_in_ms = parse_span(values.expires);
        if (!values.exception.expires_in_ms) {
            use.err << "--expires: found '" << values.expires
                    << "'; allowed: a number with s, m, h or d\n";
            return exit_code::usage;
        }
    }
    return add_override(use, values.exception, values.change);
}

void add_override_verbs(CLI::App& app, arguments& values)
{
    auto* const group =
        add_group(app, "override", "Exceptions to the defaults");
    on_chosen(
        group->add_subcommand("list", "List overrides"), values,
        list_overrides);
    auto* const add = group->add_subcommand("add", "Add or replace one");
    add->add_option("NAME", values.exception.name, "Setting")->required();
    add->add_option("SUBJECT", values.exception.subject, "What it is for")
        ->required();
    add->add_option("VALUE", values.exception.value, "Value")->required();
    add->add_option("--expires", values.expires, "For example 12h or 3d");
    add->add_flag("--no-expiry", values.has_no_expiry, "Keep until removed");
    add_change_options(add, values);
    add->get_option("--reason")->required();
    on_chosen(add, values, [&values](auto const& use) {
        return run_add_override(use, values);
    });
    auto* const remove = group->add_subcommand("remove", "Remove one");
    remove->add_option("NAME", values.name, "Setting")->required();
    remove->add_option("SUBJECT", values.subject, "What it is for")->required();
    add_change_options(remove, values);
    on_chosen(remove, values, [&values](auto const& use) {
        return remove_override(use, values.name, values.subject, values.change);
    });
}

void add_explain_verbs(CLI::App& app, arguments& values)
{
    auto* const group = add_group(app, "explain", "Why was it decided so");
    auto* const task = group->add_subcommand(
        "task", "Why a task waits, or where it was placed and why");
    task->add_option("NAME", values.name, "TEAM/KEY")->required();
    on_chosen(task, values, [&values](auto const& use) {
        return explain_task(use, values.name);
    });
    auto* const call = group->add_subcommand(
        "call", "How the asked entry host routed a recent call");
    call->add_option("CALL", values.name, "Call id of the log")->required();
    on_chosen(call, values, [&values](auto const& use) {
        return explain_call(use, values.name);
    });
}

void add_options(CLI::App& app, arguments& values)
{
    app.require_subcommand(1);
    app.add_option(
           "--address", values.link.addresses,
           "Operator listener of an entry host, IP:port; may be repeated")
        ->envname("FOXTAIL_ADDRESS");
    app.add_option(
           "--key", values.link.key,
           "Operator key in hexadecimal; better given as FOXTAIL_OPERATOR_KEY")
        ->envname("FOXTAIL_OPERATOR_KEY");
    app.add_option("--output", values.format, "table or json")
        ->check(CLI::IsMember({"table", "json"}));
    on_chosen(
        app.add_subcommand("status", "Entry hosts and cells"), values,
        show_status);
    on_chosen(
        app.add_subcommand("quota", "Teams with their quota and use"), values,
        list_teams);
    add_task_verbs(app, values);
    add_job_verbs(app, values);
    add_evacuation_verbs(app, values);
    add_worker_verbs(app, values);
    add_config_verbs(app, values);
    add_override_verbs(app, values);
    add_explain_verbs(app, values);
}

} // namespace

std::optional<std::int64_t> parse_span(std::string_view text)
{
    std::int64_t count = 0;
    auto const* const first = std::to_address(text.begin());
    auto const* const last = std::to_address(text.end());
    auto const [end, failure] = std::from_chars(first, last, count);
    if (failure != std::errc{} || count <= 0 || end + 1 != last) {
        return std::nullopt;
    }
    constexpr std::int64_t second = 1000;
    switch (*end) {
    case 's':
        return count * second;
    case 'm':
        return count * 60 * second;
    case 'h':
        return count * 3600 * second;
    case 'd':
        return count * 24 * 3600 * second;
    default:
        return std::nullopt;
    }
}

exit_code run_command_line(
    int argc, char const* const* argv, std::ostream& out, std::ostream& err)
{
    CLI::App app{
        "foxtailctl: the command line for operators of foxtaillift.\n"
        "Exit status: 0 done, 1 refused or not found, 2 bad arguments, 3 no "
        "entry host answers,\n4 somebody else changed the configuration "
        "first, 5 not in force everywhere in time."};
    arguments values;
    add_options(app, values);
    try {
        app.parse(argc, argv);
    } catch (CLI::ParseError const& failure) {
        auto const status = app.exit(failure, out, err);
        return status == 0 ? exit_code::done : exit_code::usage;
    }
    if (values.wait_seconds) {
        values.change.wait = base::seconds(*values.wait_seconds);
    }
    try {
        connection const link{values.link};
        auto const format = values.format == "json" ? output_format::json
                                                    : output_format::table;
        return values.verb({link, format, out, err});
    } catch (base::error const& failure) {
        err << "foxtailctl: " << failure.what() << "\n";
        return failure.code() == base::error_code::invalid_argument
                   ? exit_code::usage
                   : exit_code::silent;
    }
}

} // namespace foxtaillift::client
