// Implements the stand-in's HTTP server: one thread, one session per connection,
// one call at a time per session.

#include "testing/platform/platformstandin.h"

#include "runtime/host/timer.h"
#include "testing/platform/kindstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <thread>
#include <type_traits>
#include <utility>

namespace egrettide::standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;
using tcp = asio::ip::tcp;

namespace
{

// Exceeds the largest value plus its envelope, so that an oversized value is still
// read and its caller receives 413.
constexpr std::uint64_t BodyLimit = 16 * ObjectStore::MaxValueBytes;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Query = std::map<std::string, std::string>;

// The outcome of one call.
struct Outcome {
    enum class Kind { Answer, Close, Wait };
    Kind kind = Kind::Answer;
    http::status status = http::status::ok;
    json body;
};

Outcome outcomeOf(KindAnswer reply)
{
    return {Outcome::Kind::Answer, static_cast<http::status>(reply.status), std::move(reply.body)};
}

// A pending watch on a kind.
struct KindWatch {
    std::string kind;
    std::uint64_t since = 0;
    std::function<void(Outcome)> finish;
    std::unique_ptr<Timer> timer;
};

// A pending watch on one object.
struct Watch {
    std::string key;
    std::uint64_t afterVersion = 0;
    std::function<void(Outcome)> finish;
    // Ends the watch when no change occurs in time.
    std::unique_ptr<Timer> timer;
};

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

std::string decoded(std::string_view text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const bool escape = text[at] == '%' && at + 2 < text.size() && hexValue(text[at + 1]) >= 0 && hexValue(text[at + 2]) >= 0;
        if (!escape) {
            result += text[at];
            continue;
        }
        result += static_cast<char>(hexValue(text[at + 1]) * 16 + hexValue(text[at + 2]));
        at += 2;
    }
    return result;
}

Query queryOf(std::string_view text)
{
    Query query;
    while (!text.empty()) {
        const std::string_view pair = text.substr(0, text.find('&'));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        query[decoded(pair.substr(0, equals))] = decoded(pair.substr(std::min(equals + 1, pair.size())));
        text.remove_prefix(std::min(pair.size() + 1, text.size()));
    }
    return query;
}

std::optional<std::uint64_t> number(const Query &query, const std::string &name)
{
    const auto found = query.find(name);
    if (found == query.end()) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const std::string &text = found->second;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return whole ? std::optional(value) : std::nullopt;
}

Outcome answer(http::status status, json body)
{
    return {Outcome::Kind::Answer, status, std::move(body)};
}

Outcome badRequest(const char *message)
{
    return answer(http::status::bad_request, {{"error", message}});
}

Outcome objectAnswer(const std::string &key, const StoredObject &object)
{
    return answer(http::status::ok, {{"key", key}, {"version", object.version}, {"value", object.value}});
}

json toJson(const PlatformHost &host)
{
    return {{"name", host.name}, {"zone", host.zone}, {"address", host.address}, {"state", host.leaving ? "leaving" : "live"}};
}

PlatformHost hostOf(const json &entry)
{
    return {entry.value("name", ""), entry.value("zone", ""), entry.value("address", ""),
            entry.value("state", "live") == "leaving"};
}

} // namespace

// All members run on the server's own thread, except the constructor, the destructor
// and run().
class PlatformStandIn::Server
{
public:
    explicit Server(const tcp::endpoint &listen);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    // Runs the function on the server's thread and returns its result.
    template <typename Function> auto run(Function function)
    {
        std::packaged_task<std::invoke_result_t<Function, Server &>()> task([this, &function] { return function(*this); });
        auto result = task.get_future();
        asio::post(m_context, [&task] { task(); });
        return result.get();
    }

