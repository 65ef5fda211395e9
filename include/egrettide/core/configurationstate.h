// What one host holds of the configuration. The store, peers and a host's own
// watch may all offer configurations in any order, late and repeatedly; a host
// only ever moves to a higher version, so an accepted file never reverts.

#pragma once

#include "egrettide/core/configuration.h"

#include <cstdint>
#include <memory>

namespace egrettide
{

enum class OfferResult {
    // It is in force at this host now.
    Accepted,
    // This version was in force already.
    Same,
    // A higher version is in force; the offer changed nothing.
    Stale,
};

class ConfigurationState
{
public:
    // Switches mechanisms off so that a test can show that its proof notices.
    struct Mutation {
        // Takes any version that is offered, as a host without the rule would.
        bool acceptLower = false;
    };

    ConfigurationState() = default;
    explicit ConfigurationState(Mutation mutation);
    ConfigurationState(const ConfigurationState &) = delete;
    ConfigurationState &operator=(const ConfigurationState &) = delete;

    // Takes the configuration when its version is above the one held. Version 0
    // has not been through the store and is Stale.
    OfferResult offer(Configuration configuration);

    // Notes that somebody holds `version`, for example a peer in a heartbeat.
    void heardOf(std::uint64_t version);

    // The configuration in force; null while this host has learnt none. It never
    // changes: a new one replaces it.
    std::shared_ptr<const Configuration> current() const;

    // The version in force, 0 while there is none.
    std::uint64_t version() const;

    // The newest version known to exist; at least version().
    std::uint64_t newestHeard() const;

    // True while a newer version is known to exist: ask for it.
    bool isBehind() const;

private:
    Mutation m_mutation;
    // Invariant: its version only rises.
    std::shared_ptr<const Configuration> m_current;
    // Invariant: m_newestHeard >= version().
    std::uint64_t m_newestHeard = 0;
};

} // namespace egrettide
