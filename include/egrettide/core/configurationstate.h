// The configuration in force at one host. The store, a watch on the store and peers may
// offer configurations late, repeatedly and in any order. A host only moves to higher
// versions, so that an accepted file never reverts.

#pragma once

#include "egrettide/core/configuration.h"

#include <cstdint>
#include <memory>

namespace egrettide
{

enum class OfferResult {
    // The offered configuration is now in force at this host.
    Accepted,
    // This version was in force already.
    Same,
    // A higher version is in force; the offer changed nothing.
    Stale,
};

class ConfigurationState
{
public:
    // Disables single mechanisms, so that tests can verify that they detect the resulting
    // fault.
    struct Mutation {
        // Accepts lower versions, too.
        bool acceptLower = false;
    };

    ConfigurationState() = default;
    explicit ConfigurationState(Mutation mutation);
    ConfigurationState(const ConfigurationState &) = delete;
    ConfigurationState &operator=(const ConfigurationState &) = delete;

    // Accepts the configuration if its version is higher than the one in force. Version 0
    // was not assigned by the store and is Stale.
    OfferResult offer(Configuration configuration);

    // Records that `version` exists, for example because a peer's heartbeat reports it.
    void noteKnownVersion(std::uint64_t version);

    // The configuration in force; null while there is none. The object is immutable and is
    // replaced by a new one when the configuration changes.
    std::shared_ptr<const Configuration> current() const;

    // The version in force, 0 while there is none.
    std::uint64_t version() const;

    // The newest version known to exist; at least version().
    std::uint64_t newestKnownVersion() const;

    // True if a newer version is known to exist and has to be fetched.
    bool isBehind() const;

private:
    Mutation m_mutation;
    // Invariant: its version never decreases.
    std::shared_ptr<const Configuration> m_current;
    // Invariant: m_newestKnownVersion >= version().
    std::uint64_t m_newestKnownVersion = 0;
};

} // namespace egrettide
