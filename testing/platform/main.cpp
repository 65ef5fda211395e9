// Runs the platform stand-in as a program until SIGINT or SIGTERM.

#include "testing/platform/linegroup.h"
#include "testing/platform/platformstandin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <memory>

namespace asio = boost::asio;
namespace options = boost::program_options;

namespace
{

constexpr int ExitUsage = 2;

asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("--listen takes IP:PORT, such as 127.0.0.1:0");
    }
    const int port = std::stoi(address.substr(colon + 1));
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(port)};
}

// Registers a service of three members in the store with one route of each type, and
// applies promotion orders and /admin/members to it.
void registerService(egrettide::standin::PlatformStandIn &platform, egrettide::standin::LineGroup &group)
{
    using nlohmann::json;
    platform.onPromotion([&group](const egrettide::standin::PromotionOrder &order) { return group.promote(order.id); });
    platform.onMembers([&group](const json &change) {
        if (change.contains("dark")) {
            group.setDark(change["dark"], true);
        }
        if (change.contains("bright")) {
            group.setDark(change["bright"], false);
        }
    });
    for (const char *member : {"m1", "m2", "m3"}) {
        platform.putObject("servers", member, group.registration(member));
    }
    json routes = json::array();
    for (const char *type : {"primary", "bounded_staleness", "read_your_writes"}) {
        routes.push_back({{"name", type},
                          {"host", type},
                          {"type", type},
                          {"timeoutMs", 3000},
                          {"priority", 1},
                          {"service", "service"},
                          {"maxStalenessMs", 1500}});
    }
    platform.putObject("config", "main",
                       {{"version", 1},
                        {"routes", routes},
                        {"services", {{{"name", "service"}, {"maxConnections", 33}, {"syncReplicas", 0}}}},
                        {"limits", {{"txIdleMs", 5000}}}});
}

void serve(const std::string &listen, bool withService)
{
    asio::io_context context;
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([](const boost::system::error_code &, int) {});
    std::unique_ptr<egrettide::standin::LineGroup> group;
    egrettide::standin::PlatformStandIn platform(endpointOf(listen));
    if (withService) {
        egrettide::standin::LineGroupOptions groupOptions;
        groupOptions.lag = std::chrono::milliseconds(20);
        groupOptions.promoteDelay = std::chrono::milliseconds(300);
        group = std::make_unique<egrettide::standin::LineGroup>(groupOptions);
        registerService(platform, *group);
    }
    std::cout << "{\"listening\":" << platform.endpoint().port() << "}" << std::endl;
    context.run();
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("platform: a stand-in for the users' platform");
    description.add_options()("help", "show this text")("listen", options::value<std::string>()->default_value("127.0.0.1:0"),
                                                        "IP:PORT to listen on; port 0 takes a free one")(
        "service", "also run a service of three upstreams in the line protocol and register it");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        serve(values["listen"].as<std::string>(), values.count("service") > 0);
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "platform: " << error.what() << std::endl;
        return ExitUsage;
    }
}
