// Remembers which connection a cancel request means. A cancel request comes over
// a connection of its own, so it may arrive on another traffic thread than the
// connection whose request it is to stop.

#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <mutex>
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

    // A std::mutex, because ThreadSanitizer cannot see into the packaged absl::Mutex.
    mutable std::mutex m_mutex;
    // All below is guarded by m_mutex. Keys must not be guessable, or one caller could cancel the requests of others.
    std::random_device m_random;
    std::uint32_t m_lastProcessId = 0;
    absl::flat_hash_map<std::uint32_t, Entry> m_entries;
};

} // namespace egrettide
