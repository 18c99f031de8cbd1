#include "foxtaillift/jobs/worker_record.hpp"

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

} // namespace foxtaillift::jobs
