// Implements the stand-in's object store by kind and name.

#include "testing/platform/kindstore.h"

namespace egrettide::standin
{

using nlohmann::json;

namespace
{

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusGone = 410;

std::optional<std::uint64_t> expectedIn(const json &object)
{
    const json meta = object.value("meta", json::object());
    return meta.contains("revision") ? std::optional(meta["revision"].get<std::uint64_t>()) : std::nullopt;
}

} // namespace

json KindStore::objectAt(const std::string &kind, const std::string &name) const
{
    const auto objects = m_objects.find(kind);
    if (objects == m_objects.end()) {
        return {};
    }
    const auto found = objects->second.find(name);
    return found == objects->second.end() ? json() : found->second;
}

KindAnswer KindStore::conflict(const json &existing)
{
    return {statusConflict, existing};
}

KindAnswer KindStore::store(const std::string &kind, const std::string &name, const json &spec)
{
    const json before = objectAt(kind, name);
    if (!before.is_null() && before["spec"] == spec) {
        return {statusOk, before};
    }
    ++m_revision;
    const std::uint64_t created = before.is_null() ? m_revision : before["meta"]["created"].get<std::uint64_t>();
    const json object{
        {"meta",
         {{"name", name}, {"revision", m_revision}, {"created", created}, {"finalizers", json::array()}, {"deleting", false}}},
        {"spec", spec},
        {"status", nullptr}};
    m_objects[kind][name] = object;
    m_history.push_back({kind, m_revision, false, object});
    return {statusOk, object};
}

KindAnswer KindStore::create(const std::string &kind, const json &object)
{
    const std::string name = object.value("meta", json::object()).value("name", std::string());
    const json existing = objectAt(kind, name);
    return existing.is_null() ? store(kind, name, object.value("spec", json())) : conflict(existing);
}

KindAnswer KindStore::replace(const std::string &kind, const std::string &name, const json &object)
{
    const json existing = objectAt(kind, name);
    if (existing.is_null()) {
        return {statusNotFound, json::object()};
    }
    const auto expected = expectedIn(object);
    if (expected && *expected != existing["meta"]["revision"].get<std::uint64_t>()) {
        return conflict(existing);
    }
    return store(kind, name, object.value("spec", json()));
}

KindAnswer KindStore::remove(const std::string &kind, const std::string &name)
{
    const json existing = objectAt(kind, name);
    if (existing.is_null()) {
        return {statusNotFound, json::object()};
    }
    m_objects[kind].erase(name);
    m_history.push_back({kind, ++m_revision, true, existing});
    return {statusOk, existing};
}

KindAnswer KindStore::read(const std::string &kind, const std::string &name) const
{
    const json found = objectAt(kind, name);
    return found.is_null() ? KindAnswer{statusNotFound, json::object()} : KindAnswer{statusOk, found};
}

KindAnswer KindStore::list(const std::string &kind, const std::string &after) const
{
    json items = json::array();
    bool more = false;
    const auto objects = m_objects.find(kind);
    if (objects != m_objects.end()) {
        for (auto each = objects->second.upper_bound(after); each != objects->second.end(); ++each) {
            more = items.size() >= pageSize;
            if (more) {
                break;
            }
            items.push_back(each->second);
        }
    }
    return {statusOk, {{"items", items}, {"hasMore", more}, {"currentRev", m_revision}}};
}

std::optional<KindAnswer> KindStore::changes(const std::string &kind, std::uint64_t since) const
{
    if (since < m_forgotten || since > m_revision) {
        return KindAnswer{statusGone, json::object()};
    }
    json events = json::array();
    for (const Change &change : m_history) {
        if (change.kind == kind && change.revision > since) {
            events.push_back({{"object", change.object}, {"tombstone", change.removed}});
        }
    }
    if (events.empty()) {
        return std::nullopt;
    }
    return KindAnswer{statusOk, {{"events", events}, {"currentRev", m_revision}}};
}

KindAnswer KindStore::noChanges() const
{
    return {statusOk, {{"events", json::array()}, {"currentRev", m_revision}}};
}

void KindStore::forgetHistory()
{
    m_history.clear();
    m_forgotten = m_revision;
}

} // namespace egrettide::standin
