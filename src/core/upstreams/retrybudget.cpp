// The token bucket of earned retries.

#include "egrettide/core/retrybudget.h"

#include <algorithm>

namespace egrettide
{

namespace
{
// The budget counts in thousandths of a retry.
constexpr std::int64_t unitsPerRetry = 1000;
} // namespace

RetryBudget::RetryBudget(const RetryBudgetOptions &options) : m_options(options)
{
}

void RetryBudget::onRequest(std::string_view database)
{
    std::int64_t &saved = m_saved[std::string(database)];
    saved = std::min(saved + m_options.retriesPerThousand, m_options.maximumSaved * unitsPerRetry);
}

bool RetryBudget::takeRetry(std::string_view database)
{
    if (m_options.grantAll) {
        return true;
    }
    const auto found = m_saved.find(std::string(database));
    if (found == m_saved.end() || found->second < unitsPerRetry) {
        return false;
    }
    found->second -= unitsPerRetry;
    return true;
}

std::int64_t RetryBudget::available(std::string_view database) const
{
    const auto found = m_saved.find(std::string(database));
    return found == m_saved.end() ? 0 : found->second / unitsPerRetry;
}

} // namespace egrettide
