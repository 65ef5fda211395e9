// Session tokens: the caller carries its session's floor from host to host, since
// hosts don't store sessions.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/types.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

// The floor of a session: the last mark that it has written or seen in one
// database, which its reads must reach.
struct SessionFloor {
    std::string database;
    LogMark mark;

    friend bool operator==(const SessionFloor &, const SessionFloor &) = default;
};

// Encodes and decodes tokens: version, database and mark under a truncated
// HMAC-SHA256, in base64url.
//
// A token may be damaged, forged, replayed late, or issued before the group was
// restored from a backup. A damaged or forged token fails verification and is
// refused; the session is then treated as one without a token. A mark beyond the end
// of the group's log can't be distinguished here from a very recent one, so
// FreshnessGate bounds the wait for it: no valid floor exceeds a primary position
// that was confirmed after the request's receipt, so a higher floor requires that
// position only. Either way reads may take longer, but no answer is wrong.
class SessionTokenCodec
{
public:
    static constexpr std::size_t maxTokenBytes = 160;

    // Signs with the first key and accepts all of them, so that keys can be rotated
    // host by host. Without any key the MAC is only a checksum: it detects damage but
    // no forgery, and the reads of a session with a forged token may miss its own writes.
    explicit SessionTokenCodec(std::vector<std::string> keys);

    std::string encode(const SessionFloor &floor) const;
    // InvalidInput for anything that `encode` did not make with one of the keys.
    // The user of this function has to compare the database: a token of another one
    // is of no use.
    tl::expected<SessionFloor, Error> decode(std::string_view token) const;

private:
    // Invariant: not empty.
    std::vector<std::string> m_keys;
};

} // namespace egrettide
