// Maps cancel keys to connections. A cancel request arrives over a separate
// connection, possibly on another traffic thread than the connection whose request
// it cancels.

#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <random>

namespace egrettide
{

// Process id and secret key that the caller receives at startup (BackendKeyData).
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

    // Creates a random key for `cancel`. `cancel` is called on the thread of the
    // cancel request and has to dispatch to the thread of its connection.
    CancelKey add(std::function<void()> cancel);
    void remove(std::uint32_t processId);
    // Runs the hook of `key`. Returns false, and does nothing, for an unknown
    // process id or a secret key that does not match.
    bool cancel(const CancelKey &key) const;

private:
    struct Entry {
        std::uint32_t secretKey = 0;
        std::function<void()> cancel;
    };

    // A std::mutex, because ThreadSanitizer cannot instrument the packaged absl::Mutex.
    mutable std::mutex m_mutex;
    // Guards all members below. Keys must not be guessable, or one caller could cancel the requests of others.
    std::random_device m_random;
    std::uint32_t m_lastProcessId = 0;
    absl::flat_hash_map<std::uint32_t, Entry> m_entries;
};

} // namespace egrettide
