// Feeds all parsers of external input with random bytes and with corrupted valid input:
// they must neither crash nor hang, and their errors must be typed. Intended for the
// sanitizers (preset asan); the seed is fixed, so failures are reproducible.
//
// Each test counts accepted and refused inputs: a fuzzer whose inputs are all refused at
// the first byte, or never refused, proves little.

#define BOOST_TEST_MODULE Fuzz
#include <boost/test/unit_test.hpp>

#include "egrettide/core/classifier.h"
#include "egrettide/core/configurationapply.h"
#include "egrettide/core/configurationfile.h"
#include "egrettide/core/membership.h"
#include "egrettide/core/sessionstate.h"
#include "egrettide/core/sessiontoken.h"
#include "runtime/host/settings.h"
#include "runtime/operators/operatorcommands.h"
#include "runtime/operators/operatorserver.h"
#include "runtime/operators/operatorstatus.h"
#include "runtime/store/storeclient.h"
#include "wire/batchassembler.h"
#include "wire/hopcodec.h"
#include "wire/pgwire.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace egrettide;
using nlohmann::json;

namespace
{

constexpr std::uint64_t fuzzSeed = 20261202;
constexpr int rounds = 3000;
constexpr int slowRounds = 150;

class Bytes
{
public:
    explicit Bytes(std::uint64_t salt) : m_random(fuzzSeed + salt)
    {
    }

    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }

    std::string random(std::size_t most)
    {
        std::string bytes(below(most + 1), '\0');
        std::generate(bytes.begin(), bytes.end(), [this] { return static_cast<char>(below(256)); });
        return bytes;
    }

    // Returns the text with one to four random corruptions.
    std::string damaged(std::string text)
    {
        for (std::size_t times = 1 + below(4); times > 0; --times) {
            damageOnce(text);
        }
        return text;
    }

private:
    void damageOnce(std::string &text)
    {
        static const std::vector<std::string> corruptions = {std::string(4, '\0'),
                                                             "\xff\xff\xff\xff",
                                                             "\x7f\xff\xff\xff",
                                                             "\x80",
                                                             "\xc3\x28",
                                                             "1e999",
                                                             "-1",
                                                             "null",
                                                             "{",
                                                             "]",
                                                             "\"",
                                                             "99999999999999999999",
                                                             "[[[[[[[[",
                                                             ":",
                                                             ",",
                                                             "true"};
        const std::size_t at = below(text.size() + 1);
        switch (below(6)) {
        case 0:
            if (at < text.size()) {
                text[at] = static_cast<char>(below(256));
            }
            break;
        case 1:
            text.erase(at, 1 + below(8));
            break;
        case 2:
            text.insert(at, corruptions[below(corruptions.size())]);
            break;
        case 3:
            text.resize(at);
            break;
        case 4:
            text.insert(at, text.substr(below(text.size() + 1), below(40)));
            break;
        default: {
            const std::string &put = corruptions[below(corruptions.size())];
            text.replace(at, std::min(put.size(), text.size() - at), put);
            break;
        }
        }
    }

    std::mt19937_64 m_random;
};

struct Tally {
    int accepted = 0;
    int refused = 0;

    void count(bool good)
    {
        (good ? accepted : refused) += 1;
    }
    void expectBoth(const char *what) const
    {
        BOOST_TEST_MESSAGE(what << ": " << accepted << " accepted, " << refused << " refused");
        BOOST_TEST(accepted > 0, what << ": no input was accepted; the corruption is too strong to reach deep code");
        BOOST_TEST(refused > 0, what << ": no input was refused; the corruption has no effect");
    }
};

std::string fileText(const std::string &path)
{
    const char *const source = std::getenv("EGRETTIDE_SOURCE");
    std::ifstream file((source != nullptr ? std::string(source) : std::string(".")) + "/" + path);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    BOOST_REQUIRE_MESSAGE(!text.empty(), "cannot read " << path << "; run by ctest, which sets EGRETTIDE_SOURCE");
    return text;
}

