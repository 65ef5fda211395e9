// The operators' intent as stated in one declarative file: database services with
// their upstreams, freshness and durability rules, classes and tenants. A configuration
// is accepted as a whole or not at all.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/types.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

// When a write is acknowledged.
enum class Durability {
    // Once a majority of the group holds it: it survives the loss of the primary.
    Majority,
    // Once the primary holds it: faster, but a failover may lose acknowledged writes. Has
    // to be set explicitly in the file.
    PrimaryOnly,
};

struct UpstreamSpec {
    std::string name;
    // "IP:port".
    std::string address;
    std::string zone;
    // The number of statements that it runs concurrently without queueing.
    int slots = 1;
    // The number of connections that it accepts.
    int connections = 1;
    // True while operators take it out of service: it gets no new work.
    bool leaving = false;
    // The wall-clock time at which its process started, if the registration states it. Only
    // compared with other start times at the same address.
    std::optional<milliseconds> startedAt{};
    // The number of heartbeats that its process had sent when its registration last changed.
    std::uint64_t heartbeats = 0;
};

struct DatabaseSpec {
    std::string name;
    std::vector<UpstreamSpec> upstreams;
    Durability durability = Durability::Majority;
    // How many replicas have received a commit before the upstream acknowledges it, where upstreams
    // decide this themselves; 0: none. Any of the receiving replicas may be the one that did.
    std::size_t acknowledgingReplicas = 0;
    // The default maximum age of the state that a read shows, in addition to the session's
    // floor (the mark that its reads must reach); unset: the floor only.
    std::optional<milliseconds> maxAge;
    // How long a read may wait for a replica before it goes to the primary. A wait ends as
    // soon as the replica is fresh enough and does not start if it could not succeed, so a
    // generous bound costs little; see docs/MEASUREMENTS.md.
    milliseconds replicaWait{100};

    const UpstreamSpec *upstream(std::string_view upstreamName) const;
};

// A class of callers, such as desks or parents. Classes share the slots of upstreams.
struct ClassSpec {
    std::string name;
    // The fraction of an upstream's slots that is reserved for this class, 0 to 1.
    double reservedShare = 0;
    // The timeout of statements whose caller sets none.
    milliseconds timeout{5000};
    // Classes of higher priority get unreserved slots first.
    int priority = 0;
};

// The rate of requests that a workspace may make, over all hosts together. A transaction
// counts as one request.
struct RequestQuota {
    double perSecond = 0;
    // The number of requests that it may make at once beyond that rate.
    double burst = 0;

    friend bool operator==(const RequestQuota &, const RequestQuota &) = default;
};

// A workspace (tenant): one customer. Its callers present one of its keys or give its name
// as their user name.
struct TenantSpec {
    std::string name;
    std::string className;
    // Empty: no password is required, unless there are keys.
    std::string password;
    // The fraction of the unreserved slots that it may use while others wait, 0 to 1.
    double share = 1.0;
    // Each of them authenticates a caller; all are equivalent. Keys are secrets: they must
    // not appear in logs, in configuration diffs or on connections to upstreams.
    std::vector<std::string> keys{};
    // Unset: unlimited.
    std::optional<RequestQuota> quota{};

    bool holdsKey(std::string_view key) const;
};

// The freshness that the reads of a route require.
enum class RouteFreshness {
    // Reads see every acknowledged write; only the primary can serve them.
    Latest,
    // Reads see the session's own writes and no state older than RouteSpec::maxAge.
    OwnWrites,
    // Reads see no state older than RouteSpec::maxAge.
    Bounded,
};

// A name under which callers reach a database, with the rules for their statements.
struct RouteSpec {
    std::string name;
    std::string database;
    RouteFreshness freshness = RouteFreshness::OwnWrites;
    // Unset: any age.
    std::optional<milliseconds> maxAge;
    // The timeout of one statement, counted from its receipt.
    milliseconds timeout{5000};
    // The latency objective of a whole operation.
    std::optional<milliseconds> latencyObjective;
    // The class to which its statements belong.
    std::string className;
    // True to serve callers whose key belongs to no tenant; by default they are refused.
    bool allowsUnknownKeys = false;
};

struct Configuration {
    // Assigned by the store; never decreases.
    std::uint64_t version = 0;
    // Identifies one attempt to apply a file, so that the outcome of an attempt whose answer
    // was lost can be determined.
    std::string applyId;
    std::vector<DatabaseSpec> databases;
    std::vector<ClassSpec> classes;
    std::vector<TenantSpec> tenants;
    // True if callers of routes have to present the key of a tenant.
    bool requiresKeys = false;
    std::vector<RouteSpec> routes;
    // How long a transaction may be idle before it is rolled back; unset: the value in the
    // host's settings.
    std::optional<milliseconds> transactionIdleTimeout;

    const DatabaseSpec *database(std::string_view databaseName) const;
    const ClassSpec *classNamed(std::string_view className) const;
    const TenantSpec *tenant(std::string_view tenantName) const;
    // The workspace that holds the key, or null. No workspace holds the empty key.
    const TenantSpec *tenantOfKey(std::string_view key) const;
    const RouteSpec *route(std::string_view routeName) const;
};

} // namespace egrettide
