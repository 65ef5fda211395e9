// What a connection keeps of its buffers while it is idle.

#pragma once

#include <cstddef>
#include <string>

namespace egrettide
{

// A host has a link to each host that it ever sent something, and nearly all of them are idle.
constexpr std::size_t idleBufferBytes = std::size_t{4} * 1024;

// Empties the buffer, and frees its memory if that is more than an idle connection may keep.
inline void clearIdleBuffer(std::string &buffer)
{
    if (buffer.capacity() > idleBufferBytes) {
        std::string().swap(buffer);
    }
    buffer.clear();
}

} // namespace egrettide