// Feeds a stream in pieces of random size and reads all resulting messages.
template <typename Reader, typename Next> bool drain(Bytes &bytes, Reader &reader, const std::string &stream, const Next &next)
{
    for (std::size_t offset = 0; offset < stream.size();) {
        const std::size_t size = 1 + bytes.below(64);
        reader.feed(std::string_view(stream).substr(offset, size));
        offset += size;
        while (true) {
            const auto got = next(reader);
            if (!got) {
                BOOST_TEST((got.error().kind == ErrorKind::InvalidInput), "untyped: " << got.error().message);
                return false;
            }
            if (!*got) {
                break;
            }
        }
    }
    return true;
}

std::string callerStream()
{
    std::string stream;
    pg::appendQuery(stream, "SELECT 1; SELECT 2");
    pg::appendParse(stream, "s", "INSERT INTO t VALUES ($1)", std::string("\0\0", 2));
    pg::appendMessage(stream, 'B', std::string("\0s\0\0\0\0\1\0\0\0\1x\0\0", 14));
    pg::appendMessage(stream, 'D', std::string("S\0", 2) + "s");
    pg::appendMessage(stream, 'E', std::string("\0\0\0\0\0", 5));
    pg::appendMessage(stream, 'C', std::string("Ss\0", 3));
    pg::appendMessage(stream, 'S', "");
    pg::appendMessage(stream, 'H', "");
    pg::appendMessage(stream, 'X', "");
    return stream;
}

HostRecord record(const std::string &name)
{
    HostRecord result{name, "zone-0", "10.0.0.9:1", "10.0.0.9:2", "10.0.0.9:3"};
    result.incarnation = 7;
    return result;
}

std::vector<hop::HopMessage> hopMessages()
{
    hop::ExecuteRequest execute;
    execute.request.database = "booking";
    execute.request.upstream = "a";
    execute.request.batch = "Q....SELECT 1";
    execute.request.prepared = {{"s", "P..."}};
    execute.request.freshness.floor = LogMark{3, 9};
    hop::ExecuteReply reply;
    reply.reply.error = Error{ErrorKind::Moved, "moved", milliseconds{5}};
    reply.reply.hint = GroupHint{"booking", 3, "a", {MemberHint{"b", {3, 8}, milliseconds{4}, milliseconds{2}, true, false}}};
    hop::Gossip gossip;
    gossip.message.from = "h1";
    gossip.message.target = "h2";
    gossip.message.records = {record("h3"), record("h4")};
    gossip.message.healthNotes = {{3, 4, HostHealth::Suspect, true}};
    gossip.message.bucketDigests = {1, 2, 3};
    return {execute,
            reply,
            gossip,
            hop::ConfigPush{4, "{}"},
            hop::ConfigOffer{9},
            hop::Ping{4, true},
            hop::CatalogOffer{{4, 9}, false},
            hop::CatalogPull{{4, 9}, 7, 8},
            hop::CatalogPush{{4, 9}, {5, 9}, 7, 8, "bytes", 3, {"entries", 2}}};
}

std::string objectText()
{
    ConfigurationHead head{"id9", "anna", {{"id8", "bo", 8}, {"id7", "anna", 7}}};
    return configurationObject(head, json::parse(fileText("samples/lakeshore.json"))).dump();
}

// Serializes the names in the same way as the status for operators.
bool isSerializable(const MembershipView &view)
{
    json names = json::array();
    for (const HostRecord &host : view.hosts) {
        names.push_back({host.name, host.zone, host.peerAddress, host.callerAddress, host.operatorAddress});
    }
    try {
        return !names.dump().empty();
    } catch (const json::exception &) {
        return false;
    }
}

bool hasTypedErrors(const std::vector<Error> &errors)
{
    return !errors.empty() && std::all_of(errors.begin(), errors.end(), [](const Error &error) {
        return error.kind == ErrorKind::InvalidInput && !error.message.empty();
    });
}

