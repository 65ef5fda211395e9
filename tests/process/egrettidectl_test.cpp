// Runs egrettidectl against the platform stand-in, as separate processes, and a scripted
// host; checks its output, its changes to the store and its exit codes.

#define BOOST_TEST_MODULE Egrettidectl
#include <boost/test/unit_test.hpp>

#include "egrettide/core/configurationapply.h"
#include "egrettide/core/configurationfile.h"
#include "runtime/operators/operatorserver.h"
#include "runtime/store/httpclient.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/process.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <mutex>
#include <thread>

#include <unistd.h>

using namespace egrettide;
using nlohmann::json;
namespace http = boost::beast::http;
namespace process = boost::process;

namespace
{

constexpr std::chrono::seconds TestTimeout{30};

std::string environment(const char *name)
{
    const char *value = std::getenv(name);
    return value != nullptr ? value : ".";
}

std::string program(const std::string &name)
{
    return environment("EGRETTIDE_BIN") + '/' + name;
}

std::string sample(const std::string &name)
{
    return environment("EGRETTIDE_SOURCE") + "/samples/" + name;
}

std::string textOf(const std::string &path)
{
    std::ifstream stream(path);
    return {std::istreambuf_iterator<char>(stream), {}};
}

// The result of one run of the tool.
struct Run {
    int code = -1;
    std::string output;
    std::string complaint;
};

Run ctl(std::vector<std::string> arguments)
{
    process::ipstream output;
    process::ipstream complaint;
    process::child child(program("egrettidectl"), process::args(std::move(arguments)), process::std_out > output,
                         process::std_err > complaint);
    auto complaintText =
        std::async(std::launch::async, [&complaint] { return std::string(std::istreambuf_iterator<char>(complaint), {}); });
    Run run;
    run.output = std::string(std::istreambuf_iterator<char>(output), {});
    run.complaint = complaintText.get();
    child.wait();
    run.code = child.exit_code();
    return run;
}

void expectCode(const Run &run, int code)
{
    BOOST_TEST(run.code == code,
               "exit code " << run.code << " instead of " << code << "; it printed:\n"
                            << run.output << run.complaint);
}

HttpAnswer call(const std::string &address, http::verb verb, const std::string &target, const json &body = nullptr)
{
    const std::size_t colon = address.find(':');
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(colon + 1)));
    boost::asio::io_context context;
    HttpClient client(context, {boost::asio::ip::make_address(address.substr(0, colon)), port});
    std::optional<HttpAnswer> answer;
    client.call({verb, target, body.is_null() ? "" : body.dump()}, Clock::now() + TestTimeout, [&answer](const auto &result) {
        BOOST_REQUIRE(result.has_value());
        answer = *result;
    });
    while (!answer) {
        context.run_one();
    }
    return *answer;
}

// The platform stand-in, run as a separate process.
class Platform
{
public:
    Platform() : m_child(program("platform"), "--listen", "127.0.0.1:0", process::std_out > m_output)
    {
        std::string line;
        std::getline(m_output, line);
        address = "127.0.0.1:" + std::to_string(json::parse(line)["listening"].get<int>());
    }

    ~Platform()
    {
        m_child.terminate();
    }

    void fault(const json &faults) const
    {
        call(address, http::verb::put, "/admin/faults", faults);
    }

    json object() const
    {
        return json::parse(call(address, http::verb::get, "/objects/" + std::string(ConfigurationKey)).body);
    }

    std::string address;

private:
    process::ipstream m_output;
    process::child m_child;
};

