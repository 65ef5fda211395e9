// The interface to the object store and the list of hosts. Each kind of store implements it; code
// that reads, writes or watches objects uses only this interface.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/types.h"

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

// One object of the store at one version.
struct VersionedObject {
    std::string key;
    // Taken from one counter of the whole store, so it rises with every write of
    // any object and is never used twice, not even after a deletion.
    std::uint64_t version = 0;
    // A write's answer contains the value that was written.
    nlohmann::json value;
};

// Why a call to the store returned no object.
enum class StoreFailure {
    // There is no such object.
    NotFound,
    // A watch ended at its deadline and the object had not changed.
    Unchanged,
    // The object is not at the expected version; nothing was written.
    Conflict,
    // The store refused the call as malformed or too large; nothing was written.
    Refused,
    // Nothing was written: the store is unavailable or slow.
    Unavailable,
    // The request was sent and its answer did not arrive: a write may have taken effect, or may
    // still do so. Only reading the object again shows it.
    OutcomeUnknown,
};

struct StoreError {
    StoreFailure failure = StoreFailure::Unavailable;
    // Kinds: Conflict, InvalidInput (Refused), UnknownOutcome (OutcomeUnknown) and
    // StoreUnavailable (all others).
    Error error;
    // On a Conflict: the version the object is at now, 0 when it does not exist.
    std::uint64_t currentVersion = 0;

    // True when a change may have taken effect although its answer was lost.
    bool mayHaveApplied() const
    {
        return failure == StoreFailure::OutcomeUnknown;
    }
};

// One host as the platform lists it; the list is updated with a delay.
struct ListedHost {
    std::string name;
    std::string zone;
    // "IP:port" of its peer listener.
    std::string address;
    bool leaving = false;
};

// Started calls by kind, as the platform counts them; they must grow more slowly than the fleet. Also
// what came back that could not be read; see StoreRefusals.
struct StoreCallCounts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t hostLists = 0;
    std::uint64_t refusedObjects = 0;
    std::uint64_t refusedAnswers = 0;
};

using ObjectHandler = std::function<void(tl::expected<VersionedObject, StoreError>)>;
using HostsHandler = std::function<void(tl::expected<std::vector<ListedHost>, StoreError>)>;

using DoneHandler = std::function<void(tl::expected<void, StoreError>)>;

// Access to one store. Used from one thread only. Every handler runs exactly once, no later than
// the call's deadline, and never inside the call that registered it; handlers of calls that are
// outstanding when the store object is destroyed do not run. No call is retried here: the caller
// decides whether a retry is safe.
class Store
{
public:
    virtual ~Store() = default;

    // Reads the object; fails with NotFound or Unavailable.
    virtual void read(const std::string &key, TimePoint deadline, ObjectHandler handler) = 0;

    // Writes the object when it is at `expectedVersion` (0: when it does not exist); without an
    // expected version, writes unconditionally. Fails with Conflict, Refused, Unavailable or
    // OutcomeUnknown.
    virtual void write(const std::string &key, const nlohmann::json &value, std::optional<std::uint64_t> expectedVersion,
                       TimePoint deadline, ObjectHandler handler) = 0;

    // Waits until the object exists at a version above `afterVersion`. Ends with Unchanged
    // shortly before the deadline, which distinguishes a watch without changes from an outage
    // (Unavailable).
    virtual void watch(const std::string &key, std::uint64_t afterVersion, TimePoint deadline, ObjectHandler handler) = 0;

    // Fetches the list of live and leaving hosts; fails with Unavailable.
    virtual void hosts(TimePoint deadline, HostsHandler handler) = 0;

    // Adds this host to the list, or removes it, for stores whose list the hosts maintain
    // themselves; other stores do nothing and succeed.
    virtual void registerHost(const ListedHost &self, TimePoint deadline, DoneHandler handler) = 0;
    virtual void removeHost(const std::string &name, TimePoint deadline, DoneHandler handler) = 0;

    // Calls from now on go to another address.
    virtual void moveTo(const boost::asio::ip::tcp::endpoint &address) = 0;

    virtual StoreCallCounts callCounts() const = 0;
};

} // namespace egrettide