// A server that answers each connection with the next text and closes it.
class TextServer
{
public:
    explicit TextServer(std::function<std::string()> answer)
        : m_answer(std::move(answer))
        , m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0})
        , m_thread([this] { serve(); })
    {
    }
    TextServer(const TextServer &) = delete;
    TextServer &operator=(const TextServer &) = delete;

    ~TextServer()
    {
        m_stopped = true;
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket unblocker(context);
        boost::system::error_code ignored;
        unblocker.connect(endpoint(), ignored);
        m_thread.join();
    }

    boost::asio::ip::tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    void serve()
    {
        while (!m_stopped) {
            boost::asio::ip::tcp::socket socket(m_context);
            boost::system::error_code failure;
            m_acceptor.accept(socket, failure);
            if (failure || m_stopped) {
                continue;
            }
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", failure);
            boost::asio::write(socket, boost::asio::buffer(m_answer()), failure);
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, failure);
        }
    }

    std::function<std::string()> m_answer;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

std::string httpText(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

// Store answers: valid, corrupted in the body, corrupted as a whole, or random.
std::string storeAnswer(Bytes &bytes)
{
    static const std::vector<std::string> statuses = {
        "200 OK",           "200 OK",          "200 OK",        "404 Not Found", "409 Conflict",
        "304 Not Modified", "503 Unavailable", "413 Too Large", "500 Oh",        "999 ?"};
    static const std::vector<std::string> bodies = {R"({"version":7,"value":{"a":[1,2]}})",
                                                    R"([{"name":"h","zone":"z","address":"1.2.3.4:5","state":"leaving"}])",
                                                    R"({"version":"7"})",
                                                    R"({"version":-7,"value":3})",
                                                    R"([3,null])",
                                                    "3",
                                                    ""};
    const std::string &status = statuses[bytes.below(statuses.size())];
    // The first two are valid answers; at least half of all calls return one of them.
    const std::string &body = bodies[bytes.below(2) == 0 ? bytes.below(2) : bytes.below(bodies.size())];
    switch (bytes.below(4)) {
    case 0:
        return httpText(status, body);
    case 1:
        return httpText(status, bytes.damaged(body));
    case 2:
        return bytes.damaged(httpText(status, body));
    default:
        return bytes.random(300);
    }
}

// Sends one request over a new connection; returns the answer until the server closes.
std::string sendRaw(unsigned short port, const std::string &request)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    boost::system::error_code failure;
    boost::asio::write(socket, boost::asio::buffer(request), failure);
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, failure);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), failure);
    return answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BytesFromOutside)

BOOST_AUTO_TEST_CASE(OfTheFirstMessageOfCallersAreAcceptedOrRefused)
{
    Bytes bytes(1);
    Tally tally;
    std::string startup;
    pg::appendStartup(startup, {{"user", "parents"}, {"database", "booking"}, {"options", "-c egrettide.max_age=5"}});
    std::string cancel;
    pg::appendCancelRequest(cancel, 3, 4);
    for (int round = 0; round < rounds; ++round) {
        const std::string stream =
            bytes.below(3) == 0 ? bytes.random(200) : bytes.damaged(bytes.below(3) == 0 ? cancel : startup);
        pg::FrameReader reader;
        int accepted = 0;
        const bool good = drain(bytes, reader, stream, [&](pg::FrameReader &from) {
            auto got = from.nextStartup();
            accepted += got && *got ? 1 : 0;
            return got;
        });
        tally.count(good && accepted > 0);
    }
    tally.expectBoth("startup messages");
}