// A host's endpoint for operators that returns scripted answers and records its calls.
class ScriptedHost
{
public:
    ScriptedHost()
        : m_server(m_context,
                   [this](const OperatorRequest &request, const OperatorResponder &respond) { respond(answer(request)); })
    {
        address = "127.0.0.1:" + std::to_string(m_server.listen("127.0.0.1:0").value());
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~ScriptedHost()
    {
        m_context.stop();
        m_thread.join();
    }

    void script(const std::string &call, unsigned status, const json &body)
    {
        const std::lock_guard lock(m_mutex);
        m_answers[call] = {status, "application/json", body.dump()};
    }

    std::vector<std::string> calls() const
    {
        const std::lock_guard lock(m_mutex);
        return m_calls;
    }

    std::string address;

private:
    OperatorResponse answer(const OperatorRequest &request)
    {
        const std::lock_guard lock(m_mutex);
        const std::string call = request.method + ' ' + request.path;
        m_calls.push_back(call + ' ' + request.body);
        const auto scripted = m_answers.find(call);
        return scripted != m_answers.end() ? scripted->second : OperatorResponse{404, "application/json", "{}"};
    }

    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    std::map<std::string, OperatorResponse> m_answers;
    std::vector<std::string> m_calls;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard{m_context.get_executor()};
    OperatorServer m_server;
    std::thread m_thread;
};

json statusDocument(std::uint64_t own, std::uint64_t other, const std::string &otherState, const std::string &otherAddress = "")
{
    return {{"host", "h1"},
            {"zone", "a"},
            {"configurationVersion", own},
            {"hosts",
             {{{"name", "h1"}, {"zone", "a"}, {"state", "live"}, {"configurationVersion", own}},
              {{"name", "h2"},
               {"zone", "b"},
               {"state", otherState},
               {"configurationVersion", other},
               {"operatorAddress", otherAddress}}}},
            {"groups", {{{"database", "bookings"}, {"term", 4}, {"primary", "bookings-2"}, {"confirmed", true}}}}};
}

// A file that is removed at the end of its test.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
        : path((std::filesystem::temp_directory_path() / ("egrettidectl_test." + std::to_string(getpid()) + ".json")).string())
    {
        std::ofstream(path) << text;
    }

    ~TemporaryFile()
    {
        std::filesystem::remove(path);
    }

    const std::string path;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Egrettidectl)

BOOST_AUTO_TEST_CASE(HelpNamesEveryCommandAndExitCode)
{
    const Run run = ctl({"--help"});
    expectCode(run, 0);
    for (const char *word : {"validate", "diff", "apply", "status", "drain", "switchover", "  0  ", "  5  "}) {
        BOOST_TEST(run.output.find(word) != std::string::npos, "--help does not list '" << word << "'");
    }
    BOOST_TEST(ctl({"--version"}).output.starts_with("egrettidectl "));
}

BOOST_AUTO_TEST_CASE(WrongCommandLinesAreUsageFaults)
{
    expectCode(ctl({}), 2);
    expectCode(ctl({"frobnicate", "x"}), 2);
    expectCode(ctl({"--platform", "nowhere", "diff", sample("legoff.json")}), 2);
    expectCode(ctl({"--timeout", "-1", "validate", sample("legoff.json")}), 2);
    expectCode(ctl({"apply", sample("legoff.json")}), 2);
    expectCode(ctl({"validate", "/no/such/file"}), 2);
}

BOOST_AUTO_TEST_CASE(ValidateReportsAllFaults)
{
    expectCode(ctl({"validate", sample("legoff.json")}), 0);
    const TemporaryFile file(R"({"databases":[{"name":"a b","upstreams":[]}],"colour":1})");
    const Run run = ctl({"validate", file.path});
    expectCode(run, 1);
    for (const char *place : {"/databases/0/name: ", "/databases/0/upstreams: ", "'colour'"}) {
        BOOST_TEST(run.complaint.find(place) != std::string::npos, "no mention of " << place << " in:\n" << run.complaint);
    }
}

BOOST_AUTO_TEST_CASE(AppliesAWholeFileAndShowsWhatChanges)
{
    const Platform platform;
    expectCode(ctl({"--platform", platform.address, "--who", "ann", "apply", sample("lakeshore.json")}), 0);
    const json object = platform.object();
    BOOST_TEST(object["value"]["who"] == "ann");
    const auto stored = parseConfigurationObject(object["value"], object["version"]);
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST(diff(*stored, *parseConfiguration(std::string_view(textOf(sample("lakeshore.json"))))).empty());

    json changed = json::parse(textOf(sample("lakeshore.json")));
    changed["databases"][0]["upstreams"][0]["slots"] = 7;
    const TemporaryFile file(changed.dump());
    const Run shown = ctl({"--platform", platform.address, "diff", file.path});
    expectCode(shown, 0);
    BOOST_TEST(shown.output.find("slots 5 -> 7") != std::string::npos, shown.output);
    BOOST_TEST(platform.object()["version"] == object["version"], "diff changed the store");
}

