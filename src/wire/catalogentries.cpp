// Serialization of collection changes with FlatBuffers.

#include "wire/catalogentries.h"

#include "wire/difference.h"
#include "wire/hop_generated.h"

namespace egrettide
{

PackedEntries packEntries(const CollectionDelta &delta)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::CatalogEntry>> offsets;
    offsets.reserve(delta.entries.size());
    for (const StoredEntry &entry : delta.entries) {
        const auto name = builder.CreateString(entry.name);
        const auto text = entry.isRemoval() ? flatbuffers::Offset<flatbuffers::String>() : builder.CreateString(entry.text);
        offsets.push_back(wire::CreateCatalogEntry(builder, name, entry.revision, text));
    }
    std::vector<wire::RevisionGap> gaps;
    gaps.reserve(delta.gaps.size());
    for (const RevisionGap &gap : delta.gaps) {
        gaps.emplace_back(gap.from, gap.to);
    }
    const auto entries = builder.CreateVector(offsets);
    builder.Finish(wire::CreateCatalogEntries(builder, entries, builder.CreateVectorOfStructs(gaps)));
    const std::string_view content(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
    return {makeDifference({}, content), digestOf(content)};
}

tl::expected<CollectionDelta, Error> unpackEntries(const PackedEntries &packed)
{
    const auto content = applyDifference({}, packed.bytes, packed.digest);
    if (!content) {
        return tl::unexpected(content.error());
    }
    const auto *data = reinterpret_cast<const std::uint8_t *>(content->data());
    flatbuffers::Verifier verifier(data, content->size());
    if (!verifier.VerifyBuffer<wire::CatalogEntries>(nullptr)) {
        return tl::unexpected(
            Error{ErrorKind::InvalidInput, "The entries are no valid collection; request them again.", milliseconds{0}});
    }
    CollectionDelta delta;
    const wire::CatalogEntries &root = *flatbuffers::GetRoot<wire::CatalogEntries>(data);
    const auto textOf = [](const flatbuffers::String *text) { return text == nullptr ? std::string() : text->str(); };
    for (flatbuffers::uoffset_t i = 0; root.entries() != nullptr && i < root.entries()->size(); ++i) {
        const wire::CatalogEntry &entry = *root.entries()->Get(i);
        delta.entries.push_back({textOf(entry.name()), entry.revision(), textOf(entry.text())});
    }
    for (flatbuffers::uoffset_t i = 0; root.gaps() != nullptr && i < root.gaps()->size(); ++i) {
        delta.gaps.push_back({root.gaps()->Get(i)->from(), root.gaps()->Get(i)->to()});
    }
    return delta;
}

} // namespace egrettide
