// Remembers which connection a cancel request means. A cancel request comes over
// a connection of its own, so it may arrive on another traffic thread than the
// connection whose request it is to stop.

#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>
#include <random>

namespace egrettide
{

// Process id and key that a caller is told at startup.
struct CancelKey {
    std::uint32_t processId = 0;
    std::uint32_t secretKey = 0;
};

// Thread-safe.
class CancelRegistry
{
public:
    CancelRegistry();
    CancelRegistry(const CancelRegistry &) = delete;
    CancelRegistry &operator=(const CancelRegistry &) = delete;

    // Mints a key under which `cancel` is run. `cancel` is called on the thread
    // of the cancel request and has to hand over to its own.
    CancelKey add(std::function<void()> cancel);
    void remove(std::uint32_t processId);
    // Runs the hook of that key. Returns false, and does nothing, for a process id
    // that is not known or a key that does not match.
    bool cancel(const CancelKey &key) const;

private:
    struct Entry {
        std::uint32_t secretKey = 0;
        std::function<void()> cancel;
    };

    mutable absl::Mutex m_mutex;
    // Keys must not be guessable, or one caller could cancel the requests of others.
    std::random_device m_random ABSL_GUARDED_BY(m_mutex);
    std::uint32_t m_lastProcessId ABSL_GUARDED_BY(m_mutex) = 0;
    absl::flat_hash_map<std::uint32_t, Entry> m_entries ABSL_GUARDED_BY(m_mutex);
};

} // namespace egrettide