BOOST_AUTO_TEST_CASE(OfCallersAreBatchesOrRefused)
{
    Bytes bytes(2);
    Tally tally;
    for (int round = 0; round < rounds; ++round) {
        const std::string stream = bytes.below(4) == 0 ? bytes.random(300) : bytes.damaged(callerStream());
        pg::BatchAssembler assembler(std::size_t{1} << 20U);
        tally.count(drain(bytes, assembler, stream, [](pg::BatchAssembler &from) { return from.next(); }));
    }
    tally.expectBoth("caller streams");
}

BOOST_AUTO_TEST_CASE(OfUpstreamsAreReadWithinTheirBounds)
{
    Bytes bytes(3);
    Tally rows;
    std::string row;
    pg::appendDataRow(row, {"3:7", std::nullopt, "primary", std::string(20, 'x')});
    std::string error;
    pg::appendErrorResponse(error, "25006", "read only", "ask the primary");
    for (int round = 0; round < rounds; ++round) {
        const auto values = pg::parseDataRow(bytes.damaged(row.substr(5)));
        rows.count(values.has_value());
        const pg::ErrorFields fields = pg::parseErrorFields(bytes.damaged(error.substr(5)));
        BOOST_TEST(fields.text.size() < 400U);
        static_cast<void>(pg::parseDataRow(bytes.random(60)));
        static_cast<void>(pg::parseErrorFields(bytes.random(60)));
        pg::FrameReader reader;
        drain(bytes, reader, bytes.damaged(row + error), [](pg::FrameReader &from) { return from.next(); });
    }
    rows.expectBoth("data rows");
}

BOOST_AUTO_TEST_CASE(OfPeersAreMessagesOrRefused)
{
    Bytes bytes(4);
    Tally tally;
    const TimePoint now{std::chrono::seconds{100}};
    const auto messages = hopMessages();
    for (int round = 0; round < rounds; ++round) {
        std::string frame = hop::encodeFrame(messages[bytes.below(messages.size())], now).substr(4);
        frame = bytes.below(5) == 0 ? bytes.random(200) : bytes.damaged(frame);
        const auto decoded = hop::decodeFrame(frame, now);
        tally.count(decoded.has_value());
        if (!decoded) {
            BOOST_TEST((decoded.error().kind == ErrorKind::InvalidInput));
            continue;
        }
        // An accepted message must be safe for its consumer.
        if (const auto *gossip = std::get_if<hop::Gossip>(&*decoded)) {
            Membership membership(record("self"), {}, 1, now);
            membership.onMessage(gossip->message, now + milliseconds{5});
            membership.tick(now + milliseconds{400});
            BOOST_TEST(isSerializable(*membership.view()),
                       "the view contains a host that cannot be written to the status for operators");
        }
    }
    tally.expectBoth("hop frames");
    Tally streams;
    for (int round = 0; round < rounds; ++round) {
        std::string stream;
        for (const hop::HopMessage &message : messages) {
            stream += hop::encodeFrame(message, now);
        }
        hop::FrameSplitter splitter;
        streams.count(drain(bytes, splitter, bytes.damaged(stream), [](hop::FrameSplitter &from) { return from.next(); }));
    }
    streams.expectBoth("hop streams");
}

// An unknown or faulty peer sends gossip about a host whose name is not valid UTF-8. If the
// codec accepted the name, the JSON library would throw when the status for operators is
// written, and the host would crash.
BOOST_AUTO_TEST_CASE(OfPeersMayNotNameHostsInInvalidUtf8)
{
    const TimePoint now{std::chrono::seconds{100}};
    for (const char *bad : {"\xff", "h\xc3(", "\xed\xa0\x80", "\xc0\xaf"}) {
        hop::Gossip byName;
        byName.message.from = "h1";
        byName.message.records = {record(bad)};
        BOOST_TEST(!hop::decodeFrame(hop::encodeFrame(byName, now).substr(4), now).has_value());
        hop::Gossip byZone;
        byZone.message.from = "h1";
        byZone.message.records = {record("h2")};
        byZone.message.records.front().zone = bad;
        BOOST_TEST(!hop::decodeFrame(hop::encodeFrame(byZone, now).substr(4), now).has_value());
        hop::Gossip bySender;
        bySender.message.from = bad;
        BOOST_TEST(!hop::decodeFrame(hop::encodeFrame(bySender, now).substr(4), now).has_value());
    }
    hop::Gossip good;
    good.message.from = "hôte-1";
    good.message.records = {record("hôte-2")};
    BOOST_TEST(hop::decodeFrame(hop::encodeFrame(good, now).substr(4), now).has_value(),
               "a valid UTF-8 name in another script was refused");
}