    tcp::endpoint endpoint;
    ObjectStore store;
    LaggingHostList hostList;
    CallCounts counts;
    bool down = false;
    milliseconds delay{0};
    int answersToLose = 0;
    int callsToFail = 0;
    bool downAfterNextChange = false;
    int callsToRateLimit = 0;
    int changesToDelay = 0;
    KindStore kinds;
    KindStore copy;
    // The store epoch sent with every answer; empty sends none.
    std::string epoch;
    bool restoresBeforeNextPage = false;
    bool staleListsAreEmpty = false;
    std::vector<std::function<void()>> delayedChanges;
    std::function<bool(const PromotionOrder &)> promote;
    std::function<void(const json &)> members;
    std::vector<PromotionOrder> promotions;
    // The highest fencing token received for each service.
    std::map<std::string, std::uint64_t> fences;

    // Keeps the text and returns the string that stands for it in the store.
    std::string placeholderFor(std::string text);
    void putObject(const std::string &kind, const std::string &name, json spec);
    void putRawObject(const std::string &kind, const std::string &name, std::string specText);
    void removeObject(const std::string &kind, const std::string &name);
    // The answer's text, with the texts of raw objects in their places.
    std::string textOf(const json &body) const;
    void completeKindWatches();
    void closeKindWatches();
    void restoreCopy();
    // Handles one call; Wait means that `finish` runs later.
    Outcome handle(const Request &request, const std::function<void(Outcome)> &finish);
    void setDown(bool isDown);
    void dropConnections();
    std::uint64_t put(const std::string &key, json value);

private:
    class Session;

    void accept();
    Outcome handleAdmin(const Request &request, const std::string &path);
    Outcome handleFaults(const json &body);
    Outcome handleObject(const Request &request, const std::string &key, const Query &query,
                         const std::function<void(Outcome)> &finish);
    Outcome handleKind(const Request &request, const std::string &path, const Query &query,
                       const std::function<void(Outcome)> &finish);
    Outcome handleKindWatch(const std::string &kind, const Query &query, const std::function<void(Outcome)> &finish);
    Outcome changeKind(const std::function<KindAnswer()> &change);
    Outcome handlePromotion(const Request &request);
    Outcome handleRead(const std::string &key);
    Outcome handleWatch(const std::string &key, std::uint64_t afterVersion, milliseconds wait,
                        const std::function<void(Outcome)> &finish);
    Outcome handleWrite(const Request &request, const std::string &key);
    Outcome handleDelete(const std::string &key, std::optional<std::uint64_t> ifVersion);
    Outcome handleList(const std::string &prefix);
    Outcome handleHosts();
    Outcome changed(const std::string &key, const ChangeResult &result);
    void count(http::verb verb, const std::string &path, const Query &query);
    // The outcome that active faults impose on the next call; nullopt when it proceeds.
    std::optional<Outcome> fault();
    void addWatch(const std::string &key, std::uint64_t afterVersion, milliseconds wait,
                  const std::function<void(Outcome)> &finish);
    void finishWatch(std::uint64_t id, const Outcome &outcome);
    void completeWatches(const std::string &key);

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    // Texts of raw objects by the string that the store holds in their place.
    std::map<std::string, std::string> m_rawTexts;
    std::map<std::uint64_t, Watch> m_watches;
    std::map<std::uint64_t, KindWatch> m_kindWatches;
    std::uint64_t m_lastWatch = 0;
    // Expired entries are removed when new sessions are added.
    std::vector<std::weak_ptr<Session>> m_sessions;
    std::thread m_thread;
};

// One connection.
class PlatformStandIn::Server::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, Server &server) : m_stream(std::move(socket)), m_timer(m_stream.get_executor()), m_server(server)
    {
    }

    // Closes the connection unless a call is in progress.
    void closeIfIdle()
    {
        if (m_idle) {
            m_stream.close();
        }
    }

    void receive()
    {
        m_idle = true;
        m_parser.emplace();
        m_parser->body_limit(BodyLimit);
        http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](const error_code &error, std::size_t) {
            if (!error) {
                self->m_idle = false;
                self->m_request = self->m_parser->release();
                self->processAfterDelay();
            }
        });
    }

