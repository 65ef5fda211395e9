// The program `upstream`: one stand-in of a database upstream, run until SIGINT or
// SIGTERM. Prints one JSON line when it listens.

#include "testing/upstream/upstreamstandin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace
{

namespace options = boost::program_options;
using egrettide::milliseconds;
using egrettide::testing::UpstreamOptions;
using egrettide::testing::UpstreamStandIn;

options::options_description describedOptions()
{
    options::options_description described("Options");
    auto add = described.add_options();
    add("help", "show this help");
    add("listen", options::value<std::string>()->default_value("127.0.0.1:0"), "IP:PORT; port 0 selects a free one");
    add("name", options::value<std::string>()->default_value("upstream"), "the name that group_status() reports");
    add("zone", options::value<std::string>()->default_value(""), "its availability zone");
    add("slots", options::value<int>()->default_value(5), "statements that run at once");
    add("connections", options::value<int>()->default_value(30), "connections that it accepts");
    add("service-us", options::value<std::int64_t>()->default_value(0), "microseconds that a statement holds its slot");
    add("connection-delay-ms", options::value<std::int64_t>()->default_value(0), "milliseconds to open a connection");
    add("lag-ms", options::value<std::int64_t>()->default_value(0), "milliseconds until a received entry is visible to reads");
    add("burst-lag-ms", options::value<std::int64_t>()->default_value(0), "the lag during a burst");
    add("burst-every-ms", options::value<std::int64_t>()->default_value(0), "mean time between bursts, 0 for none");
    add("burst-length-ms", options::value<std::int64_t>()->default_value(0), "how long a burst lasts");
    add("receive-delay-ms", options::value<std::int64_t>()->default_value(0),
        "pause before requesting more entries from the primary");
    add("seed", options::value<std::uint64_t>()->default_value(1), "seeds the bursts");
    add("primary-term", options::value<std::uint64_t>()->default_value(0), "start as the primary of this term");
    add("follow", options::value<std::string>()->default_value(""), "start as a replica of the primary at IP:PORT");
    add("follow-term", options::value<std::uint64_t>()->default_value(1), "the term of that primary");
    return described;
}

milliseconds millisecondsOf(const options::variables_map &values, const char *name)
{
    return milliseconds(values[name].as<std::int64_t>());
}

UpstreamOptions optionsOf(const options::variables_map &values)
{
    UpstreamOptions result;
    const auto listen = values["listen"].as<std::string>();
    const std::size_t colon = listen.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("--listen takes IP:PORT");
    }
    result.address = listen.substr(0, colon);
    result.port = static_cast<std::uint16_t>(std::stoi(listen.substr(colon + 1)));
    result.name = values["name"].as<std::string>();
    result.zone = values["zone"].as<std::string>();
    result.slots = values["slots"].as<int>();
    result.connections = values["connections"].as<int>();
    result.serviceTime = std::chrono::microseconds(values["service-us"].as<std::int64_t>());
    result.connectionDelay = millisecondsOf(values, "connection-delay-ms");
    result.replicationLag = millisecondsOf(values, "lag-ms");
    result.burstLag = millisecondsOf(values, "burst-lag-ms");
    result.burstEvery = millisecondsOf(values, "burst-every-ms");
    result.burstLength = millisecondsOf(values, "burst-length-ms");
    result.receiveDelay = millisecondsOf(values, "receive-delay-ms");
    result.seed = values["seed"].as<std::uint64_t>();
    result.primaryTerm = values["primary-term"].as<std::uint64_t>();
    result.follow = values["follow"].as<std::string>();
    result.followTerm = values["follow-term"].as<std::uint64_t>();
    return result;
}

void runUntilSignal(UpstreamStandIn &standIn)
{
    boost::asio::io_context io;
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([](const boost::system::error_code &, int) {});
    standIn.start();
    std::cout << nlohmann::json{{"listening", standIn.port()}}.dump() << std::endl;
    io.run();
    standIn.stop();
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const options::options_description described = describedOptions();
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, described), values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << described;
            return EXIT_SUCCESS;
        }
        UpstreamStandIn standIn(optionsOf(values));
        runUntilSignal(standIn);
        return EXIT_SUCCESS;
    } catch (const std::exception &error) {
        std::cerr << "upstream: " << error.what() << "; see upstream --help\n";
        return EXIT_FAILURE;
    }
}
