// The receiving side of replication: polls the primary for its log over PostgreSQL
// v3 and passes the answers to the group member.

#pragma once

#include "runtime/host/timer.h"
#include "testing/upstream/executor.h"
#include "testing/upstream/groupmember.h"
#include "wire/pgwire.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace egrettide::testing
{

class Server;

// The columns of group_log(): one row that describes the answer, then one for each
// entry.
std::vector<ResultColumn> logColumns();
std::vector<Row> logRows(const LogAnswer &answer);
LogAnswer logAnswerOf(const std::vector<std::vector<std::optional<std::string>>> &rows);

class Replicator
{
public:
    explicit Replicator(Server &server);
    ~Replicator();
    Replicator(const Replicator &) = delete;
    Replicator &operator=(const Replicator &) = delete;

    // Drops the link and connects to the primary that the member follows now, if any.
    void restart();

private:
    struct Link;

    void reconnectLater(const std::shared_ptr<Link> &link);
    void connect(const std::shared_ptr<Link> &link);
    void sendStartup(const std::shared_ptr<Link> &link);
    void requestEntries(const std::shared_ptr<Link> &link);
    void requestEntriesLater(const std::shared_ptr<Link> &link, milliseconds delay);
    void send(const std::shared_ptr<Link> &link, std::string bytes);
    void read(const std::shared_ptr<Link> &link);
    void handle(const std::shared_ptr<Link> &link);
    void onAnswer(const std::shared_ptr<Link> &link);
    bool isCurrent(const std::shared_ptr<Link> &link) const;

    Server &m_server;
    // Null while the member follows no primary.
    std::shared_ptr<Link> m_link;
};

} // namespace egrettide::testing
