#include "foxtaillift/store/fake_object_store.hpp"

#include <utility>

namespace foxtaillift::store
{

fake_object_store::fake_object_store(
    virtual_time& clock, fault_options faults, std::uint32_t seed)
    : time(clock)
    , source(faults, seed)
{}

void fake_object_store::start(
    std::function<object_result()> apply, object_callback callback)
{
    auto const fate = this->source.draw();
    if (fate.is_refused) {
        this->time.schedule(
            fate.answer_after, [callback = std::move(callback)] {
                callback(
                    {.status = object_status::rejected,
                     .message = "refused as overload"});
            });
        return;
    }
    if (!fate.is_applied) {
        return;
    }
    this->time.schedule(
        fate.apply_after,
        [this, fate, apply = std::move(apply), callback = std::move(callback)] {
            auto result = apply();
            if (!fate.is_answered) {
                return;
            }
            this->time.schedule(
                fate.answer_after,
                [callback, answer = std::move(result)] { callback(answer); });
        });
}

void fake_object_store::async_put_if_absent(
    std::string name, std::string body, object_callback callback)
{
    this->start(
        [this, name = std::move(name), body = std::move(body)] {
            auto const is_new = this->objects.try_emplace(name, body).second;
            return object_result{
                .status = is_new ? object_status::done : object_status::exists};
        },
        std::move(callback));
}

void fake_object_store::async_get(std::string name, object_callback callback)
{
    this->start(
        [this, name = std::move(name)] {
            auto const found = this->objects.find(name);
            if (found == this->objects.end()) {
                return object_result{.status = object_status::absent};
            }
            return object_result{
                .status = object_status::done, .body = found->second};
        },
        std::move(callback));
}

void fake_object_store::async_delete(std::string name, object_callback callback)
{
    this->start(
        [this, name = std::move(name)] {
            return object_result{
                .status = this->objects.erase(name) > 0
                              ? object_status::done
                              : object_status::absent};
        },
        std::move(callback));
}

static_assert(async_object_store<fake_object_store>);

} // namespace foxtaillift::store
