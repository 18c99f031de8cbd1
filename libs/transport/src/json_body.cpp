#include "json_body.hpp"

namespace foxtaillift::transport
{

std::string describe(response const& answer)
{
    constexpr std::size_t shown = 200;
    return "status " + std::to_string(answer.status) + ": " +
           answer.body.substr(0, shown);
}

bool states_not_run(response const& answer)
{
    return answer.status != 200 &&
           find_header(answer.headers, "Foxtail-Outcome") == "not-run";
}

} // namespace foxtaillift::transport
