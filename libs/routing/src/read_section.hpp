/// Read-side sections of liburcu, visible to ThreadSanitizer.
#pragma once

namespace foxtaillift::routing::detail
{

/// Registers the calling thread on first use and enters a read-side section.
void enter_read_section();
void leave_read_section();
/// Waits until every section that was entered before the call is left. The
/// calling thread must not be inside one.
void wait_for_readers();

} // namespace foxtaillift::routing::detail
