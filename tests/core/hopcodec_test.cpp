// Tests of the codec of the messages between hosts: every message survives encoding and
// decoding, and no input crashes the decoder.

#define BOOST_TEST_MODULE HopCodec
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "wire/hopcodec.h"
#include "wire/idlebuffer.h"

#include <functional>
#include <string>
#include <vector>

using namespace egrettide;
using namespace egrettide::hop;

namespace
{

const TimePoint sentAt{std::chrono::seconds{1000}};
const TimePoint receivedAt{std::chrono::seconds{5}};

HopMessage roundTrip(const HopMessage &message)
{
    const std::string frame = encodeFrame(message, sentAt);
    const auto decoded = decodeFrame(std::string_view(frame).substr(frameHeaderBytes), receivedAt);
    RC_ASSERT(decoded.has_value());
    return *decoded;
}

std::string arbitraryText()
{
    return *rc::gen::arbitrary<std::string>();
}

std::optional<LogMark> arbitraryOptionalMark()
{
    if (*rc::gen::arbitrary<bool>()) {
        return std::nullopt;
    }
    return LogMark{*rc::gen::arbitrary<Term>(), *rc::gen::arbitrary<Position>()};
}

StatementRequest arbitraryRequest()
{
    StatementRequest request;
    request.id = *rc::gen::arbitrary<std::uint64_t>();
    request.database = arbitraryText();
    request.upstream = arbitraryText();
    request.kind = static_cast<StatementKind>(*rc::gen::inRange(0, 8));
    request.className = arbitraryText();
    request.tenant = arbitraryText();
    request.freshness.floor = arbitraryOptionalMark();
    if (*rc::gen::arbitrary<bool>()) {
        request.freshness.maxAge = milliseconds{*rc::gen::inRange(0, 100000)};
    }
    request.freshness.latest = *rc::gen::arbitrary<bool>();
    request.idempotent = *rc::gen::arbitrary<bool>();
    request.transaction = *rc::gen::arbitrary<std::uint64_t>();
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        request.prepared.push_back(PreparedStatement{arbitraryText(), arbitraryText()});
    }
    request.batch = arbitraryText();
    request.needsPrimary = *rc::gen::arbitrary<bool>();
    request.mayHoldSeveral = *rc::gen::arbitrary<bool>();
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        request.sessionValues.push_back(SessionValue{arbitraryText(), arbitraryText()});
    }
    return request;
}

StatementReply arbitraryReply()
{
    StatementReply reply;
    reply.id = *rc::gen::arbitrary<std::uint64_t>();
    if (*rc::gen::arbitrary<bool>()) {
        const int kind = *rc::gen::inRange(0, static_cast<int>(ErrorKind::Internal) + 1);
        reply.error = Error{static_cast<ErrorKind>(kind), arbitraryText(), milliseconds{*rc::gen::inRange(0, 5000)}};
    }
    reply.bytes = arbitraryText();
    reply.transactionState = *rc::gen::element('I', 'T', 'E');
    reply.transaction = *rc::gen::arbitrary<std::uint64_t>();
    reply.seen = arbitraryOptionalMark();
    reply.hint.database = arbitraryText();
    reply.hint.term = *rc::gen::arbitrary<Term>();
    reply.hint.primary = arbitraryText();
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        MemberHint member;
        member.upstream = arbitraryText();
        member.replayed = arbitraryOptionalMark().value_or(LogMark{});
        member.age = milliseconds{*rc::gen::inRange(0, 5000)};
        member.expectedWait = milliseconds{*rc::gen::inRange(0, 5000)};
        member.reachable = *rc::gen::arbitrary<bool>();
        member.leaving = *rc::gen::arbitrary<bool>();
        reply.hint.members.push_back(member);
    }
    reply.sent = *rc::gen::arbitrary<bool>();
    return reply;
}

// Arbitrary UTF-8, including multi-byte characters: names of hosts have to be UTF-8, since
// they are shown to operators as JSON.
std::string arbitraryName()
{
    static const std::vector<std::string> characters = {
        "a", "Z", "-", "0", " ", "\n", "\x7f", "é", "ß", "€", "日", "😀", std::string(1, '\0')};
    std::string name;
    for (const std::string &character : *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(characters))) {
        name += character;
    }
    return name;
}