private:
    void processAfterDelay()
    {
        const bool admin = m_request.target().starts_with("/admin");
        if (admin || m_server.delay.count() == 0) {
            process();
            return;
        }
        m_timer.expires_after(m_server.delay);
        m_timer.async_wait([self = shared_from_this()](const error_code &error) {
            if (!error) {
                self->process();
            }
        });
    }

    void process()
    {
        const auto finish = [self = shared_from_this()](const Outcome &outcome) { self->send(outcome); };
        const Outcome outcome = m_server.handle(m_request, finish);
        if (outcome.kind != Outcome::Kind::Wait) {
            send(outcome);
        }
    }

    void send(const Outcome &outcome)
    {
        if (outcome.kind == Outcome::Kind::Close) {
            m_stream.close();
            return;
        }
        m_response = Response{outcome.status, m_request.version()};
        m_response.keep_alive(m_request.keep_alive());
        if (!m_server.epoch.empty()) {
            m_response.set("Store-Era", m_server.epoch);
        }
        if (outcome.status != http::status::not_modified) {
            m_response.set(http::field::content_type, "application/json");
            m_response.body() = m_server.textOf(outcome.body);
        }
        m_response.prepare_payload();
        http::async_write(m_stream, m_response, [self = shared_from_this()](const error_code &error, std::size_t) {
            if (!error && self->m_response.keep_alive()) {
                self->receive();
            }
        });
    }

    beast::tcp_stream m_stream;
    Timer m_timer;
    Server &m_server;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    Request m_request;
    Response m_response;
    // True while the session is idle, waiting for a call.
    bool m_idle = false;
};

PlatformStandIn::Server::Server(const tcp::endpoint &listen) : m_acceptor(m_context, listen)
{
    endpoint = m_acceptor.local_endpoint();
    accept();
    m_thread = std::thread([this] { m_context.run(); });
}

PlatformStandIn::Server::~Server()
{
    m_context.stop();
    m_thread.join();
}

void PlatformStandIn::Server::accept()
{
    m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (!error) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            const auto session = std::make_shared<Session>(std::move(socket), *this);
            std::erase_if(m_sessions, [](const std::weak_ptr<Session> &known) { return known.expired(); });
            m_sessions.push_back(session);
            session->receive();
        }
        accept();
    });
}

Outcome PlatformStandIn::Server::handle(const Request &request, const std::function<void(Outcome)> &finish)
{
    const std::string target(request.target());
    const std::size_t question = std::min(target.find('?'), target.size());
    const std::string path = decoded(std::string_view(target).substr(0, question));
    const Query query = queryOf(std::string_view(target).substr(std::min(question + 1, target.size())));
    if (path.starts_with("/admin/")) {
        return handleAdmin(request, path);
    }
    count(request.method(), path, query);
    if (auto refusal = fault()) {
        return *refusal;
    }
    const std::string kindObjects = "/v1/objects/";
    if (path.starts_with(kindObjects)) {
        return handleKind(request, path.substr(kindObjects.size()), query, finish);
    }
    if (path == "/promote") {
        return handlePromotion(request);
    }
    const std::string objects = "/objects/";
    if (path.starts_with(objects)) {
        return handleObject(request, path.substr(objects.size()), query, finish);
    }
    if (path == "/hosts") {
        return handleHosts();
    }
    if (path == "/list") {
        const auto prefix = query.find("prefix");
        return handleList(prefix == query.end() ? "" : prefix->second);
    }
    return answer(http::status::not_found, {{"error", "no such path"}});
}

