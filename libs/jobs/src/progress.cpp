#include "foxtaillift/jobs/progress.hpp"

#include "packing.hpp"

namespace foxtaillift::jobs
{

namespace
{

using nlohmann::json;

constexpr std::size_t bits_per_byte = 8;

json to_json(step const& step)
{
    json object = {{"n", step.count}};
    add(object, "cpu", step.need.processors);
    add(object, "mem", step.need.memory_mb);
    add(object, "acc", step.need.accelerators);
    add(object, "est", step.estimate.ms);
    add(object, "after", step.depends_on);
    add(object, "gang", step.is_gang);
    add(object, "rackbound", step.is_rack_bound);
    add(object, "ckpt", step.has_checkpoints);
    add(object, "race", step.may_race);
    add(object, "lasts", step.is_lasting);
    add(object, "fills", step.is_filling);
    add(object, "label", step.required_label);
    add(object, "rack", step.preferred_rack);
    add(object, "each", step.tasks_per_worker);
    add(object, "image", step.image);
    add(object, "tail", step.tail_target_ms);
    if (step.max_unavailable) {
        object["away"] = *step.max_unavailable;
    }
    return object;
}

step step_from(json const& object)
{
    step result;
    result.count = object.at("n");
    result.need.processors = object.value("cpu", std::int64_t{0});
    result.need.memory_mb = object.value("mem", std::int64_t{0});
    result.need.accelerators = object.value("acc", std::int64_t{0});
    result.estimate.ms = object.value("est", std::int64_t{0});
    result.depends_on = object.value("after", std::vector<std::uint32_t>{});
    result.is_gang = object.value("gang", false);
    result.is_rack_bound = object.value("rackbound", false);
    result.has_checkpoints = object.value("ckpt", false);
    result.may_race = object.value("race", false);
    result.is_lasting = object.value("lasts", false);
    result.is_filling = object.value("fills", false);
    result.required_label = object.value("label", std::string{});
    result.preferred_rack = object.value("rack", std::string{});
    result.tasks_per_worker = object.value("each", std::uint32_t{0});
    result.image = object.value("image", std::string{});
    result.tail_target_ms = object.value("tail", std::int64_t{0});
    if (object.contains("away")) {
        result.max_unavailable = object.at("away").get<std::uint32_t>();
    }
    return result;
}

json to_json(queue const& terms)
{
    json object = {{"svc", terms.service}};
    add(object, "at", terms.address);
    add(object, "prio", terms.priority);
    object["tries"] = terms.max_attempts;
    object["factor"] = terms.target_factor;
    add(object, "target", terms.target_latency.ms);
    if (terms.adviser) {
        object["adviser"] = {
            terms.adviser->decision.ms, terms.adviser->by_worker.ms,
            terms.adviser->validity.ms};
    }
    return object;
}

queue terms_from(json const& object, std::string name)
{
    queue result{
        .name = std::move(name),
        .address = object.value("at", std::string{}),
        .service = object.at("svc"),
        .priority = object.value("prio", std::int64_t{0}),
        .max_attempts = object.at("tries"),
        .target_factor = object.at("factor"),
        .target_latency =
            base::milliseconds(object.value("target", std::int64_t{0}))};
    if (object.contains("adviser")) {
        auto const& times = object.at("adviser");
        result.adviser = adviser_terms{
            .decision = base::milliseconds(times.at(0).get<std::int64_t>()),
            .by_worker = base::milliseconds(times.at(1).get<std::int64_t>()),
            .validity = base::milliseconds(times.at(2).get<std::int64_t>())};
    }
    return result;
}

std::string pack_bits(std::vector<bool> const& bits)
{
    std::string bytes((bits.size() + bits_per_byte - 1) / bits_per_byte, '\0');
    for (std::size_t i = 0; i < bits.size(); ++i) {
        if (bits[i]) {
            auto& byte = bytes[i / bits_per_byte];
            byte = static_cast<char>(
                static_cast<unsigned char>(byte) | (1U << i % bits_per_byte));
        }
    }
    return bytes;
}

std::vector<bool>
unpack_bits(std::vector<std::uint8_t> const& bytes, std::size_t count)
{
    std::vector<bool> bits(count);
    for (std::size_t i = 0; i < count; ++i) {
        bits[i] = i / bits_per_byte < bytes.size() &&
                  (bytes[i / bits_per_byte] >> i % bits_per_byte & 1U) != 0;
    }
    return bits;
}

} // namespace

std::string encode(job_spec const& job)
{
    json object = {
        {"id", job.id}, {"queue", job.queue}, {"payload", job.payload}};
    auto& steps = object["steps"] = json::array();
    for (auto const& step : job.steps) {
        steps.push_back(to_json(step));
    }
    add(object, "repeats", job.repeats);
    add(object, "due", job.first_due_ms);
    add(object, "every", job.repeat_interval_ms);
    if (job.terms) {
        object["terms"] = to_json(*job.terms);
    }
    return pack(object);
}

job_spec decode_job(std::string_view text)
{
    return unpack(text, "a job", [](json const& object) {
        job_spec job;
        job.id = object.at("id");
        job.queue = object.at("queue");
        job.payload = object.at("payload");
        for (auto const& step : object.at("steps")) {
            job.steps.push_back(step_from(step));
        }
        job.repeats = object.value("repeats", std::uint32_t{0});
        job.first_due_ms = object.value("due", std::int64_t{0});
        job.repeat_interval_ms = object.value("every", std::int64_t{0});
        if (object.contains("terms")) {
            job.terms = terms_from(object.at("terms"), job.queue);
        }
        return job;
    });
}

std::string encode(job_progress const& progress)
{
    auto const bits = pack_bits(progress.done);
    json object = {
        {"s", static_cast<int>(progress.state)},
        {"n", progress.done.size()},
        {"d", json::binary({bits.begin(), bits.end()})}};
    if (!progress.tasks.empty()) {
        auto& tasks = object["t"] = json::array();
        for (auto const& task : progress.tasks) {
            tasks.push_back(
                {task.ordinal, task.attempt, task.failed_attempts,
                 task.checkpoint});
        }
    }
    return pack(object);
}

std::size_t size_bound(job_progress const& progress)
{
    // Names of the fields, and the longest encodings of numbers and lengths.
    constexpr std::size_t frame = 32;
    constexpr std::size_t number = 5;
    std::size_t size = frame + progress.done.size() / bits_per_byte;
    for (auto const& task : progress.tasks) {
        size += 1 + 4 * number + task.failed_attempts.size() * number +
                task.checkpoint.size();
    }
    return size;
}

job_progress decode_progress(std::string_view text)
{
    return unpack(text, "a job's progress", [](json const& object) {
        job_progress progress;
        progress.state = static_cast<job_state>(object.at("s").get<int>());
        progress.done = unpack_bits(
            object.at("d").get_binary(), object.at("n").get<std::size_t>());
        for (auto const& task : object.value("t", json::array())) {
            progress.tasks.push_back(
                {.ordinal = task.at(0),
                 .attempt = task.at(1),
                 .failed_attempts = task.at(2),
                 .checkpoint = task.at(3)});
        }
        return progress;
    });
}

} // namespace foxtaillift::jobs
