#include "worker_table.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

void former_lives::add(std::int64_t born_ms, base::instant now)
{
    if (born_ms == 0) {
        return; // not known
    }
    this->lives.emplace_back(born_ms, now + remembered);
    if (this->lives.size() > limit) {
        this->lives.pop_front();
    }
}

bool former_lives::contains(std::int64_t born_ms, base::instant now) const
{
    return std::any_of(
        this->lives.begin(), this->lives.end(), [&](auto const& life) {
            return life.first == born_ms && now < life.second;
        });
}

void worker_entry::occupy(run_name const& run, occupancy const& taken)
{
    if (!this->runs.emplace(run, taken).second) {
        return;
    }
    this->paced.reset();
    resources counted = taken.need;
    if (taken.is_filling) {
        counted.processors = 0;
        this->filling_processors += taken.need.processors;
        this->is_pace_due = true;
    }
    this->used += counted;
    this->unsized_runs += taken.is_unsized ? 1 : 0;
    this->lasting_processors += taken.is_lasting ? taken.need.processors : 0;
    if (taken.is_serving) {
        this->serving_processors += taken.need.processors;
        this->serving_by_image[taken.image] += taken.need.processors;
        ++this->serving_runs;
    }
}

void worker_entry::add_filling(filling_run const& run)
{
    this->fillings.push_back(run);
    if (this->paced) {
        this->paced->add(run);
    }
}

void worker_entry::release(run_name const& run)
{
    auto const found = this->runs.find(run);
    if (found == this->runs.end()) {
        return;
    }
    auto const taken = found->second;
    this->runs.erase(found);
    this->paced.reset();
    this->trust.on_over(run);
    this->histories.erase(run);
    this->exceeding_since.erase(run);
    this->unresolved.erase(run);
    resources counted = taken.need;
    if (taken.is_filling) {
        counted.processors = 0;
        this->filling_processors -= taken.need.processors;
    }
    this->used -= counted;
    this->unsized_runs -= taken.is_unsized ? 1 : 0;
    this->lasting_processors -= taken.is_lasting ? taken.need.processors : 0;
    if (taken.is_serving) {
        this->serving_processors -= taken.need.processors;
        this->serving_by_image[taken.image] -= taken.need.processors;
        --this->serving_runs;
    }
}

std::vector<image_number> worker_entry::serving_images() const
{
    std::vector<image_number> images;
    for (auto const& [image, processors] : this->serving_by_image) {
        if (processors > 0) {
            images.push_back(image);
        }
    }
    return images;
}

std::size_t worker_table::add(std::string_view id)
{
    auto const [found, is_new] =
        this->indices.emplace(std::string{id}, this->entries.size());
    if (is_new) {
        this->entries.emplace_back();
        this->entries.back().info.id = id;
    }
    return found->second;
}

std::optional<std::size_t> worker_table::find(std::string_view id) const
{
    auto const found = this->indices.find(std::string{id});
    if (found == this->indices.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace foxtaillift::jobs
