// egrettidectl, the command-line tool for operators: parses the command line, runs one
// command and prints its result.

#include "runtime/host/address.h"
#include "runtime/operators/operatorcommands.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>

namespace
{

using namespace egrettide;
namespace options = boost::program_options;

constexpr const char *CommandHelp = R"(egrettidectl [options] COMMAND

Commands:
  validate FILE                     check a configuration file; reports every fault at once
  diff FILE                         show what applying the file would change
  apply FILE [--if-version N]       apply the whole file; with a version, only over that one
  status [--json] [--wait SECONDS]  is the last accepted file in force on every host?
  drain UPSTREAM                    give the upstream no new work (applies the file in force with it leaving)
  drain HOST                        stop the host gracefully
  switchover DATABASE [--to UPSTREAM]  change the primary without refusing a caller
  explain ID [--log FILE]...        what was decided about a request, from hosts' log lines (standard input without a file)

diff, apply and drain UPSTREAM need --platform; status, drain HOST and switchover need --operator;
status proves its answer only when it has both; explain needs neither.
)";

// An error in the command line.
class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

options::options_description visibleOptions()
{
    options::options_description description("Options");
    auto add = description.add_options();
    add("platform", options::value<std::string>()->value_name("IP:PORT"), "the platform's object store");
    add("operator", options::value<std::string>()->value_name("IP:PORT"), "any host's operators' endpoint");
    add("timeout", options::value<double>()->default_value(10, "10")->value_name("SECONDS"), "how long a command may take");
    add("who", options::value<std::string>()->value_name("NAME"), "recorded with an accepted file; the user's name by default");
    add("if-version", options::value<std::uint64_t>()->value_name("N"), "apply: the version that the file was made from");
    add("to", options::value<std::string>()->default_value("")->value_name("UPSTREAM"), "switchover: the new primary");
    add("log", options::value<std::vector<std::string>>()->composing()->value_name("FILE"),
        "explain: log lines of one host or several; may be given more than once");
    add("json", "status: print JSON");
    add("wait", options::value<double>()->default_value(0, "0")->value_name("SECONDS"),
        "status: maximum time to wait for all hosts to agree");
    add("help", "show this text");
    add("version", "show the version");
    return description;
}

void printHelp()
{
    std::cout << CommandHelp << '\n' << visibleOptions() << "\nExit codes:\n";
    for (const ExitCode code : {ExitCode::Done, ExitCode::Refused, ExitCode::Usage, ExitCode::LostRace, ExitCode::UnknownOutcome,
                                ExitCode::Unreachable}) {
        std::cout << "  " << static_cast<int>(code) << "  " << meaningOf(code) << '\n';
    }
}

options::variables_map parse(int argc, char **argv)
{
    options::options_description all = visibleOptions();
    all.add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv).options(all).positional(positional).run(), values);
    return values;
}

milliseconds secondsOption(const options::variables_map &values, const char *name)
{
    constexpr double MillisecondsPerSecond = 1000;
    constexpr double LongestSeconds = 24 * 3600;
    const double seconds = values[name].as<double>();
    if (!(seconds >= 0 && seconds <= LongestSeconds)) {
        throw UsageError(std::string("--") + name + " takes seconds from 0 to 86400");
    }
    return milliseconds(static_cast<milliseconds::rep>(seconds * MillisecondsPerSecond));
}

std::optional<boost::asio::ip::tcp::endpoint> endpointOption(const options::variables_map &values, const char *name)
{
    if (values.count(name) == 0) {
        return std::nullopt;
    }
    const auto endpoint = parseEndpoint(values[name].as<std::string>());
    if (!endpoint) {
        throw UsageError(std::string("--") + name + ": " + endpoint.error().message);
    }
    return *endpoint;
}

std::string operatorName(const options::variables_map &values)
{
    if (values.count("who") > 0) {
        return values["who"].as<std::string>();
    }
    const char *user = std::getenv("USER");
    return user != nullptr ? user : "unknown";
}

OperatorSettings settingsOf(const options::variables_map &values)
{
    return {endpointOption(values, "platform"), endpointOption(values, "operator"), secondsOption(values, "timeout"),
            operatorName(values)};
}

std::string fileText(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream) {
        throw UsageError("cannot read " + path + "; check the path and its permissions");
    }
    return {std::istreambuf_iterator<char>(stream), {}};
}

std::vector<std::string> logTexts(const options::variables_map &values)
{
    if (values.count("log") == 0) {
        return {std::string(std::istreambuf_iterator<char>(std::cin), {})};
    }
    std::vector<std::string> texts;
    for (const std::string &path : values["log"].as<std::vector<std::string>>()) {
        texts.push_back(fileText(path));
    }
    return texts;
}

CommandResult run(const options::variables_map &values)
{
    const auto words = values.count("words") > 0 ? values["words"].as<std::vector<std::string>>() : std::vector<std::string>();
    const std::string command = words.empty() ? "" : words.front();
    const OperatorCommands commands(settingsOf(values));
    if (command == "status" && words.size() == 1) {
        return commands.status(values.count("json") > 0, secondsOption(values, "wait"));
    }
    if (words.size() != 2) {
        throw UsageError("give one command with its argument; --help lists them");
    }
    const std::string &argument = words.back();
    if (command == "explain") {
        return OperatorCommands::explain(argument, logTexts(values));
    }
    if (command == "validate") {
        return commands.validate(fileText(argument));
    }
    if (command == "diff") {
        return commands.diff(fileText(argument));
    }
    if (command == "apply") {
        const bool conditional = values.count("if-version") > 0;
        return commands.apply(fileText(argument),
                              conditional ? std::optional(values["if-version"].as<std::uint64_t>()) : std::nullopt);
    }
    if (command == "drain") {
        return commands.drain(argument);
    }
    if (command == "switchover") {
        return commands.switchover(argument, values["to"].as<std::string>());
    }
    throw UsageError("there is no command '" + command + "'; --help lists them");
}

int usageFailure(const std::string &message)
{
    std::cerr << "egrettidectl: " << message << '\n';
    return static_cast<int>(ExitCode::Usage);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const options::variables_map values = parse(argc, argv);
        if (values.count("help") > 0) {
            printHelp();
            return 0;
        }
        if (values.count("version") > 0) {
            std::cout << "egrettidectl " << EGRETTIDE_VERSION << '\n';
            return 0;
        }
        const CommandResult result = run(values);
        std::cout << result.output;
        std::cerr << result.complaint;
        return static_cast<int>(result.code);
    } catch (const UsageError &error) {
        return usageFailure(error.what());
    } catch (const options::error &error) {
        return usageFailure(error.what());
    }
}
