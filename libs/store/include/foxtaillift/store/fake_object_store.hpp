/// In-memory object store on virtual time that injects faults.
#pragma once

#include "foxtaillift/store/concepts.hpp"
#include "foxtaillift/store/fault_source.hpp"
#include "foxtaillift/store/virtual_time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace foxtaillift::store
{

/// Satisfies `async_object_store`. A request that is lost gets no callback.
class fake_object_store
{
public:
    fake_object_store(
        virtual_time& time, fault_options faults, std::uint32_t seed);

    void async_put_if_absent(
        std::string name, std::string body, object_callback callback);
    void async_get(std::string name, object_callback callback);
    void async_delete(std::string name, object_callback callback);

    [[nodiscard]] fault_source& faults() { return this->source; }
    [[nodiscard]] std::size_t size() const { return this->objects.size(); }

private:
    void start(std::function<object_result()> apply, object_callback callback);

    virtual_time& time;
    fault_source source;
    std::map<std::string, std::string> objects;
};

} // namespace foxtaillift::store