GossipMessage arbitraryGossip(const std::function<std::string()> &text = arbitraryName)
{
    GossipMessage message;
    message.kind = static_cast<GossipKind>(*rc::gen::inRange(0, 7));
    message.from = text();
    message.fromAddress = text();
    message.fromIncarnation = *rc::gen::arbitrary<std::uint64_t>();
    message.sequence = *rc::gen::arbitrary<std::uint64_t>();
    message.target = text();
    message.targetAddress = text();
    message.catalogVersion = {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()};
    message.digest = *rc::gen::arbitrary<std::uint64_t>();
    message.wanted = *rc::gen::arbitrary<std::vector<std::uint64_t>>();
    message.bucketDigests = *rc::gen::arbitrary<std::vector<std::uint32_t>>();
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        HostRecord record{"host" + text(), text(), text(), text(), text()};
        record.incarnation = *rc::gen::arbitrary<std::uint64_t>();
        record.health = static_cast<HostHealth>(*rc::gen::inRange(0, 3));
        record.leaving = *rc::gen::arbitrary<bool>();
        record.catalogVersion = {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()};
        message.records.push_back(record);
        message.healthNotes.push_back(
            HealthNote{record.catalogVersion.intent, record.incarnation, record.health, record.leaving});
        message.versionNotes.push_back(VersionNote{record.incarnation, record.catalogVersion});
    }
    return message;
}

// Frames of several types, to be damaged by the tests.
std::vector<std::string> sampleFrames()
{
    StatementRequest request;
    request.database = "booking";
    request.freshness.floor = LogMark{3, 4};
    request.prepared.push_back(PreparedStatement{"s1", "parse"});
    request.batch = "SELECT 1";
    StatementReply reply;
    reply.error = Error{ErrorKind::Moved, "moved", milliseconds{5}};
    reply.hint.members.push_back(MemberHint{"u1", LogMark{1, 2}});
    GossipMessage gossip;
    gossip.from = "a";
    gossip.records.push_back(HostRecord{"b", "z", "1", "2", "3"});
    gossip.versionNotes.push_back(VersionNote{1, 2});
    gossip.bucketDigests = {1, 2, 3};
    const std::vector<HopMessage> messages{Hello{},
                                           ExecuteRequest{request},
                                           ExecuteReply{reply},
                                           Gossip{gossip},
                                           Announce{"booking", 3, "u1"},
                                           ConfigPush{4, "{}"},
                                           CatalogOffer{{1, 2}, false},
                                           CatalogPull{{1, 2}, 3, 4},
                                           CatalogPush{{1, 2}, {3, 4}, 5, 6, "difference", 7, {"entries", 8}},
                                           SwitchoverReply{1, Error{}},
                                           Ping{},
                                           PartitionNotice{}};
    std::vector<std::string> frames;
    for (const HopMessage &message : messages) {
        frames.push_back(encodeFrame(message, sentAt));
    }
    return frames;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HopCodec)

BOOST_AUTO_TEST_CASE(CarriesEveryFieldOfARequest)
{
    BOOST_TEST(rc::check("a request survives encoding and decoding", [] {
        StatementRequest request = arbitraryRequest();
        request.deadline = sentAt + milliseconds{*rc::gen::inRange(0, 1000000)};
        request.receivedAt = sentAt;
        const auto decoded = std::get<ExecuteRequest>(roundTrip(ExecuteRequest{request})).request;
        RC_ASSERT(decoded.id == request.id);
        RC_ASSERT(decoded.database == request.database);
        RC_ASSERT(decoded.upstream == request.upstream);
        RC_ASSERT(decoded.kind == request.kind);
        RC_ASSERT(decoded.className == request.className);
        RC_ASSERT(decoded.tenant == request.tenant);
        RC_ASSERT(decoded.deadline - receivedAt == request.deadline - sentAt);
        RC_ASSERT(decoded.receivedAt == receivedAt);
        RC_ASSERT(decoded.freshness.floor == request.freshness.floor);
        RC_ASSERT(decoded.freshness.maxAge == request.freshness.maxAge);
        RC_ASSERT(decoded.freshness.latest == request.freshness.latest);
        RC_ASSERT(decoded.idempotent == request.idempotent);
        RC_ASSERT(decoded.transaction == request.transaction);
        RC_ASSERT(decoded.batch == request.batch);
        RC_ASSERT(decoded.needsPrimary == request.needsPrimary);
        RC_ASSERT(decoded.mayHoldSeveral == request.mayHoldSeveral);
        RC_ASSERT(decoded.sessionValues == request.sessionValues);
        RC_ASSERT(decoded.prepared.size() == request.prepared.size());
        for (std::size_t i = 0; i < decoded.prepared.size(); ++i) {
            RC_ASSERT(decoded.prepared[i].name == request.prepared[i].name);
            RC_ASSERT(decoded.prepared[i].parseMessage == request.prepared[i].parseMessage);
        }
    }));
}

