#include "commands.hpp"

#include "change_file.hpp"

#include "foxtaillift/base/error.hpp"

#include <fstream>
#include <thread>
#include <utility>

namespace foxtaillift::client
{

namespace
{

using nlohmann::json;

constexpr auto wait_interval = base::milliseconds(100);

std::uint64_t read_version(session const& use)
{
    auto const received = use.link.get("/v1/config/versions");
    if (!received.is_done()) {
        throw base::error(
            base::error_code::unavailable, "the version cannot be read");
    }
    return received.body.at("version").get<std::uint64_t>();
}

/// Waits until every host has the version; names those that lag at the end.
exit_code wait_for_version(
    session const& use, std::uint64_t version, base::duration limit)
{
    base::steady_clock const clock;
    auto const end = clock.now() + limit;
    while (true) {
        std::string lagging;
        auto const received = use.link.get("/v1/config/versions");
        auto const hosts = received.body.value("hosts", json::object());
        for (auto const& [host, seen] : hosts.items()) {
            if (seen.get<std::uint64_t>() < version) {
                lagging += (lagging.empty() ? "" : ", ") + host;
            }
        }
        if (received.is_done() && lagging.empty()) {
            use.out << "in force on all hosts\n";
            return exit_code::done;
        }
        if (clock.now() >= end) {
            use.err << "not in force in time on: " << lagging << "\n";
            return exit_code::waiting;
        }
        std::this_thread::sleep_for(wait_interval.to_chrono());
    }
}

void report_outdated(session const& use, json const& body)
{
    use.err << "somebody else changed the configuration first; version "
            << body["version"] << " is in force:\n";
    for (auto const& change : body.value("changes", json::array())) {
        use.err << "  version " << change["version"] << " by "
                << change.value("author", "") << ": "
                << change.value("reason", "") << "\n";
    }
    for (auto const& line : body.value("differences", json::array())) {
        use.err << "  " << line.get<std::string>() << "\n";
    }
}

exit_code finish_change(
    session const& use, answer const& received, change_options const& options)
{
    if (received.status == 409) {
        report_outdated(use, received.body);
        return exit_code::outdated;
    }
    if (!received.is_done()) {
        return report_refusal(use, received);
    }
    auto const version = received.body.at("version").get<std::uint64_t>();
    if (use.format == output_format::json) {
        use.out << received.body.dump(2) << "\n";
    } else {
        use.out << "accepted as version " << version;
        use.out
            << (received.body["acknowledged"].empty()
                    ? ", not yet in force elsewhere\n"
                    : "\n");
    }
    return options.wait ? wait_for_version(use, version, *options.wait)
                        : exit_code::done;
}

exit_code apply(session const& use, json edits, change_options const& options)
{
    json const body = {
        {"expected", options.expected ? *options.expected : read_version(use)},
        {"author", options.author},
        {"reason", options.reason},
        {"forced", options.is_forced},
        {"edits", std::move(edits)}};
    return finish_change(use, use.link.post("/v1/config", body), options);
}

std::int64_t wall_now_ms()
{
    return base::wall_time_ms();
}

} // namespace

json read_json_file(std::string const& path)
{
    std::ifstream in{path};
    if (!in) {
        throw base::error(
            base::error_code::invalid_argument,
            "file '" + path + "' cannot be read");
    }
    try {
        auto document = json::parse(in, nullptr, true, true);
        if (document.is_object()) {
            return document;
        }
    } catch (json::parse_error const& failure) {
        throw base::error(
            base::error_code::invalid_argument, path + ": " + failure.what());
    }
    throw base::error(
        base::error_code::invalid_argument, path + ": must hold an object");
}

json read_change_file(std::string const& path)
{
    auto document = read_json_file(path);
    if (!document.contains("edits") || !document["edits"].is_array()) {
        throw base::error(
            base::error_code::invalid_argument,
            path + ": must have an array \"edits\"");
    }
    return document;
}

exit_code report_refusal(session const& use, answer const& received)
{
    if (use.format == output_format::json) {
        use.out << received.body.dump(2) << "\n";
        return exit_code::refused;
    }
    auto const& body = received.body;
    use.err << "refused (" << received.status << ")";
    if (body.is_object()) {
        auto const text = body.value("message", body.value("status", ""));
        if (text != "refused") {
            use.err << ": " << text;
        }
        for (auto const& line : body.value("messages", json::array())) {
            use.err << "\n  " << line.get<std::string>();
        }
    }
    use.err << "\n";
    return exit_code::refused;
}

exit_code submit_task(session const& use, std::string const& path)
{
    auto const received = use.link.post("/v1/tasks", read_json_file(path));
    if (!received.is_done()) {
        return report_refusal(use, received);
    }
    use.out << (use.format == output_format::json
                    ? received.body.dump(2)
                    : received.body.value("status", "") + " " +
                          received.body.value("task", ""))
            << "\n";
    return exit_code::done;
}

exit_code cancel_task(session const& use, std::string const& name)
{
    auto const received = use.link.remove("/v1/tasks/" + name);
    if (!received.is_done()) {
        return report_refusal(use, received);
    }
    use.out << "cancelled " << received.body.value("task", "") << "\n";
    return exit_code::done;
}

namespace
{

/// What became of a job, in the words of the entry host.
exit_code report_job(session const& use, answer const& received)
{
    use.out << (use.format == output_format::json
                    ? received.body.dump(2)
                    : received.body.value("outcome", "") + " " +
                          received.body.value("job", ""))
            << "\n";
    return exit_code::done;
}

} // namespace

exit_code submit_job(session const& use, std::string const& path)
{
    auto const received = use.link.post("/v1/jobs", read_json_file(path));
    if (!received.is_done()) {
        return report_refusal(use, received);
    }
    return report_job(use, received);
}

exit_code cancel_job(session const& use, std::string const& id)
{
    auto const received = use.link.remove("/v1/jobs/" + id);
    if (!received.is_done()) {
        return report_refusal(use, received);
    }
    return report_job(use, received);
}

exit_code
apply_file(session const& use, std::string const& path, change_options options)
{
    auto const change = read_change_file(path);
    if (options.reason.empty()) {
        options.reason = change.value("reason", std::string{});
    }
    if (!options.expected && change.contains("expected")) {
        options.expected = change["expected"].get<std::uint64_t>();
    }
    return apply(use, change["edits"], options);
}

exit_code set_default(
    session const& use,
    std::string const& name,
    std::string const& value,
    change_options const& options)
{
    return apply(
        use, {{{"kind", "set_default"}, {"name", name}, {"value", value}}},
        options);
}

exit_code roll_back(
    session const& use, std::uint64_t target, change_options const& options)
{
    json const body = {
        {"expected", options.expected ? *options.expected : read_version(use)},
        {"target", target},
        {"author", options.author},
        {"reason", options.reason}};
    return finish_change(
        use, use.link.post("/v1/config/rollback", body), options);
}

exit_code add_override(
    session const& use,
    override_options const& what,
    change_options const& options)
{
    json edit = {
        {"kind", "set_override"},
        {"name", what.name},
        {"subject", what.subject},
        {"value", what.value}};
    if (what.expires_in_ms) {
        edit["expires_at_ms"] = wall_now_ms() + *what.expires_in_ms;
    } else {
        edit["no_expiry"] = true;
    }
    return apply(use, json::array({std::move(edit)}), options);
}

exit_code remove_override(
    session const& use,
    std::string const& name,
    std::string const& subject,
    change_options const& options)
{
    return apply(
        use,
        json::array(
            {{{"kind", "remove_override"},
              {"name", name},
              {"subject", subject}}}),
        options);
}

} // namespace foxtaillift::client
