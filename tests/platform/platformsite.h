// A small test deployment on the platform's stand-ins: one database service, three routes and
// several hosts, all in one process.

#pragma once

#include "platform/hostparts.h"
#include "runtime/host/address.h"
#include "runtime/host/hostdaemon.h"
#include "testing/platform/linegroup.h"
#include "testing/platform/platformstandin.h"
#include "tests/platform/lineclient.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace egrettide::test
{

// Generous, as it only determines how long a broken test takes to fail.
constexpr std::chrono::seconds siteBound{60};

inline bool eventually(const std::function<bool()> &condition)
{
    const TimePoint bound = Clock::now() + siteBound;
    while (!condition()) {
        if (Clock::now() > bound) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

// The status line of a host's answer to a GET; empty when there is no answer.
inline std::string statusLineOf(const std::string &address, const std::string &path)
{
    const auto endpoint = parseEndpoint(address);
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code failed;
    socket.connect(*endpoint, failed);
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request), failed);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), failed);
    return answer.substr(0, answer.find('\r'));
}

class PlatformSite
{
public:
    explicit PlatformSite(int hosts = 1, standin::LineGroupOptions options = {}) : group(std::move(options))
    {
        platform.onPromotion([this](const standin::PromotionOrder &order) { return group.promote(order.id); });
        for (const char *member : {"m1", "m2", "m3"}) {
            platform.putObject("servers", member, group.registration(member));
        }
        configure(1);
        for (int i = 0; i < hosts; ++i) {
            startHost("h" + std::to_string(i + 1), std::string(1, static_cast<char>('a' + i)));
        }
        for (const std::string &address : addresses) {
            BOOST_TEST_REQUIRE(eventually([&] { return serves(address); }), "the host at " << address << " never served");
        }
    }

    ~PlatformSite()
    {
        // Stopped before the services that they use.
        daemons.clear();
    }

    // `workspaces` in the platform's format; null lists none, so no keys are required.
    void configure(int version, const std::vector<std::string> &extraRoutes = {}, const nlohmann::json &workspaces = nullptr)
    {
        nlohmann::json routes = {route("pay", "primary"), route("browse", "bounded_staleness"), route("log", "read_your_writes")};
        for (const std::string &name : extraRoutes) {
            routes.push_back(route(name, "read_your_writes"));
        }
        nlohmann::json document{{"version", version},
                                {"routes", routes},
                                {"services", {{{"name", "service"}, {"maxConnections", 33}, {"syncReplicas", 0}}}},
                                {"limits", {{"txIdleMs", 30000}}}};
        if (!workspaces.is_null()) {
            document["tenants"] = workspaces;
        }
        platform.putObject("config", "main", document);
    }

    static nlohmann::json workspace(const std::string &name, const std::vector<std::string> &keys, double perSecond = 10000)
    {
        return {{"name", name}, {"apiKeys", keys}, {"priority", 1}, {"ratePerS", perSecond}, {"burst", perSecond}};
    }

    void startHost(const std::string &name, const std::string &zone)
    {
        Settings settings;
        settings.host = name;
        settings.zone = zone;
        settings.interface = "platform";
        settings.callerAddress = "127.0.0.1:0";
        settings.peerAddress = "127.0.0.1:0";
        settings.operatorAddress = "127.0.0.1:0";
        settings.platformAddress = platform.address();
        settings.ordersAddress = platform.address();
        settings.sessionKey = "a key for tests only";
        settings.trafficThreads = 1;
        settings.stopBound = milliseconds(10000);
        auto daemon = std::make_unique<HostDaemon>(settings, platform::hostParts(settings));
        const auto started = daemon->start();
        BOOST_TEST_REQUIRE(started.has_value(), "a host did not start");
        addresses.push_back(started->caller);
        operatorAddresses.push_back(started->operators);
        daemons.push_back(std::move(daemon));
    }

    // True once reads and writes of every route reach an upstream.
    static bool serves(const std::string &address)
    {
        LineClient client(address);
        if (client.start("pay").state != 'I' || !client.run("WRITE warmup x").succeeded()) {
            return false;
        }
        LineClient reader(address);
        return reader.start("browse").state == 'I' && reader.run("READ warmup").succeeded();
    }

    static nlohmann::json route(const std::string &host, const std::string &type)
    {
        return {{"name", "r-" + host}, {"host", host},         {"type", type},          {"timeoutMs", 5000},
                {"priority", 1},       {"service", "service"}, {"maxStalenessMs", 1500}};
    }

    // The number of times that the statement with this id ran.
    long timesRan(const std::string &id) const
    {
        const auto ran = group.ran();
        return std::ranges::count(ran, id, &standin::RanStatement::id);
    }

    standin::LineGroup group;
    standin::PlatformStandIn platform;
    std::vector<std::string> addresses;
    std::vector<std::string> operatorAddresses;
    std::vector<std::unique_ptr<HostDaemon>> daemons;
};

} // namespace egrettide::test
