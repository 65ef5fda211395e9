// Returns unused heap memory to the system.

#include "runtime/host/freememory.h"

#include <malloc.h>
#include <mutex>

namespace egrettide
{

void releaseFreeMemory()
{
    // The first use of the C library's allocator initializes it without synchronization. It may be
    // this call where another allocator serves the program, as under the address sanitizer.
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    malloc_trim(0);
}

} // namespace egrettide