BOOST_AUTO_TEST_CASE(OfSettingsAreAcceptedOrRefusedWithTheirErrors)
{
    Bytes bytes(5);
    Tally tally;
    const std::string text = json{
        {"host", "h1"},
        {"zone", "z"},
        {"callerAddress", "127.0.0.1:1"},
        {"peerAddress", "127.0.0.1:2"},
        {"operatorAddress", "127.0.0.1:3"},
        {"platformAddress", "127.0.0.1:4"},
        {"sessionKey", "0123456789abcdef0123456789abcdef"},
        {"trafficThreads", 2}}.dump();
    BOOST_TEST(parseSettings(text).has_value());
    for (int round = 0; round < rounds; ++round) {
        const auto settings = parseSettings(bytes.below(8) == 0 ? bytes.random(80) : bytes.damaged(text));
        tally.count(settings.has_value());
        BOOST_TEST((settings || hasTypedErrors(settings.error())));
    }
    tally.expectBoth("settings");
}

BOOST_AUTO_TEST_CASE(OfOperatorsFilesAreAcceptedOrRefusedWithTheirErrors)
{
    Bytes bytes(6);
    Tally tally;
    const std::string text = fileText("samples/legoff.json");
    for (int round = 0; round < slowRounds * 4; ++round) {
        const auto parsed = parseConfiguration(std::string_view(bytes.below(8) == 0 ? bytes.random(80) : bytes.damaged(text)));
        tally.count(parsed.has_value());
        BOOST_TEST((parsed || hasTypedErrors(parsed.error())));
    }
    tally.expectBoth("configuration files");
}

// An operator's file contains a number beyond the range of a double. The JSON library throws
// a separate exception type for this; uncaught, it would end egrettidectl instead of listing
// the errors of the file.
BOOST_AUTO_TEST_CASE(OfOperatorsFilesMayHoldNumbersBeyondAnyType)
{
    for (const char *text : {"1e999", "[-1e999]", R"({"databases":[],"classes":[{"name":"a","priority":1e999}]})"}) {
        const auto parsed = parseConfiguration(std::string_view(text));
        BOOST_REQUIRE_MESSAGE(!parsed.has_value(), "this should be refused: " << text);
        BOOST_TEST(hasTypedErrors(parsed.error()));
    }
}

BOOST_AUTO_TEST_CASE(OfTheConfigurationObjectAreAcceptedOrRefused)
{
    Bytes bytes(7);
    Tally tally;
    const std::string text = objectText();
    const json whole = json::parse(text);
    for (int round = 0; round < slowRounds * 4; ++round) {
        json object = json::parse(bytes.damaged(text), nullptr, false);
        if (object.is_discarded()) {
            // Most corruptions make the JSON invalid; in that case one value is replaced instead.
            object = whole;
            const json flat = whole.flatten();
            const auto place = std::next(flat.begin(), static_cast<std::ptrdiff_t>(bytes.below(flat.size())));
            const std::vector<json> odd = {json(), json(-1), json("x"), json::array(), json::object(), json(1e300), json(true)};
            object[json::json_pointer(place.key())] = odd[bytes.below(odd.size())];
        }
        const auto parsed = parseConfigurationObject(object, 3);
        tally.count(parsed.has_value());
        BOOST_TEST((parsed || hasTypedErrors(parsed.error())));
        static_cast<void>(parseConfigurationHead(object));
    }
    tally.expectBoth("configuration objects");
}