Outcome PlatformStandIn::Server::handleAdmin(const Request &request, const std::string &path)
{
    if (path == "/admin/calls") {
        return answer(http::status::ok,
                      {{"reads", counts.reads},
                       {"writes", counts.writes},
                       {"deletes", counts.deletes},
                       {"watches", counts.watches},
                       {"lists", counts.lists},
                       {"hostLists", counts.hostLists}});
    }
    const json body = json::parse(request.body(), nullptr, false);
    if (path == "/admin/faults" && body.is_object()) {
        return handleFaults(body);
    }
    if (path == "/admin/members" && body.is_object() && members) {
        members(body);
        return answer(http::status::ok, json::object());
    }
    if (path == "/admin/objects" && body.is_object()) {
        const std::string kind = body.value("kind", "");
        const std::string name = body.value("name", "");
        if (body.contains("text")) {
            putRawObject(kind, name, body["text"]);
        } else {
            removeObject(kind, name);
        }
        return answer(http::status::ok, json::object());
    }
    if (path == "/admin/hosts" && body.is_array()) {
        std::vector<PlatformHost> hosts;
        std::transform(body.begin(), body.end(), std::back_inserter(hosts), hostOf);
        hostList.set(std::move(hosts), Clock::now());
        return answer(http::status::ok, json::object());
    }
    return badRequest("unknown admin call or malformed body");
}

Outcome PlatformStandIn::Server::handleFaults(const json &body)
{
    setDown(body.value("down", down));
    delay = milliseconds(body.value("delayMs", delay.count()));
    answersToLose = body.value("loseNextAnswers", answersToLose);
    callsToFail = body.value("failNextCalls", callsToFail);
    downAfterNextChange = body.value("downAfterNextChange", downAfterNextChange);
    if (body.contains("hostListLagMs")) {
        hostList.setLag(milliseconds(body.value("hostListLagMs", 0)));
    }
    return answer(http::status::ok, json::object());
}

void PlatformStandIn::Server::count(http::verb verb, const std::string &path, const Query &query)
{
    if (path == "/promote") {
        ++counts.promotions;
    } else if (path == "/hosts") {
        ++counts.hostLists;
    } else if (path == "/list") {
        ++counts.lists;
    } else if (verb == http::verb::put || verb == http::verb::post) {
        ++counts.writes;
    } else if (verb == http::verb::delete_) {
        ++counts.deletes;
    } else if (query.contains("watch")) {
        ++counts.watches;
    } else {
        ++counts.reads;
    }
}

std::optional<Outcome> PlatformStandIn::Server::fault()
{
    if (down) {
        return Outcome{Outcome::Kind::Close, {}, {}};
    }
    if (callsToRateLimit > 0) {
        --callsToRateLimit;
        return answer(http::status::too_many_requests, {{"error", "fault: too many calls"}});
    }
    if (callsToFail > 0) {
        --callsToFail;
        return answer(http::status::service_unavailable, {{"error", "fault: call refused"}});
    }
    return std::nullopt;
}

Outcome PlatformStandIn::Server::handleObject(const Request &request, const std::string &key, const Query &query,
                                              const std::function<void(Outcome)> &finish)
{
    if (key.empty()) {
        return badRequest("the key is empty");
    }
    switch (request.method()) {
    case http::verb::get:
        if (const auto afterVersion = number(query, "watch")) {
            return handleWatch(key, *afterVersion, milliseconds(number(query, "waitMs").value_or(0)), finish);
        }
        return handleRead(key);
    case http::verb::put:
        return handleWrite(request, key);
    case http::verb::delete_:
        return handleDelete(key, number(query, "ifVersion"));
    default:
        return answer(http::status::method_not_allowed, {{"error", "use GET, PUT or DELETE"}});
    }
}

