// foxtail-replay: replays recorded traces and checks their stated outcomes.

#include "foxtaillift/replay/replay.hpp"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argument_count, char** arguments)
{
    CLI::App app{
        "Replays traces into the decision libraries. Exit code 0: all "
        "expectations hold, 1: one is violated, 2: a trace is malformed."};
    std::vector<std::string> files;
    bool is_log_wanted = false;
    app.add_option("traces", files, "files as described in traces/README.md")
        ->required();
    app.add_flag(
        "--log", is_log_wanted, "log lines of the decisions, to stderr");
    CLI11_PARSE(app, argument_count, arguments);
    return foxtaillift::replay::replay_files(
        files, std::cout, std::cerr, is_log_wanted);
}
