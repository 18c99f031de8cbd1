// foxtailctl: the command line for operators.

#include "foxtaillift/client/command_line.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    return static_cast<int>(foxtaillift::client::run_command_line(
        argc, argv, std::cout, std::cerr));
}
