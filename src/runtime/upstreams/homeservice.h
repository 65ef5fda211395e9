// All upstreams whose home this host is, spread over the traffic threads, and
// the observers of their groups on the control thread. What a host is home of
// follows from the configuration and a placement predicate.

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
};

struct HomeServiceHooks {
    // For every observer. `pauseWrites`, `resumeWrites` and `clockGap` are the
    // service's own business and replaced; `published` is called in addition.
    GroupObserverHooks observer;
    // A home that this host resigned holds no data connection any more: to be told
    // to its successor. Called on a traffic thread.
    std::function<void(const std::string &database, const std::string &upstream, const HandBack &handBack)> handedBack;
};

// Calls may come from any thread, but update, drain and stop not from two at once.
// The io_contexts must outlive the service and be run by one thread each.
class HomeService
{
public:
    HomeService(boost::asio::io_context &control, std::vector<boost::asio::io_context *> traffic, HomeServiceSettings settings,
                HomeServiceHooks hooks);
    ~HomeService();
    HomeService(const HomeService &) = delete;
    HomeService &operator=(const HomeService &) = delete;

    // Homes that are no longer this host's drain, new ones start. The predicate
    // is asked within the call.
    void update(const std::shared_ptr<const Configuration> &configuration, const HomePredicate &isHome);

    // Runs a request at its home here, else answers Moved, not run. `handler` is
    // called exactly once, on a traffic thread or within the call. `frontKey`
    // names the front, since its request ids are unique there only.
    void execute(StatementRequest request, const std::string &frontKey, ReplyHandler handler);
    void cancel(const std::string &frontKey, std::uint64_t id);
    // The link to a front broke.
    void abandonFront(const std::string &frontKey);

    // Answers another home's question; see GroupObserverHooks::askOpinion.
    // `handler` is called on the control thread, with nothing when this host does
    // not watch the group.
    void giveOpinion(const OpinionQuestion &question, std::function<void(std::optional<bool>)> handler);
    // Another host announced a primary.
    void onAnnounce(const std::string &database, Term term, const std::string &primary);
    // Operators move the primary. Only the home of the current primary can; others
    // answer Moved and name it. `handler` is called on the control thread.
    void switchover(const std::string &database, const std::string &to, std::function<void(tl::expected<void, Error>)> handler);

    // What other hosts say about the place of a home; see ConnectionBudget.
    void confirmedHome(const std::string &database, const std::string &upstream, TimePoint askedAt);
    void handedBack(const std::string &database, const std::string &upstream, const HandBack &handBack);

    // The newest snapshot of a group that this host watches, or null.
    std::shared_ptr<const GroupSnapshot> snapshot(const std::string &database) const;
    // How long a new statement would be without an answer is each home's own
    // affair; these are its counters. `handler` is called on the control thread.
    void stats(std::function<void(std::vector<UpstreamHomeStats>)> handler) const;

    // Finishes what is in progress everywhere; `drained` is called once, on the
    // control thread.
    void drain(std::function<void()> drained);
    // Gives everything up; to be called before the io_contexts end. Later updates do nothing.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace egrettide