Outcome PlatformStandIn::Server::handleKind(const Request &request, const std::string &path, const Query &query,
                                            const std::function<void(Outcome)> &finish)
{
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
    if (request.method() == http::verb::get) {
        if (query.contains("watch")) {
            return handleKindWatch(kind, query, finish);
        }
        const auto after = query.find("after");
        if (after != query.end() && std::exchange(restoresBeforeNextPage, false)) {
            restoreCopy();
        }
        if (name.empty() && staleListsAreEmpty && query.contains("allowStale")) {
            return answer(http::status::ok, {{"items", json::array()}, {"hasMore", false}, {"currentRev", 0}});
        }
        return outcomeOf(name.empty() ? kinds.list(kind, after == query.end() ? std::string() : after->second)
                                      : kinds.read(kind, name));
    }
    const json body = json::parse(request.body(), nullptr, false);
    if (request.method() == http::verb::delete_) {
        return changeKind([this, kind, name] { return kinds.remove(kind, name); });
    }
    if (!body.is_object()) {
        return badRequest("the body is no object");
    }
    const bool creates = request.method() == http::verb::post;
    return changeKind(
        [this, kind, name, body, creates] { return creates ? kinds.create(kind, body) : kinds.replace(kind, name, body); });
}

Outcome PlatformStandIn::Server::handleKindWatch(const std::string &kind, const Query &query,
                                                 const std::function<void(Outcome)> &finish)
{
    const std::uint64_t since = number(query, "watch").value_or(0);
    if (auto known = kinds.changes(kind, since)) {
        return outcomeOf(std::move(*known));
    }
    const std::uint64_t id = ++m_lastWatch;
    auto timer = std::make_unique<Timer>(m_context, milliseconds(number(query, "waitMs").value_or(0)));
    timer->async_wait([this, id](const error_code &error) {
        const auto watch = m_kindWatches.find(id);
        if (error || watch == m_kindWatches.end()) {
            return;
        }
        const auto done = std::move(watch->second.finish);
        m_kindWatches.erase(watch);
        done(outcomeOf(kinds.noChanges()));
    });
    m_kindWatches.emplace(id, KindWatch{kind, since, finish, std::move(timer)});
    return {Outcome::Kind::Wait, {}, {}};
}

Outcome PlatformStandIn::Server::changeKind(const std::function<KindAnswer()> &change)
{
    if (changesToDelay > 0) {
        --changesToDelay;
        delayedChanges.push_back([this, change] {
            change();
            completeKindWatches();
        });
        return {Outcome::Kind::Close, {}, {}};
    }
    KindAnswer result = change();
    completeKindWatches();
    if (answersToLose > 0) {
        --answersToLose;
        return {Outcome::Kind::Close, {}, {}};
    }
    return outcomeOf(std::move(result));
}

void PlatformStandIn::Server::putObject(const std::string &kind, const std::string &name, json spec)
{
    const json object{{"meta", {{"name", name}}}, {"spec", std::move(spec)}};
    if (kinds.create(kind, object).status != static_cast<int>(http::status::ok)) {
        kinds.replace(kind, name, object);
    }
    completeKindWatches();
}

void PlatformStandIn::Server::removeObject(const std::string &kind, const std::string &name)
{
    kinds.remove(kind, name);
    completeKindWatches();
}

std::string PlatformStandIn::Server::placeholderFor(std::string text)
{
    std::string placeholder = "@raw-text-" + std::to_string(m_rawTexts.size()) + "@";
    m_rawTexts.emplace(placeholder, std::move(text));
    return placeholder;
}

void PlatformStandIn::Server::putRawObject(const std::string &kind, const std::string &name, std::string specText)
{
    putObject(kind, name, placeholderFor(std::move(specText)));
}

std::string PlatformStandIn::Server::textOf(const json &body) const
{
    std::string text = body.dump();
    for (const auto &[placeholder, raw] : m_rawTexts) {
        const std::string quoted = '"' + placeholder + '"';
        for (std::size_t at = 0; (at = text.find(quoted, at)) != std::string::npos; at += raw.size()) {
            text.replace(at, quoted.size(), raw);
        }
    }
    return text;
}

void PlatformStandIn::Server::completeKindWatches()
{
    std::vector<std::pair<std::function<void(Outcome)>, Outcome>> due;
    for (auto watch = m_kindWatches.begin(); watch != m_kindWatches.end();) {
        if (auto known = kinds.changes(watch->second.kind, watch->second.since)) {
            due.emplace_back(std::move(watch->second.finish), outcomeOf(std::move(*known)));
            watch = m_kindWatches.erase(watch);
        } else {
            ++watch;
        }
    }
    for (auto &[finish, outcome] : due) {
        finish(outcome);
    }
}

