#include "foxtaillift/jobs/worker_record.hpp"

#include "foxtaillift/base/error.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace foxtaillift::jobs
{

std::string encode_workers(std::span<worker_info const> workers)
{
    std::string text;
    for (auto const& worker : workers) {
        text += worker.id + " " + worker.address + " " + worker.service + "\n";
    }
    return text;
}

std::vector<worker_info> decode_workers(std::string_view text)
{
    std::vector<worker_info> workers;
    std::istringstream lines{std::string{text}};
    std::string line;
    while (std::getline(lines, line)) {
        std::istringstream words{line};
        worker_info worker;
        if (words >> worker.id >> worker.address >> worker.service) {
            workers.push_back(std::move(worker));
        }
    }
    return workers;
}

namespace
{

/// Between the name of a task and the number of its run.
constexpr char attempt_mark = ':';

std::optional<run_name> parse_run(std::string_view text)
{
    auto const mark = text.rfind(attempt_mark);
    if (mark == std::string_view::npos) {
        return std::nullopt;
    }
    auto task = parse_task_name(text.substr(0, mark));
    auto const number = text.substr(mark + 1);
    std::uint32_t attempt = 0;
    auto const [end, failure] =
        std::from_chars(number.data(), number.data() + number.size(), attempt);
    if (!task || failure != std::errc{} ||
        end != number.data() + number.size()) {
        return std::nullopt;
    }
    return run_name{std::move(*task), attempt};
}

[[noreturn]] void refuse(std::string const& line)
{
    throw base::error{
        base::error_code::corrupt_data,
        "the record of a silent worker cannot be read: " + line};
}

} // namespace

std::string encode_silent(std::span<silent_worker const> workers)
{
    std::string text;
    for (auto const& worker : workers) {
        text += worker.id + " " + std::to_string(worker.lease_age.ms);
        for (auto const& run : worker.runs) {
            text += " " + to_string(run.task) + attempt_mark +
                    std::to_string(run.attempt);
        }
        text += "\n";
    }
    return text;
}

std::vector<silent_worker> decode_silent(std::string_view text)
{
    std::vector<silent_worker> workers;
    std::istringstream lines{std::string{text}};
    std::string line;
    while (std::getline(lines, line)) {
        std::istringstream words{line};
        silent_worker worker;
        if (!(words >> worker.id >> worker.lease_age.ms)) {
            refuse(line);
        }
        std::string word;
        while (words >> word) {
            auto run = parse_run(word);
            if (!run) {
                refuse(line);
            }
            worker.runs.push_back(std::move(*run));
        }
        workers.push_back(std::move(worker));
    }
    return workers;
}

bool is_same_record(
    std::span<silent_worker const> left, std::span<silent_worker const> right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](silent_worker const& one, silent_worker const& other) {
            return one.id == other.id && one.runs == other.runs;
        });
}

} // namespace foxtaillift::jobs
