// Codec of the messages between hosts: a pack and an unpack function for each message.

#include "wire/hopcodec.h"

#include "wire/hop_generated.h"
#include "wire/idlebuffer.h"

#include <boost/endian/conversion.hpp>
#include <flatbuffers/util.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace egrettide::hop
{

namespace
{

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using Bytes = flatbuffers::Vector<std::uint8_t>;

constexpr std::size_t initialBuilderBytes = 512;
// Consumed bytes are removed from the buffer once there are this many of them.
constexpr std::size_t compactionBytes = std::size_t{64} * 1024;

// The body of a frame, in the builder.
struct PackedBody {
    wire::HopBody type;
    Offset<void> offset;
};

Error malformed(const std::string &what)
{
    return Error{ErrorKind::InvalidInput,
                 "A frame from a peer is malformed (" + what + "); check that both hosts run the same release.", milliseconds{0}};
}

// True for valid UTF-8, which names have in every valid configuration. If gossip with any
// other name got into the membership view, writing the status as JSON for an operator
// would throw and end the process.
bool isUtf8(const std::string &name)
{
    const char *at = name.c_str();
    const char *const end = at + name.size();
    while (at < end) {
        if (flatbuffers::FromUTF8(&at) < 0) {
            return false;
        }
    }
    return true;
}

Offset<Bytes> packBytes(FlatBufferBuilder &builder, const std::string &bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

// Absent strings and byte vectors are read as empty: an older sender omits fields that
// its version doesn't have.
std::string text(const flatbuffers::String *value)
{
    return value == nullptr ? std::string() : value->str();
}

std::string text(const Bytes *value)
{
    return value == nullptr ? std::string() : std::string(reinterpret_cast<const char *>(value->data()), value->size());
}

wire::Mark packMark(const LogMark &mark)
{
    return wire::Mark(mark.term, mark.position);
}

LogMark unpackMark(const wire::Mark *mark)
{
    return mark == nullptr ? LogMark{} : LogMark{mark->term(), mark->position()};
}

std::optional<LogMark> unpackOptionalMark(const wire::Mark *mark)
{
    return mark == nullptr ? std::nullopt : std::optional<LogMark>(unpackMark(mark));
}

// Rounded down: a home must not keep a request longer than its front does.
std::uint32_t remainingMilliseconds(TimePoint deadline, TimePoint now)
{
    if (deadline <= now) {
        return 0;
    }
    const auto remaining = std::chrono::floor<milliseconds>(deadline - now).count();
    return static_cast<std::uint32_t>(std::min<std::int64_t>(remaining, std::numeric_limits<std::uint32_t>::max()));
}

Offset<wire::ErrorInfo> packError(FlatBufferBuilder &builder, const std::optional<Error> &error)
{
    if (!error) {
        return 0;
    }
    const auto retryAfter = static_cast<std::uint32_t>(std::max<std::int64_t>(0, error->retryAfter.count()));
    return wire::CreateErrorInfo(builder, static_cast<std::uint8_t>(error->kind), builder.CreateString(error->message),
                                 retryAfter);
}

// False when the kind is out of range. Such a frame is refused, since a wrong kind would
// report a wrong outcome to the caller.
bool unpackError(const wire::ErrorInfo *info, std::optional<Error> &error)
{
    if (info == nullptr) {
        return true;
    }
    if (info->kind() > static_cast<std::uint8_t>(ErrorKind::QuotaExceeded)) {
        return false;
    }
    error = Error{static_cast<ErrorKind>(info->kind()), text(info->message()), milliseconds{info->retry_after_ms()}};
    return true;
}

Offset<wire::GroupHint> packHint(FlatBufferBuilder &builder, const GroupHint &hint)
{
    std::vector<Offset<wire::MemberHint>> members;
    for (const MemberHint &member : hint.members) {
        const wire::Mark replayed = packMark(member.replayed);
        members.push_back(wire::CreateMemberHint(builder, builder.CreateString(member.upstream), &replayed, member.age.count(),
                                                 member.expectedWait.count(), member.reachable, member.leaving));
    }
    return wire::CreateGroupHint(builder, builder.CreateString(hint.database), hint.term, builder.CreateString(hint.primary),
                                 builder.CreateVector(members));
}

MemberHint unpackMember(const wire::MemberHint &member)
{
    MemberHint hint;
    hint.upstream = text(member.upstream());
    hint.replayed = unpackMark(member.replayed());
    hint.age = milliseconds{member.age_ms()};
    hint.expectedWait = milliseconds{member.expected_wait_ms()};
    hint.reachable = member.reachable();
    hint.leaving = member.leaving();
    return hint;
}

GroupHint unpackHint(const wire::GroupHint *packed)
{
    GroupHint hint;
    if (packed == nullptr) {
        return hint;
    }
    hint.database = text(packed->database());
    hint.term = packed->term();
    hint.primary = text(packed->primary());
    if (packed->members() != nullptr) {
        for (const wire::MemberHint *member : *packed->members()) {
            hint.members.push_back(unpackMember(*member));
        }
    }
    return hint;
}

// Builds the body of a message, with one overload for each member of HopMessage.
class Packer
{
public:
    Packer(FlatBufferBuilder &builder, TimePoint now) : m_builder(builder), m_now(now)
    {
    }

    PackedBody operator()(const Hello &hello) const
    {
        const auto host = m_builder.CreateString(hello.host);
        const auto zone = m_builder.CreateString(hello.zone);
        return body(wire::HopBody_Hello,
                    wire::CreateHello(m_builder, hello.version, host, zone, hello.incarnation, hello.newestMessage));
    }

    PackedBody operator()(const ExecuteRequest &message) const;
    PackedBody operator()(const ExecuteReply &message) const;
    PackedBody operator()(const Gossip &message) const;

    PackedBody operator()(const Cancel &message) const
    {
        return body(wire::HopBody_Cancel, wire::CreateCancel(m_builder, message.id));
    }

    PackedBody operator()(const FrontGone &message) const
    {
        const auto upstream = m_builder.CreateString(message.upstream);
        return body(wire::HopBody_FrontGone, wire::CreateFrontGone(m_builder, upstream, message.transaction));
    }

    PackedBody operator()(const Credit &message) const
    {
        return body(wire::HopBody_Credit, wire::CreateCredit(m_builder, message.bytes));
    }

    PackedBody operator()(const Opinion &message) const
    {
        const auto database = m_builder.CreateString(message.database);
        const auto upstream = m_builder.CreateString(message.upstream);
        const auto home = m_builder.CreateString(message.home);
        const auto primary = m_builder.CreateString(message.primary);
        return body(wire::HopBody_Opinion,
                    wire::CreateOpinion(m_builder, message.id, database, upstream, home, primary, message.term));
    }

    PackedBody operator()(const OpinionReply &message) const
    {
        return body(wire::HopBody_OpinionReply, wire::CreateOpinionReply(m_builder, message.id, message.suspects, message.alive));
    }

    PackedBody operator()(const Announce &message) const
    {
        const auto database = m_builder.CreateString(message.database);
        const auto primary = m_builder.CreateString(message.primary);
        return body(wire::HopBody_Announce, wire::CreateAnnounce(m_builder, database, message.term, primary));
    }

    PackedBody operator()(const ConfigOffer &message) const
    {
        return body(wire::HopBody_ConfigOffer, wire::CreateConfigOffer(m_builder, message.version));
    }

    PackedBody operator()(const ConfigPull &message) const
    {
        return body(wire::HopBody_ConfigPull, wire::CreateConfigPull(m_builder, message.version));
    }

    PackedBody operator()(const ConfigPush &message) const
    {
        const auto json = packBytes(m_builder, message.json);
        return body(wire::HopBody_ConfigPush, wire::CreateConfigPush(m_builder, message.version, json));
    }

    PackedBody operator()(const SwitchoverRequest &message) const
    {
        const auto database = m_builder.CreateString(message.database);
        const auto to = m_builder.CreateString(message.to);
        return body(wire::HopBody_SwitchoverRequest, wire::CreateSwitchoverRequest(m_builder, message.id, database, to));
    }

    PackedBody operator()(const SwitchoverReply &message) const
    {
        const auto error = packError(m_builder, message.error);
        return body(wire::HopBody_SwitchoverReply, wire::CreateSwitchoverReply(m_builder, message.id, error));
    }

    PackedBody operator()(const Release &message) const
    {
        const auto upstream = m_builder.CreateString(message.upstream);
        const auto database = m_builder.CreateString(message.database);
        return body(wire::HopBody_Release, wire::CreateRelease(m_builder, upstream, database, message.settled));
    }

    PackedBody operator()(const HomeClaim &message) const
    {
        const auto database = m_builder.CreateString(message.database);
        const auto upstream = m_builder.CreateString(message.upstream);
        return body(wire::HopBody_HomeClaim, wire::CreateHomeClaim(m_builder, message.id, database, upstream));
    }

    PackedBody operator()(const HomeClaimReply &message) const
    {
        return body(wire::HopBody_HomeClaimReply, wire::CreateHomeClaimReply(m_builder, message.id, message.agrees));
    }

    PackedBody operator()(const Ping &message) const
    {
        return body(wire::HopBody_Ping, wire::CreatePing(m_builder, message.number, message.answer));
    }

    PackedBody operator()(const CatalogOffer &message) const
    {
        return body(wire::HopBody_CatalogOffer,
                    wire::CreateCatalogOffer(m_builder, message.version.intent, message.version.registrations, message.readsStore,
                                             message.confirmed));
    }

    PackedBody operator()(const CatalogPull &message) const
    {
        return body(wire::HopBody_CatalogPull,
                    wire::CreateCatalogPull(m_builder, message.version.intent, message.version.registrations, message.digest,
                                            message.registrationsThrough));
    }

    PackedBody operator()(const CatalogPush &message) const
    {
        const auto difference = packBytes(m_builder, message.difference);
        const auto entries = packBytes(m_builder, message.entries.bytes);
        return body(wire::HopBody_CatalogPush,
                    wire::CreateCatalogPush(m_builder, message.version.intent, message.version.registrations,
                                            message.through.intent, message.through.registrations, message.baseDigest,
                                            message.digest, difference, message.registrationsSince, message.entries.digest,
                                            entries));
    }

    PackedBody operator()(const QuotaAsk &message) const
    {
        const auto workspace = m_builder.CreateString(message.workspace);
        return body(wire::HopBody_QuotaAsk, wire::CreateQuotaAsk(m_builder, message.id, workspace));
    }

    PackedBody operator()(const QuotaReply &message) const
    {
        const auto verdict = static_cast<std::uint8_t>(message.verdict.kind);
        const auto after = static_cast<std::uint32_t>(std::max<std::int64_t>(0, message.verdict.after.count()));
        return body(wire::HopBody_QuotaReply,
                    wire::CreateQuotaReply(m_builder, message.id, verdict, after, message.verdict.calm));
    }

    PackedBody operator()(const PartitionNotice & /*message*/) const
    {
        return body(wire::HopBody_PartitionNotice, wire::CreatePartitionNotice(m_builder));
    }

private:
    template <typename Table> static PackedBody body(wire::HopBody type, Offset<Table> table)
    {
        return PackedBody{type, table.Union()};
    }

    Offset<wire::HostRecord> packRecord(const HostRecord &record) const;

    FlatBufferBuilder &m_builder;
    TimePoint m_now;
};

PackedBody Packer::operator()(const ExecuteRequest &message) const
{
    const StatementRequest &request = message.request;
    std::vector<Offset<wire::Prepared>> prepared;
    for (const PreparedStatement &statement : request.prepared) {
        const auto name = m_builder.CreateString(statement.name);
        prepared.push_back(wire::CreatePrepared(m_builder, name, packBytes(m_builder, statement.parseMessage)));
    }
    const auto database = m_builder.CreateString(request.database);
    const auto upstream = m_builder.CreateString(request.upstream);
    const auto className = m_builder.CreateString(request.className);
    const auto tenant = m_builder.CreateString(request.tenant);
    const auto statements = m_builder.CreateVector(prepared);
    std::vector<Offset<wire::SessionValue>> values;
    for (const SessionValue &value : request.sessionValues) {
        const auto name = m_builder.CreateString(value.name);
        values.push_back(wire::CreateSessionValue(m_builder, name, m_builder.CreateString(value.value)));
    }
    const auto sessionValues = m_builder.CreateVector(values);
    const auto batch = packBytes(m_builder, request.batch);
    const wire::Mark floor = packMark(request.freshness.floor.value_or(LogMark{}));

    wire::ExecuteRequestBuilder table(m_builder);
    table.add_id(request.id);
    table.add_database(database);
    table.add_upstream(upstream);
    table.add_kind(static_cast<std::uint8_t>(request.kind));
    table.add_class_name(className);
    table.add_tenant(tenant);
    table.add_remaining_ms(remainingMilliseconds(request.deadline, m_now));
    if (request.objective) {
        // At least 1, since 0 means no objective.
        table.add_objective_ms(std::max<std::uint32_t>(1, remainingMilliseconds(*request.objective, m_now)));
    }
    if (request.freshness.floor) {
        table.add_floor(&floor);
    }
    if (request.freshness.maxAge) {
        table.add_max_age_ms(std::max<std::int64_t>(0, request.freshness.maxAge->count()));
    }
    table.add_latest(request.freshness.latest);
    table.add_idempotent(request.idempotent);
    table.add_transaction(request.transaction);
    table.add_prepared(statements);
    table.add_batch(batch);
    table.add_needs_primary(request.needsPrimary);
    table.add_may_hold_several(request.mayHoldSeveral);
    table.add_session_values(sessionValues);
    return body(wire::HopBody_ExecuteRequest, table.Finish());
}

PackedBody Packer::operator()(const ExecuteReply &message) const
{
    const StatementReply &reply = message.reply;
    const auto error = packError(m_builder, reply.error);
    const auto bytes = packBytes(m_builder, reply.bytes);
    const auto hint = packHint(m_builder, reply.hint);
    const wire::Mark seen = packMark(reply.seen.value_or(LogMark{}));

    wire::ExecuteReplyBuilder table(m_builder);
    table.add_id(reply.id);
    table.add_error(error);
    table.add_bytes(bytes);
    table.add_transaction_state(static_cast<std::uint8_t>(reply.transactionState));
    table.add_transaction(reply.transaction);
    if (reply.seen) {
        table.add_seen(&seen);
    }
    table.add_hint(hint);
    table.add_sent(reply.sent);
    return body(wire::HopBody_ExecuteReply, table.Finish());
}

Offset<wire::HostRecord> Packer::packRecord(const HostRecord &record) const
{
    const auto name = m_builder.CreateString(record.name);
    // Shared, since the records of a message repeat the same zones.
    const auto zone = m_builder.CreateSharedString(record.zone);
    const auto peerAddress = m_builder.CreateString(record.peerAddress);
    const auto callerAddress = m_builder.CreateString(record.callerAddress);
    const auto operatorAddress = m_builder.CreateString(record.operatorAddress);
    return wire::CreateHostRecord(m_builder, name, zone, peerAddress, callerAddress, operatorAddress, record.incarnation,
                                  static_cast<std::uint8_t>(record.health), record.leaving, record.catalogVersion.intent,
                                  record.catalogVersion.registrations);
}

PackedBody Packer::operator()(const Gossip &gossip) const
{
    const GossipMessage &message = gossip.message;
    std::vector<Offset<wire::HostRecord>> records;
    for (const HostRecord &record : message.records) {
        records.push_back(packRecord(record));
    }
    std::vector<wire::HealthNote> healthNotes;
    for (const HealthNote &note : message.healthNotes) {
        healthNotes.emplace_back(note.hostKey, note.incarnation, static_cast<std::uint8_t>(note.health), note.leaving);
    }
    std::vector<wire::VersionNote> notes;
    for (const VersionNote &note : message.versionNotes) {
        notes.emplace_back(note.hostKey, note.version.intent, note.version.registrations);
    }
    // Empty parts are omitted: most heartbeats carry no changes, and heartbeats make up
    // most of a host's control traffic.
    const auto optionalText = [this](const std::string &value) {
        return value.empty() ? Offset<flatbuffers::String>() : m_builder.CreateString(value);
    };
    const auto from = optionalText(message.from);
    const auto fromAddress = optionalText(message.fromAddress);
    const auto target = optionalText(message.target);
    const auto targetAddress = optionalText(message.targetAddress);
    const auto buckets = message.bucketDigests.empty() ? 0 : m_builder.CreateVector(message.bucketDigests);
    const auto packedRecords = records.empty() ? 0 : m_builder.CreateVector(records);
    const auto packedHealth = healthNotes.empty() ? 0 : m_builder.CreateVectorOfStructs(healthNotes);
    const auto wanted = message.wanted.empty() ? 0 : m_builder.CreateVector(message.wanted);
    const auto packedNotes = notes.empty() ? 0 : m_builder.CreateVectorOfStructs(notes);

    return body(wire::HopBody_Gossip,
                wire::CreateGossip(m_builder, static_cast<std::uint8_t>(message.kind), from, fromAddress, message.fromIncarnation,
                                   message.sequence, target, targetAddress, message.catalogVersion.intent,
                                   message.catalogVersion.registrations, message.digest, buckets, packedRecords, packedHealth,
                                   packedNotes, wanted));
}

using Decoded = tl::expected<HopMessage, Error>;

Decoded unpack(const wire::ExecuteRequest &table, TimePoint now)
{
    if (table.kind() > static_cast<std::uint8_t>(StatementKind::Refused)) {
        return tl::unexpected(malformed("statement kind " + std::to_string(table.kind())));
    }
    StatementRequest request;
    request.id = table.id();
    request.database = text(table.database());
    request.upstream = text(table.upstream());
    request.kind = static_cast<StatementKind>(table.kind());
    request.className = text(table.class_name());
    request.tenant = text(table.tenant());
    request.deadline = now + milliseconds{table.remaining_ms()};
    if (table.objective_ms() > 0) {
        request.objective = now + milliseconds{table.objective_ms()};
    }
    request.receivedAt = now;
    request.freshness.floor = unpackOptionalMark(table.floor());
    if (table.max_age_ms() >= 0) {
        request.freshness.maxAge = milliseconds{table.max_age_ms()};
    }
    request.freshness.latest = table.latest();
    request.idempotent = table.idempotent();
    request.transaction = table.transaction();
    if (table.prepared() != nullptr) {
        for (const wire::Prepared *statement : *table.prepared()) {
            request.prepared.push_back(PreparedStatement{text(statement->name()), text(statement->parse_message())});
        }
    }
    request.batch = text(table.batch());
    request.needsPrimary = table.needs_primary();
    request.mayHoldSeveral = table.may_hold_several();
    if (table.session_values() != nullptr) {
        for (const wire::SessionValue *value : *table.session_values()) {
            request.sessionValues.push_back(SessionValue{text(value->name()), text(value->value())});
        }
    }
    return ExecuteRequest{std::move(request)};
}

bool isTransactionState(std::uint8_t state)
{
    return state == 'I' || state == 'T' || state == 'E';
}

Decoded unpack(const wire::ExecuteReply &table, TimePoint /*now*/)
{
    StatementReply reply;
    if (!unpackError(table.error(), reply.error)) {
        return tl::unexpected(malformed("error kind"));
    }
    if (!isTransactionState(table.transaction_state())) {
        return tl::unexpected(malformed("transaction state " + std::to_string(table.transaction_state())));
    }
    reply.id = table.id();
    reply.bytes = text(table.bytes());
    reply.transactionState = static_cast<char>(table.transaction_state());
    reply.transaction = table.transaction();
    reply.seen = unpackOptionalMark(table.seen());
    reply.hint = unpackHint(table.hint());
    reply.sent = table.sent();
    return ExecuteReply{std::move(reply)};
}

bool unpackRecord(const wire::HostRecord &table, HostRecord &record)
{
    if (table.health() > static_cast<std::uint8_t>(HostHealth::Dead) || table.name() == nullptr || table.name()->size() == 0) {
        return false;
    }
    record.name = text(table.name());
    record.zone = text(table.zone());
    record.peerAddress = text(table.peer_address());
    record.callerAddress = text(table.caller_address());
    record.operatorAddress = text(table.operator_address());
    record.incarnation = table.incarnation();
    record.health = static_cast<HostHealth>(table.health());
    record.leaving = table.leaving();
    record.catalogVersion = {table.intent_version(), table.registrations_version()};
    return isUtf8(record.name) && isUtf8(record.zone) && isUtf8(record.peerAddress) && isUtf8(record.callerAddress)
        && isUtf8(record.operatorAddress);
}

bool unpackHealthNotes(const wire::Gossip &table, GossipMessage &message)
{
    if (table.health_notes() == nullptr) {
        return true;
    }
    for (const wire::HealthNote *note : *table.health_notes()) {
        if (note->health() > static_cast<std::uint8_t>(HostHealth::Dead)) {
            return false;
        }
        message.healthNotes.push_back(
            HealthNote{note->host_key(), note->incarnation(), static_cast<HostHealth>(note->health()), note->leaving()});
    }
    return true;
}

bool unpackRecords(const wire::Gossip &table, GossipMessage &message)
{
    if (table.records() == nullptr) {
        return true;
    }
    for (const wire::HostRecord *packed : *table.records()) {
        HostRecord record;
        if (!unpackRecord(*packed, record)) {
            return false;
        }
        message.records.push_back(std::move(record));
    }
    return true;
}

Decoded unpack(const wire::Gossip &table, TimePoint /*now*/)
{
    GossipMessage message;
    if (table.kind() > static_cast<std::uint8_t>(GossipKind::Records)) {
        return tl::unexpected(malformed("gossip kind " + std::to_string(table.kind())));
    }
    if (!unpackRecords(table, message) || !unpackHealthNotes(table, message)) {
        return tl::unexpected(malformed("host record"));
    }
    message.kind = static_cast<GossipKind>(table.kind());
    message.from = text(table.from());
    message.fromAddress = text(table.from_address());
    message.fromIncarnation = table.from_incarnation();
    message.sequence = table.sequence();
    message.target = text(table.target());
    message.targetAddress = text(table.target_address());
    if (!isUtf8(message.from) || !isUtf8(message.fromAddress) || !isUtf8(message.target) || !isUtf8(message.targetAddress)) {
        return tl::unexpected(malformed("host name"));
    }
    message.catalogVersion = {table.intent_version(), table.registrations_version()};
    message.digest = table.digest();
    if (table.bucket_digests() != nullptr) {
        message.bucketDigests.assign(table.bucket_digests()->begin(), table.bucket_digests()->end());
    }
    if (table.wanted() != nullptr) {
        message.wanted.assign(table.wanted()->begin(), table.wanted()->end());
    }
    if (table.version_notes() != nullptr) {
        for (const wire::VersionNote *note : *table.version_notes()) {
            message.versionNotes.push_back(VersionNote{note->host_key(), {note->intent(), note->registrations()}});
        }
    }
    return Gossip{std::move(message)};
}

Decoded unpack(const wire::SwitchoverReply &table, TimePoint /*now*/)
{
    SwitchoverReply reply{table.id(), std::nullopt};
    if (!unpackError(table.error(), reply.error)) {
        return tl::unexpected(malformed("error kind"));
    }
    return reply;
}

Decoded unpack(const wire::Hello &table, TimePoint /*now*/)
{
    return Hello{table.version(), text(table.host()), text(table.zone()), table.incarnation(), table.newest_message()};
}

// A verdict out of range is refused: read as a grant, it would bypass the quota.
Decoded unpack(const wire::QuotaReply &table)
{
    if (table.verdict() > static_cast<std::uint8_t>(QuotaVerdict::Kind::NotKeeper)) {
        return tl::unexpected(malformed("quota verdict"));
    }
    return QuotaReply{table.id(),
                      {static_cast<QuotaVerdict::Kind>(table.verdict()), milliseconds{table.after_ms()}, table.calm()}};
}

Decoded unpack(const wire::Announce &table, TimePoint /*now*/)
{
    return Announce{text(table.database()), table.term(), text(table.primary())};
}

Decoded unpack(const wire::Release &table, TimePoint /*now*/)
{
    return Release{text(table.upstream()), text(table.database()), table.settled()};
}

Decoded unpack(const wire::HomeClaim &table, TimePoint /*now*/)
{
    return HomeClaim{table.id(), text(table.database()), text(table.upstream())};
}

Decoded unpackBody(const wire::HopFrame &frame, TimePoint now)
{
    switch (frame.body_type()) {
    case wire::HopBody_Hello:
        return unpack(*frame.body_as_Hello(), now);
    case wire::HopBody_ExecuteRequest:
        return unpack(*frame.body_as_ExecuteRequest(), now);
    case wire::HopBody_ExecuteReply:
        return unpack(*frame.body_as_ExecuteReply(), now);
    case wire::HopBody_Cancel:
        return Cancel{frame.body_as_Cancel()->id()};
    case wire::HopBody_FrontGone:
        return FrontGone{text(frame.body_as_FrontGone()->upstream()), frame.body_as_FrontGone()->transaction()};
    case wire::HopBody_Credit:
        return Credit{frame.body_as_Credit()->bytes()};
    case wire::HopBody_Gossip:
        return unpack(*frame.body_as_Gossip(), now);
    case wire::HopBody_Opinion: {
        const wire::Opinion &opinion = *frame.body_as_Opinion();
        return Opinion{opinion.id(),         text(opinion.database()), text(opinion.upstream()),
                       text(opinion.home()), text(opinion.primary()),  opinion.term()};
    }
    case wire::HopBody_OpinionReply: {
        const wire::OpinionReply &reply = *frame.body_as_OpinionReply();
        return OpinionReply{reply.id(), reply.suspects(), reply.alive()};
    }
    case wire::HopBody_Announce:
        return unpack(*frame.body_as_Announce(), now);
    case wire::HopBody_ConfigOffer:
        return ConfigOffer{frame.body_as_ConfigOffer()->version()};
    case wire::HopBody_ConfigPull:
        return ConfigPull{frame.body_as_ConfigPull()->version()};
    case wire::HopBody_ConfigPush:
        return ConfigPush{frame.body_as_ConfigPush()->version(), text(frame.body_as_ConfigPush()->json())};
    case wire::HopBody_SwitchoverRequest: {
        const wire::SwitchoverRequest &request = *frame.body_as_SwitchoverRequest();
        return SwitchoverRequest{request.id(), text(request.database()), text(request.to())};
    }
    case wire::HopBody_SwitchoverReply:
        return unpack(*frame.body_as_SwitchoverReply(), now);
    case wire::HopBody_Release:
        return unpack(*frame.body_as_Release(), now);
    case wire::HopBody_HomeClaim:
        return unpack(*frame.body_as_HomeClaim(), now);
    case wire::HopBody_HomeClaimReply:
        return HomeClaimReply{frame.body_as_HomeClaimReply()->id(), frame.body_as_HomeClaimReply()->agrees()};
    case wire::HopBody_Ping:
        return Ping{frame.body_as_Ping()->number(), frame.body_as_Ping()->answer()};
    case wire::HopBody_CatalogOffer: {
        const wire::CatalogOffer &offer = *frame.body_as_CatalogOffer();
        return CatalogOffer{{offer.intent(), offer.registrations()}, offer.reads_store(), offer.confirmed()};
    }
    case wire::HopBody_CatalogPull: {
        const wire::CatalogPull &pull = *frame.body_as_CatalogPull();
        return CatalogPull{{pull.intent(), pull.registrations()}, pull.digest(), pull.registrations_through()};
    }
    case wire::HopBody_CatalogPush: {
        const wire::CatalogPush &push = *frame.body_as_CatalogPush();
        return CatalogPush{{push.intent(), push.registrations()},
                           {push.intent_through(), push.registrations_through()},
                           push.base_digest(),
                           push.digest(),
                           text(push.difference()),
                           push.registrations_since(),
                           {text(push.entries()), push.entries_digest()}};
    }
    case wire::HopBody_QuotaAsk:
        return QuotaAsk{frame.body_as_QuotaAsk()->id(), text(frame.body_as_QuotaAsk()->workspace())};
    case wire::HopBody_QuotaReply:
        return unpack(*frame.body_as_QuotaReply());
    case wire::HopBody_PartitionNotice:
        return PartitionNotice{};
    case wire::HopBody_NONE:
        break;
    }
    return tl::unexpected(malformed("message type " + std::to_string(frame.body_type())));
}

} // namespace

static_assert(newestMessage == wire::HopBody_MAX);

bool isKnownTo(const HopMessage &message, std::uint8_t newestKnown)
{
    // Each host of this protocol version knows the messages up to QuotaReply.
    const bool isNew = std::holds_alternative<PartitionNotice>(message);
    return !isNew || newestKnown >= wire::HopBody_PartitionNotice;
}

std::string encodeFrame(const HopMessage &message, TimePoint now)
{
    FlatBufferBuilder builder(initialBuilderBytes);
    const PackedBody body = std::visit(Packer(builder, now), message);
    wire::FinishHopFrameBuffer(builder, wire::CreateHopFrame(builder, body.type, body.offset));

    std::string frame(frameHeaderBytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(frame.data()), builder.GetSize());
    frame.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
    return frame;
}

tl::expected<HopMessage, Error> decodeFrame(std::string_view frame, TimePoint now)
{
    // Copies the frame, because FlatBuffers reads numbers in place and requires them to be
    // aligned: std::string's storage is aligned, a view into a receive buffer is not.
    const std::string aligned(frame);
    const auto *data = reinterpret_cast<const std::uint8_t *>(aligned.data());
    flatbuffers::Verifier verifier(data, aligned.size());
    if (!wire::VerifyHopFrameBuffer(verifier)) {
        return tl::unexpected(malformed("it fails verification"));
    }
    const wire::HopFrame &root = *wire::GetHopFrame(data);
    if (root.body() == nullptr) {
        return tl::unexpected(malformed("it has no body"));
    }
    return unpackBody(root, now);
}

void FrameSplitter::feed(std::string_view bytes)
{
    if (m_consumed >= compactionBytes) {
        m_buffer.erase(0, m_consumed);
        m_consumed = 0;
    }
    m_buffer.append(bytes);
}

tl::expected<std::optional<std::string_view>, Error> FrameSplitter::next()
{
    if (buffered() == 0) {
        clearIdleBuffer(m_buffer);
        m_consumed = 0;
    }
    if (buffered() < frameHeaderBytes) {
        return std::nullopt;
    }
    const auto *header = reinterpret_cast<const unsigned char *>(m_buffer.data() + m_consumed);
    const std::size_t length = boost::endian::load_big_u32(header);
    if (length == 0 || length > maxFrameBytes) {
        return tl::unexpected(malformed("a length of " + std::to_string(length) + " bytes"));
    }
    if (buffered() < frameHeaderBytes + length) {
        return std::nullopt;
    }
    const std::string_view frame(m_buffer.data() + m_consumed + frameHeaderBytes, length);
    m_consumed += frameHeaderBytes + length;
    return frame;
}

std::size_t FrameSplitter::buffered() const
{
    return m_buffer.size() - m_consumed;
}

std::size_t FrameSplitter::capacity() const
{
    return m_buffer.capacity();
}

} // namespace egrettide::hop
