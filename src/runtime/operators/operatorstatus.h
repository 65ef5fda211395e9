// Reports whether every host has the last accepted file in force, from one host's
// status document and the version in the store.

#pragma once

#include "runtime/store/storeclient.h"

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

struct HostStatus {
    std::string name;
    std::string zone;
    // "live", "suspect", "leaving" or "dead".
    std::string state;
    std::string operatorAddress;
    std::uint64_t configurationVersion = 0;

    // Whether the host is included in the comparison. A dead host serves no callers;
    // all others have to agree.
    bool counts() const
    {
        return state != "dead";
    }
};

struct GroupStatus {
    std::string database;
    std::uint64_t term = 0;
    std::string primary;
    bool confirmed = false;
};

struct StatusReport {
    // The host that answered. It reports the other hosts from their heartbeats, so
    // these may have newer versions than shown, but older ones only after a restart.
    std::string answeredBy;
    std::vector<HostStatus> hosts;
    std::vector<GroupStatus> groups;
    // The last accepted version; unset if it could not be read from the store.
    std::optional<std::uint64_t> storeVersion;
    // Why storeVersion is unset.
    std::string storeProblem = "no --platform was given";
};

enum class StatusVerdict {
    // Every host that is not dead has the last accepted file in force.
    Agreed,
    // At least one host that is not dead has another version in force.
    Differs,
    // All hosts agree, but the last accepted version could not be read from the store.
    Unproven,
};

// Parses a host's GET /status document; ignores unknown and missing fields.
StatusReport statusReport(const nlohmann::json &document);

// Adds the result of reading the configuration object from the store.
void addStore(StatusReport &report, const tl::expected<VersionedObject, StoreError> &object);

// The hosts that are not dead and have a version in force other than the last accepted
// one or, if that is not known, other than the newest version of any host.
std::vector<HostStatus> differingHosts(const StatusReport &report);

StatusVerdict verdictOf(const StatusReport &report);
std::string toText(const StatusReport &report);
nlohmann::json toJson(const StatusReport &report);

} // namespace egrettide
