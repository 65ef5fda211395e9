// A small stand-in for the users' platform: the object API with versions,
// conditional updates and watches, and the host list, over HTTP/JSON, with
// faults that can be switched on. It runs on a thread of its own, so that tests
// can have it in process.
//
//   GET    /objects/KEY                        {"key","version","value"} or 404
//   GET    /objects/KEY?watch=VERSION&waitMs=N the same once version > VERSION, or 304
//   PUT    /objects/KEY                        body {"value",["ifVersion"]}: {"key","version"}, 409 or 413
//   DELETE /objects/KEY[?ifVersion=N]          {"key","version":0}, 404 or 409
//   GET    /list?prefix=P                      [{"key","version"}]
//   GET    /hosts                              [{"name","zone","address","state"}]
//   The users' platform: GET, POST, PUT and DELETE on /v1/objects/KIND[/NAME] with
//   pages and watches, and POST /promote with a fencing token.
//   PUT    /admin/members {"dark": NAME} or {"bright": NAME}, where a service runs here
//   PUT    /admin/hosts                        the same list; shows after the lag
//   PUT    /admin/faults {"down","delayMs","loseNextAnswers","failNextCalls","hostListLagMs","downAfterNextChange"} GET
//   /admin/calls                        calls received, by kind

#pragma once

#include "egrettide/core/types.h"
#include "testing/platform/objectstore.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egrettide::standin
{

// Calls received, by kind; a waiting watch is one call. Faulty calls count too.
struct CallCounts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t deletes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0;
    std::uint64_t hostLists = 0;
    std::uint64_t promotions = 0;
};

// One order to promote, as it came.
struct PromotionOrder {
    std::string service;
    std::string id;
    std::string holder;
    std::uint64_t fencingToken = 0;
};

class PlatformStandIn
{
public:
    // Listens at once; port 0 takes a free one. Throws boost::system::system_error
    // when the address cannot be had.
    explicit PlatformStandIn(const boost::asio::ip::tcp::endpoint &listen = {boost::asio::ip::address_v4::loopback(), 0});
    ~PlatformStandIn();
    PlatformStandIn(const PlatformStandIn &) = delete;
    PlatformStandIn &operator=(const PlatformStandIn &) = delete;

    boost::asio::ip::tcp::endpoint endpoint() const;
    // "IP:port", as programs take it.
    std::string address() const;

    // While down, every call but /admin loses its connection and changes nothing;
    // waiting watches are cut.
    void setDown(bool down);
    // Every call but /admin waits this long before it is looked at, so a change
    // may take effect after its caller has given up.
    void setDelay(milliseconds delay);
    // The next changes take effect, and their connections close without an answer.
    void loseNextAnswers(int count);
    // The next change takes effect, is answered as loseNextAnswers says, and the
    // platform is down from then on.
    void goDownAfterNextChange();
    // Closes the connections that wait for a call, as a restart would.
    void dropConnections();
    // The next calls are refused with 503 and change nothing.
    void failNextCalls(int count);
    void setHosts(std::vector<PlatformHost> hosts);
    // How long later host lists stay invisible.
    void setHostListLag(milliseconds lag);

    // The next changes through /v1/objects are answered by nothing and take effect
    // only when applyLate() is called, if their condition still holds.
    void delayNextChanges(int count);
    void applyLate();
    // Calls beyond are answered 429.
    void refuseNextCalls(int count);
    // Watches from before are answered 410.
    void forgetHistory();
    // Keeps a copy of all kinds; restoreCopy() goes back to it, cuts waiting watches and
    // begins the next epoch. Promotions and their fences are not part of it.
    void takeCopy();
    void restoreCopy();
    // Does so between two pages of the next list.
    void restoreBeforeNextPage();
    // What answers name as the store's epoch from now on; empty names none.
    void setEpoch(std::string epoch);
    void setPageSize(std::size_t objects);
    // Carries promotions out; false stands for an upstream that is not running.
    void onPromotion(std::function<bool(const PromotionOrder &)> hook);
    // Called with the body of a PUT on /admin/members.
    void onMembers(std::function<void(const nlohmann::json &)> hook);
    // Orders that passed the check of their fence, in order.
    std::vector<PromotionOrder> promotions() const;
    // Creates or replaces an object of a kind, past all faults.
    void putObject(const std::string &kind, const std::string &name, nlohmann::json spec);
    void removeObject(const std::string &kind, const std::string &name);
    std::optional<nlohmann::json> objectOfKind(const std::string &kind, const std::string &name) const;

    CallCounts calls() const;
    std::optional<StoredObject> object(const std::string &key) const;
    // Writes unconditionally, past all faults; returns the new version.
    std::uint64_t put(const std::string &key, nlohmann::json value);

private:
    class Server;
    std::unique_ptr<Server> m_server;
};

} // namespace egrettide::standin
