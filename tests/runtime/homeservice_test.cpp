// Homes and observers of a host over its whole life.

#define BOOST_TEST_MODULE HomeService
#include <boost/test/unit_test.hpp>

#include "runtime/host/postedwork.h"
#include "runtime/upstreams/homeservice.h"
#include "tests/runtime/homecluster.h"

#include <memory>
#include <vector>

using namespace egrettide;
using namespace egrettide::testing;

namespace asio = boost::asio;

namespace
{

// One database whose only upstream answers nobody.
std::shared_ptr<const Configuration> oneUpstream()
{
    UpstreamSpec upstream;
    upstream.name = "a";
    upstream.address = "127.0.0.1:1";
    upstream.zone = "zone-a";
    upstream.slots = 1;
    upstream.connections = 4;
    DatabaseSpec database;
    database.name = databaseName;
    database.upstreams.push_back(upstream);
    Configuration configuration;
    configuration.version = 1;
    configuration.databases.push_back(database);
    return std::make_shared<const Configuration>(configuration);
}

} // namespace

BOOST_AUTO_TEST_SUITE(HomesOfAHost)

// Symptom: a host ends by a signal at its very end (seen by the address sanitizer, when it
// was stopped just after its upstreams had started again).
// Sequence: the host gives its homes up; the control thread still takes a change of
// registrations and makes new ones; the contexts end.
// Cause: nobody closed the new homes. What was posted for them was destroyed with
// its context, and with it the last hold on an observer of a context that was gone.
BOOST_AUTO_TEST_CASE(AreNotMadeOnceTheHostHasGivenThemUp)
{
    asio::io_context traffic(1);
    asio::io_context control(1);
    {
        HomeService service(control, {&traffic}, {}, {});
        const auto everything = [](const DatabaseSpec &, const UpstreamSpec &) { return true; };
        service.update(oneUpstream(), everything);
        BOOST_TEST(service.snapshot(databaseName) != nullptr);
        service.stop();
        finishPosted({&traffic, &control});
        service.update(oneUpstream(), everything);
        BOOST_TEST(service.snapshot(databaseName) == nullptr, "a host that stops took a home again");
    }
    BOOST_TEST(traffic.poll() == 0U, "work is left that would be destroyed with its context");
}

BOOST_AUTO_TEST_SUITE_END()
