// Returns unused heap memory to the system.

#include "runtime/host/freememory.h"

#include <malloc.h>

namespace egrettide
{

void releaseFreeMemory()
{
    malloc_trim(0);
}

} // namespace egrettide
