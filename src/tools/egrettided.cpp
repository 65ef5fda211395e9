// egrettided: the daemon of one entry host.

#include "platform/hostparts.h"
#include "runtime/host/crashreport.h"
#include "runtime/host/hostdaemon.h"
#include "runtime/host/log.h"
#include "runtime/host/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace
{

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

// Returns the settings, or all errors in the file.
tl::expected<egrettide::Settings, std::vector<std::string>> readSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return tl::unexpected(std::vector<std::string>{"cannot read \"" + path + "\"; name a readable settings file"});
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto settings = egrettide::parseSettings(text.str());
    if (settings) {
        return std::move(*settings);
    }
    std::vector<std::string> faults;
    for (const egrettide::Error &fault : settings.error()) {
        faults.push_back(path + ": " + fault.message);
    }
    return tl::unexpected(std::move(faults));
}

// Applies the changed settings file as a whole; an invalid file changes nothing.
void reload(egrettide::HostDaemon &daemon, const std::string &path)
{
    const auto settings = readSettings(path);
    if (!settings) {
        for (const std::string &fault : settings.error()) {
            egrettide::log::error("settings_refused", {{"fault", fault}});
        }
        return;
    }
    daemon.reload(*settings);
}

void armReload(boost::asio::signal_set &signals, egrettide::HostDaemon &daemon, const std::string &path)
{
    signals.async_wait([&signals, &daemon, path](const boost::system::error_code &failure, int) {
        if (!failure) {
            reload(daemon, path);
            armReload(signals, daemon, path);
        }
    });
}

// The first SIGTERM or SIGINT starts a graceful stop; the second stops immediately.
void armSignals(boost::asio::signal_set &signals, egrettide::HostDaemon &daemon, bool graceful)
{
    signals.async_wait([&signals, &daemon, graceful](const boost::system::error_code &failure, int) {
        if (failure) {
            return;
        }
        if (graceful) {
            daemon.beginStop();
            armSignals(signals, daemon, false);
        } else {
            daemon.stopNow();
        }
    });
}

int run(const egrettide::Settings &settings, const std::string &path)
{
    namespace log = egrettide::log;
    egrettide::crash::install(settings.host);
    log::open(settings.host, log::levelNamed(settings.logLevel));
    // The signal handlers are installed before other threads start, so that no signal is
    // lost.
    boost::asio::io_context signalContext(1);
    boost::asio::signal_set signals(signalContext, SIGTERM, SIGINT);
    boost::asio::signal_set reloads(signalContext, SIGHUP);
    std::signal(SIGPIPE, SIG_IGN);
    const bool onPlatform = settings.interface == "platform";
    egrettide::HostDaemon daemon(settings,
                                 onPlatform ? egrettide::platform::hostParts(settings) : egrettide::postgresParts(settings));
    const auto addresses = daemon.start();
    if (!addresses) {
        log::error("start_failed", {{"error", addresses.error().message}});
        log::close();
        std::cerr << "egrettided: " << addresses.error().message << '\n';
        return exitFailed;
    }
    log::info("started",
              {{"zone", settings.zone},
               {"caller_address", addresses->caller},
               {"peer_address", addresses->peer},
               {"operator_address", addresses->operators},
               {"version", EGRETTIDE_VERSION}});
    armSignals(signals, daemon, true);
    armReload(reloads, daemon, path);
    std::thread signalThread([&signalContext] { signalContext.run(); });
    daemon.wait();
    signalContext.stop();
    signalThread.join();
    log::close();
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description description("egrettided --settings FILE: one entry host of egrettide");
    description.add_options()("help", "print this text")("version", "print the version")(
        "settings", po::value<std::string>(), "the JSON settings file")("check", "check the settings file and stop");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error &fault) {
        std::cerr << "egrettided: " << fault.what() << "; see --help\n";
        return exitUsage;
    }
    if (values.count("help") != 0) {
        std::cout << description;
        return exitOk;
    }
    if (values.count("version") != 0) {
        std::cout << "egrettided " << EGRETTIDE_VERSION << '\n';
        return exitOk;
    }
    if (values.count("settings") == 0) {
        std::cerr << "egrettided: no settings; name a file with --settings FILE\n";
        return exitUsage;
    }
    const std::string path = values["settings"].as<std::string>();
    const auto settings = readSettings(path);
    if (!settings) {
        for (const std::string &fault : settings.error()) {
            std::cerr << "egrettided: " << fault << '\n';
        }
        return exitUsage;
    }
    if (values.count("check") != 0) {
        std::cout << "settings are valid\n";
        return exitOk;
    }
    return run(*settings, path);
}