BOOST_AUTO_TEST_CASE(AnInvalidFileChangesNothing)
{
    const Platform platform;
    expectCode(ctl({"--platform", platform.address, "apply", sample("legoff.json")}), 0);
    const json before = platform.object();
    const TemporaryFile file(R"({"databases":[]})");
    expectCode(ctl({"--platform", platform.address, "apply", file.path}), 1);
    BOOST_TEST(platform.object() == before);
}

BOOST_AUTO_TEST_CASE(OneOfTwoRacingOperatorsWinsAndTheOtherSeesTheWinnersName)
{
    // With an unconditional write, an operator's accepted change is silently overwritten:
    // two operators concurrently apply files made from the same version, and the answers
    // to their writes are lost.
    const Platform platform;
    expectCode(ctl({"--platform", platform.address, "apply", sample("lakeshore.json")}), 0);
    const std::string version = std::to_string(platform.object()["version"].get<int>());
    platform.fault({{"loseNextAnswers", 1}, {"delayMs", 50}});
    const auto apply = [&](const std::string &who, const std::string &file) {
        return ctl(
            {"--platform", platform.address, "--who", who, "apply", sample(file), "--if-version", version, "--timeout", "60"});
    };
    auto ann = std::async(std::launch::async, apply, "ann", "lakeshore.json");
    auto bob = std::async(std::launch::async, apply, "bob", "legoff.json");
    const Run annRun = ann.get();
    const Run bobRun = bob.get();
    const bool annWon = annRun.code == 0;
    expectCode(annWon ? bobRun : annRun, 3);
    expectCode(annWon ? annRun : bobRun, 0);
    const std::string winner = annWon ? "ann" : "bob";
    BOOST_TEST(platform.object()["value"]["who"] == winner);
    const std::string complaint = annWon ? bobRun.complaint : annRun.complaint;
    BOOST_TEST(complaint.find("by " + winner) != std::string::npos, "the loser is not told who won:\n" << complaint);
}

BOOST_AUTO_TEST_CASE(DistinguishesAnOutageFromAnUnknownOutcome)
{
    const Platform platform;
    platform.fault({{"downAfterNextChange", true}, {"loseNextAnswers", 1}});
    expectCode(ctl({"--platform", platform.address, "--timeout", "1", "apply", sample("legoff.json")}), 4);
    expectCode(ctl({"--platform", platform.address, "--timeout", "0.5", "apply", sample("legoff.json")}), 5);
    expectCode(ctl({"--platform", platform.address, "--timeout", "0.5", "diff", sample("legoff.json")}), 5);
    platform.fault({{"down", false}});
    BOOST_TEST(platform.object()["value"].contains("file"), "the change with the unknown outcome should have been stored");
}

BOOST_AUTO_TEST_CASE(StatusSucceedsOnlyWhenEveryHostHasTheLastAcceptedFile)
{
    const Platform platform;
    ScriptedHost host;
    expectCode(ctl({"--platform", platform.address, "apply", sample("legoff.json")}), 0);
    const std::uint64_t version = platform.object()["version"];
    const std::vector<std::string> status{"--platform", platform.address, "--operator", host.address, "status"};

    host.script("GET /status", 200, statusDocument(version, version, "live"));
    expectCode(ctl(status), 0);
    host.script("GET /status", 200, statusDocument(version, version - 1, "dead"));
    expectCode(ctl(status), 0);
    host.script("GET /status", 200, statusDocument(version, version - 1, "suspect"));
    const Run differs = ctl(status);
    expectCode(differs, 1);
    BOOST_TEST(differs.output.find("h2 zone b suspect version 0  DIFFERS") != std::string::npos, differs.output);
    host.script("GET /status", 200, statusDocument(version + 1, version + 1, "live"));
    expectCode(ctl(status), 1);
}

BOOST_AUTO_TEST_CASE(StatusProvesNothingWithoutTheStore)
{
    ScriptedHost host;
    host.script("GET /status", 200, statusDocument(3, 3, "live"));
    const Run run = ctl({"--operator", host.address, "status", "--json"});
    expectCode(run, 1);
    BOOST_TEST(json::parse(run.output)["verdict"] == "unproven", run.output);
    expectCode(ctl({"--operator", "127.0.0.1:1", "status"}), 5);
}

