#include "task_book.hpp"

#include "foxtaillift/base/error.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace foxtaillift::batch
{

void task_book::apply(record const& value)
{
    std::visit([this](auto const& typed) { this->apply_one(typed); }, value);
}

task_record* task_book::find(base::task_id const& task)
{
    auto const found = this->entries.find(task);
    return found == this->entries.end() ? nullptr : &found->second;
}

task_record const* task_book::find(base::task_id const& task) const
{
    auto const found = this->entries.find(task);
    return found == this->entries.end() ? nullptr : &found->second;
}

void task_book::apply_one(accepted_record const& value)
{
    this->entries.try_emplace(value.task.task, value.task);
}

void task_book::apply_one(started_record const& value)
{
    auto* task = this->find(value.task);
    if (task == nullptr || is_terminal(task->state) ||
        value.attempt <= task->attempt) {
        return;
    }
    task->state = task_state::running;
    task->attempt = value.attempt;
    task->worker = value.worker;
}

void task_book::apply_one(ended_record const& value)
{
    auto* task = this->find(value.task);
    bool const is_known = task != nullptr && value.attempt == task->attempt &&
                          task->state != task_state::running;
    if (task == nullptr || is_terminal(task->state) || is_known ||
        value.attempt < task->attempt) {
        return;
    }
    task->state = value.next;
    task->attempt = value.attempt;
    task->worker = base::worker_id{};
    task->checkpoint = value.checkpoint;
    task->evictions = value.evictions;
    if (value.is_failure) {
        task->message = value.message;
        auto& workers = task->failed_on;
        if (std::find(workers.begin(), workers.end(), value.worker) ==
            workers.end()) {
            workers.push_back(value.worker);
        }
    }
}

void task_book::apply_one(cancelled_record const& value)
{
    auto* task = this->find(value.task);
    if (task != nullptr && !is_terminal(task->state)) {
        task->state = task_state::cancelled;
    }
}

void task_book::apply_one(moved_record const& value)
{
    this->entries.erase(value.task);
}

void task_book::apply_one(forgotten_record const& value)
{
    this->entries.erase(value.task);
}

void task_book::apply_one(worker_joined_record const& value)
{
    this->joined.insert(value.worker);
}

void task_book::apply_one(worker_left_record const& value)
{
    this->joined.erase(value.worker);
}

void task_book::apply_one(attempts_skipped_record const&)
{
    for (auto& [id, task] : this->entries) {
        if (task.state == task_state::queued) {
            ++task.attempt;
        }
    }
}

std::string task_book::encode_part(
    base::task_id& cursor, std::size_t limit, bool& has_more) const
{
    auto tasks = nlohmann::json::array();
    auto workers = nlohmann::json::array();
    if (cursor.empty()) {
        for (auto const& worker : this->joined) {
            workers.push_back(worker.str());
        }
    }
    auto next = this->entries.upper_bound(cursor);
    for (; next != this->entries.end() && tasks.size() < limit; ++next) {
        tasks.push_back(next->second);
        cursor = next->first;
    }
    has_more = next != this->entries.end();
    nlohmann::json const part{
        {"tasks", std::move(tasks)}, {"workers", std::move(workers)}};
    return part.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void task_book::load_part(std::string const& content)
{
    try {
        auto const part = nlohmann::json::parse(content);
        for (auto const& one : part.at("tasks")) {
            auto task = one.get<task_record>();
            auto const id = task.task;
            this->entries.insert_or_assign(id, std::move(task));
        }
        for (auto const& one : part.at("workers")) {
            this->joined.emplace(one.get<std::string>());
        }
    } catch (nlohmann::json::exception const& problem) {
        throw base::error(
            base::error_code::corrupt_data,
            std::string("snapshot cannot be decoded: ") + problem.what());
    }
}

} // namespace foxtaillift::batch
