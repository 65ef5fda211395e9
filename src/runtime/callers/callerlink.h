// The front's interface to one caller's connection, independent of its protocol.

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
    // Ends the connection as soon as no request or transaction is in progress.
    virtual void drain() = 0;
    // Ends the connection immediately.
    virtual void close() = 0;
};

} // namespace egrettide::detail
