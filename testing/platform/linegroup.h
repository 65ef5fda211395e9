// A stand-in for one database service of the users' platform: a primary and its
// replicas that speak the line protocol, with fault injection. It records the
// statements that ran for tests to check. All members run on one thread that the
// group owns.

#pragma once

#include "egrettide/core/types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egrettide::standin
{

struct LineGroupOptions {
    std::string service = "service";
    // Names, and also registration ids; the first member starts as primary.
    std::vector<std::string> members{"m1", "m2", "m3"};
    std::vector<std::string> zones{"a", "b", "c"};
    int slots = 5;
    int connections = 33;
    // Statements that may wait for a slot; one more is answered BUSY.
    int queue = 40;
    // How long a statement holds its slot.
    milliseconds work{1};
    // Replication lag: delay from a commit until replicas hold it.
    milliseconds lag{1};
    // Delay from a promotion order until the member is primary.
    milliseconds promoteDelay{20};
    // Seeds the generator of the signatures.
    std::uint64_t seed = 1;
};

// A statement that ran, as recorded by an upstream.
struct RanStatement {
    std::string member;
    // Connection number, unique across all members.
    std::uint64_t connection = 0;
    std::string id;
    std::string text;
    bool inTransaction = false;
    // The connection's session values when the statement ran.
    std::map<std::string, std::string> values;
    // Text of the prepared statement that it executes; empty for plain statements.
    std::string shape;
    // The caller named when its connection was opened.
    std::string caller;
};

// What happens to a statement that a member receives.
enum class StatementFate {
    Run,
    // It is answered FAILED and has no effect; an open transaction fails.
    Fail,
    // The connection is closed before it runs.
    Close,
};

// Methods may be called from any thread, but not concurrently.
class LineGroup
{
public:
    explicit LineGroup(LineGroupOptions options = {});
    ~LineGroup();
    LineGroup(const LineGroup &) = delete;
    LineGroup &operator=(const LineGroup &) = delete;

    // "IP:port" of a member.
    std::string address(const std::string &member) const;
    // The registration that the member writes into the store.
    nlohmann::json registration(const std::string &member) const;

    std::string primary() const;
    Term term() const;
    // Orders a promotion; false when there is no such member, or it is dark.
    bool promote(const std::string &member);
    bool isPaused(const std::string &member) const;
    // Pauses a member as a promoter's order does; it stays paused.
    void pause(const std::string &member, Term term);

    void setLag(milliseconds lag);
    // While dark, a member is isolated: it answers nothing, closes new connections and takes no
    // part in replication.
    void setDark(const std::string &member, bool dark);
    // The member runs its next `count` statements but closes their connections without
    // an answer.
    void loseNextAnswers(const std::string &member, int count);
    // The member answers BUSY to its next `count` statements that need a slot, reads and
    // writes alike, except STATUS.
    void refuseNext(const std::string &member, int count);
    // The fates of the member's next statements in the order of their arrival, setup statements included;
    // those that control it are not counted. Replaces what was planned before.
    void planStatements(const std::string &member, std::vector<StatementFate> fates);
    // Closes all connections of a member.
    void dropConnections(const std::string &member);

    std::vector<RanStatement> ran() const;
    // The highest number of simultaneous connections to a member.
    int mostConnections(const std::string &member) const;
    int refusedConnections(const std::string &member) const;

    // Defined in the implementation file only.
    class Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace egrettide::standin