BOOST_AUTO_TEST_CASE(OfTheStoreAreAnswersOrTypedFailures)
{
    Bytes bytes(8);
    TextServer server([&bytes] { return storeAnswer(bytes); });
    Tally tally;
    for (int round = 0; round < slowRounds * 4; ++round) {
        boost::asio::io_context context;
        StoreClient client(context, server.endpoint());
        const TimePoint deadline = Clock::now() + std::chrono::seconds{20};
        int answers = 0;
        const auto object = [&](const tl::expected<VersionedObject, StoreError> &answer) {
            ++answers;
            tally.count(answer.has_value());
            BOOST_TEST((answer || !answer.error().error.message.empty()));
            BOOST_TEST((!answer || answer->version > 0U));
        };
        switch (round % 4) {
        case 0:
            client.read("k", deadline, object);
            break;
        case 1:
            client.write("k", json{{"a", 1}}, 3, deadline, object);
            break;
        case 2:
            client.watch("k", 3, deadline, object);
            break;
        default:
            client.hosts(deadline, [&](const tl::expected<std::vector<ListedHost>, StoreError> &answer) {
                ++answers;
                tally.count(answer.has_value());
            });
            break;
        }
        context.run();
        BOOST_TEST(answers == 1, "a call was answered " << answers << " times");
    }
    tally.expectBoth("store answers");
}

// The server at the operator address is not an egrettide host, or runs another release. If the
// fields of its answer were used as text without a type check, egrettidectl would end with an
// uncaught exception.
BOOST_AUTO_TEST_CASE(OfHostsToOperatorsAreAnswersOrExitCodes)
{
    Bytes bytes(9);
    static const std::vector<std::string> bodies = {R"({"error":3,"message":4})",
                                                    R"({"error":"moved","message":"m"})",
                                                    R"({"error":null,"hosts":{}})",
                                                    R"({"hosts":[3,{"name":4}],"databases":3})",
                                                    "[]",
                                                    ""};
    std::atomic<std::size_t> next{0};
    TextServer server([&] {
        const std::string &body = bodies[next++ % bodies.size()];
        const std::string status = next % 3 == 0 ? "200 OK" : "409 Conflict";
        return bytes.below(3) == 0 ? bytes.damaged(httpText(status, body)) : httpText(status, body);
    });
    OperatorSettings settings;
    settings.host = server.endpoint();
    settings.timeout = std::chrono::seconds{20};
    const OperatorCommands commands(settings);
    int complaints = 0;
    for (int round = 0; round < slowRounds; ++round) {
        const CommandResult result = round % 2 == 0 ? commands.switchover("booking", "b") : commands.drain("h1");
        complaints += result.code == ExitCode::Done ? 0 : 1;
        BOOST_TEST((result.code == ExitCode::Done || !result.complaint.empty()),
                   "no message for exit code " << static_cast<int>(result.code));
    }
    BOOST_TEST(complaints > 0);
}

BOOST_AUTO_TEST_CASE(OfHostsStatusAreReports)
{
    Bytes bytes(12);
    const json whole = json::parse(R"({"host":"h1","zone":"z","state":"live","configurationVersion":3,
        "hosts":[{"name":"h2","zone":"z","state":"dead","operatorAddress":"1.2.3.4:5","configurationVersion":3}],
        "groups":[{"database":"booking","term":4,"primary":"a","confirmed":true,"members":[]}]})");
    BOOST_TEST(statusReport(whole).hosts.size() >= 1U);
    BOOST_TEST(statusReport(whole).groups.size() == 1U);
    const json flat = whole.flatten();
    for (int round = 0; round < rounds; ++round) {
        json document = whole;
        const auto place = std::next(flat.begin(), static_cast<std::ptrdiff_t>(bytes.below(flat.size())));
        json::json_pointer pointer(place.key());
        for (std::size_t up = bytes.below(3); up > 0 && !pointer.empty(); --up) {
            pointer = pointer.parent_pointer();
        }
        const std::vector<json> odd = {json(), json(-1), json("x"), json::array({3}), json::object(), json(1e300), json(true)};
        document[pointer] = odd[bytes.below(odd.size())];
        const StatusReport report = statusReport(document);
        BOOST_TEST(!toText(report).empty());
        BOOST_TEST(toJson(report).is_object());
    }
}

