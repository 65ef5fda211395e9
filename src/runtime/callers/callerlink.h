// The interface of one caller's connection, whatever protocol it speaks, as the
// front knows it.

#pragma once

#include <functional>

namespace egrettide::detail
{

// Lives on the thread of its shard; all functions but `post` are called there.
class CallerLink
{
public:
    virtual ~CallerLink() = default;

    // Runs `action` on the connection's thread.
    virtual void post(std::function<void()> action) = 0;

    virtual void start() = 0;
    // Ends the connection at the next moment at which nothing is under way.
    virtual void drain() = 0;
    // Ends it now.
    virtual void close() = 0;
};

} // namespace egrettide::detail
