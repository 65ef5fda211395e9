// Carries a session's floor with its caller, so that any host can take the
// session over although hosts keep nothing.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/types.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

// The last mark that a session has written or seen in one database.
struct SessionFloor {
    std::string database;
    LogMark mark;

    friend bool operator==(const SessionFloor &, const SessionFloor &) = default;
};

// Encodes and decodes tokens: version, database and mark under a truncated
// HMAC-SHA256, in base64url.
//
// What can go wrong: a token is damaged, forged, replayed late, or belongs to a
// group that was restored from a backup. A damaged or forged one fails its check
// and is refused; the session then counts as arriving without one. A mark beyond
// everything the group ever wrote cannot be told from a very new one here, so
// FreshnessGate ends its wait: a confirmed read of the primary's position made
// after the request's receipt bounds every honest floor, so a floor above it asks
// for no more than that. Either way it costs freshness work and no answer is wrong.
class SessionTokenCodec
{
public:
    static constexpr std::size_t maxTokenBytes = 160;

    // Signs with the first key and accepts all of them, so that keys can be
    // changed host by host. No key at all leaves a checksum only: damage is found,
    // forgery is not, and a forger may see less than its own session wrote.
    explicit SessionTokenCodec(std::vector<std::string> keys);

    std::string encode(const SessionFloor &floor) const;
    // InvalidInput for anything that `encode` did not make with one of the keys.
    // The caller compares the database: a token of another one says nothing.
    tl::expected<SessionFloor, Error> decode(std::string_view token) const;

private:
    // Invariant: not empty.
    std::vector<std::string> m_keys;
};

} // namespace egrettide
