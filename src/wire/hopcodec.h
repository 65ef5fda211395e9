// The messages between hosts as plain structs, and their codec. Frames are
// FlatBuffers (schema/hop.fbs) behind a 4-byte big-endian length; every frame is
// verified before a single field is read.

#pragma once

#include "egrettide/core/catalogversion.h"
#include "egrettide/core/error.h"
#include "egrettide/core/membership.h"
#include "egrettide/core/quotakeeper.h"
#include "egrettide/core/request.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace egrettide::hop
{

// Raised when an older host would misread a newer frame; a link between hosts
// of different versions is refused in Hello.
constexpr std::uint32_t protocolVersion = 2;

// Larger frames are refused on both sides. Above the largest PostgreSQL message
// so that a batch of one message always fits.
constexpr std::size_t maxFrameBytes = std::size_t{24} * 1024 * 1024;

// Bytes of the length in front of each frame.
constexpr std::size_t frameHeaderBytes = 4;

// The first message on a link, from both sides.
struct Hello {
    std::uint32_t version = protocolVersion;
    std::string host;
    std::string zone;
    std::uint64_t incarnation = 0;
};

// A request for the home of an upstream. The deadline travels as the time that
// remains, rounded down, since clocks of hosts are never compared.
struct ExecuteRequest {
    StatementRequest request;
};

struct ExecuteReply {
    StatementReply reply;
};

// The caller gave up on the request; an answer is no longer needed.
struct Cancel {
    std::uint64_t id = 0;
};

// The caller of an open transaction went away: the home rolls it back. A
// transaction of 0 means every transaction that came over this link.
struct FrontGone {
    std::string upstream;
    std::uint64_t transaction = 0;
};

// The receiver may have this many more bytes of requests outstanding.
struct Credit {
    std::uint64_t bytes = 0;
};

struct Gossip {
    GossipMessage message;
};

// Asks another home of the group whether it, too, has lost the upstream.
struct Opinion {
    std::uint64_t id = 0;
    std::string database;
    std::string upstream;
    // The upstream whose home is asked, the suspected primary and its term; empty
    // when the question is about `upstream` alone.
    std::string home{};
    std::string primary{};
    Term term = 0;
};

struct OpinionReply {
    std::uint64_t id = 0;
    bool suspects = false;
    // True when the answering home saw the upstream alive a moment ago.
    bool alive = false;
};

// Tells the other homes of a group who leads in which term.
struct Announce {
    std::string database;
    Term term = 0;
    std::string primary;
};

struct ConfigOffer {
    std::uint64_t version = 0;
};

struct ConfigPull {
    std::uint64_t version = 0;
};

struct ConfigPush {
    std::uint64_t version = 0;
    std::string json;
};

struct SwitchoverRequest {
    std::uint64_t id = 0;
    std::string database;
    std::string to;
};

struct SwitchoverReply {
    std::uint64_t id = 0;
    // Unset when the planned change succeeded.
    std::optional<Error> error;
};

// A former home has closed its last connection to the upstream; the new home
// may now use the whole budget.
struct Release {
    std::string upstream;
    std::string database{};
    // False when the sender itself still waited for its own predecessor.
    bool settled = false;
};

// Asks a host of the zone whether it, too, sees the sender as the upstream's
// home: a majority of such answers bounds how many hosts open connections.
struct HomeClaim {
    std::uint64_t id = 0;
    std::string database;
    std::string upstream;
};

struct HomeClaimReply {
    std::uint64_t id = 0;
    bool agrees = false;
};

// Keeps a quiet link honest; answered with the same number.
struct Ping {
    std::uint64_t number = 0;
    bool answer = false;
};

// "This is how new my copy of the store is."
struct CatalogOffer {
    CatalogVersion version;
    // False when the sender should read the store for its zone and does not reach it: the
    // receiver has to do so in its place.
    bool readsStore = true;
};

// "I hold this much; send me what you have."
struct CatalogPull {
    CatalogVersion version;
    // Of the text that the sender holds, from which the answer may be a difference; 0 when
    // it wants the whole.
    std::uint64_t digest = 0;
};

struct CatalogPush {
    CatalogVersion version;
    CatalogRevisions through;
    // Of the text from which `difference` is taken; 0 when it is the whole.
    std::uint64_t baseDigest = 0;
    // Of the text that it gives.
    std::uint64_t digest = 0;
    // See textFrom().
    std::string difference;
};

// Asks the keeper of a workspace's quota to count one request; see QuotaKeeper.
struct QuotaAsk {
    std::uint64_t id = 0;
    std::string workspace;
};

struct QuotaReply {
    std::uint64_t id = 0;
    QuotaVerdict verdict;
};

using HopMessage = std::variant<Hello, ExecuteRequest, ExecuteReply, Cancel, FrontGone, Credit, Gossip, Opinion, OpinionReply,
                                Announce, ConfigOffer, ConfigPull, ConfigPush, SwitchoverRequest, SwitchoverReply, Release, Ping,
                                HomeClaim, HomeClaimReply, CatalogOffer, CatalogPull, CatalogPush, QuotaAsk, QuotaReply>;

// The whole frame, length included, as it goes onto the socket. `now` turns
// deadlines into remaining time. Frames above maxFrameBytes are encoded too; the
// sender has to check the size, as the receiver will refuse them.
std::string encodeFrame(const HopMessage &message, TimePoint now);

// Decodes one frame without its length. `now` is the local time of receipt: it
// becomes receivedAt, and remaining times become deadlines counted from it.
// Malformed bytes give InvalidInput, after which the link has to be closed.
tl::expected<HopMessage, Error> decodeFrame(std::string_view frame, TimePoint now);

// Splits a byte stream into frames. After an error the stream cannot be
// resynchronised and the link has to be closed.
class FrameSplitter
{
public:
    // Appends bytes from the socket.
    void feed(std::string_view bytes);
    // The next whole frame without its length, valid until the next call of
    // feed; nothing when more bytes are needed; InvalidInput when the length is
    // out of bounds.
    tl::expected<std::optional<std::string_view>, Error> next();
    // Bytes fed and not yet handed out.
    std::size_t buffered() const;

private:
    std::string m_buffer;
    // Invariant: m_consumed <= m_buffer.size(); bytes before it were handed out.
    std::size_t m_consumed = 0;
};

} // namespace egrettide::hop
