// Tracking of a store's epoch.

#include "egrettide/core/storeepoch.h"

#include <charconv>

namespace egrettide
{

EpochChange StoreEpochTracker::onAnswer(std::string_view text)
{
    if (text.empty()) {
        return EpochChange::Current;
    }
    std::uint64_t epoch = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), epoch);
    if (failed != std::errc() || end != text.data() + text.size() || epoch > StoreRevision::largestEpoch) {
        return EpochChange::Malformed;
    }
    if (epoch < m_current) {
        return EpochChange::Decreased;
    }
    if (epoch == m_current) {
        return EpochChange::Current;
    }
    m_current = epoch;
    return EpochChange::Advanced;
}

std::uint64_t StoreEpochTracker::current() const
{
    return m_current;
}

} // namespace egrettide
