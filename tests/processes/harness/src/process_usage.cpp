#include "foxtaillift/harness/process_usage.hpp"

#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace foxtaillift::harness
{

process_usage usage_of(pid_t process)
{
    constexpr std::size_t bytes_per_kb = 1024;
    auto const folder = "/proc/" + std::to_string(process);
    process_usage result;
    std::ifstream status{folder + "/status"};
    for (std::string word; status >> word;) {
        std::size_t kilobytes = 0;
        if (word == "VmRSS:" && status >> kilobytes) {
            result.resident = kilobytes * bytes_per_kb;
        } else if (word == "VmHWM:" && status >> kilobytes) {
            result.peak_resident = kilobytes * bytes_per_kb;
        }
    }
    std::error_code failure;
    for (std::filesystem::directory_iterator entry{folder + "/fd", failure};
         !failure && entry != std::filesystem::directory_iterator{};
         entry.increment(failure)) {
        ++result.descriptors;
    }
    return result;
}

} // namespace foxtaillift::harness
