// Where a host's configuration comes from, as the rest of the daemon knows it.

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
    // False until this host has met its zone.
    bool known = false;
    // Those that may read the store for the others, this one included, first choice first.
    std::vector<std::string> candidates;
    // All but this one.
    std::vector<std::string> mates;
};

struct ConfigurationKeeperHooks {
    // A newer configuration came into force here.
    std::function<void(std::shared_ptr<const Configuration>)> accepted;
    // Sends to one host by name.
    std::function<void(const std::string &host, hop::HopMessage)> send;
    // Some live hosts other than this one, in random order, at most `count`.
    std::function<std::vector<std::string>(std::size_t count)> someHosts;
    // True when this host holds its zone's watch on the store.
    std::function<bool()> isStoreReader;
    std::function<ZoneHosts()> zone{};
    // The store came back from an older copy; what this host wrote there may be gone.
    std::function<void()> storeRestored = [] {};
    // Not hooks: how the hosts of a zone share the reading of the store, and the bytes a
    // second that bulk may take of this host's link, 0 for no bound.
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

    // Messages of other hosts; a source leaves out those that another kind of source sends.
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
    // A heartbeat told that `host` announces `version`; see announced().
    virtual void noteKnownVersion(const std::string &host, const CatalogVersion &version) = 0;

    // The configuration in force; null while there is none.
    virtual std::shared_ptr<const Configuration> current() const = 0;
    // The epoch of the store that this host's copy is from; 0 for a store without epochs.
    virtual std::uint64_t storeEpoch() const
    {
        return 0;
    }
    // What this host's heartbeats tell of it; rises with every change.
    virtual CatalogVersion announced() const
    {
        return {current() ? current()->version : 0, 0};
    }
};

} // namespace egrettide