BOOST_AUTO_TEST_CASE(OfOperatorsRequestsAreAnsweredOrDropped)
{
    Bytes bytes(13);
    boost::asio::io_context context;
    int handled = 0;
    OperatorServer server(context, [&handled](const OperatorRequest &, const OperatorResponder &respond) {
        ++handled;
        respond(OperatorResponse{200, "application/json", "{}"});
    });
    const auto port = server.listen("127.0.0.1:0");
    BOOST_REQUIRE(port.has_value());
    auto guard = boost::asio::make_work_guard(context);
    std::thread thread([&context] { context.run(); });
    const std::string valid =
        "POST /switchover HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 22\r\n\r\n{\"database\":\"booking\"}";
    Tally tally;
    for (int round = 0; round < slowRounds; ++round) {
        const std::string request = bytes.below(5) == 0 ? bytes.random(300) : bytes.damaged(valid);
        tally.count(sendRaw(*port, request).starts_with("HTTP/1.1 200"));
    }
    BOOST_TEST(sendRaw(*port, valid).starts_with("HTTP/1.1 200"), "the server no longer answers a valid request");
    server.stop();
    guard.reset();
    context.stop();
    thread.join();
    tally.expectBoth("operators' requests");
    BOOST_TEST(handled > 0);
}

BOOST_AUTO_TEST_CASE(OfSessionTokensAreValidOrRefused)
{
    Bytes bytes(10);
    const SessionTokenCodec codec({"key-one", "key-two"});
    const SessionFloor floor{"booking", LogMark{4, 77}};
    const std::string token = codec.encode(floor);
    Tally tally;
    for (int round = 0; round < rounds; ++round) {
        const std::string text = bytes.below(20) == 0 ? token : bytes.below(4) == 0 ? bytes.random(200) : bytes.damaged(token);
        const auto decoded = codec.decode(text);
        tally.count(decoded.has_value());
        BOOST_TEST((decoded ? *decoded == floor : decoded.error().kind == ErrorKind::InvalidInput),
                   "a forged token was accepted");
    }
    tally.expectBoth("session tokens");
}

BOOST_AUTO_TEST_CASE(OfStatementsAreClassified)
{
    Bytes bytes(11);
    const std::vector<std::string> texts = {"SELECT a, count(*) FROM slots WHERE d > now() GROUP BY a",
                                            "BEGIN READ ONLY; SELECT 1; COMMIT",
                                            "WITH x AS (INSERT INTO t VALUES (1) RETURNING *) SELECT * FROM x",
                                            "SET egrettide.max_age = '5s'; SHOW ALL",
                                            "PREPARE p AS SELECT 1",
                                            "EXPLAIN ANALYZE DELETE FROM t",
                                            "COPY t FROM STDIN"};
    int reads = 0;
    int refused = 0;
    Classifier classifier(64);
    for (int round = 0; round < rounds; ++round) {
        const auto result = classifier.classify(bytes.damaged(texts[bytes.below(texts.size())]));
        BOOST_TEST((result->kind == StatementKind::Refused) == !result->error.message.empty());
        reads += result->kind == StatementKind::Read ? 1 : 0;
        refused += result->kind == StatementKind::Refused ? 1 : 0;
    }
    BOOST_TEST(reads > 0);
    BOOST_TEST(refused > 0);
    BOOST_TEST(classifier.size() <= 64U);
}

BOOST_AUTO_TEST_SUITE_END()
