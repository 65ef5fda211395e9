// State of the platform stand-in: versioned objects and a host list with a
// configurable lag. Does no I/O; the time is passed in.

#pragma once

#include "egrettide/core/types.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace egrettide::standin
{

struct StoredObject {
    std::uint64_t version = 0;
    nlohmann::json value;
};

// The outcome of a conditional change.
struct ChangeResult {
    bool applied = false;
    // The object's version after the call; 0 when it does not exist.
    std::uint64_t version = 0;
};

class ObjectStore
{
public:
    // The largest value in bytes of JSON text.
    static constexpr std::size_t MaxValueBytes = std::size_t{1024} * 1024;

    std::optional<StoredObject> read(const std::string &key) const;

    // Writes when the object's version equals `ifVersion` (0: absent), or
    // unconditionally when none is given.
    ChangeResult write(const std::string &key, nlohmann::json value, std::optional<std::uint64_t> ifVersion);

    // Deletes under the same condition.
    ChangeResult remove(const std::string &key, std::optional<std::uint64_t> ifVersion);

    // Keys and versions of all objects whose key starts with the prefix.
    std::vector<std::pair<std::string, std::uint64_t>> list(const std::string &prefix) const;

private:
    std::uint64_t versionOf(const std::string &key) const;

    std::map<std::string, StoredObject> m_objects;
    // The last version assigned; increases monotonically across all objects.
    std::uint64_t m_lastVersion = 0;
};

struct PlatformHost {
    std::string name;
    std::string zone;
    std::string address;
    bool leaving = false;
};

// The host list as returned to readers: a change becomes visible after the lag.
class LaggingHostList
{
public:
    void set(std::vector<PlatformHost> hosts, TimePoint now);
    void setLag(milliseconds lag);
    const std::vector<PlatformHost> &visible(TimePoint now);

private:
    struct Pending {
        TimePoint visibleAt;
        std::vector<PlatformHost> hosts;
    };

    milliseconds m_lag{0};
    std::vector<PlatformHost> m_visible;
    // Oldest first.
    std::deque<Pending> m_pending;
};

} // namespace egrettide::standin
