// The configuration in force at one host; its version never decreases.

#include "egrettide/core/configurationstate.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

ConfigurationState::ConfigurationState(Mutation mutation) : m_mutation(mutation)
{
}

OfferResult ConfigurationState::offer(Configuration configuration)
{
    const std::uint64_t offered = configuration.version;
    if (offered == version() && m_current) {
        return OfferResult::Same;
    }
    // A late answer of the store, a peer that lags behind or a read that was overtaken would
    // put an earlier file back into force, and an accepted change would be undone. The store
    // never reuses a version, so the order of versions is the order of acceptance.
    if (offered <= version() && !m_mutation.acceptLower) {
        return OfferResult::Stale;
    }
    m_current = std::make_shared<const Configuration>(std::move(configuration));
    noteKnownVersion(offered);
    return OfferResult::Accepted;
}

void ConfigurationState::noteKnownVersion(std::uint64_t version)
{
    m_newestKnownVersion = std::max(m_newestKnownVersion, version);
}

std::shared_ptr<const Configuration> ConfigurationState::current() const
{
    return m_current;
}

std::uint64_t ConfigurationState::version() const
{
    return m_current ? m_current->version : 0;
}

std::uint64_t ConfigurationState::newestKnownVersion() const
{
    return m_newestKnownVersion;
}

bool ConfigurationState::isBehind() const
{
    return m_newestKnownVersion > version();
}

} // namespace egrettide
