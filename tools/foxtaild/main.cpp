// foxtaild: the daemon of an entry host.

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/event_line.hpp"
#include "foxtaillift/daemon/daemon.hpp"
#include "foxtaillift/settings/parse.hpp"
#include "foxtaillift/settings/print.hpp"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <iostream>
#include <string>

namespace
{

constexpr int exit_bad_settings = 2;
constexpr int exit_failed = 3;

void print_listening(std::string_view role, std::string const& address)
{
    foxtaillift::base::event_line line{"listening"};
    line.add("role", role).add("address", address);
    std::cout << line.str() << std::endl;
}

int run(std::string const& path, bool is_check_only)
{
    foxtaillift::settings::daemon_settings settings;
    try {
        settings = foxtaillift::settings::load_settings(path);
    } catch (foxtaillift::base::error const& failure) {
        std::cerr << failure.what() << "\n";
        return exit_bad_settings;
    }
    if (is_check_only) {
        std::cout << path << ": valid\n";
        return 0;
    }
    try {
        foxtaillift::daemon::entry_host host{std::move(settings)};
        return host.run(print_listening);
    } catch (std::exception const& failure) {
        std::cerr << "foxtaild: " << failure.what() << "\n";
        return exit_failed;
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{
        "Entry host of foxtaillift: routes calls and places batch tasks.\n"
        "Exit status: 0 stopped gracefully, 1 the shutdown was cut short, "
        "2 bad settings, 3 failed."};
    std::string path;
    bool is_check_only = false;
    bool is_default_wanted = false;
    bool is_reference_wanted = false;
    auto* const config = app.add_option("--config", path, "Settings file");
    auto* const check =
        app.add_option("--check-config", path, "Only check this settings file");
    config->excludes(check);
    app.add_flag(
        "--print-default-config", is_default_wanted,
        "Print a settings file with all defaults");
    app.add_flag(
        "--print-settings-reference", is_reference_wanted,
        "Print the table of docs/settings.md");
    CLI11_PARSE(app, argc, argv);

    if (is_default_wanted) {
        std::cout << foxtaillift::settings::default_file();
        return 0;
    }
    if (is_reference_wanted) {
        std::cout << foxtaillift::settings::reference_table();
        return 0;
    }
    if (path.empty()) {
        std::cerr << "foxtaild: --config FILE is required\n";
        return exit_bad_settings;
    }
    is_check_only = check->count() > 0;

    // Hosts have no disk: lines go to stderr only.
    FLAGS_logtostderr = true;
    google::InitGoogleLogging("foxtaild");
    return run(path, is_check_only);
}
