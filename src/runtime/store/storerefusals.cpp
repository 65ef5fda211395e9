// Logs objects and answers of the store that cannot be read.

#include "runtime/store/storerefusals.h"

#include "runtime/host/log.h"

namespace egrettide
{

namespace
{

constexpr std::size_t maxRemembered = 256;
// The length of another writer's name in the log.
constexpr std::size_t maxLoggedName = 128;

} // namespace

void StoreRefusals::onObject(std::string_view kind, std::string_view name, std::optional<JsonFault> fault)
{
    if (!fault && m_objects.empty()) {
        return;
    }
    const std::pair<std::string, std::string> key{kind, name.substr(0, maxLoggedName)};
    const auto known = m_objects.find(key);
    if (!fault) {
        if (known != m_objects.end()) {
            m_objects.erase(known);
        }
        return;
    }
    if (known != m_objects.end() && known->second == *fault) {
        return;
    }
    if (m_objects.size() >= maxRemembered) {
        m_objects.clear();
    }
    m_objects.insert_or_assign(key, *fault);
    ++m_refusedObjects;
    log::warning(
        "store_object_refused",
        {{"kind", key.first}, {"object", key.second}, {"fault", describe(*fault)}, {"refused_so_far", m_refusedObjects}});
}

void StoreRefusals::onAnswer(std::string_view kind, std::size_t bytes, bool isUsable)
{
    const auto known = m_kinds.find(kind);
    if (isUsable) {
        if (known != m_kinds.end()) {
            m_kinds.erase(known);
        }
        return;
    }
    ++m_refusedAnswers;
    if (known == m_kinds.end()) {
        m_kinds.emplace(kind);
        log::warning("store_answer_refused", {{"kind", kind}, {"bytes", bytes}, {"refused_so_far", m_refusedAnswers}});
    }
}

std::uint64_t StoreRefusals::refusedObjects() const
{
    return m_refusedObjects;
}

std::uint64_t StoreRefusals::refusedAnswers() const
{
    return m_refusedAnswers;
}

} // namespace egrettide
