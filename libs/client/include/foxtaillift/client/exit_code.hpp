/// Exit statuses of foxtailctl.
#pragma once

namespace foxtaillift::client
{

enum class exit_code
{
    done = 0,
    refused = 1,  ///< the request was understood and refused, or not found
    usage = 2,    ///< bad arguments or files; nothing was sent
    silent = 3,   ///< no entry host answered
    outdated = 4, ///< somebody else changed the configuration first
    waiting = 5,  ///< accepted, but not in force everywhere in time
};

} // namespace foxtaillift::client
