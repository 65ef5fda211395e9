// Implements the stand-in's objects and host list.

#include "testing/platform/objectstore.h"

namespace egrettide::standin
{

std::optional<StoredObject> ObjectStore::read(const std::string &key) const
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::uint64_t ObjectStore::versionOf(const std::string &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? 0 : found->second.version;
}

ChangeResult ObjectStore::write(const std::string &key, nlohmann::json value, std::optional<std::uint64_t> ifVersion)
{
    const std::uint64_t current = versionOf(key);
    if (ifVersion && *ifVersion != current) {
        return {false, current};
    }
    ++m_lastVersion;
    m_objects[key] = {m_lastVersion, std::move(value)};
    return {true, m_lastVersion};
}

ChangeResult ObjectStore::remove(const std::string &key, std::optional<std::uint64_t> ifVersion)
{
    const std::uint64_t current = versionOf(key);
    if (current == 0 || (ifVersion && *ifVersion != current)) {
        return {false, current};
    }
    m_objects.erase(key);
    ++m_lastVersion;
    return {true, 0};
}

std::vector<std::pair<std::string, std::uint64_t>> ObjectStore::list(const std::string &prefix) const
{
    std::vector<std::pair<std::string, std::uint64_t>> found;
    for (auto entry = m_objects.lower_bound(prefix); entry != m_objects.end() && entry->first.starts_with(prefix); ++entry) {
        found.emplace_back(entry->first, entry->second.version);
    }
    return found;
}

void LaggingHostList::set(std::vector<PlatformHost> hosts, TimePoint now)
{
    m_pending.push_back({now + m_lag, std::move(hosts)});
}

void LaggingHostList::setLag(milliseconds lag)
{
    m_lag = lag;
}

const std::vector<PlatformHost> &LaggingHostList::visible(TimePoint now)
{
    while (!m_pending.empty() && m_pending.front().visibleAt <= now) {
        m_visible = std::move(m_pending.front().hosts);
        m_pending.pop_front();
    }
    return m_visible;
}

} // namespace egrettide::standin
