#include "foxtaillift/jobs/worker_roster.hpp"

#include <string_view>
#include <unordered_set>

namespace foxtaillift::jobs
{

namespace
{

/// The pages that a record changes, on top of those recorded.
class changed_pages
{
public:
    explicit changed_pages(std::vector<worker_roster::worker_map> const& pages)
        : recorded(pages)
    {}

    /// False if the record holds as many pages as one may.
    bool remove(std::string const& worker, std::size_t page)
    {
        auto* const workers = this->edit(page);
        if (workers == nullptr) {
            return false;
        }
        workers->erase(worker);
        return true;
    }

    /// The same.
    bool add(worker_info const& worker)
    {
        while (this->count_of(this->with_room) >=
               worker_roster::workers_in_page) {
            ++this->with_room;
        }
        auto* const workers = this->edit(this->with_room);
        if (workers == nullptr) {
            return false;
        }
        workers->emplace(worker.id, worker);
        return true;
    }

    [[nodiscard]] std::vector<roster_page> take() const
    {
        std::vector<roster_page> result;
        for (auto const& [number, workers] : this->changed) {
            auto& page = result.emplace_back();
            page.number = number;
            page.workers.reserve(workers.size());
            for (auto const& [id, worker] : workers) {
                page.workers.push_back(worker);
            }
        }
        return result;
    }

private:
    [[nodiscard]] std::size_t count_of(std::size_t page) const
    {
        if (auto const found = this->changed.find(page);
            found != this->changed.end()) {
            return found->second.size();
        }
        return page < this->recorded.size() ? this->recorded[page].size() : 0;
    }

    worker_roster::worker_map* edit(std::size_t page)
    {
        if (auto const found = this->changed.find(page);
            found != this->changed.end()) {
            return &found->second;
        }
        if (this->changed.size() == worker_roster::pages_in_record) {
            return nullptr;
        }
        auto& workers = this->changed[page];
        if (page < this->recorded.size()) {
            workers = this->recorded[page];
        }
        return &workers;
    }

    std::vector<worker_roster::worker_map> const& recorded;
    std::map<std::size_t, worker_roster::worker_map> changed{};
    std::size_t with_room = 0; ///< pages before it are full
};

} // namespace

void worker_roster::recall(roster_page const& page)
{
    if (page.number >= this->pages.size()) {
        this->pages.resize(page.number + 1);
    }
    for (auto const& worker : page.workers) {
        if (!this->page_of.emplace(worker.id, page.number).second) {
            continue;
        }
        this->pages[page.number].emplace(worker.id, worker);
        this->unnamed.erase(worker.id);
        if (!this->in_list.contains(worker.id)) {
            this->departed.insert(worker.id);
        }
    }
}

void worker_roster::list(worker_info const& worker)
{
    this->in_list[worker.id] = worker;
    this->departed.erase(worker.id);
    if (!this->is_recorded(worker.id)) {
        this->unnamed.insert(worker.id);
    }
}

void worker_roster::unlist(std::string const& worker)
{
    this->in_list.erase(worker);
    this->unnamed.erase(worker);
    if (this->is_recorded(worker)) {
        this->departed.insert(worker);
    }
}

void worker_roster::forget(std::size_t page)
{
    if (page >= this->pages.size()) {
        return;
    }
    for (auto const& [id, worker] : this->pages[page]) {
        this->page_of.erase(id);
        this->departed.erase(id);
        if (this->in_list.contains(id)) {
            this->unnamed.insert(id);
        }
    }
    this->pages[page].clear();
}

void worker_roster::on_record_sent(std::vector<roster_page> const& written)
{
    for (auto const& page : written) {
        if (page.number < this->pages.size()) {
            for (auto const& [id, worker] : this->pages[page.number]) {
                this->removed.insert(id);
            }
        }
    }
    for (auto const& page : written) {
        for (auto const& worker : page.workers) {
            this->removed.erase(worker.id);
        }
    }
}

void worker_roster::on_recorded(std::vector<roster_page> const& written)
{
    this->removed.clear();
    // All are forgotten first, since a worker may have moved between pages.
    for (auto const& page : written) {
        this->forget(page.number);
    }
    for (auto const& page : written) {
        this->recall(page);
    }
}

std::vector<roster_page>
worker_roster::to_record(scheduler const& decisions, base::instant now) const
{
    auto const in_use = decisions.workers_in_use(now);
    changed_pages changes{this->pages};
    bool has_room = true;
    if (!this->departed.empty()) {
        std::unordered_set<std::string_view> used;
        used.reserve(in_use.size());
        for (auto const* const worker : in_use) {
            used.insert(worker->id);
        }
        for (auto const& id : this->departed) {
            if (has_room && !used.contains(id)) {
                has_room = changes.remove(id, this->page_of.at(id));
            }
        }
    }
    for (auto const& id : this->unnamed) {
        has_room = has_room && changes.add(this->in_list.at(id));
    }
    // A run of an earlier leader may turn up at a worker that has departed.
    for (auto const* const worker : in_use) {
        if (!this->is_recorded(worker->id) &&
            !this->in_list.contains(worker->id)) {
            has_room = has_room && changes.add(*worker);
        }
    }
    return changes.take();
}

} // namespace foxtaillift::jobs
