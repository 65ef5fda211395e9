// What a front knows about one caller's session: its options, its floor and its
// open transaction. It turns them into the freshness that each statement needs.

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

// How fresh a session asks its reads to be, on top of its own floor.
enum class FreshnessMode {
    // Its own writes and reads are seen; no bound on age.
    Session,
    // As Session, and no older than a stated age.
    MaxAge,
    // Every write acknowledged before the read was received is seen.
    Latest,
};

// What holds for a session whose caller sets nothing.
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
    // True when a session is one connection and nothing before: it arrives with
    // nothing that it could have to see.
    bool startsKnown = false;
    // False to let reads show an older state than an earlier read did, within the
    // accepted age; the session's own writes are seen all the same.
    //
    // What goes wrong otherwise while replicas lag: one read by the primary binds the
    // session's next reads to it, they bind the following ones, and the primary's slots
    // go to reads that any replica could have served.
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
// on or off: the caller's word that running its statements twice is harmless.
constexpr std::string_view idempotent = "egrettide.idempotent";
// The token. Reported after each answer that moves the floor.
constexpr std::string_view session = "egrettide.session";
// Shown only.
constexpr std::string_view tenant = "egrettide.tenant";
} // namespace settingnames

class SessionState
{
public:
    using Parameters = std::vector<std::pair<std::string, std::string>>;

    // `arrivedAt` is the receipt of the startup message on this host's clock.
    SessionState(SessionDefaults defaults, std::shared_ptr<const SessionTokenCodec> codec, TimePoint arrivedAt);

    // Takes `egrettide.*` parameters of the startup message, and those inside its
    // `options` parameter (`-c name=value` or `--name=value`). Others are left
    // alone. A bad token is no error here: after a change of keys it would lock
    // callers out, and as an unknown arrival the session loses a little time only.
    tl::expected<void, Error> applyStartup(const Parameters &parameters);
    // Why the token of the startup message was not taken; empty when it was, or none came.
    const std::string &tokenRefusal() const;

    // SET, SHOW and RESET of one `egrettide.*` setting; InvalidInput names the allowed values.
    tl::expected<void, Error> set(std::string_view name, std::string_view value);
    tl::expected<std::string, Error> show(std::string_view name) const;
    tl::expected<void, Error> reset(std::string_view name);
    // Takes over new defaults, for a route that was changed, and forgets what the
    // caller set on top of them. The floor and the transaction stay.
    void setDefaults(SessionDefaults defaults);
    // RESET ALL and DISCARD ALL. The floor stays: it is what the caller has seen.
    void resetAll();

    const std::string &database() const;
    const std::string &tenant() const;
    const std::string &className() const;
    milliseconds timeout() const;
    bool idempotent() const;
    FreshnessMode mode() const;

    // What a statement of this kind has to see. Statements inside a transaction
    // ask for nothing: BEGIN did, and they stay on its connection.
    Freshness freshnessFor(StatementKind kind) const;
    // The moment from which Freshness::latest counts for a statement received at
    // `receivedAt`; goes into StatementRequest::receivedAt. All that a session did
    // elsewhere was acknowledged before it arrived here, so an unknown arrival may
    // use any confirmation made since then and mostly waits for none.
    TimePoint freshSince(TimePoint receivedAt) const;

    // Takes StatementReply::seen of an answer to a request that asked for `asked`.
    // Raises the floor. True when the token changed and is to be reported.
    //
    // What goes wrong without the second argument: an unknown arrival whose first
    // answer proves nothing (a transaction's inner statement) would count as known,
    // and its next read could miss its own writes made through another host.
    bool onSeen(LogMark mark, const Freshness &asked, StatementKind kind);

    const std::optional<LogMark> &floor() const;
    // True until the session's floor is known.
    bool unknownArrival() const;
    // The token to hand to the caller; empty while the floor is unknown.
    std::string token() const;

    // Follows ReadyForQuery: 'I', 'T' or 'E', the home's number of the transaction
    // and the upstream that holds it.
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
    tl::expected<void, Error> takeToken(std::string_view value);
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

    // Never falls.
    std::optional<LogMark> m_floor;
    // False as soon as m_floor covers all that the session did before it arrived.
    bool m_unknownArrival = true;

    char m_transactionState = 'I';
    std::uint64_t m_transaction = 0;
    std::string m_transactionUpstream;
};

namespace detail
{

// Reads "250", "250ms", "2s" or "1min"; nothing for anything else, for zero and
// for more than a day.
std::optional<milliseconds> parseDuration(std::string_view text);

} // namespace detail

} // namespace egrettide
