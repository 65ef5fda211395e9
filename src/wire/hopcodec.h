// The messages between hosts as plain structs, and their codec. A hop is the way of a
// request from its front (the part of a host that serves callers) to the home of an
// upstream (the host that holds its connections). Frames are FlatBuffers
// (schema/hop.fbs) after a 4-byte big-endian length; every frame is verified before
// any field is read.

#pragma once

#include "egrettide/core/catalogversion.h"
#include "egrettide/core/error.h"
#include "egrettide/core/membership.h"
#include "egrettide/core/quotakeeper.h"
#include "egrettide/core/request.h"
#include "wire/catalogentries.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace egrettide::hop
{

// Incremented when an older host would misread a newer frame. Hosts of different
// versions refuse the link at Hello.
constexpr std::uint32_t protocolVersion = 3;

// Larger frames are refused on both sides. Exceeds the largest PostgreSQL message, so
// that a batch of one message always fits.
constexpr std::size_t maxFrameBytes = std::size_t{24} * 1024 * 1024;

// Size of the length field before each frame.
constexpr std::size_t frameHeaderBytes = 4;

// The number of the newest message that this release knows; see Hello::newestMessage.
constexpr std::uint8_t newestMessage = 25;

// The first message on a link, from both sides.
struct Hello {
    std::uint32_t version = protocolVersion;
    std::string host;
    std::string zone;
    std::uint64_t incarnation = 0;
    // A receiver closes a link on which it gets a message that it does not know, so newer messages
    // than this are not sent to it.
    std::uint8_t newestMessage = hop::newestMessage;
};

// A request for the home of an upstream. The deadline is sent as the remaining time,
// rounded down, since hosts don't compare their clocks.
struct ExecuteRequest {
    StatementRequest request;
};

struct ExecuteReply {
    StatementReply reply;
};

// The caller cancelled the request; no answer is needed.
struct Cancel {
    std::uint64_t id = 0;
};

// The caller of an open transaction disconnected: the home rolls the transaction back.
// A transaction of 0 means every transaction that was started over this link.
struct FrontGone {
    std::string upstream;
    std::uint64_t transaction = 0;
};

// Flow control: allows the receiver this many more bytes of outstanding requests.
struct Credit {
    std::uint64_t bytes = 0;
};

struct Gossip {
    GossipMessage message;
};

// Asks another home of the group whether it has lost the upstream, too.
struct Opinion {
    std::uint64_t id = 0;
    std::string database;
    std::string upstream;
    // The upstream whose home is asked, the suspected primary and its term; unset when
    // the question is only about `upstream`.
    std::string home{};
    std::string primary{};
    Term term = 0;
};

struct OpinionReply {
    std::uint64_t id = 0;
    bool suspects = false;
    // True when the answering home has received an answer of the upstream recently.
    bool alive = false;
};

// Announces the primary of a term to the other homes of the group.
struct Announce {
    std::string database;
    Term term = 0;
    std::string primary;
};

// Offers the configuration of the sender in this version.
struct ConfigOffer {
    std::uint64_t version = 0;
};

// Requests the configuration if the receiver has a newer one than this version.
struct ConfigPull {
    std::uint64_t version = 0;
};

struct ConfigPush {
    std::uint64_t version = 0;
    std::string json;
};

// Asks a host for a planned change of the primary to the upstream `to`; if that is empty,
// the receiver chooses the successor.
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

// A former home has closed its last connection to the upstream, so that the new home
// doesn't have to restrict its own connections any longer.
struct Release {
    std::string upstream;
    std::string database{};
    // False when the sender itself was still waiting for its own predecessor.
    bool settled = false;
};

// Asks a host of the zone whether it also regards the sender as the upstream's home. A
// majority of such answers is required, which bounds how many hosts open connections.
struct HomeClaim {
    std::uint64_t id = 0;
    std::string database;
    std::string upstream;
};

struct HomeClaimReply {
    std::uint64_t id = 0;
    bool agrees = false;
};

// Heartbeat that detects a broken link while no other frames are sent. The receiver
// answers with the same number.
struct Ping {
    std::uint64_t number = 0;
    bool answer = false;
};

// Offers the sender's catalog (its copy of the store) in this version.
struct CatalogOffer {
    CatalogVersion version;
    // False when the sender is to read the store for its zone and can't reach it: the
    // receiver has to read it instead.
    bool readsStore = true;
    // True when the sender reads the store for the receiver's zone and has just been answered:
    // the version was the newest one then.
    bool confirmed = false;
};

// Requests the catalog of the receiver; the sender has this version.
struct CatalogPull {
    CatalogVersion version;
    // The digest of the sender's text of the intent, which the answer may use as the base of a
    // difference; 0 to request the whole text.
    std::uint64_t digest = 0;
    // The revision up to which the sender's registrations are complete.
    std::uint64_t registrationsThrough = 0;
};

// The intent as a text, and changes of the registrations. Either may be left out.
struct CatalogPush {
    CatalogVersion version;
    CatalogRevisions through;
    // The digest of the base of `difference`; 0 when that holds the whole text.
    std::uint64_t baseDigest = 0;
    // The digest of the sender's text of the intent.
    std::uint64_t digest = 0;
    // See wire/difference.h; empty to send no intent.
    std::string difference;
    // See CollectionDelta::since.
    std::uint64_t registrationsSince = 0;
    // See wire/catalogentries.h; empty to send no registrations.
    PackedEntries entries;
};

// Asks the host that counts a workspace's quota (its keeper) to count one request; see
// QuotaKeeper.
struct QuotaAsk {
    std::uint64_t id = 0;
    std::string workspace;
};

struct QuotaReply {
    std::uint64_t id = 0;
    QuotaVerdict verdict;
};

// The sender has heard nothing from other availability zones for some time: its zone may be cut off.
struct PartitionNotice {
};

using HopMessage =
    std::variant<Hello, ExecuteRequest, ExecuteReply, Cancel, FrontGone, Credit, Gossip, Opinion, OpinionReply, Announce,
                 ConfigOffer, ConfigPull, ConfigPush, SwitchoverRequest, SwitchoverReply, Release, Ping, HomeClaim,
                 HomeClaimReply, CatalogOffer, CatalogPull, CatalogPush, QuotaAsk, QuotaReply, PartitionNotice>;

// Whether a peer whose newest known message is `newestKnown` accepts this message.
bool isKnownTo(const HopMessage &message, std::uint8_t newestKnown);

// The whole frame with its length, as it is sent. `now` converts deadlines to remaining
// times. Frames larger than maxFrameBytes are encoded as well; the sender has to check
// the size, since the receiver refuses them.
std::string encodeFrame(const HopMessage &message, TimePoint now);

// Decodes one frame without its length. `now` is the local time of receipt: it becomes
// receivedAt, and remaining times become deadlines relative to it. Returns InvalidInput
// for malformed bytes; the link then has to be closed.
tl::expected<HopMessage, Error> decodeFrame(std::string_view frame, TimePoint now);

// Splits a byte stream into frames. After an error the stream cannot be
// resynchronised and the link has to be closed.
class FrameSplitter
{
public:
    // Appends bytes from the socket.
    void feed(std::string_view bytes);
    // The next whole frame without its length, valid until the next call of
    // feed or next; nothing when more bytes are needed; InvalidInput when the length is
    // out of bounds.
    tl::expected<std::optional<std::string_view>, Error> next();
    // Bytes fed and not yet returned.
    std::size_t buffered() const;
    // Bytes of memory held; at most idleBufferBytes after next() found no byte left.
    std::size_t capacity() const;

private:
    std::string m_buffer;
    // Invariant: m_consumed <= m_buffer.size(); the bytes before it were returned.
    std::size_t m_consumed = 0;
};

} // namespace egrettide::hop