BOOST_AUTO_TEST_CASE(NeverExtendsTheRemainingTimeOfTheFront)
{
    BOOST_TEST(rc::check("the remaining time only shrinks", [] {
        StatementRequest request;
        request.deadline = sentAt + std::chrono::microseconds{*rc::gen::inRange(-1000000, 1000000)};
        const auto decoded = std::get<ExecuteRequest>(roundTrip(ExecuteRequest{request})).request;
        const auto remaining = std::max(Clock::duration::zero(), request.deadline - sentAt);
        RC_ASSERT(decoded.deadline - receivedAt <= remaining);
        RC_ASSERT(remaining - (decoded.deadline - receivedAt) < milliseconds{1});
    }));
}

BOOST_AUTO_TEST_CASE(KeepsAnUnlimitedDeadline)
{
    StatementRequest request;
    request.deadline = TimePoint::max();
    const std::string frame = encodeFrame(ExecuteRequest{request}, sentAt);
    const auto decoded = decodeFrame(std::string_view(frame).substr(frameHeaderBytes), receivedAt);
    BOOST_REQUIRE(decoded.has_value());
    const TimePoint deadline = std::get<ExecuteRequest>(*decoded).request.deadline;
    BOOST_TEST((deadline > receivedAt + std::chrono::hours{24}), "an unlimited deadline was cut to less than a day");
}

BOOST_AUTO_TEST_CASE(CarriesEveryFieldOfAReply)
{
    BOOST_TEST(rc::check("a reply survives encoding and decoding", [] {
        const StatementReply reply = arbitraryReply();
        const auto decoded = std::get<ExecuteReply>(roundTrip(ExecuteReply{reply})).reply;
        RC_ASSERT(decoded.id == reply.id);
        RC_ASSERT(decoded.error.has_value() == reply.error.has_value());
        if (reply.error) {
            RC_ASSERT(decoded.error->kind == reply.error->kind);
            RC_ASSERT(decoded.error->message == reply.error->message);
            RC_ASSERT(decoded.error->retryAfter == reply.error->retryAfter);
        }
        RC_ASSERT(decoded.bytes == reply.bytes);
        RC_ASSERT(decoded.transactionState == reply.transactionState);
        RC_ASSERT(decoded.transaction == reply.transaction);
        RC_ASSERT(decoded.seen == reply.seen);
        RC_ASSERT(decoded.sent == reply.sent);
        RC_ASSERT(decoded.hint.database == reply.hint.database);
        RC_ASSERT(decoded.hint.term == reply.hint.term);
        RC_ASSERT(decoded.hint.primary == reply.hint.primary);
        RC_ASSERT(decoded.hint.members.size() == reply.hint.members.size());
        for (std::size_t i = 0; i < decoded.hint.members.size(); ++i) {
            const MemberHint &got = decoded.hint.members[i];
            const MemberHint &want = reply.hint.members[i];
            RC_ASSERT(got.upstream == want.upstream);
            RC_ASSERT(got.replayed == want.replayed);
            RC_ASSERT(got.age == want.age);
            RC_ASSERT(got.expectedWait == want.expectedWait);
            RC_ASSERT(got.reachable == want.reachable);
            RC_ASSERT(got.leaving == want.leaving);
        }
    }));
}

BOOST_AUTO_TEST_CASE(CarriesEveryFieldOfGossip)
{
    BOOST_TEST(rc::check("gossip survives encoding and decoding", [] {
        const GossipMessage message = arbitraryGossip();
        RC_ASSERT(std::get<Gossip>(roundTrip(Gossip{message})).message == message);
    }));
}

