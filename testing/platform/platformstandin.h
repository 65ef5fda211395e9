// A small stand-in for the users' platform: the object API with versions,
// conditional updates and watches, and the host list, over HTTP/JSON, with fault
// injection. It runs on its own thread, so tests can run it in process.
//
//   GET    /objects/KEY                        {"key","version","value"} or 404
//   GET    /objects/KEY?watch=VERSION&waitMs=N the same when version > VERSION, or 304 after N ms
//   PUT    /objects/KEY                        body {"value",["ifVersion"]}: {"key","version"}, 409 or 413
//   DELETE /objects/KEY[?ifVersion=N]          {"key","version":0}, 404 or 409
//   GET    /list?prefix=P                      [{"key","version"}]
//   GET    /hosts                              [{"name","zone","address","state"}]
//   The users' platform: GET, POST, PUT and DELETE on /v1/objects/KIND[/NAME] with
//   pages and watches, and POST /promote with a fencing token.
//   PUT    /admin/members {"dark": NAME} or {"bright": NAME}, where a service runs here
//   PUT    /admin/hosts                        replaces the list; visible after the lag
//   PUT    /admin/objects {"kind","name","text"}: putRawObject(); without text, removes the object
//   PUT    /admin/faults {"down","delayMs","loseNextAnswers","failNextCalls","hostListLagMs","downAfterNextChange"}
//   GET    /admin/calls                        calls received, by kind

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

// Calls received, by kind. A waiting watch counts as one call; calls answered by an
// injected fault count too.
struct CallCounts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t deletes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0;
    std::uint64_t hostLists = 0;
    std::uint64_t promotions = 0;
};

// A promotion order as received.
struct PromotionOrder {
    std::string service;
    std::string id;
    std::string holder;
    std::uint64_t fencingToken = 0;
};

class PlatformStandIn
{
public:
    // Starts listening; port 0 selects a free one. Throws boost::system::system_error
    // when the address cannot be bound.
    explicit PlatformStandIn(const boost::asio::ip::tcp::endpoint &listen = {boost::asio::ip::address_v4::loopback(), 0});
    ~PlatformStandIn();
    PlatformStandIn(const PlatformStandIn &) = delete;
    PlatformStandIn &operator=(const PlatformStandIn &) = delete;

    boost::asio::ip::tcp::endpoint endpoint() const;
    // The endpoint as "IP:port".
    std::string address() const;

    // While down, every call except /admin has its connection closed and changes
    // nothing; waiting watches are disconnected.
    void setDown(bool down);
    // Delays the processing of every call except /admin, so a change may take effect
    // after its caller has timed out.
    void setDelay(milliseconds delay);
    // The next `count` changes take effect, but their connections close without an answer.
    void loseNextAnswers(int count);
    // The next change takes effect and is answered, unless loseNextAnswers() applies to
    // it; the platform is down afterwards.
    void goDownAfterNextChange();
    // Closes idle connections, as a restart does.
    void dropConnections();
    // The next `count` calls are answered 503 and change nothing.
    void failNextCalls(int count);
    void setHosts(std::vector<PlatformHost> hosts);
    // The delay until host lists set later become visible.
    void setHostListLag(milliseconds lag);

    // The next `count` changes through /v1/objects get no answer and take effect only
    // when applyLate() is called, if their condition still holds.
    void delayNextChanges(int count);
    void applyLate();
    // The next `count` calls are answered 429.
    void refuseNextCalls(int count);
    // Discards the change history; watches from an earlier revision are answered 410.
    void forgetHistory();
    // Copies the objects of all kinds; restoreCopy() restores them, disconnects waiting
    // watches and begins the next epoch. Promotions and their fences are not copied.
    void takeCopy();
    void restoreCopy();
    // Calls restoreCopy() between two pages of the next list.
    void restoreBeforeNextPage();
    // While set, lists that may be stale are empty, as before the first registration of a host.
    void emptyStaleLists(bool empty);
    // Sets the store epoch sent with answers; empty sends none.
    void setEpoch(std::string epoch);
    void setPageSize(std::size_t objects);
    // Sets the hook that executes promotions; it returns false for an upstream that is
    // not running.
    void onPromotion(std::function<bool(const PromotionOrder &)> hook);
    // Sets the hook that receives the body of a PUT on /admin/members.
    void onMembers(std::function<void(const nlohmann::json &)> hook);
    // Orders that passed the fencing token check, in the order received.
    std::vector<PromotionOrder> promotions() const;
    // Creates or replaces an object of a kind, bypassing all faults.
    void putObject(const std::string &kind, const std::string &name, nlohmann::json spec);
    // The same with a `spec` that is sent as this text, whatever it is: no JSON value can hold all that
    // another writer's object may consist of.
    void putRawObject(const std::string &kind, const std::string &name, std::string specText);
    void removeObject(const std::string &kind, const std::string &name);
    std::optional<nlohmann::json> objectOfKind(const std::string &kind, const std::string &name) const;

    CallCounts calls() const;
    std::optional<StoredObject> object(const std::string &key) const;
    // Writes unconditionally, bypassing all faults; returns the new version.
    std::uint64_t put(const std::string &key, nlohmann::json value);
    // The same with a value that is sent as this text; see putRawObject().
    std::uint64_t putRaw(const std::string &key, std::string text);

private:
    class Server;
    std::unique_ptr<Server> m_server;
};

} // namespace egrettide::standin
