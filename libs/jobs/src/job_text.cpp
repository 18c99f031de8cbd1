#include "foxtaillift/jobs/job_text.hpp"

#include "foxtaillift/base/bounded_json.hpp"
#include "foxtaillift/base/error.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace foxtaillift::jobs
{

namespace
{

using nlohmann::json;

/// Keys of rows hold an identifier and a few characters more, 200 bytes at
/// most.
constexpr std::size_t longest_id = 64;

/// Of amounts and numbers; sums over all workers stay within 64 bits.
constexpr std::uint64_t largest_count = 1'000'000'000'000;

[[noreturn]] void refuse(std::string const& problem)
{
    throw base::error{base::error_code::invalid_argument, problem};
}

/// Takes the members of an object one after the other; whatever is left is
/// unknown.
class member_reader
{
public:
    member_reader(json object, std::string name_of_object)
        : left(std::move(object))
        , where(std::move(name_of_object))
    {
        if (!this->left.is_object()) {
            refuse(this->where + " is not an object");
        }
    }

    /// Leaves `target` as it is if the member is missing.
    template <class Value>
    void take(char const* name, Value& target)
    {
        auto const found = this->left.find(name);
        if (found == this->left.end()) {
            return;
        }
        try {
            target = found->get<Value>();
        } catch (json::exception const&) {
            refuse(
                this->where + ": \"" + name +
                "\" has the wrong type: " + found->dump());
        }
        this->left.erase(found);
    }

    /// A whole number between 0 and `largest`.
    template <class Number>
    void take_number(
        char const* name, Number& target, std::uint64_t largest = largest_count)
    {
        auto const found = this->left.find(name);
        if (found == this->left.end()) {
            return;
        }
        auto const most = std::min<std::uint64_t>(
            largest, std::numeric_limits<Number>::max());
        if (!found->is_number_unsigned() ||
            found->get<std::uint64_t>() > most) {
            refuse(
                this->where + ": \"" + name +
                "\" is not a whole number between 0 and " +
                std::to_string(most) + ": " + found->dump());
        }
        target = found->get<Number>();
        this->left.erase(found);
    }

    json take_array(char const* name)
    {
        auto array = json::array();
        this->take(name, array);
        if (!array.is_array()) {
            refuse(this->where + ": \"" + name + "\" is not an array");
        }
        return array;
    }

    void end() const
    {
        if (!this->left.empty()) {
            refuse(
                this->where + " has an unknown member \"" +
                this->left.begin().key() + "\"");
        }
    }

private:
    json left;
    std::string where;
};

json parse_text(std::string_view text)
{
    try {
        return base::parse_json(text);
    } catch (base::error const& failure) {
        refuse(std::string{"the job is no JSON: "} + failure.what());
    }
}

step read_step(json const& object, std::string const& name)
{
    member_reader reader{object, name};
    step result;
    reader.take_number("count", result.count);
    reader.take_number("processors", result.need.processors);
    reader.take_number("memory_mb", result.need.memory_mb);
    reader.take_number("accelerators", result.need.accelerators);
    reader.take_number("estimate_ms", result.estimate.ms, longest_interval_ms);
    reader.take("depends_on", result.depends_on);
    reader.take("gang", result.is_gang);
    reader.take("rack_bound", result.is_rack_bound);
    reader.take("checkpoints", result.has_checkpoints);
    reader.take("may_race", result.may_race);
    reader.take("lasting", result.is_lasting);
    reader.take("filling", result.is_filling);
    reader.take("label", result.required_label);
    reader.take("rack", result.preferred_rack);
    reader.take_number("tasks_per_worker", result.tasks_per_worker);
    reader.take("image", result.image);
    reader.take_number("tail_target_ms", result.tail_target_ms);
    std::uint32_t unavailable = 0;
    if (object.contains("max_unavailable")) {
        reader.take_number("max_unavailable", unavailable);
        result.max_unavailable = unavailable;
    }
    reader.end();
    return result;
}

} // namespace

bool is_job_identifier(std::string_view text)
{
    return !text.empty() && text.size() <= longest_id &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-';
           });
}

job_spec decode_job_text(std::string_view text)
{
    auto const object = parse_text(text);
    member_reader reader{object, "the job"};
    job_spec job;
    reader.take("id", job.id);
    reader.take("queue", job.queue);
    reader.take("payload", job.payload);
    reader.take_number("repeats", job.repeats);
    reader.take_number("first_due_ms", job.first_due_ms, latest_time_ms);
    reader.take_number(
        "repeat_interval_ms", job.repeat_interval_ms, longest_interval_ms);
    std::size_t number = 0;
    for (auto const& each : reader.take_array("steps")) {
        job.steps.push_back(
            read_step(each, "step " + std::to_string(number++)));
    }
    reader.end();
    if (!is_job_identifier(job.id)) {
        refuse(
            "the job: \"id\" takes 1 to " + std::to_string(longest_id) +
            " letters, digits and '-'");
    }
    check(job);
    return job;
}

} // namespace foxtaillift::jobs
