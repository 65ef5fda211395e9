// Runs the platform stand-in as a program until it is told to stop.

#include "testing/platform/platformstandin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

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

void serve(const std::string &listen)
{
    asio::io_context context;
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([](const boost::system::error_code &, int) {});
    const egrettide::standin::PlatformStandIn platform(endpointOf(listen));
    std::cout << "{\"listening\":" << platform.endpoint().port() << "}" << std::endl;
    context.run();
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("platform: a stand-in for the users' platform");
    description.add_options()("help", "show this text")("listen", options::value<std::string>()->default_value("127.0.0.1:0"),
                                                        "IP:PORT to listen on; port 0 takes a free one");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        serve(values["listen"].as<std::string>());
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "platform: " << error.what() << std::endl;
        return ExitUsage;
    }
}
