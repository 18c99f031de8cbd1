#include "resource_ledger.hpp"

#include "foxtaillift/base/error.hpp"

namespace foxtaillift::batch
{

namespace
{

constexpr formats::resources nothing{-1, -1, -1};
constexpr std::int64_t core = 1'000;

/// A worker with less than a core counts as it is.
std::int64_t whole_cores(formats::resources const& room)
{
    return room.processors < core ? room.processors
                                  : room.processors - room.processors % core;
}

} // namespace

worker_index resource_ledger::add_worker()
{
    auto const worker = static_cast<worker_index>(this->accounts.size());
    this->accounts.emplace_back();
    for (auto* index :
         {&this->normal_index, &this->urgent_index, &this->normal_limits,
          &this->urgent_limits}) {
        index->set(worker, nothing);
    }
    return worker;
}

void resource_ledger::set_limit(
    worker_index worker,
    formats::resources const& limit,
    formats::resources const& hole)
{
    auto& account = this->accounts[worker];
    this->limits -= account.limit;
    this->whole -= whole_cores(account.limit - account.hole);
    account.limit = limit;
    account.hole = hole;
    this->limits += limit;
    this->whole += whole_cores(limit - hole);
    bool const is_gone = limit == formats::resources{};
    this->urgent_limits.set(worker, is_gone ? nothing : limit);
    this->normal_limits.set(worker, is_gone ? nothing : limit - hole);
    this->publish(worker);
}

bool resource_ledger::set_open(worker_index worker, bool is_open)
{
    if (this->accounts[worker].is_open == is_open) {
        return false;
    }
    this->accounts[worker].is_open = is_open;
    this->publish(worker);
    return true;
}

void resource_ledger::reserve(
    worker_index worker, formats::resources const& size)
{
    this->accounts[worker].reserved = size;
    this->publish(worker);
}

bool resource_ledger::commit(
    worker_index worker, formats::resources const& size, commitment kind)
{
    bool const is_new = kind != commitment::reported;
    auto const& room = kind == commitment::normal ? this->free_normal(worker)
                                                  : this->free_urgent(worker);
    if (is_new && !size.fits_in(room)) {
        return false;
    }
    this->accounts[worker].committed += size;
    this->total += size;
    this->publish(worker);
    return true;
}

void resource_ledger::release(
    worker_index worker, formats::resources const& size)
{
    auto& account = this->accounts[worker];
    if (!size.fits_in(account.committed)) {
        throw base::error(
            base::error_code::invalid_state,
            "more resources released than were committed");
    }
    account.committed -= size;
    this->total -= size;
    this->publish(worker);
}

formats::resources resource_ledger::free_normal(worker_index worker) const
{
    auto const& account = this->accounts[worker];
    return account.limit - account.hole - account.committed - account.reserved;
}

formats::resources resource_ledger::free_urgent(worker_index worker) const
{
    auto const& account = this->accounts[worker];
    return account.limit - account.committed;
}

void resource_ledger::publish(worker_index worker)
{
    bool const is_open = this->accounts[worker].is_open;
    this->normal_index.set(
        worker, is_open ? this->free_normal(worker) : nothing);
    this->urgent_index.set(
        worker, is_open ? this->free_urgent(worker) : nothing);
}

} // namespace foxtaillift::batch
