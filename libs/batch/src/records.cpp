#include "foxtaillift/batch/records.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/hash.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdio>

namespace foxtaillift::batch
{

namespace
{

nlohmann::json encode(accepted_record const& value)
{
    return {{"type", "accepted"}, {"task", value.task}};
}
nlohmann::json encode(started_record const& value)
{
    return {
        {"type", "started"},
        {"task", value.task.str()},
        {"attempt", value.attempt},
        {"worker", value.worker.str()}};
}
nlohmann::json encode(ended_record const& value)
{
    return {
        {"type", "ended"},
        {"task", value.task.str()},
        {"attempt", value.attempt},
        {"worker", value.worker.str()},
        {"next", to_string(value.next)},
        {"checkpoint", value.checkpoint},
        {"evictions", value.evictions},
        {"failure", value.is_failure},
        {"message", value.message}};
}
nlohmann::json encode(cancelled_record const& value)
{
    return {{"type", "cancelled"}, {"task", value.task.str()}};
}
nlohmann::json encode(moved_record const& value)
{
    return {
        {"type", "moved"},
        {"task", value.task.str()},
        {"target", value.target.str()}};
}
nlohmann::json encode(forgotten_record const& value)
{
    return {{"type", "forgotten"}, {"task", value.task.str()}};
}
nlohmann::json encode(worker_joined_record const& value)
{
    return {{"type", "worker_joined"}, {"worker", value.worker.str()}};
}
nlohmann::json encode(worker_left_record const& value)
{
    return {{"type", "worker_left"}, {"worker", value.worker.str()}};
}
nlohmann::json encode(attempts_skipped_record const& value)
{
    return {{"type", "attempts_skipped"}, {"epoch", value.epoch}};
}

base::task_id task_of(nlohmann::json const& in)
{
    return base::task_id{in.at("task").get<std::string>()};
}
base::worker_id worker_of(nlohmann::json const& in)
{
    return base::worker_id{in.at("worker").get<std::string>()};
}

ended_record decode_ended(nlohmann::json const& in)
{
    ended_record value;
    value.task = task_of(in);
    in.at("attempt").get_to(value.attempt);
    value.worker = worker_of(in);
    value.next = parse_task_state(in.at("next").get<std::string>());
    in.at("checkpoint").get_to(value.checkpoint);
    in.at("evictions").get_to(value.evictions);
    in.at("failure").get_to(value.is_failure);
    in.at("message").get_to(value.message);
    return value;
}

record decode(nlohmann::json const& in)
{
    auto const type = in.at("type").get<std::string>();
    if (type == "accepted") {
        return accepted_record{in.at("task").get<task_record>()};
    }
    if (type == "started") {
        return started_record{
            task_of(in), in.at("attempt").get<formats::attempt_number>(),
            worker_of(in)};
    }
    if (type == "ended") {
        return decode_ended(in);
    }
    if (type == "cancelled") {
        return cancelled_record{task_of(in)};
    }
    if (type == "moved") {
        return moved_record{
            task_of(in), base::cell_id{in.at("target").get<std::string>()}};
    }
    if (type == "forgotten") {
        return forgotten_record{task_of(in)};
    }
    if (type == "worker_joined") {
        return worker_joined_record{worker_of(in)};
    }
    if (type == "worker_left") {
        return worker_left_record{worker_of(in)};
    }
    if (type == "attempts_skipped") {
        return attempts_skipped_record{
            in.at("epoch").get<formats::epoch_number>()};
    }
    throw base::error(
        base::error_code::corrupt_data, "unknown record type '" + type + "'");
}

/// Runs a decoder and reports the JSON library's errors as base::error.
template <class Function>
auto decoded(char const* what, Function function)
{
    try {
        return function();
    } catch (nlohmann::json::exception const& problem) {
        throw base::error(
            base::error_code::corrupt_data,
            std::string(what) + " cannot be decoded: " + problem.what());
    }
}

std::string dump(nlohmann::json const& value)
{
    // Payloads are opaque bytes; a byte that is not UTF-8 must not throw.
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string log_prefix(base::cell_id const& cell)
{
    return "log/" + cell.str() + "/";
}

std::string log_key(base::cell_id const& cell, std::uint64_t sequence)
{
    char digits[24];
    std::snprintf(
        digits, sizeof digits, "%016llx",
        static_cast<unsigned long long>(sequence));
    return log_prefix(cell) + digits;
}

std::uint64_t log_sequence(std::string_view key)
{
    auto const digits = key.substr(key.rfind('/') + 1);
    std::uint64_t value = 0;
    auto const [end, code] = std::from_chars(
        digits.data(), digits.data() + digits.size(), value, 16);
    if (code != std::errc{} || end != digits.data() + digits.size()) {
        throw base::error(
            base::error_code::corrupt_data,
            "log key '" + std::string(key) + "' has no sequence number");
    }
    return value;
}

std::string head_key(base::cell_id const& cell)
{
    return "head/" + cell.str();
}

std::string submit_key(task_spec const& spec)
{
    return "submit/" + spec.team.str() + "/" + spec.key;
}

std::string inbox_prefix(base::cell_id const& cell)
{
    return "inbox/" + cell.str() + "/";
}

std::string inbox_key(base::cell_id const& cell, base::task_id const& task)
{
    return inbox_prefix(cell) + task.str();
}

std::string spec_digest(task_spec const& spec)
{
    task_spec copy = spec;
    copy.key.clear();
    auto const text = dump(copy);
    char digits[40];
    std::snprintf(
        digits, sizeof digits, "%016llx%016llx",
        static_cast<unsigned long long>(base::hash64(text)),
        static_cast<unsigned long long>(base::hash64(text, 1)));
    return digits;
}

void to_json(nlohmann::json& out, task_record const& value)
{
    auto failed = nlohmann::json::array();
    for (auto const& worker : value.failed_on) {
        failed.push_back(worker.str());
    }
    out = {{"id", value.task.str()},          {"spec", value.spec},
           {"state", to_string(value.state)}, {"attempt", value.attempt},
           {"worker", value.worker.str()},    {"checkpoint", value.checkpoint},
           {"evictions", value.evictions},    {"failed_on", std::move(failed)},
           {"message", value.message}};
}

void from_json(nlohmann::json const& in, task_record& value)
{
    value.task = base::task_id{in.at("id").get<std::string>()};
    in.at("spec").get_to(value.spec);
    value.state = parse_task_state(in.at("state").get<std::string>());
    in.at("attempt").get_to(value.attempt);
    value.worker = worker_of(in);
    in.at("checkpoint").get_to(value.checkpoint);
    in.at("evictions").get_to(value.evictions);
    value.failed_on.clear();
    for (auto const& name : in.at("failed_on")) {
        value.failed_on.emplace_back(name.get<std::string>());
    }
    in.at("message").get_to(value.message);
}

void to_json(nlohmann::json& out, record const& value)
{
    out = std::visit([](auto const& typed) { return encode(typed); }, value);
}

void from_json(nlohmann::json const& in, record& value)
{
    value = decode(in);
}

std::string encode_log_row(std::vector<record> const& records)
{
    auto list = nlohmann::json::array();
    for (auto const& one : records) {
        list.push_back(one);
    }
    return dump({{"records", std::move(list)}});
}

std::vector<record> decode_log_row(std::string const& value)
{
    return decoded("log row", [&] {
        std::vector<record> records;
        auto const parsed = nlohmann::json::parse(value);
        for (auto const& one : parsed.at("records")) {
            records.push_back(decode(one));
        }
        return records;
    });
}

std::string encode_head(head_record const& value)
{
    return dump({{"objects", value.objects}, {"first", value.first_sequence}});
}

head_record decode_head(std::string const& value)
{
    return decoded("head row", [&] {
        auto const parsed = nlohmann::json::parse(value);
        return head_record{
            parsed.at("objects").get<std::vector<std::string>>(),
            parsed.at("first").get<std::uint64_t>()};
    });
}

std::string encode_submit(submit_record const& value)
{
    return dump(
        {{"task", value.task.str()},
         {"cell", value.cell.str()},
         {"digest", value.digest}});
}

submit_record decode_submit(std::string const& value)
{
    return decoded("submission row", [&] {
        auto const parsed = nlohmann::json::parse(value);
        return submit_record{
            task_of(parsed),
            base::cell_id{parsed.at("cell").get<std::string>()},
            parsed.at("digest").get<std::string>()};
    });
}

std::string encode_task(task_record const& value)
{
    return dump(value);
}

task_record decode_task(std::string const& value)
{
    return decoded("task record", [&] {
        return nlohmann::json::parse(value).get<task_record>();
    });
}

} // namespace foxtaillift::batch
