// Polls the primary's group_log().

#include "testing/upstream/replicator.h"

#include "testing/upstream/server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

namespace egrettide::testing
{

namespace
{

constexpr milliseconds retryDelay{20};
constexpr std::size_t maxEntries = 500;

// One constant text with parameters, so that the primary parses it once.
std::string logRequest(const std::array<std::uint64_t, 4> &arguments)
{
    std::string bind(2, '\0'); // unnamed portal and statement
    pg::appendUint16(bind, 0); // text parameters
    pg::appendUint16(bind, arguments.size());
    for (const std::uint64_t argument : arguments) {
        const std::string text = std::to_string(argument);
        pg::appendUint32(bind, static_cast<std::uint32_t>(text.size()));
        bind += text;
    }
    pg::appendUint16(bind, 0); // text results
    std::string request;
    pg::appendParse(request, "", "SELECT * FROM group_log($1, $2, $3, $4)", std::string(2, '\0'));
    pg::appendMessage(request, 'B', bind);
    pg::appendMessage(request, 'E', std::string(5, '\0')); // unnamed portal, all rows
    pg::appendMessage(request, 'S', {});
    return request;
}

std::uint64_t numberOf(const std::optional<std::string> &text)
{
    return text && !text->empty() ? std::stoull(*text) : 0;
}

} // namespace

std::vector<ResultColumn> logColumns()
{
    return {{"sender_term"}, {"matched"}, {"term"}, {"position"}, {"changes"}};
}

std::vector<Row> logRows(const LogAnswer &answer)
{
    const std::string sender = std::to_string(answer.senderTerm);
    const std::string matched = answer.matched ? "t" : "f";
    std::vector<Row> rows;
    rows.push_back({sender, matched, std::string("0"), std::to_string(answer.resumeAfter), Value()});
    for (const LogEntry &entry : answer.entries) {
        rows.push_back({sender, matched, std::to_string(entry.mark.term), std::to_string(entry.mark.position),
                        encodeChanges(entry.changes)});
    }
    return rows;
}

LogAnswer logAnswerOf(const std::vector<std::vector<std::optional<std::string>>> &rows)
{
    LogAnswer answer;
    if (rows.empty() || rows.front().size() < logColumns().size()) {
        return answer;
    }
    answer.senderTerm = numberOf(rows.front()[0]);
    answer.matched = rows.front()[1] == "t";
    answer.resumeAfter = numberOf(rows.front()[3]);
    for (std::size_t i = 1; i < rows.size(); ++i) {
        answer.entries.push_back({{numberOf(rows[i][2]), numberOf(rows[i][3])}, decodeChanges(rows[i][4].value_or("[]"))});
    }
    return answer;
}

// One connection to one primary. A restart replaces it; handlers check isCurrent() and
// ignore a replaced link.
struct Replicator::Link {
    explicit Link(boost::asio::io_context &io) : socket(io), timer(io)
    {
    }