// A name that isn't valid UTF-8 must be refused: a host that accepted one crashed when an
// operator requested its status (see fuzz_test).
BOOST_AUTO_TEST_CASE(DecodesGossipWithArbitraryBytesExactlyOrRefusesIt)
{
    int carried = 0;
    int refused = 0;
    BOOST_TEST(rc::check("gossip with any bytes for names", [&] {
        const GossipMessage message = arbitraryGossip(arbitraryText);
        const std::string frame = encodeFrame(Gossip{message}, sentAt);
        const auto decoded = decodeFrame(std::string_view(frame).substr(frameHeaderBytes), receivedAt);
        (decoded ? carried : refused) += 1;
        if (decoded) {
            RC_ASSERT(std::get<Gossip>(*decoded).message == message);
        } else {
            RC_ASSERT(decoded.error().kind == ErrorKind::InvalidInput);
        }
    }));
    BOOST_TEST(carried > 0);
    BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_CASE(CarriesTheSmallMessages)
{
    BOOST_TEST(rc::check("each small message survives encoding and decoding", [] {
        const auto number = *rc::gen::arbitrary<std::uint64_t>();
        const std::string one = arbitraryText();
        const std::string two = arbitraryText();
        const bool flag = *rc::gen::arbitrary<bool>();
        const auto hello = std::get<Hello>(roundTrip(Hello{7, one, two, number}));
        RC_ASSERT(hello.version == 7U && hello.host == one && hello.zone == two && hello.incarnation == number);
        RC_ASSERT(std::get<Cancel>(roundTrip(Cancel{number})).id == number);
        const auto gone = std::get<FrontGone>(roundTrip(FrontGone{one, number}));
        RC_ASSERT(gone.upstream == one && gone.transaction == number);
        RC_ASSERT(std::get<Credit>(roundTrip(Credit{number})).bytes == number);
        const auto opinion = std::get<Opinion>(roundTrip(Opinion{number, one, two, two, one, number}));
        RC_ASSERT(opinion.id == number && opinion.database == one && opinion.upstream == two);
        RC_ASSERT(opinion.home == two && opinion.primary == one && opinion.term == number);
        const auto answer = std::get<OpinionReply>(roundTrip(OpinionReply{number, flag, !flag}));
        RC_ASSERT(answer.id == number && answer.suspects == flag && answer.alive == !flag);
        const auto announce = std::get<Announce>(roundTrip(Announce{one, number, two}));
        RC_ASSERT(announce.database == one && announce.term == number && announce.primary == two);
        RC_ASSERT(std::get<ConfigOffer>(roundTrip(ConfigOffer{number})).version == number);
        RC_ASSERT(std::get<ConfigPull>(roundTrip(ConfigPull{number})).version == number);
        const auto push = std::get<ConfigPush>(roundTrip(ConfigPush{number, one}));
        RC_ASSERT(push.version == number && push.json == one);
        const CatalogVersion version{number, number + 1};
        const auto offer = std::get<CatalogOffer>(roundTrip(CatalogOffer{version, flag, !flag}));
        RC_ASSERT(offer.version == version && offer.readsStore == flag && offer.confirmed == !flag);
        const auto pull = std::get<CatalogPull>(roundTrip(CatalogPull{version, number, number + 1}));
        RC_ASSERT(pull.version == version && pull.digest == number && pull.registrationsThrough == number + 1);
        const auto catalog = std::get<CatalogPush>(
            roundTrip(CatalogPush{version, {number, number}, number, number + 2, one, number + 3, {two, number + 4}}));
        RC_ASSERT(catalog.version == version && catalog.through == (CatalogRevisions{number, number}));
        RC_ASSERT(catalog.baseDigest == number && catalog.digest == number + 2 && catalog.difference == one);
        RC_ASSERT(catalog.registrationsSince == number + 3 && catalog.entries == (PackedEntries{two, number + 4}));
        const auto ask = std::get<QuotaAsk>(roundTrip(QuotaAsk{number, one}));
        RC_ASSERT(ask.id == number && ask.workspace == one);
        const QuotaVerdict verdict{flag ? QuotaVerdict::Kind::Refused : QuotaVerdict::Kind::NotKeeper, milliseconds{250}, flag};
        const auto counted = std::get<QuotaReply>(roundTrip(QuotaReply{number, verdict}));
        RC_ASSERT(counted.id == number && counted.verdict.kind == verdict.kind);
        RC_ASSERT(counted.verdict.after == verdict.after && counted.verdict.calm == verdict.calm);
        const auto request = std::get<SwitchoverRequest>(roundTrip(SwitchoverRequest{number, one, two}));
        RC_ASSERT(request.id == number && request.database == one && request.to == two);
        const auto failed = std::get<SwitchoverReply>(roundTrip(SwitchoverReply{number, Error{ErrorKind::Conflict, one}}));
        RC_ASSERT(failed.id == number && failed.error->kind == ErrorKind::Conflict && failed.error->message == one);
        RC_ASSERT(!std::get<SwitchoverReply>(roundTrip(SwitchoverReply{number, std::nullopt})).error);
        const auto release = std::get<Release>(roundTrip(Release{one, two, flag}));
        RC_ASSERT(release.upstream == one && release.database == two && release.settled == flag);
        const auto claim = std::get<HomeClaim>(roundTrip(HomeClaim{number, one, two}));
        RC_ASSERT(claim.id == number && claim.database == one && claim.upstream == two);
        const auto agreed = std::get<HomeClaimReply>(roundTrip(HomeClaimReply{number, flag}));
        RC_ASSERT(agreed.id == number && agreed.agrees == flag);
        const auto ping = std::get<Ping>(roundTrip(Ping{number, flag}));
        RC_ASSERT(ping.number == number && ping.answer == flag);
    }));
}

// FlatBuffers reads in place and trusts the offsets in a frame. Without verification, a
// damaged, truncated or forged frame makes a host crash or read beyond the buffer.
BOOST_AUTO_TEST_CASE(RefusesOrDecodesDamagedFramesWithoutCrashing)
{
    const std::vector<std::string> frames = sampleFrames();
    BOOST_TEST(rc::check("damaged frames give a message or InvalidInput", [&frames] {
        std::string frame = frames[*rc::gen::inRange<std::size_t>(0, frames.size())].substr(frameHeaderBytes);
        for (int i = *rc::gen::inRange(1, 9); i > 0; --i) {
            frame[*rc::gen::inRange<std::size_t>(0, frame.size())] = *rc::gen::arbitrary<char>();
        }
        frame.resize(*rc::gen::inRange<std::size_t>(0, frame.size() + 1));
        const auto decoded = decodeFrame(frame, receivedAt);
        RC_ASSERT(decoded.has_value() || decoded.error().kind == ErrorKind::InvalidInput);
    }));
}

BOOST_AUTO_TEST_CASE(RefusesRandomFrames)
{
    BOOST_TEST(rc::check("random bytes give InvalidInput", [] {
        const auto decoded = decodeFrame(arbitraryText(), receivedAt);
        RC_ASSERT(!decoded.has_value());
        RC_ASSERT(decoded.error().kind == ErrorKind::InvalidInput);
    }));
}

BOOST_AUTO_TEST_CASE(SplitsTheSameFramesForAnyChunking)
{
    const std::vector<std::string> frames = sampleFrames();
    std::string stream;
    for (const std::string &frame : frames) {
        stream += frame;
    }
    BOOST_TEST(rc::check("the same frames for any chunk sizes", [&] {
        FrameSplitter splitter;
        std::vector<std::string> seen;
        std::size_t offset = 0;
        while (offset < stream.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 200);
            splitter.feed(std::string_view(stream).substr(offset, size));
            offset += size;
            for (auto frame = splitter.next(); frame.value(); frame = splitter.next()) {
                seen.emplace_back(**frame);
            }
        }
        RC_ASSERT(seen.size() == frames.size());
        for (std::size_t i = 0; i < seen.size(); ++i) {
            RC_ASSERT(seen[i] == frames[i].substr(frameHeaderBytes));
        }
        RC_ASSERT(splitter.buffered() == 0U);
    }));
}

