// State shared by the callers' connections of one traffic thread: the classifier's
// cache, the router and the random generator. Each thread has its own, so that the
// request path takes no lock.

#pragma once

#include "egrettide/core/classifier.h"
#include "egrettide/core/router.h"
#include "egrettide/core/sessiontoken.h"
#include "runtime/callers/cancelregistry.h"
#include "runtime/callers/front.h"
#include "runtime/callers/primarywaits.h"
#include "runtime/callers/startupholds.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace egrettide::detail
{

// State shared by all shards of one front. All members are thread-safe.
struct FrontCommon {
    FrontCommon(FrontOptions frontOptions, FrontHooks frontHooks)
        : options(std::move(frontOptions))
        , hooks(std::move(frontHooks))
        , tokens(std::make_shared<const SessionTokenCodec>(keysOf(options)))
    {
    }

    static std::vector<std::string> keysOf(const FrontOptions &frontOptions)
    {
        return frontOptions.tokenKey.empty() ? std::vector<std::string>() : std::vector<std::string>{frontOptions.tokenKey};
    }

    const FrontOptions options;
    const FrontHooks hooks;
    const std::shared_ptr<const SessionTokenCodec> tokens;
    CancelRegistry cancels;
    std::atomic<std::uint64_t> nextRequestId{1};
    std::atomic<bool> draining{false};
};

// Used only on the thread of `context`.
class TrafficShard
{
public:
    TrafficShard(boost::asio::io_context &shardContext, std::shared_ptr<FrontCommon> frontCommon, std::uint64_t seed)
        : context(shardContext)
        , common(std::move(frontCommon))
        , router(
              routerOptions(common->options), [this](TimePoint) { return common->hooks.takeRetry(); },
              [this](const std::string &database) { endWaits(database); })
        , random(seed)
        , m_holds(shardContext, common->options.maxHeldStartups, common->options.startupHold)
    {
    }
    TrafficShard(const TrafficShard &) = delete;
    TrafficShard &operator=(const TrafficShard &) = delete;

    TimePoint now() const
    {
        return common->hooks.now();
    }

    // The current configuration; passes a new one to the router. Null before the first one.
    std::shared_ptr<const Configuration> configuration()
    {
        auto current = common->hooks.configuration();
        if (current && current != m_configuration) {
            router.configure(*current);
            m_configuration = current;
        }
        return current;
    }

    // Calls `onPrimary` asynchronously on this thread when the primary of the database becomes
    // known or changes, unless `waiter` has expired and its entry was removed.
    void awaitPrimary(const std::string &database, std::weak_ptr<const void> waiter, std::function<void()> onPrimary)
    {
        m_waits.add(database, std::move(waiter), std::move(onPrimary));
    }

    // Calls `resume` once there is a first configuration, or FrontOptions::startupHold is over,
    // unless the returned place is given up before. Null when the caller cannot be held: too many
    // are, or this host is leaving.
    StartupHold holdStartup(std::function<void()> resume)
    {
        return common->draining ? nullptr : m_holds.add(std::move(resume));
    }

    // There is a configuration, or this host begins to leave.
    void resumeStartups()
    {
        m_holds.resumeAll();
    }

    boost::asio::io_context &context;
    const std::shared_ptr<FrontCommon> common;
    Classifier classifier;
    Router router;
    std::mt19937_64 random;
    // Receive buffer of all connections: input is consumed right after each read, so that
    // idle connections need no buffer of their own.
    std::array<char, 65536> receiveBuffer{};

private:
    void endWaits(const std::string &database)
    {
        boost::asio::post(context, [waits = m_waits.take(database)] {
            for (const auto &onPrimary : waits) {
                onPrimary();
            }
        });
    }

    static RouterOptions routerOptions(const FrontOptions &options)
    {
        RouterOptions router = options.router;
        router.zone = options.zone;
        router.policy = options.baselineRouting ? RoutingPolicy::Baseline : RoutingPolicy::Replicas;
        return router;
    }

    std::shared_ptr<const Configuration> m_configuration;
    PrimaryWaits m_waits;
    StartupHolds m_holds;
};

} // namespace egrettide::detail
