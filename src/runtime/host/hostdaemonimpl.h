// Implementation class of HostDaemon, shared by the files that implement it: construction
// (hostdaemon.cpp), requests and messages (hostrouting.cpp), configuration and membership
// (hostview.cpp), operators and changed settings (hostoperations.cpp), stopping
// (hoststop.cpp).

#pragma once

#include "runtime/host/crashreport.h"
#include "runtime/host/hostdaemon.h"
#include "runtime/host/mechanisms.h"

#include "egrettide/core/joingate.h"
#include "egrettide/core/membership.h"
#include "egrettide/core/placement.h"
#include "egrettide/core/retrybudget.h"
#include "runtime/callers/front.h"
#include "runtime/fleet/membershipdriver.h"
#include "runtime/fleet/partitiondriver.h"
#include "runtime/fleet/peernetwork.h"
#include "runtime/fleet/quotaservice.h"
#include "runtime/group/groupcoordination.h"
#include "runtime/group/switchoverservice.h"
#include "runtime/host/address.h"
#include "runtime/host/log.h"
#include "runtime/host/pacedtask.h"
#include "runtime/host/timer.h"
#include "runtime/operators/hostmetrics.h"
#include "runtime/operators/hoststatus.h"
#include "runtime/operators/operatorserver.h"
#include "runtime/operators/servicerecord.h"
#include "runtime/upstreams/homeservice.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace egrettide
{

namespace detail
{

using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

// The front key for the callers of this host itself.
constexpr std::string_view localFrontKey = "local";

// The homes of all upstreams for one membership view and one configuration. Immutable; threads
// that route requests read it without a lock.
struct Routes {
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const MembershipView> view;
    std::unique_ptr<const Placement> placement;
    QuotaKeepers quotaKeepers;
    // The upstreams whose home is this host, each with its database.
    std::vector<std::pair<std::string, std::string>> ownHomes;

    std::optional<std::string> homeOf(const UpstreamSpec &upstream) const
    {
        return placement->homeOf(upstream.name, upstream.zone);
    }
};

// The key that identifies a link as a front to the homes of this host.
std::string frontKeyOf(const PeerRef &peer);

std::shared_ptr<const PlacementUpstreams> placementUpstreamsOf(const Configuration *configuration);

} // namespace detail

class HostDaemon::Impl
{
public:
    Impl(Settings settings, HostParts parts);
    ~Impl();
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    tl::expected<HostAddresses, Error> start();
    void beginStop();
    void reload(const Settings &next);
    void stopNow();
    void wait();

private:
    // Construction, in the order in which parts depend on each other.
    void makeContexts();
    tl::expected<void, Error> makeStore();
    void makeNetwork();
    void makeQuotas();
    void makeHomes();
    void makeFront();
    void makeOperators();
    std::vector<boost::asio::io_context *> trafficContexts() const;
    tl::expected<HostAddresses, Error> listen();
    void startThreads();
    void startControl();

    // Routing of requests, from any thread.
    void execute(StatementRequest request, ReplyHandler handler);
    std::optional<std::string> homeOfTransaction(std::uint64_t transaction);
    ReplyHandler trackTransaction(const StatementRequest &request, const std::string &home, ReplyHandler handler);
    void executeAt(const std::string &home, const std::string &address, StatementRequest request, ReplyHandler handler);
    void cancel(std::uint64_t requestId);

    // Messages from other hosts; on the link thread.
    void onPeerRequest(const PeerRef &from, StatementRequest request, ReplyHandler reply);
    void onPeerMessage(const PeerRef &from, hop::HopMessage message);
    // On the control thread.
    void onControlMessage(const PeerRef &from, const hop::HopMessage &message);
    void answerOpinion(const PeerRef &from, const hop::Opinion &question);
    void applyPrimary(const std::string &database, Term term, const std::string &primary);

    void send(const std::string &host, hop::HopMessage message);
    // Sends also to a host of the zone that is only known from the store's list. On the control thread.
    void sendToListed(const std::string &host, hop::HopMessage message);
    void sendTo(const std::string &host, const std::string &address, hop::HopMessage message);
    void sendOn(const PeerRef &peer, hop::HopMessage message);

    // On the control thread.
    void onConfiguration();
    void onZoneListed(const std::vector<ListedHost> &hosts, bool isCurrent);
    void onView(const std::shared_ptr<const MembershipView> &view);
    void dropLinksToDead(const MembershipView &view);
    void rebuildRoutes();
    void updateKeptQuotas();
    void joinWhenDue();
    void notifyZoneOfPartition();
    void scheduleRecordLog();
    bool isStoreReader() const;
    ZoneHosts zoneHosts() const;
    std::vector<std::string> otherHosts() const;
    std::vector<std::string> someHosts(std::size_t count);
    std::vector<std::string> otherHomes(const std::string &database) const;
    // Returns the home of the upstream; empty when there is none.
    std::string homeOf(const std::string &database, const std::string &upstream) const;
    // Records a message from another host, and confirms the homes of this host when enough hosts
    // of its zone have sent messages recently. Another host takes over a home only when the zone
    // considers this host dead, and then sends it no messages.
    void confirmOwnHomes(const std::string &sender);
    // The time since which enough hosts of the zone have sent messages; nothing when too few have.
    std::optional<TimePoint> confirmationTime(const MembershipView &view, TimePoint now) const;

    // Operators' requests; on the control thread.
    void handleOperator(const OperatorRequest &request, const OperatorResponder &respond);
    void respondMetrics(const OperatorResponder &respond);

    // The steps of a graceful stop; on the control thread.
    void drainCallers(TimePoint deadline);
    void drainHomes(TimePoint deadline);
    void departAndStop();
    void join();

    std::shared_ptr<const detail::Routes> routes() const
    {
        return std::atomic_load(&m_routes);
    }

    Settings m_settings;
    const HostParts m_parts;
    const Mechanisms m_mechanisms;
    const std::uint64_t m_incarnation;
    std::mt19937_64 m_random;

    // Declared before the contexts below, as it must be destroyed after them: a pending accept on
    // the link context holds a socket of a traffic context.
    std::vector<std::unique_ptr<boost::asio::io_context>> m_traffic;
    boost::asio::io_context m_control{1};
    boost::asio::io_context m_link{1};
    std::vector<detail::WorkGuard> m_guards;
    std::vector<std::thread> m_threads;

    std::unique_ptr<Store> m_store;
    std::shared_ptr<const UpstreamDialect> m_dialect;
    std::unique_ptr<PeerNetwork> m_network;
    std::unique_ptr<QuotaService> m_quotas;
    std::unique_ptr<MembershipDriver> m_membership;
    std::unique_ptr<PartitionDriver> m_partition;
    std::unique_ptr<ConfigurationSource> m_configurationSource;
    std::unique_ptr<GroupCoordination> m_coordination;
    std::unique_ptr<HomeService> m_homes;
    std::unique_ptr<SwitchoverService> m_switchovers;
    std::unique_ptr<Front> m_front;
    std::unique_ptr<OperatorServer> m_operators;
    // Null when there is no separate readiness listener.
    std::unique_ptr<OperatorServer> m_ready;
    std::unique_ptr<Timer> m_drainTimer;
    std::unique_ptr<Timer> m_joinTimer;
    // Rebuilds the routes; control thread only.
    std::unique_ptr<PacedTask> m_routesTask;
    // False until this host may be home of upstreams. Control thread only.
    bool m_joined = false;
    // True once the store has listed the hosts. Control thread only.
    bool m_hasHostList = false;
    // Addresses of the zone's other hosts on the store's list. Control thread only.
    absl::flat_hash_map<std::string, std::string> m_listedAddresses;
    // When this host may read the store for its zone although it has no list: without one, each
    // host of a fleet that starts together would take itself for its zone's only one.
    TimePoint m_readsUnlistedAt;
    // Decides when this host may become home of upstreams; used until it has joined.
    std::unique_ptr<JoinGate> m_joinGate;

    // The incarnation in which each dead host was last dropped; control thread only.
    absl::flat_hash_map<std::string, std::uint64_t> m_droppedIncarnations;
    // When a message of each host was last received; control thread only.
    absl::flat_hash_map<std::string, TimePoint> m_lastReceivedAt;

    HostMetrics m_metrics;
    ServiceRecord m_record;
    std::unique_ptr<Timer> m_recordTimer;
    std::mutex m_retryMutex;
    // Guarded by m_retryMutex.
    RetryBudget m_retries;

    // Written on the control thread, read by all threads; never null after start().
    std::shared_ptr<const detail::Routes> m_routes;
    // The upstreams of the newest placement. Used from the control thread.
    std::shared_ptr<const PlacementUpstreams> m_placementUpstreams;

    // Requests of this host's callers that were sent to another host: id -> host.
    std::mutex m_remoteMutex;
    absl::flat_hash_map<std::uint64_t, std::string> m_remote;
    // Open transactions of this host's callers: transaction number -> home.
    // Guarded by m_remoteMutex.
    absl::flat_hash_map<std::uint64_t, std::string> m_transactionHomes;

    std::atomic<bool> m_leaving{false};
    std::mutex m_stopMutex;
    std::condition_variable m_stopChanged;
    // Guarded by m_stopMutex.
    bool m_stopped = false;
};

} // namespace egrettide
