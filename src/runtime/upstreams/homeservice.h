// The homes of a host, distributed over its traffic threads, and the observers of
// their groups on the control thread. The home of an upstream is the one host that
// holds its connections and slots. The configuration and a placement predicate
// determine the upstreams whose home this host is.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/request.h"
#include "egrettide/core/types.h"
#include "runtime/group/groupobserver.h"
#include "runtime/upstreams/upstreamhome.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

// True when this host is the home of the upstream.
using HomePredicate = std::function<bool(const DatabaseSpec &database, const UpstreamSpec &upstream)>;

struct HomeServiceSettings {
    UpstreamHomeSettings home;
    GroupObserverSettings observer;
    // The longest time for which an upstream that leaves gets new requests.
    milliseconds leavingBound{10000};
};

struct HomeServiceHooks {
    // For every observer. The service replaces `pauseWrites`, `resumeWrites` and
    // `clockGap`; it calls `published` in addition to its own handler.
    GroupObserverHooks observer;
    // Tells the successor that a drained home holds no data connection any more. Called
    // on a traffic thread.
    std::function<void(const std::string &database, const std::string &upstream, const HandBack &handBack)> sendHandBack;
};

// Calls may come from any thread; update, drain and stop must not run concurrently.
// The io_contexts must outlive the service, and one thread must run each of them.
class HomeService
{
public:
    HomeService(boost::asio::io_context &control, std::vector<boost::asio::io_context *> traffic, HomeServiceSettings settings,
                HomeServiceHooks hooks);
    ~HomeService();
    HomeService(const HomeService &) = delete;
    HomeService &operator=(const HomeService &) = delete;

    // Starts new homes and drains those that are no longer placed on this host. The
    // predicate is called only within the call.
    void update(const std::shared_ptr<const Configuration> &configuration, const HomePredicate &isHome);

    // Runs a request at its home; answers Moved (not run) when this host is not the
    // home. `handler` is called exactly once, on a traffic thread or within the call.
    // `frontKey` identifies the front, since request ids are unique only within one.
    void execute(StatementRequest request, const std::string &frontKey, ReplyHandler handler);
    void cancel(const std::string &frontKey, std::uint64_t id);
    // The link to a front was lost: gives up its requests and rolls back its transactions.
    void abandonFront(const std::string &frontKey);

    // Answers the question of another home; see GroupObserverHooks::askOpinion.
    // `handler` is called on the control thread, with nullopt when this host does
    // not observe the group.
    void giveOpinion(const OpinionQuestion &question, std::function<void(std::optional<bool>)> handler);
    // Another host announced a primary.
    void onAnnounce(const std::string &database, Term term, const std::string &primary);
    // Moves the primary on behalf of an operator. Only the home of the current primary
    // can; others answer Moved and name it. `handler` is called on the control thread.
    void switchover(const std::string &database, const std::string &to, std::function<void(tl::expected<void, Error>)> handler);

    // Reports of other hosts about where a home is placed; see ConnectionBudget.
    void onHomeConfirmed(const std::string &database, const std::string &upstream, TimePoint askedAt);
    void onHandedBack(const std::string &database, const std::string &upstream, const HandBack &handBack);

    // The newest snapshot of a group that this host observes, or null.
    std::shared_ptr<const GroupSnapshot> snapshot(const std::string &database) const;
    // Collects the counters of all homes. `handler` is called on the control thread.
    void stats(std::function<void(std::vector<UpstreamHomeStats>)> handler) const;

    // Drains all homes; `drained` is called once, on the control thread.
    void drain(std::function<void()> drained);
    // Closes all homes and observers; to be called before the io_contexts are destroyed.
    // Later updates do nothing.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace egrettide
