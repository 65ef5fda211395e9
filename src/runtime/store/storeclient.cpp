// Maps store calls to HTTP and answers back to typed results.

#include "runtime/store/storeclient.h"

#include "egrettide/core/jsontext.h"
#include "runtime/store/urlescape.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace egrettide
{

namespace http = boost::beast::http;
using nlohmann::json;

namespace
{

// How long before the caller's deadline the platform must answer a watch, so that a watch without
// changes ends with the platform's own answer.
constexpr milliseconds WatchMargin{250};

std::string objectTarget(const std::string &key)
{
    return "/objects/" + urlEscaped(key);
}

tl::unexpected<StoreError> failure(StoreFailure failure, ErrorKind kind, std::string message, std::uint64_t currentVersion = 0)
{
    return tl::make_unexpected(StoreError{failure, Error{kind, std::move(message), milliseconds{0}}, currentVersion});
}

tl::unexpected<StoreError> unavailable(const std::string &reason)
{
    return failure(StoreFailure::Unavailable, ErrorKind::StoreUnavailable,
                   "The platform's store did not answer (" + reason + "); try again, and check the platform if it goes on.");
}

tl::unexpected<StoreError> outcomeUnknown(const std::string &reason)
{
    return failure(StoreFailure::OutcomeUnknown, ErrorKind::UnknownOutcome,
                   "The answer of the platform's store was lost (" + reason
                       + "); the change may have taken effect: read the object before you repeat it.");
}

std::uint64_t versionIn(const json &document)
{
    const auto version = document.find("version");
    return version != document.end() && version->is_number_unsigned() ? version->get<std::uint64_t>() : 0;
}

// Maps the status of a finished call of any kind to a failure; empty on success.
std::optional<StoreError> errorOf(const HttpAnswer &answer, const json &document, const std::string &key, bool writes)
{
    switch (answer.status) {
    case http::status::ok:
        return std::nullopt;
    case http::status::not_found:
        return failure(StoreFailure::NotFound, ErrorKind::StoreUnavailable,
                       "The store has no object '" + key + "'; create it first.")
            .value();
    case http::status::not_modified:
        return failure(StoreFailure::Unchanged, ErrorKind::StoreUnavailable,
                       "The object '" + key + "' has not changed; watch it again.")
            .value();
    case http::status::conflict:
        return failure(StoreFailure::Conflict, ErrorKind::Conflict,
                       "The object '" + key + "' is at another version; read it and decide again.", versionIn(document))
            .value();
    case http::status::service_unavailable:
        return unavailable("it refused the call for now").value();
    default:
        break;
    }
    const std::string status = "HTTP status " + std::to_string(static_cast<int>(answer.status));
    if (http::to_status_class(answer.status) == http::status_class::client_error) {
        return failure(StoreFailure::Refused, ErrorKind::InvalidInput,
                       "The store refuses the call on '" + key + "' (" + status + ": " + answer.body
                           + "); correct the key or value.")
            .value();
    }
    return (writes ? outcomeUnknown(status) : unavailable(status)).value();
}

tl::expected<VersionedObject, StoreError> toObject(const tl::expected<HttpAnswer, HttpFailure> &answer, const std::string &key,
                                                   bool writes)
{
    if (!answer) {
        const bool unknown = writes && answer.error().mayHaveArrived;
        return unknown ? outcomeUnknown(answer.error().reason) : unavailable(answer.error().reason);
    }
    // A value that cannot be read leaves the object's version known.
    const auto members = membersOfJson(answer->body).value_or(std::vector<JsonMember>());
    json document = json::object();
    for (const char *const field : {"version", "value"}) {
        document[field] = parseJson(memberOf(members, field)).value_or(json());
    }
    if (const auto error = errorOf(*answer, document, key, writes)) {
        return tl::make_unexpected(*error);
    }
    const std::uint64_t version = versionIn(document);
    if (version == 0) {
        return writes ? outcomeUnknown("malformed answer") : unavailable("malformed answer");
    }
    return VersionedObject{key, version, std::move(document["value"])};
}

std::string textIn(const json &document, const char *field)
{
    const auto value = document.find(field);
    return value != document.end() && value->is_string() ? value->get<std::string>() : std::string();
}

tl::expected<std::vector<ListedHost>, StoreError> toHosts(const tl::expected<HttpAnswer, HttpFailure> &answer)
{
    if (!answer) {
        return unavailable(answer.error().reason);
    }
    const auto entries = elementsOfJson(answer->body);
    if (answer->status != http::status::ok || !entries) {
        return unavailable("no host list in the answer");
    }
    std::vector<ListedHost> hosts;
    for (const std::string_view text : *entries) {
        const json entry = parseJson(text).value_or(json());
        ListedHost host{textIn(entry, "name"), textIn(entry, "zone"), textIn(entry, "address"),
                        textIn(entry, "state") == "leaving"};
        if (!host.name.empty()) {
            hosts.push_back(std::move(host));
        }
    }
    return hosts;
}

HttpHandler objectAnswer(std::string key, bool writes, ObjectHandler handler)
{
    return [key = std::move(key), writes, handler = std::move(handler)](const tl::expected<HttpAnswer, HttpFailure> &answer) {
        handler(toObject(answer, key, writes));
    };
}

} // namespace

StoreClient::StoreClient(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint platform)
    : m_context(context), m_http(context, std::move(platform))
{
}

void StoreClient::read(const std::string &key, TimePoint deadline, ObjectHandler handler)
{
    ++m_counts.reads;
    m_http.call({http::verb::get, objectTarget(key), {}}, deadline, objectAnswer(key, false, std::move(handler)));
}

void StoreClient::write(const std::string &key, const json &value, std::optional<std::uint64_t> expectedVersion,
                        TimePoint deadline, ObjectHandler handler)
{
    ++m_counts.writes;
    json body{{"value", value}};
    if (expectedVersion) {
        body["ifVersion"] = *expectedVersion;
    }
    ObjectHandler withValue = [value, handler = std::move(handler)](tl::expected<VersionedObject, StoreError> result) {
        if (result) {
            result->value = value;
        }
        handler(std::move(result));
    };
    m_http.call({http::verb::put, objectTarget(key), body.dump()}, deadline, objectAnswer(key, true, std::move(withValue)));
}

void StoreClient::watch(const std::string &key, std::uint64_t afterVersion, TimePoint deadline, ObjectHandler handler)
{
    ++m_counts.watches;
    const auto remaining = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()) - WatchMargin;
    const milliseconds wait = std::max(remaining, milliseconds{0});
    const std::string target =
        objectTarget(key) + "?watch=" + std::to_string(afterVersion) + "&waitMs=" + std::to_string(wait.count());
    m_http.call({http::verb::get, target, {}}, deadline, objectAnswer(key, false, std::move(handler)));
}

void StoreClient::hosts(TimePoint deadline, HostsHandler handler)
{
    ++m_counts.hostLists;
    m_http.call(
        {http::verb::get, "/hosts", {}}, deadline,
        [handler = std::move(handler)](const tl::expected<HttpAnswer, HttpFailure> &answer) { handler(toHosts(answer)); });
}

// Does nothing: the platform maintains the host list itself.
void StoreClient::registerHost(const ListedHost & /*self*/, TimePoint /*deadline*/, DoneHandler handler)
{
    boost::asio::post(m_context, [handler = std::move(handler)] { handler({}); });
}

void StoreClient::removeHost(const std::string & /*name*/, TimePoint /*deadline*/, DoneHandler handler)
{
    boost::asio::post(m_context, [handler = std::move(handler)] { handler({}); });
}

void StoreClient::moveTo(const boost::asio::ip::tcp::endpoint &address)
{
    m_http.retarget(address);
}

StoreCallCounts StoreClient::callCounts() const
{
    return m_counts;
}

} // namespace egrettide