Outcome PlatformStandIn::Server::handlePromotion(const Request &request)
{
    const json body = json::parse(request.body(), nullptr, false);
    const std::string token(request["Egrettide-Fencing-Token"]);
    if (!body.is_object() || token.empty() || request["Egrettide-Holder"].empty()) {
        return badRequest("an order to promote names service, id, holder and fencing token");
    }
    const PromotionOrder order{body.value("service", ""), body.value("id", ""), std::string(request["Egrettide-Holder"]),
                               std::stoull(token)};
    std::uint64_t &seen = fences[order.service];
    if (order.fencingToken < seen) {
        return answer(http::status::conflict, {{"error", "a higher fencing token has been seen"}});
    }
    seen = order.fencingToken;
    promotions.push_back(order);
    if (promote && !promote(order)) {
        return answer(http::status::conflict, {{"error", "the upstream is not running"}});
    }
    if (answersToLose > 0) {
        --answersToLose;
        return {Outcome::Kind::Close, {}, {}};
    }
    return answer(http::status::ok, json::object());
}

Outcome PlatformStandIn::Server::handleRead(const std::string &key)
{
    const auto object = store.read(key);
    return object ? objectAnswer(key, *object) : answer(http::status::not_found, {{"key", key}, {"version", 0}});
}

Outcome PlatformStandIn::Server::handleWatch(const std::string &key, std::uint64_t afterVersion, milliseconds wait,
                                             const std::function<void(Outcome)> &finish)
{
    const auto object = store.read(key);
    if (object && object->version > afterVersion) {
        return objectAnswer(key, *object);
    }
    addWatch(key, afterVersion, wait, finish);
    return {Outcome::Kind::Wait, {}, {}};
}

Outcome PlatformStandIn::Server::handleWrite(const Request &request, const std::string &key)
{
    json body = json::parse(request.body(), nullptr, false);
    const bool hasCondition = body.is_object() && body.contains("ifVersion");
    if (!body.is_object() || !body.contains("value") || (hasCondition && !body["ifVersion"].is_number_unsigned())) {
        return badRequest("the body must be {\"value\":..., \"ifVersion\":N}");
    }
    json value = std::move(body["value"]);
    if (value.dump().size() > ObjectStore::MaxValueBytes) {
        return answer(http::status::payload_too_large, {{"error", "the value is larger than a megabyte"}});
    }
    std::optional<std::uint64_t> ifVersion;
    if (hasCondition) {
        ifVersion = body["ifVersion"].get<std::uint64_t>();
    }
    return changed(key, store.write(key, std::move(value), ifVersion));
}

Outcome PlatformStandIn::Server::handleDelete(const std::string &key, std::optional<std::uint64_t> ifVersion)
{
    if (!store.read(key)) {
        return answer(http::status::not_found, {{"key", key}, {"version", 0}});
    }
    return changed(key, store.remove(key, ifVersion));
}

Outcome PlatformStandIn::Server::changed(const std::string &key, const ChangeResult &result)
{
    if (!result.applied) {
        return answer(http::status::conflict, {{"key", key}, {"version", result.version}});
    }
    completeWatches(key);
    if (std::exchange(downAfterNextChange, false)) {
        setDown(true);
    }
    if (answersToLose > 0) {
        --answersToLose;
        return {Outcome::Kind::Close, {}, {}};
    }
    return answer(http::status::ok, {{"key", key}, {"version", result.version}});
}

Outcome PlatformStandIn::Server::handleList(const std::string &prefix)
{
    json entries = json::array();
    for (const auto &[key, version] : store.list(prefix)) {
        entries.push_back({{"key", key}, {"version", version}});
    }
    return answer(http::status::ok, std::move(entries));
}

