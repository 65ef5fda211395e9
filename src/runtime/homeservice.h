// All upstreams whose home this host is, spread over the traffic threads, and
// the observers of their groups on the control thread. What a host is home of
// follows from the configuration and a placement predicate.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/request.h"
#include "egrettide/core/types.h"
#include "runtime/groupobserver.h"
#include "runtime/upstreamhome.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace egrettide
{

// True when this host is the home of the upstream.
using HomePredicate = std::function<bool(const DatabaseSpec &database, const UpstreamSpec &upstream)>;

// Calls may come from any thread. The io_contexts must outlive the service and
// be run by one thread each.
class HomeService
{
public:
    // `observerHooks` are for every observer; its pauseWrites, resumeWrites are
    // the service's own business and are replaced.
    HomeService(boost::asio::io_context &control, std::vector<boost::asio::io_context *> traffic,
                GroupObserverSettings observerSettings, GroupObserverHooks observerHooks, UpstreamHomeSettings homeSettings);
    ~HomeService();
    HomeService(const HomeService &) = delete;
    HomeService &operator=(const HomeService &) = delete;

    // Homes that are no longer this host's drain, new ones start. The predicate
    // is asked within the call.
    void update(std::shared_ptr<const Configuration> configuration, const HomePredicate &isHome);

    // Runs a request at its home here, else answers Moved, not run. `handler` is
    // called exactly once, on a traffic thread or within the call.
    void execute(StatementRequest request, const std::string &frontKey, ReplyHandler handler);
    void cancel(const std::string &frontKey, std::uint64_t id);
    // The link to a front broke.
    void abandonFront(const std::string &frontKey);

    // Whether this host suspects an upstream, for another home's askOpinions.
    // `handler` is called on the control thread; nothing when this host does not
    // watch the group.
    void suspects(const std::string &database, const std::string &upstream, std::function<void(std::optional<bool>)> handler);
    // Another host announced a primary.
    void onAnnounce(const std::string &database, Term term, const std::string &primary);
    // Operators move the primary. Only the home of the current primary can.
    void switchover(const std::string &database, const std::string &to, std::function<void(tl::expected<void, Error>)> handler);

    // The newest snapshot of a group this host watches, or null.
    std::shared_ptr<const GroupSnapshot> snapshot(const std::string &database) const;

    // Finishes what is in progress everywhere; `drained` is called once, on the
    // control thread.
    void drain(std::function<void()> drained);
    // Gives everything up; called before the io_contexts end.
    void stop();

    // Collects the statistics of all homes; `handler` is called on the control thread.
    void stats(std::function<void(std::vector<UpstreamHomeStats>)> handler) const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace egrettide
