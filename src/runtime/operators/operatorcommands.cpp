// Implements the operators' commands with the store client and the hosts' HTTP
// endpoints for operators.

#include "runtime/operators/operatorcommands.h"

#include "egrettide/core/requesttrace.h"

#include "egrettide/core/configurationfile.h"
#include "egrettide/core/jsontext.h"
#include "runtime/configuration/applyrunner.h"
#include "runtime/host/address.h"
#include "runtime/operators/operatorstatus.h"
#include "runtime/store/httpclient.h"
#include "runtime/store/storeclient.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <random>
#include <sstream>
#include <thread>
#include <utility>

namespace egrettide
{

namespace http = boost::beast::http;
using nlohmann::json;

namespace
{

// A switchover waits for open transactions; the host answers within 60 s.
constexpr milliseconds SwitchoverTimeout{60000};
constexpr milliseconds StatusPollInterval{200};

template <typename Result> using Checked = tl::expected<Result, CommandResult>;

CommandResult done(std::string output)
{
    return {ExitCode::Done, std::move(output), {}};
}

CommandResult failed(ExitCode code, const std::string &complaint)
{
    return {code, {}, complaint + '\n'};
}

CommandResult missingOption(const char *option)
{
    return failed(ExitCode::Usage, std::string("This command needs ") + option + " IP:PORT.");
}

std::string lines(const std::vector<std::string> &texts)
{
    std::string result;
    for (const std::string &text : texts) {
        result += text + '\n';
    }
    return result;
}

Checked<Configuration> parsed(const std::string &text)
{
    auto configuration = parseConfiguration(std::string_view(text));
    if (configuration) {
        return std::move(*configuration);
    }
    CommandResult result{ExitCode::Refused, {}, {}};
    for (const Error &fault : configuration.error()) {
        result.complaint += fault.message + '\n';
    }
    return tl::make_unexpected(std::move(result));
}

tl::expected<VersionedObject, StoreError> readObject(const boost::asio::ip::tcp::endpoint &platform, TimePoint deadline)
{
    boost::asio::io_context context;
    StoreClient store(context, platform);
    std::optional<tl::expected<VersionedObject, StoreError>> result;
    store.read(std::string(ConfigurationKey), deadline, [&result](auto answer) { result.emplace(std::move(answer)); });
    while (!result) {
        context.run_one();
    }
    return std::move(*result);
}

// Reads the configuration from the store; an empty one of version 0 if there is none.
Checked<Configuration> stored(const boost::asio::ip::tcp::endpoint &platform, TimePoint deadline)
{
    const auto object = readObject(platform, deadline);
    if (!object && object.error().failure == StoreFailure::NotFound) {
        return Configuration{};
    }
    if (!object) {
        return tl::make_unexpected(failed(ExitCode::Unreachable, object.error().error.message));
    }
    auto configuration = parseConfigurationObject(object->value, object->version);
    if (!configuration) {
        return tl::make_unexpected(failed(ExitCode::Refused, configuration.error().front().message));
    }
    return std::move(*configuration);
}

tl::expected<HttpAnswer, HttpFailure> callHost(const boost::asio::ip::tcp::endpoint &host, const HttpCall &call,
                                               TimePoint deadline)
{
    boost::asio::io_context context;
    HttpClient client(context, host);
    std::optional<tl::expected<HttpAnswer, HttpFailure>> result;
    client.call(call, deadline, [&result](auto answer) { result.emplace(std::move(answer)); });
    while (!result) {
        context.run_one();
    }
    return std::move(*result);
}

std::string textOf(const boost::asio::ip::tcp::endpoint &endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

CommandResult hostUnreachable(const boost::asio::ip::tcp::endpoint &host, const HttpFailure &failure)
{
    return failed(ExitCode::Unreachable,
                  "The host at " + textOf(host) + " did not answer (" + failure.reason
                      + "); name another host's --operator address.");
}

Checked<json> hostStatus(const boost::asio::ip::tcp::endpoint &host, TimePoint deadline)
{
    const auto answer = callHost(host, {http::verb::get, "/status", {}}, deadline);
    if (!answer) {
        return tl::make_unexpected(hostUnreachable(host, answer.error()));
    }
    json document = parseJson(answer->body).value_or(json());
    if (answer->status != http::status::ok || !document.is_object()) {
        return tl::make_unexpected(
            failed(ExitCode::Unreachable, "What answers at " + textOf(host) + " is not an egrettide host; check --operator."));
    }
    return document;
}

// Returns a string field of an answer, or an empty string if the field is missing or
// has another type. The answer may come from any program, and json::value throws on a
// type mismatch.
std::string textIn(const json &document, const char *field)
{
    const auto value = document.find(field);
    return value != document.end() && value->is_string() ? value->get<std::string>() : std::string();
}

// Converts a host's answer to a command into the command's result.
CommandResult commandResult(const boost::asio::ip::tcp::endpoint &host, const tl::expected<HttpAnswer, HttpFailure> &answer,
                            const std::string &success)
{
    if (!answer && answer.error().mayHaveArrived) {
        return failed(ExitCode::UnknownOutcome,
                      "The answer of the host at " + textOf(host) + " was lost; look at status before you repeat the command.");
    }
    if (!answer) {
        return hostUnreachable(host, answer.error());
    }
    if (http::to_status_class(answer->status) == http::status_class::successful) {
        return done(success + '\n');
    }
    const json body = parseJson(answer->body).value_or(json());
    const std::string explanation = textIn(body, "message");
    const std::string message = explanation.empty()
        ? "The host refused with HTTP status " + std::to_string(static_cast<int>(answer->status)) + "."
        : explanation;
    const bool unknown = textIn(body, "error") == nameOf(ErrorKind::UnknownOutcome);
    return failed(unknown ? ExitCode::UnknownOutcome : ExitCode::Refused, message);
}

// 128 random bits, so that ids of different apply attempts do not collide.
std::string newApplyId()
{
    std::random_device device;
    std::ostringstream text;
    for (int word = 0; word < 4; ++word) {
        text << std::hex << std::setw(8) << std::setfill('0') << device();
    }
    return text.str();
}

ExitCode codeOf(ApplyVerdict verdict)
{
    switch (verdict) {
    case ApplyVerdict::Applied:
        return ExitCode::Done;
    case ApplyVerdict::LostRace:
        return ExitCode::LostRace;
    case ApplyVerdict::Unknown:
        return ExitCode::UnknownOutcome;
    case ApplyVerdict::StoreUnavailable:
        return ExitCode::Unreachable;
    case ApplyVerdict::Refused:
        break;
    }
    return ExitCode::Refused;
}

CommandResult applyResult(const ApplyFinished &finished)
{
    if (finished.verdict != ApplyVerdict::Applied) {
        return failed(codeOf(finished.verdict), finished.error->message);
    }
    std::string output = "Accepted as version " + std::to_string(finished.version) + ".\n";
    if (finished.current.version > finished.version) {
        output += "It has been replaced since by version " + std::to_string(finished.current.version) + " of "
            + finished.current.who + ".\n";
    }
    return done(output);
}

} // namespace

std::string meaningOf(ExitCode code)
{
    switch (code) {
    case ExitCode::Done:
        return "done; for status: every host has the last accepted file in force";
    case ExitCode::Refused:
        return "refused or invalid, nothing changed; for status: not every host agrees";
    case ExitCode::Usage:
        return "wrong command line";
    case ExitCode::LostRace:
        return "another operator's file was accepted instead; yours was not";
    case ExitCode::UnknownOutcome:
        return "unknown outcome: it may have taken effect; look at status";
    case ExitCode::Unreachable:
        break;
    }
    return "the store or the host could not be reached; nothing changed";
}

OperatorCommands::OperatorCommands(OperatorSettings settings) : m_settings(std::move(settings))
{
}

TimePoint OperatorCommands::deadline() const
{
    return Clock::now() + m_settings.timeout;
}

CommandResult OperatorCommands::validate(const std::string &text) const
{
    const auto configuration = parsed(text);
    if (!configuration) {
        return configuration.error();
    }
    std::size_t upstreams = 0;
    for (const DatabaseSpec &database : configuration->databases) {
        upstreams += database.upstreams.size();
    }
    std::ostringstream output;
    output << "Valid: " << configuration->databases.size() << " databases, " << upstreams << " upstreams, "
           << configuration->classes.size() << " classes, " << configuration->tenants.size() << " tenants.\n";
    for (const std::string &warning : configurationWarnings(*configuration)) {
        output << "Warning: " << warning << '\n';
    }
    return done(output.str());
}

CommandResult OperatorCommands::diff(const std::string &text) const
{
    if (!m_settings.platform) {
        return missingOption("--platform");
    }
    const auto configuration = parsed(text);
    if (!configuration) {
        return configuration.error();
    }
    const auto current = stored(*m_settings.platform, deadline());
    if (!current) {
        return current.error();
    }
    const std::vector<std::string> changes = egrettide::diff(*current, *configuration);
    const std::string version = std::to_string(current->version);
    if (changes.empty()) {
        return done("No change against version " + version + ".\n");
    }
    return done(lines(changes) + "Against version " + version + "; apply exactly this with --if-version " + version + ".\n");
}

CommandResult OperatorCommands::apply(const std::string &text, std::optional<std::uint64_t> ifVersion) const
{
    if (!m_settings.platform) {
        return missingOption("--platform");
    }
    const auto configuration = parsed(text);
    return configuration ? applyConfiguration(*configuration, ifVersion) : configuration.error();
}

CommandResult OperatorCommands::applyConfiguration(const Configuration &configuration,
                                                   std::optional<std::uint64_t> ifVersion) const
{
    boost::asio::io_context context;
    StoreClient store(context, *m_settings.platform);
    ApplyRunner runner(context, store, {newApplyId(), m_settings.who, ifVersion, {}}, toJson(configuration));
    std::optional<ApplyFinished> finished;
    runner.start(deadline(), [&finished](const ApplyFinished &result) { finished = result; });
    while (!finished) {
        context.run_one();
    }
    return applyResult(*finished);
}

CommandResult OperatorCommands::status(bool asJson, milliseconds maxWait) const
{
    if (!m_settings.host) {
        return missingOption("--operator");
    }
    const TimePoint waitEnds = Clock::now() + maxWait;
    while (true) {
        const auto document = hostStatus(*m_settings.host, deadline());
        if (!document) {
            return document.error();
        }
        StatusReport report = statusReport(*document);
        if (m_settings.platform) {
            addStore(report, readObject(*m_settings.platform, deadline()));
        }
        const bool agreed = verdictOf(report) == StatusVerdict::Agreed;
        if (agreed || Clock::now() >= waitEnds) {
            const ExitCode code = agreed ? ExitCode::Done : ExitCode::Refused;
            return {code, asJson ? toJson(report).dump(2) + '\n' : toText(report), {}};
        }
        std::this_thread::sleep_for(StatusPollInterval);
    }
}

CommandResult OperatorCommands::drain(const std::string &name) const
{
    if (!m_settings.platform && !m_settings.host) {
        return missingOption("--platform (to drain an upstream) or --operator (to drain a host)");
    }
    if (!m_settings.platform) {
        return drainHost(name);
    }
    auto current = stored(*m_settings.platform, deadline());
    if (!current && !m_settings.host) {
        return current.error();
    }
    const bool isUpstream = current
        && std::any_of(current->databases.begin(), current->databases.end(),
                       [&name](const DatabaseSpec &database) { return database.upstream(name) != nullptr; });
    if (isUpstream) {
        return drainUpstream(std::move(*current), name);
    }
    if (!m_settings.host) {
        return failed(ExitCode::Refused,
                      "There is no upstream '" + name + "'; name one of the file in force, or give --operator to drain a host.");
    }
    return drainHost(name);
}

CommandResult OperatorCommands::drainUpstream(Configuration configuration, const std::string &name) const
{
    for (DatabaseSpec &database : configuration.databases) {
        for (UpstreamSpec &upstream : database.upstreams) {
            upstream.leaving = upstream.leaving || upstream.name == name;
        }
    }
    // The changed configuration is validated like any file, so draining the last
    // upstream of a database is refused.
    const auto checked = parsed(toJson(configuration).dump());
    return checked ? applyConfiguration(*checked, configuration.version) : checked.error();
}

CommandResult OperatorCommands::drainHost(const std::string &name) const
{
    const auto document = hostStatus(*m_settings.host, deadline());
    if (!document) {
        return document.error();
    }
    const StatusReport report = statusReport(*document);
    const auto found =
        std::find_if(report.hosts.begin(), report.hosts.end(), [&name](const HostStatus &host) { return host.name == name; });
    if (found == report.hosts.end()) {
        return failed(ExitCode::Refused, "There is neither a host nor an upstream '" + name + "'; status lists them.");
    }
    const auto address = name == report.answeredBy ? tl::expected<boost::asio::ip::tcp::endpoint, Error>(*m_settings.host)
                                                   : parseEndpoint(found->operatorAddress);
    if (!address) {
        return failed(ExitCode::Unreachable, "The operators' address of " + name + " is not known; give it as --operator.");
    }
    const auto answer = callHost(*address, {http::verb::post, "/drain", "{}"}, deadline());
    return commandResult(*address, answer, "Host " + name + " is draining.");
}

CommandResult OperatorCommands::switchover(const std::string &database, const std::string &to) const
{
    if (!m_settings.host) {
        return missingOption("--operator");
    }
    json body{{"database", database}};
    if (!to.empty()) {
        body["to"] = to;
    }
    const auto answer = callHost(*m_settings.host, {http::verb::post, "/switchover", body.dump()},
                                 Clock::now() + std::max(m_settings.timeout, SwitchoverTimeout));
    return commandResult(*m_settings.host, answer, "Database " + database + " has a new primary.");
}

CommandResult OperatorCommands::explain(const std::string &requestId, const std::vector<std::string> &logs)
{
    RequestTrace trace(requestId);
    for (const std::string &log : logs) {
        std::istringstream lines(log);
        for (std::string line; std::getline(lines, line);) {
            trace.addLine(line);
        }
    }
    CommandResult result;
    result.output = trace.describe();
    if (trace.skipped() > 0) {
        result.complaint = std::to_string(trace.skipped()) + " lines are not log lines and were skipped\n";
    }
    if (!trace.found()) {
        result.code = ExitCode::Refused;
        result.complaint += "no log line belongs to request " + requestId
            + "; give the logs of all hosts of that time, and look for failures_not_logged and lines_dropped in them\n";
    }
    return result;
}

} // namespace egrettide