Outcome PlatformStandIn::Server::handleHosts()
{
    json entries = json::array();
    for (const PlatformHost &host : hostList.visible(Clock::now())) {
        entries.push_back(toJson(host));
    }
    return answer(http::status::ok, std::move(entries));
}

void PlatformStandIn::Server::addWatch(const std::string &key, std::uint64_t afterVersion, milliseconds wait,
                                       const std::function<void(Outcome)> &finish)
{
    const std::uint64_t id = ++m_lastWatch;
    auto timer = std::make_unique<Timer>(m_context, wait);
    timer->async_wait([this, id](const error_code &error) {
        if (!error) {
            finishWatch(id, answer(http::status::not_modified, {}));
        }
    });
    m_watches.emplace(id, Watch{key, afterVersion, finish, std::move(timer)});
}

void PlatformStandIn::Server::finishWatch(std::uint64_t id, const Outcome &outcome)
{
    const auto watch = m_watches.find(id);
    if (watch == m_watches.end()) {
        return;
    }
    const auto finish = std::move(watch->second.finish);
    m_watches.erase(watch);
    finish(outcome);
}

void PlatformStandIn::Server::completeWatches(const std::string &key)
{
    const auto object = store.read(key);
    if (!object) {
        return;
    }
    std::vector<std::uint64_t> due;
    for (const auto &[id, watch] : m_watches) {
        if (watch.key == key && object->version > watch.afterVersion) {
            due.push_back(id);
        }
    }
    for (const std::uint64_t id : due) {
        finishWatch(id, objectAnswer(key, *object));
    }
}

void PlatformStandIn::Server::restoreCopy()
{
    kinds = copy;
    epoch = std::to_string(epoch.empty() ? 1 : std::stoull(epoch) + 1);
    closeKindWatches();
}

void PlatformStandIn::Server::closeKindWatches()
{
    for (auto &[id, watch] : std::exchange(m_kindWatches, {})) {
        watch.finish({Outcome::Kind::Close, {}, {}});
    }
}

void PlatformStandIn::Server::setDown(bool isDown)
{
    down = isDown;
    if (!down) {
        return;
    }
    closeKindWatches();
    while (!m_watches.empty()) {
        finishWatch(m_watches.begin()->first, {Outcome::Kind::Close, {}, {}});
    }
}

void PlatformStandIn::Server::dropConnections()
{
    for (const std::weak_ptr<Session> &known : m_sessions) {
        if (const auto session = known.lock()) {
            session->closeIfIdle();
        }
    }
}

std::uint64_t PlatformStandIn::Server::put(const std::string &key, json value)
{
    const std::uint64_t version = store.write(key, std::move(value), std::nullopt).version;
    completeWatches(key);
    return version;
}

PlatformStandIn::PlatformStandIn(const tcp::endpoint &listen) : m_server(std::make_unique<Server>(listen))
{
}

PlatformStandIn::~PlatformStandIn() = default;

tcp::endpoint PlatformStandIn::endpoint() const
{
    return m_server->endpoint;
}

std::string PlatformStandIn::address() const
{
    return endpoint().address().to_string() + ":" + std::to_string(endpoint().port());
}

void PlatformStandIn::setDown(bool down)
{
    m_server->run([down](Server &server) { server.setDown(down); });
}

void PlatformStandIn::setDelay(milliseconds delay)
{
    m_server->run([delay](Server &server) { server.delay = delay; });
}

void PlatformStandIn::loseNextAnswers(int count)
{
    m_server->run([count](Server &server) { server.answersToLose = count; });
}

void PlatformStandIn::goDownAfterNextChange()
{
    m_server->run([](Server &server) { server.downAfterNextChange = true; });
}

void PlatformStandIn::dropConnections()
{
    m_server->run([](Server &server) { server.dropConnections(); });
}

void PlatformStandIn::failNextCalls(int count)
{
    m_server->run([count](Server &server) { server.callsToFail = count; });
}

