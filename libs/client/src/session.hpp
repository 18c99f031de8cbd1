/// What every verb of the command line uses.
#pragma once

#include "foxtaillift/client/connection.hpp"
#include "foxtaillift/client/exit_code.hpp"
#include "foxtaillift/client/output.hpp"

#include <ostream>

namespace foxtaillift::client
{

struct session
{
    connection const& link;
    output_format format;
    std::ostream& out;
    std::ostream& err;
};

/// Prints a refusal and returns its exit status.
exit_code report_refusal(session const& use, answer const& received);

} // namespace foxtaillift::client
