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

/// In place of the age of a lease.
constexpr std::string_view leaving_mark = "leaving";

/// Throws base::error if it is neither an age nor the mark.
std::optional<base::duration> parse_lease_age(std::string const& text)
{
    if (text == leaving_mark) {
        return std::nullopt;
    }
    std::int64_t age_ms = 0;
    auto const* const last = text.data() + text.size();
    auto const [end, failure] = std::from_chars(text.data(), last, age_ms);
    if (failure != std::errc{} || end != last) {
        throw base::error{
            base::error_code::corrupt_data,
            "the age of a lease cannot be read: " + text};
    }
    return base::milliseconds(age_ms);
}

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
        "the record of a closed worker cannot be read: " + line};
}

} // namespace

std::string encode(recorded_lease const& value)
{
    auto text =
        std::to_string(value.token) + " " + std::to_string(value.longest.ms);
    if (value.left) {
        text += " " + std::to_string(value.left->ms);
    }
    return text;
}

recorded_lease decode_lease(std::string_view text)
{
    std::istringstream words{std::string{text}};
    recorded_lease lease;
    if (!(words >> lease.token >> lease.longest.ms) || lease.longest.ms <= 0) {
        throw base::error{
            base::error_code::corrupt_data,
            "the longest lease cannot be read: " + std::string{text}};
    }
    base::duration left;
    if (words >> left.ms && left.ms > 0) {
        lease.left = left;
    }
    return lease;
}

std::string encode_closed(std::span<closed_worker const> workers)
{
    std::string text;
    for (auto const& worker : workers) {
        text += worker.id;
        text += " ";
        text += worker.lease_age ? std::to_string(worker.lease_age->ms)
                                 : std::string{leaving_mark};
        for (auto const& run : worker.runs) {
            text += " " + to_string(run.task) + attempt_mark +
                    std::to_string(run.attempt);
        }
        text += "\n";
    }
    return text;
}

std::vector<closed_worker> decode_closed(std::string_view text)
{
    std::vector<closed_worker> workers;
    std::istringstream lines{std::string{text}};
    std::string line;
    while (std::getline(lines, line)) {
        std::istringstream words{line};
        closed_worker worker;
        std::string word;
        if (!(words >> worker.id >> word)) {
            refuse(line);
        }
        worker.lease_age = parse_lease_age(word);
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

bool is_covered(
    std::span<closed_worker const> workers,
    std::span<closed_worker const> recorded)
{
    return std::equal(
        workers.begin(), workers.end(), recorded.begin(), recorded.end(),
        [](closed_worker const& worker, closed_worker const& known) {
            if (worker.id != known.id ||
                worker.lease_age.has_value() != known.lease_age.has_value()) {
                return false;
            }
            return worker.lease_age
                       ? worker.runs == known.runs
                       : std::includes(
                             known.runs.begin(), known.runs.end(),
                             worker.runs.begin(), worker.runs.end());
        });
}

} // namespace foxtaillift::jobs