    boost::asio::ip::tcp::socket socket;
    Timer timer;
    std::array<char, 16384> buffer{};
    pg::FrameReader reader;
    std::string writing;
    // The position that the last request asked from.
    LogMark after;
    // Where to ask from after a mismatch; nullopt for the end of the own log.
    std::optional<Position> resumeAfter;
    std::vector<std::vector<std::optional<std::string>>> rows;
    bool isRequestPending = false;
};

Replicator::Replicator(Server &server) : m_server(server)
{
}

Replicator::~Replicator() = default;

bool Replicator::isCurrent(const std::shared_ptr<Link> &link) const
{
    return m_link == link;
}

void Replicator::restart()
{
    if (m_link) {
        boost::system::error_code ignored;
        m_link->socket.close(ignored);
        m_link->timer.cancel();
        m_link.reset();
    }
    if (m_server.isCut() || m_server.member().primaryAddress().empty()) {
        return;
    }
    m_link = std::make_shared<Link>(m_server.io());
    connect(m_link);
}

void Replicator::reconnectLater(const std::shared_ptr<Link> &link)
{
    if (!isCurrent(link)) {
        return;
    }
    link->timer.expires_after(retryDelay);
    link->timer.async_wait([this, link](const boost::system::error_code &error) {
        if (!error && isCurrent(link)) {
            restart();
        }
    });
}

void Replicator::connect(const std::shared_ptr<Link> &link)
{
    const std::string &address = m_server.member().primaryAddress();
    const std::size_t colon = address.rfind(':');
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    const int port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    if (error || port <= 0) {
        reconnectLater(link);
        return;
    }
    link->socket.async_connect({ip, static_cast<std::uint16_t>(port)}, [this, link](const boost::system::error_code &failure) {
        if (!isCurrent(link)) {
            return;
        }
        if (failure) {
            reconnectLater(link);
            return;
        }
        sendStartup(link);
    });
}

void Replicator::sendStartup(const std::shared_ptr<Link> &link)
{
    boost::system::error_code ignored;
    link->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    std::string startup;
    pg::appendStartup(startup, {{"user", "replica"}, {"database", "replication"}, {"application_name", replicationName}});
    send(link, std::move(startup));
    read(link);
}

void Replicator::send(const std::shared_ptr<Link> &link, std::string bytes)
{
    link->writing = std::move(bytes);
    boost::asio::async_write(link->socket, boost::asio::buffer(link->writing),
                             [this, link](const boost::system::error_code &error, std::size_t) {
                                 if (error) {
                                     reconnectLater(link);
                                 }
                             });
}

void Replicator::read(const std::shared_ptr<Link> &link)
{
    link->socket.async_read_some(boost::asio::buffer(link->buffer),
                                 [this, link](const boost::system::error_code &error, std::size_t bytes) {
                                     if (!isCurrent(link)) {
                                         return;
                                     }
                                     if (error) {
                                         reconnectLater(link);
                                         return;
                                     }
                                     link->reader.feed(std::string_view(link->buffer.data(), bytes));
                                     handle(link);
                                 });
}

void Replicator::handle(const std::shared_ptr<Link> &link)
{
    while (isCurrent(link)) {
        const auto message = link->reader.next();
        if (!message) {
            reconnectLater(link);
            return;
        }
        if (!*message) {
            read(link);
            return;
        }
        if ((*message)->type == 'D') {
            link->rows.push_back(pg::parseDataRow((*message)->payload).value_or(std::vector<std::optional<std::string>>()));
        } else if ((*message)->type == 'Z') {
            onAnswer(link);
        }
    }
}

void Replicator::onAnswer(const std::shared_ptr<Link> &link)
{
    if (!link->isRequestPending) {
        requestEntries(link);
        return;
    }
    const LogAnswer answer = logAnswerOf(link->rows);
    link->isRequestPending = false;
    link->rows.clear();
    if (!m_server.member().receive(link->after, answer, Clock::now())) {
        link->resumeAfter.reset();
        requestEntriesLater(link, retryDelay);
        return;
    }
    if (!answer.matched) {
        link->resumeAfter = answer.resumeAfter;
        requestEntries(link);
        return;
    }
    link->resumeAfter.reset();
    m_server.scheduleReplay();
    requestEntriesLater(link, m_server.options().receiveDelay);
}

void Replicator::requestEntriesLater(const std::shared_ptr<Link> &link, milliseconds delay)
{
    if (delay == milliseconds{0}) {
        requestEntries(link);
        return;
    }
    link->timer.expires_after(delay);
    link->timer.async_wait([this, link](const boost::system::error_code &error) {
        if (!error && isCurrent(link)) {
            requestEntries(link);
        }
    });
}

void Replicator::requestEntries(const std::shared_ptr<Link> &link)
{
    const GroupMember &member = m_server.member();
    link->after = member.received();
    if (link->resumeAfter && *link->resumeAfter < link->after.position) {
        link->after = member.markAt(*link->resumeAfter);
    }
    link->isRequestPending = true;
    send(link, logRequest({member.followingTerm(), link->after.term, link->after.position, maxEntries}));
}

} // namespace egrettide::testing
