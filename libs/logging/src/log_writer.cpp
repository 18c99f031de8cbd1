#include "foxtaillift/logging/log_writer.hpp"

#include <glog/logging.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace foxtaillift::logging
{

struct log_writer::implementation
{
    explicit implementation(log_writer_options options)
        : settings(std::move(options))
    {
        if (!this->settings.sink) {
            this->settings.sink = [](std::string const& line) {
                LOG(INFO) << line;
            };
        }
        this->thread = std::thread{[this] { this->run(); }};
    }

    ~implementation()
    {
        {
            std::lock_guard const lock{this->mutex};
            this->is_stopping = true;
        }
        this->changed.notify_one();
        this->thread.join();
    }

    void push(std::string line)
    {
        {
            std::lock_guard const lock{this->mutex};
            if (this->queue.size() >= this->settings.queue_lines) {
                this->dropped.fetch_add(1);
                return;
            }
            this->queue.push_back(std::move(line));
        }
        this->changed.notify_one();
    }

    void run()
    {
        std::uint64_t reported = 0;
        std::deque<std::string> batch;
        std::unique_lock lock{this->mutex};
        while (true) {
            this->changed.wait(lock, [this] {
                return this->is_stopping || !this->queue.empty();
            });
            batch.swap(this->queue);
            bool const is_last = this->is_stopping;
            lock.unlock();
            for (auto const& line : batch) {
                this->settings.sink(line);
            }
            batch.clear();
            this->report_drops(reported);
            lock.lock();
            if (is_last && this->queue.empty()) {
                return;
            }
        }
    }

    void report_drops(std::uint64_t& reported)
    {
        auto const total = this->dropped.load();
        if (total != reported) {
            base::event_line line{"log_lines_dropped"};
            this->settings.sink(line.add("count", total - reported).str());
            reported = total;
        }
    }

    log_writer_options settings;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::string> queue;
    bool is_stopping = false;
    std::atomic<std::uint64_t> dropped{0};
    std::thread thread;
};

log_writer::log_writer(log_writer_options options)
    : impl(std::make_unique<implementation>(std::move(options)))
{}

log_writer::~log_writer() = default;

void log_writer::write(base::event_line const& line)
{
    this->impl->push(line.str());
}

void log_writer::write(std::string line)
{
    this->impl->push(std::move(line));
}

std::uint64_t log_writer::dropped() const
{
    return this->impl->dropped.load();
}

} // namespace foxtaillift::logging
