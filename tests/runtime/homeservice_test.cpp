// Tests of the homes and observers of a host across its start and stop.

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

// One database whose only upstream does not answer.
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

// A change of registrations that the control thread processes after stop() must not create
// homes, since these are never closed. Work posted for them is destroyed with its context and
// releases the last reference to an observer whose context is already destroyed: the host
// crashed at exit (found by the address sanitizer, stopping just after upstreams restarted).
BOOST_AUTO_TEST_CASE(AreNotCreatedAfterStop)
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
        BOOST_TEST(service.snapshot(databaseName) == nullptr, "a stopped host created a home");
    }
    BOOST_TEST(traffic.poll() == 0U, "unfinished work would be destroyed with its context");
}

BOOST_AUTO_TEST_SUITE_END()
