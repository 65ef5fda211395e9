// The interface of a configuration source to the rest of the daemon.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/readerselection.h"
#include "wire/hopcodec.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace egrettide
{

// The hosts of this host's availability zone.
struct ZoneHosts {
    // False until this host has discovered its zone.
    bool known = false;
    // The hosts that may read the store for the others, this one included, in order of
    // preference.
    std::vector<std::string> candidates;
    // All hosts of the zone except this one.
    std::vector<std::string> mates;
};

struct ConfigurationKeeperHooks {
    // A newer configuration came into force.
    std::function<void(std::shared_ptr<const Configuration>)> accepted;
    // Sends to one host by name.
    std::function<void(const std::string &host, hop::HopMessage)> send;
    // Up to `count` live hosts other than this one, in random order.
    std::function<std::vector<std::string>(std::size_t count)> someHosts;
    // True when this host holds its zone's watch on the store.
    std::function<bool()> isStoreReader;
    std::function<ZoneHosts()> zone{};
    // The store was restored from an older copy; what this host wrote there may be lost.
    std::function<void()> storeRestored = [] {};
    // Not hooks: how the hosts of a zone share the reading of the store, and the rate in bytes
    // per second that bulk transfers may use of this host's link, 0 for no limit.
    ReaderSelectionOptions reader{};
    std::uint64_t bulkBytesPerSecond = 0;
};

// Used from the control thread only.
class ConfigurationSource
{
public:
    virtual ~ConfigurationSource() = default;

    virtual void start() = 0;
    virtual void stop() = 0;

    // Messages of other hosts; a source does not override those that another kind of source
    // sends.
    virtual void onOffer(const std::string & /*from*/, const hop::ConfigOffer & /*offer*/)
    {
    }
    virtual void onPull(const std::string & /*from*/, const hop::ConfigPull & /*pull*/)
    {
    }
    virtual void onPush(const std::string & /*from*/, const hop::ConfigPush & /*push*/)
    {
    }
    virtual void onCatalogOffer(const std::string & /*from*/, const hop::CatalogOffer & /*offer*/)
    {
    }
    virtual void onCatalogPull(const std::string & /*from*/, const hop::CatalogPull & /*pull*/)
    {
    }
    virtual void onCatalogPush(const std::string & /*from*/, const hop::CatalogPush & /*push*/)
    {
    }
    // The store listed the hosts of this host's zone: this one and the others, in order of preference
    // as store readers. An outdated list may lack hosts that started with this one.
    virtual void onZoneListed(const std::vector<std::string> & /*hosts*/, bool /*isCurrent*/)
    {
    }
    // This host has joined its zone, or the zone's live hosts have changed.
    virtual void onZoneChanged()
    {
    }
    // A heartbeat reported that `host` announces `version`; see announced().
    virtual void noteKnownVersion(const std::string &host, const CatalogVersion &version) = 0;

    // The configuration in force; null while there is none.
    virtual std::shared_ptr<const Configuration> current() const = 0;
    // The epoch of the store from which this host's copy comes; 0 for a store without epochs.
    virtual std::uint64_t storeEpoch() const
    {
        return 0;
    }
    // The version that this host's heartbeats announce; rises with every change.
    virtual CatalogVersion announced() const
    {
        return {current() ? current()->version : 0, 0};
    }
};

} // namespace egrettide
