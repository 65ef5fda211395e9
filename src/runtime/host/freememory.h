// Returns unused heap memory to the system.

#pragma once

namespace egrettide
{

// To be called after work that needed much more memory than what it leaves in use. The allocator
// keeps the freed memory otherwise, and a host has little. Callable from any thread.
void releaseFreeMemory();

} // namespace egrettide
