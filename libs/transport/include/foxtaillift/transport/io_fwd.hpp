/// Declares the executor that the transport runs on without its header, which
/// takes several seconds to compile.
#pragma once

namespace boost::asio
{
class io_context;
} // namespace boost::asio
