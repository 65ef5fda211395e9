// A stand-in for one upstream of a database group: an in-memory store that speaks
// PostgreSQL v3, replicates asynchronously and fails on demand. Tests run it in
// process; the program `upstream` runs it standalone. All its state is in memory:
// an upstream that is killed loses it and restarts empty.

#pragma once

#include "egrettide/core/types.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace egrettide::testing
{

// Group rules that a stand-in violates on purpose, so that tests can show that their
// checks detect the violation.
struct GroupFaults {
    // Grants a promised term to a second token as well.
    bool grantsTermTwice = false;
    // Accepts entries from a primary of any term.
    bool takesOldEntries = false;
    // Stays primary after promising a higher term.
    bool ignoresFence = false;
};

// How one stand-in behaves from its start. Most of it can be changed at run time,
// in process by methods and over SQL by `SELECT standin_set('key', 'value')`.
struct UpstreamOptions {
    std::string name = "upstream";
    std::string zone;
    std::string address = "127.0.0.1";
    // 0 selects a free port.
    std::uint16_t port = 0;
    // Statements that run at once; further ones queue inside the upstream.
    int slots = 5;
    // Connections it accepts; one more is refused with SQLSTATE 53300. Connections
    // of following replicas do not count.
    int connections = 30;
    // How long a statement occupies its slot.
    std::chrono::microseconds serviceTime{0};
    // How long it takes to accept a new connection.
    milliseconds connectionDelay{0};
    // How long after its receipt an entry becomes visible to reads.
    milliseconds replicationLag{0};
    // The lag during a burst; bursts come on average every `burstEvery` (0 for
    // never) and last `burstLength`.
    milliseconds burstLag{0};
    milliseconds burstEvery{0};
    milliseconds burstLength{0};
    // While set, new connections are refused with SQLSTATE 57P03.
    bool refusesConnections = false;
    // How long a replica waits before it asks its primary for more.
    milliseconds receiveDelay{0};
    // Seeds the bursts.
    std::uint64_t seed = 1;
    GroupFaults faults;
    // If above 0, it starts as the primary of this term.
    Term primaryTerm = 0;
    // "IP:port" of the primary to follow from the start.
    std::string follow;
    // The term of that primary.
    Term followTerm = 1;
};

// What a stand-in has counted since its start.
struct UpstreamStatistics {
    int connections = 0;
    int maxConnections = 0;
    int refusedConnections = 0;
    int queue = 0;
    int maxQueue = 0;
    std::uint64_t statements = 0;
    // Transactions that wrote, single statements included.
    std::uint64_t commits = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t cancels = 0;
};

// One upstream on a thread of its own. Methods may be called from any thread but
// not from two at once.
class UpstreamStandIn
{
public:
    explicit UpstreamStandIn(UpstreamOptions options);
    ~UpstreamStandIn();
    UpstreamStandIn(const UpstreamStandIn &) = delete;
    UpstreamStandIn &operator=(const UpstreamStandIn &) = delete;

    // Listens and serves; throws boost::system::system_error when the address is taken.
    void start();
    // Closes every connection and ends the thread. The state is lost.
    void stop();
    // As stop(), but resets the connections as a host crash would.
    void kill();

    // The port it listens on, 0 before the first start(). It stays the same when
    // the stand-in is started again.
    std::uint16_t port() const;
    // "IP:port", as configuration files and group_follow expect it.
    std::string endpoint() const;

    // Suspends its thread like a paused process: it answers nothing, keeps its sockets
    // and afterwards continues with its old state.
    void freeze(bool frozen);
    // Partitions it from the network: no bytes go in or out and no connection is
    // accepted, but it still runs the statements it has received. Held bytes are
    // delivered afterwards.
    void cut(bool isCut);
    void setReplicationLag(milliseconds lag);
    void setReceiveDelay(milliseconds delay);
    void setServiceTime(std::chrono::microseconds time);
    void setConnectionDelay(milliseconds delay);
    // While set, new connections are refused with SQLSTATE 57P03.
    void setRefuseConnections(bool refuse);

    // What group_status() would answer. Waits while the stand-in is frozen.
    MemberStatus status() const;
    // Waits while the stand-in is frozen.
    UpstreamStatistics statistics() const;

private:
    class Impl;

    void change(const std::function<void(UpstreamOptions &)> &edit);

    UpstreamOptions m_options;
    std::unique_ptr<Impl> m_impl;
};

} // namespace egrettide::testing
