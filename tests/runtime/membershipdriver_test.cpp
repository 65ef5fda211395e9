// Tests when a host registers itself and reads the host list.

#define BOOST_TEST_MODULE MembershipDriver
#include <boost/test/unit_test.hpp>

#include "runtime/fleet/membershipdriver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <utility>
#include <vector>

using namespace egrettide;

namespace
{

// A store that answers registrations on demand and returns `listed` as the host list.
class ListStore : public Store
{
public:
    explicit ListStore(boost::asio::io_context &context) : m_context(context)
    {
    }

    void read(const std::string &, TimePoint, ObjectHandler) override
    {
    }
    void write(const std::string &, const nlohmann::json &, std::optional<std::uint64_t>, TimePoint, ObjectHandler) override
    {
    }
    void watch(const std::string &, std::uint64_t, TimePoint, ObjectHandler) override
    {
    }
    void hosts(TimePoint, HostsHandler handler) override
    {
        ++m_counts.hostLists;
        boost::asio::post(m_context, [this, handler = std::move(handler)] { handler(listed); });
    }
    void registerHost(const ListedHost &, TimePoint, DoneHandler handler) override
    {
        registered = std::move(handler);
    }
    void removeHost(const std::string &, TimePoint, DoneHandler) override
    {
    }
    void moveTo(const boost::asio::ip::tcp::endpoint &) override
    {
    }
    StoreCallCounts callCounts() const override
    {
        return m_counts;
    }

    std::vector<ListedHost> listed;
    DoneHandler registered;

private:
    boost::asio::io_context &m_context;
    StoreCallCounts m_counts;
};

HostRecord hostIn(const std::string &zone, const std::string &name)
{
    HostRecord record{name, zone, "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3"};
    record.incarnation = 1;
    return record;
}

GossipMessage greetingOf(const HostRecord &host)
{
    GossipMessage message;
    message.kind = GossipKind::Ping;
    message.from = host.name;
    message.fromAddress = host.peerAddress;
    message.fromIncarnation = host.incarnation;
    message.sequence = 1;
    message.records.push_back(host);
    return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ListOfHosts)

// A host that peers discover before the store accepts its registration, and that is not its
// zone's store reader, must still read the list once. Otherwise it cannot detect that it has
// discovered its zone, and after a power cut takes homes 0.3 s or more after the last host is back.
BOOST_AUTO_TEST_CASE(IsReadOnceByEveryHostThatStarts)
{
    boost::asio::io_context context;
    ListStore store(context);
    store.listed = {ListedHost{"mate", "zone-a", "10.0.0.2:1", false}, ListedHost{"self", "zone-a", "10.0.0.1:1", false}};
    bool hasDiscoveredZone = false;
    MembershipDriver *started = nullptr;
    MembershipDriverHooks hooks;
    hooks.send = [](const std::string &, const std::string &, hop::HopMessage) {};
    hooks.changed = [&](const std::shared_ptr<const MembershipView> &) { hasDiscoveredZone = started->hasDiscoveredZone(); };
    hooks.reachChanged = [](const HostReach &) {};
    hooks.catalogAdvertised = [](const std::string &, const CatalogVersion &) {};
    hooks.isStoreReader = [] { return false; };
    MembershipDriver driver(context, store, hostIn("zone-a", "self"), 1, hooks);
    started = &driver;
    driver.start();
    driver.onGossip(greetingOf(hostIn("zone-a", "mate")));
    BOOST_TEST_REQUIRE(static_cast<bool>(store.registered));
    store.registered({});
    context.poll();
    BOOST_TEST(store.callCounts().hostLists == 1U,
               "a host that peers discovered early read the list " << store.callCounts().hostLists << " times, not once");
    BOOST_TEST(hasDiscoveredZone, "the host did not report that it has discovered its zone");
    driver.stop();
}

// Guards against a host that stays alone after its whole fleet has started: its first list was older
// than the registrations of the others, and only the hosts of the first list were pinged.
BOOST_AUTO_TEST_CASE(IsPingedAlsoWhenTheFirstOneWasOutdated)
{
    boost::asio::io_context context;
    ListStore store(context);
    std::vector<bool> current;
    std::size_t pingsOfMate = 0;
    MembershipDriverHooks hooks;
    hooks.send = [&](const std::string &host, const std::string &, hop::HopMessage) { pingsOfMate += host == "mate" ? 1 : 0; };
    hooks.changed = [](const std::shared_ptr<const MembershipView> &) {};
    hooks.reachChanged = [](const HostReach &) {};
    hooks.catalogAdvertised = [](const std::string &, const CatalogVersion &) {};
    hooks.isStoreReader = [] { return false; };
    MembershipDriver *started = nullptr;
    hooks.zoneListed = [&](const std::vector<ListedHost> &, bool isCurrent) {
        current.push_back(isCurrent);
        if (isCurrent) {
            started->stop();
            context.stop();
        }
        store.listed = {ListedHost{"self", "zone-a", "10.0.0.1:1", false}, ListedHost{"mate", "zone-a", "10.0.0.2:1", false}};
    };
    MembershipDriver driver(context, store, hostIn("zone-a", "self"), 1, hooks);
    started = &driver;
    driver.start();
    BOOST_TEST_REQUIRE(static_cast<bool>(store.registered));
    store.registered({});
    context.run();
    BOOST_TEST((current == std::vector<bool>{false, true}));
    BOOST_TEST(pingsOfMate == 1U, "the host on the first current list was pinged " << pingsOfMate << " times at once");
    BOOST_TEST(!driver.hasDiscoveredZone(), "an outdated list showed the whole zone");
}

// A host whose entry is missing in a restored store must register again, or new hosts cannot find it.
BOOST_AUTO_TEST_CASE(ContainsTheHostAgainAfterARestore)
{
    boost::asio::io_context context;
    ListStore store(context);
    MembershipDriverHooks hooks;
    hooks.send = [](const std::string &, const std::string &, hop::HopMessage) {};
    hooks.changed = [](const std::shared_ptr<const MembershipView> &) {};
    hooks.reachChanged = [](const HostReach &) {};
    hooks.catalogAdvertised = [](const std::string &, const CatalogVersion &) {};
    hooks.isStoreReader = [] { return false; };
    MembershipDriver driver(context, store, hostIn("zone-a", "self"), 1, hooks);
    driver.start();
    BOOST_TEST_REQUIRE(static_cast<bool>(store.registered));
    store.registered({});
    store.registered = {};
    driver.registerAgain();
    context.run_until(Clock::now() + milliseconds{500});
    BOOST_TEST_REQUIRE(static_cast<bool>(store.registered), "the host did not register again");
    store.registered = {};
    driver.registerAgain();
    driver.depart();
    context.restart();
    context.run_until(Clock::now() + milliseconds{500});
    BOOST_TEST(!store.registered, "a host that has left registered again");
    driver.stop();
}

BOOST_AUTO_TEST_SUITE_END()