// Guards against idle links that keep the memory of their largest message: a host has as many links as
// there are hosts, and the messages that reconcile views grow with the hosts too.
BOOST_AUTO_TEST_CASE(HoldsLittleWhenAllFramesAreTaken)
{
    for (const std::size_t hosts : {100U, 1000U}) {
        GossipMessage sync;
        sync.kind = GossipKind::Sync;
        sync.from = "h";
        for (std::size_t i = 0; i < hosts; ++i) {
            sync.healthNotes.push_back(HealthNote{i, 1, HostHealth::Live, false});
        }
        FrameSplitter splitter;
        splitter.feed(encodeFrame(Gossip{sync}, sentAt));
        while (splitter.next().value()) { }
        BOOST_TEST(splitter.capacity() <= idleBufferBytes,
                   "holds " << splitter.capacity() << " bytes after " << hosts << " notes");
    }
}

// A length field of 0xffffffff, from a faulty peer or any other client of the port, must
// not make a host reserve gigabytes of memory.
BOOST_AUTO_TEST_CASE(RefusesALengthOutOfBounds)
{
    FrameSplitter endless;
    endless.feed("\xff\xff\xff\xff");
    BOOST_TEST(!endless.next().has_value(), "a frame of 4 GB was accepted; bound it by maxFrameBytes");
    FrameSplitter empty;
    empty.feed(std::string_view("\0\0\0\0", 4));
    BOOST_TEST(!empty.next().has_value(), "an empty frame was accepted; every frame has a body");
}

BOOST_AUTO_TEST_SUITE_END()
