// The state that a front (the part of a host that serves callers) keeps of one
// caller's session: its options, its floor (the mark that its reads must reach) and
// its open transaction. Derives the freshness that each statement requires.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/sessiontoken.h"
#include "egrettide/core/types.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace egrettide
{

// The freshness that a session requires of its reads, in addition to its floor.
enum class FreshnessMode {
    // Reads see the session's own writes and earlier reads; age is not bounded.
    Session,
    // As Session, and data is no older than a given age.
    MaxAge,
    // Reads see every write that was acknowledged before the read was received.
    Latest,
};

// The options of a session whose caller sets none.
struct SessionDefaults {
    std::string database;
    std::string tenant;
    std::string className;
    // The classes that this caller may choose; must contain `className`.
    std::vector<std::string> allowedClasses;
    // The deadline of a statement, counted from its receipt.
    milliseconds timeout{5000};
    // As DatabaseSpec::maxAge.
    std::optional<milliseconds> maxAge;
    // True to start in FreshnessMode::Latest; `maxAge` is then unset.
    bool latest = false;
    // True when a session is exactly one connection, so that no earlier work
    // exists that its reads would have to see: its floor starts complete.
    bool startsWithCompleteFloor = false;
    // False to let reads return an older state than an earlier read did, within the
    // accepted age; reads see the session's own writes in any case.
    //
    // With true, while replicas lag, one read served by the primary raises the floor
    // above all replicas, so that the session's next reads go to the primary as well
    // and use its slots although any replica could have served them.
    bool readsRaiseFloor = true;
};

// The names of the settings, as callers write them.
namespace settingnames
{
constexpr std::string_view prefix = "egrettide.";
// 'session', 'latest' or an age such as '500ms' or '2s'.
constexpr std::string_view freshness = "egrettide.freshness";
constexpr std::string_view className = "egrettide.class";
// A time such as '500ms' or '2s'; a plain number counts milliseconds.
constexpr std::string_view timeout = "egrettide.timeout";
// on or off; on declares that the session's statements may safely run twice.
constexpr std::string_view idempotent = "egrettide.idempotent";
// The session token. Reported to the caller after each answer that changes it.
constexpr std::string_view session = "egrettide.session";
// Read-only.
constexpr std::string_view tenant = "egrettide.tenant";
} // namespace settingnames

class SessionState
{
public:
    using Parameters = std::vector<std::pair<std::string, std::string>>;

    // `arrivedAt` is the time of receipt of the startup message on this host's clock.
    SessionState(SessionDefaults defaults, std::shared_ptr<const SessionTokenCodec> codec, TimePoint arrivedAt);

    // Applies the `egrettide.*` parameters of the startup message, and those inside
    // its `options` parameter (`-c name=value` or `--name=value`); ignores all others.
    // An invalid token is no error here, since that would lock callers out after a
    // change of keys: the floor stays incomplete, and the first read takes longer.
    tl::expected<void, Error> applyStartup(const Parameters &parameters);
    // Why the token of the startup message was rejected; empty when it was accepted or absent.
    const std::string &tokenRefusal() const;

    // SET, SHOW and RESET of one `egrettide.*` setting. The InvalidInput error names
    // the allowed values.
    tl::expected<void, Error> set(std::string_view name, std::string_view value);
    tl::expected<std::string, Error> show(std::string_view name) const;
    tl::expected<void, Error> reset(std::string_view name);
    // Replaces the defaults after a change of the route and resets what the caller
    // set. The floor and the transaction are kept.
    void setDefaults(SessionDefaults defaults);
    // RESET ALL and DISCARD ALL. Keeps the floor, which records what the caller has seen.
    void resetAll();

    const std::string &database() const;
    const std::string &tenant() const;
    const std::string &className() const;
    milliseconds timeout() const;
    bool idempotent() const;
    FreshnessMode mode() const;

    // The freshness that a statement of this kind requires. Statements inside a
    // transaction require none: BEGIN did, and they run on its connection.
    Freshness freshnessFor(StatementKind kind) const;
    // The time to which Freshness::latest refers for a statement received at
    // `receivedAt`; goes into StatementRequest::receivedAt. All work of the session on
    // other hosts was acknowledged before it arrived here, so a session whose floor is
    // incomplete may use any confirmation since its arrival and rarely has to wait.
    TimePoint freshSince(TimePoint receivedAt) const;

    // Processes StatementReply::seen of the answer to a request that required
    // `asked`, and raises the floor. True when the token changed and is to be reported.
    //
    // `asked` is needed because only an answer to Freshness::latest covers the
    // session's earlier work. If any answer completed the floor (such as that of a
    // statement inside a transaction), the next read could miss writes that the
    // session made through another host.
    bool onSeen(LogMark mark, const Freshness &asked, StatementKind kind);

    const std::optional<LogMark> &floor() const;
    // True until the floor covers all that the session did before it arrived.
    bool isFloorIncomplete() const;
    // The token to report to the caller; empty while the floor is incomplete.
    std::string token() const;

    // Records the state of ReadyForQuery ('I', 'T' or 'E'), the number that the home
    // gave the transaction, and the upstream that runs it.
    void onTransactionState(char state, std::uint64_t transaction, std::string_view upstream);
    bool inTransaction() const;
    std::uint64_t transaction() const;
    const std::string &transactionUpstream() const;

private:
    tl::expected<void, Error> applyOptions(std::string_view options);
    tl::expected<void, Error> applyStartupSetting(std::string_view name, std::string_view value);
    tl::expected<void, Error> setFreshness(std::string_view value);
    tl::expected<void, Error> setClass(std::string_view value);
    tl::expected<void, Error> setTimeout(std::string_view value);
    tl::expected<void, Error> setIdempotent(std::string_view value);
    tl::expected<void, Error> applyToken(std::string_view value);
    void raiseFloor(LogMark mark);

    SessionDefaults m_defaults;
    std::shared_ptr<const SessionTokenCodec> m_codec;
    TimePoint m_arrivedAt;
    std::string m_tokenRefusal;

    std::string m_className;
    milliseconds m_timeout;
    bool m_idempotent = false;
    FreshnessMode m_mode = FreshnessMode::Session;
    // Invariant: set exactly when m_mode is MaxAge.
    std::optional<milliseconds> m_maxAge;

    // Invariant: never decreases.
    std::optional<LogMark> m_floor;
    // True until m_floor covers all that the session did before it arrived.
    bool m_floorIncomplete = true;

    char m_transactionState = 'I';
    std::uint64_t m_transaction = 0;
    std::string m_transactionUpstream;
};

namespace detail
{

// Parses "250" (milliseconds), "250ms", "2s" or "1min". Empty for anything else,
// for zero and for more than a day.
std::optional<milliseconds> parseDuration(std::string_view text);

} // namespace detail

} // namespace egrettide