BOOST_AUTO_TEST_CASE(StatusWaitsForHostsToFollow)
{
    const Platform platform;
    ScriptedHost host;
    expectCode(ctl({"--platform", platform.address, "apply", sample("legoff.json")}), 0);
    const std::uint64_t version = platform.object()["version"];
    host.script("GET /status", 200, statusDocument(0, 0, "live"));
    auto waiting = std::async(std::launch::async, [&] {
        return ctl({"--platform", platform.address, "--operator", host.address, "status", "--wait", "60"});
    });
    while (host.calls().size() < 2) {
        std::this_thread::yield();
    }
    host.script("GET /status", 200, statusDocument(version, version, "live"));
    expectCode(waiting.get(), 0);
}

BOOST_AUTO_TEST_CASE(DrainOfAnUpstreamIsAnAppliedFile)
{
    const Platform platform;
    expectCode(ctl({"--platform", platform.address, "apply", sample("legoff.json")}), 0);
    expectCode(ctl({"--platform", platform.address, "drain", "pitches-2"}), 0);
    const auto drained = parseConfigurationObject(platform.object()["value"], 1);
    BOOST_REQUIRE(drained.has_value());
    BOOST_TEST(drained->database("pitches")->upstream("pitches-2")->leaving);
    BOOST_TEST(!drained->database("pitches")->upstream("pitches-1")->leaving);
    expectCode(ctl({"--platform", platform.address, "drain", "pitches-1"}), 0);
    const Run last = ctl({"--platform", platform.address, "drain", "pitches-3"});
    expectCode(last, 1);
    BOOST_TEST(last.complaint.find("keep one") != std::string::npos, last.complaint);
    expectCode(ctl({"--platform", platform.address, "drain", "nobody"}), 1);
}

BOOST_AUTO_TEST_CASE(DrainOfAHostGoesToThatHost)
{
    ScriptedHost asked;
    ScriptedHost other;
    asked.script("GET /status", 200, statusDocument(1, 1, "live", other.address));
    other.script("POST /drain", 202, {{"draining", true}});
    expectCode(ctl({"--operator", asked.address, "drain", "h2"}), 0);
    BOOST_TEST(other.calls().size() == 1u);
    expectCode(ctl({"--operator", asked.address, "drain", "h9"}), 1);
    BOOST_TEST(other.calls().size() == 1u);
}

BOOST_AUTO_TEST_CASE(SwitchoverPassesOnTheHostsAnswer)
{
    ScriptedHost host;
    host.script("POST /switchover", 200, {{"done", true}});
    expectCode(ctl({"--operator", host.address, "switchover", "bookings", "--to", "bookings-3"}), 0);
    const std::string sent = host.calls().back();
    BOOST_TEST(json::parse(sent.substr(sent.find('{'))) == json({{"database", "bookings"}, {"to", "bookings-3"}}), sent);

    host.script("POST /switchover", 409, {{"error", "no_primary"}, {"message", "Wait."}, {"retryAfterMs", 1000}});
    const Run refused = ctl({"--operator", host.address, "switchover", "bookings"});
    expectCode(refused, 1);
    BOOST_TEST(refused.complaint.find("Wait.") != std::string::npos, refused.complaint);

    host.script("POST /switchover", 409, {{"error", "unknown_outcome"}, {"message", "Look."}, {"retryAfterMs", 0}});
    expectCode(ctl({"--operator", host.address, "switchover", "bookings"}), 4);
}

BOOST_AUTO_TEST_CASE(ExplainsARequestFromLogsAlone)
{
    const std::string path = (std::filesystem::temp_directory_path() / ("explain-" + std::to_string(::getpid()))).string();
    std::ofstream(path) << R"({"time_ms":5,"host":"front-1","event":"started"})"
                        << "\nnoise\n"
                        << R"({"time_ms":9,"host":"front-1","event":"request_failed","id":"abc","sent":false,"reason":"no slot"})"
                        << '\n';
    const Run explained = ctl({"explain", "abc", "--log", path});
    expectCode(explained, 0);
    BOOST_TEST(explained.output.find("no slot") != std::string::npos, explained.output);
    BOOST_TEST(explained.complaint.find("1 lines") != std::string::npos, explained.complaint);
    expectCode(ctl({"explain", "unheard", "--log", path}), 1);
    std::filesystem::remove(path);
}

BOOST_AUTO_TEST_SUITE_END()
