#include "read_section.hpp"

#include <urcu/urcu-memb.h>

#ifdef __SANITIZE_THREAD__
// liburcu is not instrumented; these tell ThreadSanitizer of the order that a
// grace period creates.
extern "C" void __tsan_acquire(void* address);
extern "C" void __tsan_release(void* address);
#endif

namespace foxtaillift::routing::detail
{

namespace
{

#ifdef __SANITIZE_THREAD__
char grace_period;
#endif

struct thread_registration
{
    thread_registration() { urcu_memb_register_thread(); }
    ~thread_registration() { urcu_memb_unregister_thread(); }
    thread_registration(thread_registration const&) = delete;
    thread_registration& operator=(thread_registration const&) = delete;
};

} // namespace

void enter_read_section()
{
    thread_local thread_registration registration;
    urcu_memb_read_lock();
}

void leave_read_section()
{
#ifdef __SANITIZE_THREAD__
    __tsan_release(&grace_period);
#endif
    urcu_memb_read_unlock();
}

void wait_for_readers()
{
    urcu_memb_synchronize_rcu();
#ifdef __SANITIZE_THREAD__
    __tsan_acquire(&grace_period);
#endif
}

} // namespace foxtaillift::routing::detail