void PlatformStandIn::setHosts(std::vector<PlatformHost> hosts)
{
    m_server->run([&hosts](Server &server) { server.hostList.set(std::move(hosts), Clock::now()); });
}

void PlatformStandIn::setHostListLag(milliseconds lag)
{
    m_server->run([lag](Server &server) { server.hostList.setLag(lag); });
}

void PlatformStandIn::delayNextChanges(int count)
{
    m_server->run([count](Server &server) { server.changesToDelay = count; });
}

void PlatformStandIn::applyLate()
{
    m_server->run([](Server &server) {
        for (const auto &change : std::exchange(server.delayedChanges, {})) {
            change();
        }
    });
}

void PlatformStandIn::refuseNextCalls(int count)
{
    m_server->run([count](Server &server) { server.callsToRateLimit = count; });
}

void PlatformStandIn::forgetHistory()
{
    m_server->run([](Server &server) {
        server.kinds.forgetHistory();
        server.completeKindWatches();
    });
}

void PlatformStandIn::takeCopy()
{
    m_server->run([](Server &server) { server.copy = server.kinds; });
}

void PlatformStandIn::restoreCopy()
{
    m_server->run([](Server &server) { server.restoreCopy(); });
}

void PlatformStandIn::restoreBeforeNextPage()
{
    m_server->run([](Server &server) { server.restoresBeforeNextPage = true; });
}

void PlatformStandIn::emptyStaleLists(bool empty)
{
    m_server->run([empty](Server &server) { server.staleListsAreEmpty = empty; });
}

void PlatformStandIn::setEpoch(std::string epoch)
{
    m_server->run([&epoch](Server &server) { server.epoch = std::move(epoch); });
}

void PlatformStandIn::setPageSize(std::size_t objects)
{
    m_server->run([objects](Server &server) { server.kinds.pageSize = objects; });
}

void PlatformStandIn::onPromotion(std::function<bool(const PromotionOrder &)> hook)
{
    m_server->run([&hook](Server &server) { server.promote = std::move(hook); });
}

void PlatformStandIn::onMembers(std::function<void(const json &)> hook)
{
    m_server->run([&hook](Server &server) { server.members = std::move(hook); });
}

std::vector<PromotionOrder> PlatformStandIn::promotions() const
{
    return m_server->run([](Server &server) { return server.promotions; });
}

void PlatformStandIn::putObject(const std::string &kind, const std::string &name, json spec)
{
    m_server->run([&](Server &server) { server.putObject(kind, name, std::move(spec)); });
}

void PlatformStandIn::putRawObject(const std::string &kind, const std::string &name, std::string specText)
{
    m_server->run([&](Server &server) { server.putRawObject(kind, name, std::move(specText)); });
}

void PlatformStandIn::removeObject(const std::string &kind, const std::string &name)
{
    m_server->run([&](Server &server) { server.removeObject(kind, name); });
}

std::optional<json> PlatformStandIn::objectOfKind(const std::string &kind, const std::string &name) const
{
    const KindAnswer found = m_server->run([&](Server &server) { return server.kinds.read(kind, name); });
    return found.status == static_cast<int>(http::status::ok) ? std::optional(found.body["spec"]) : std::nullopt;
}

CallCounts PlatformStandIn::calls() const
{
    return m_server->run([](Server &server) { return server.counts; });
}

std::optional<StoredObject> PlatformStandIn::object(const std::string &key) const
{
    return m_server->run([&key](Server &server) { return server.store.read(key); });
}

std::uint64_t PlatformStandIn::putRaw(const std::string &key, std::string text)
{
    return m_server->run([&](Server &server) { return server.put(key, server.placeholderFor(std::move(text))); });
}

std::uint64_t PlatformStandIn::put(const std::string &key, json value)
{
    return m_server->run([&key, &value](Server &server) { return server.put(key, std::move(value)); });
}

} // namespace egrettide::standin
