/// A group committer that is connected to a fake table on virtual time, for
/// tests and benchmarks of the engines that submit to it.
#pragma once

#include "foxtaillift/base/random.hpp"
#include "foxtaillift/store/fake_table.hpp"
#include "foxtaillift/store/group_committer.hpp"
#include "foxtaillift/store/virtual_process.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace foxtaillift::store
{

class simulated_committer
{
public:
    using completion_handler = std::function<void(completion const&)>;

    simulated_committer(
        virtual_process& process,
        fake_table& table,
        group_committer_options options,
        std::uint32_t seed,
        completion_handler handler);

    void submit(submission item);
    void set_members(std::size_t members);
    [[nodiscard]] group_committer_statistics statistics() const;

private:
    void handle(committer_event const& event);
    void perform(committer_action& action);
    void set_timer();

    virtual_process& process;
    fake_table& table;
    group_committer engine;
    base::random_engine random;
    completion_handler on_completion;
    std::optional<base::instant> timer;
};

} // namespace foxtaillift::store
