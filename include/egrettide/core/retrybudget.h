// Limits how many requests egrettide itself sends a second time.
//
// Without a limit, an upstream that slows down gets a retry for every request, the retries
// add to its load, and it does not recover: sends per request rise with the error rate.
// Each first attempt earns a fixed fraction of a retry, so sends never exceed 1.09 times
// the requests.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>

namespace egrettide
{

struct RetryBudgetOptions {
    // Retries earned by a thousand requests; 90 keeps amplification below 1.1.
    std::int64_t retriesPerThousand = 90;
    // Upper bound of unused retries.
    std::int64_t maximumSaved = 100;
    // Grants every retry. Only for the test which shows that its check then fails.
    bool grantAll = false;
};

// One instance per traffic thread, with a separate budget for each database. Starts with
// no retries, so the bound holds from the first request on.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options = {});

    // Counts a first attempt.
    void onRequest(std::string_view database);
    // Consumes one retry of the budget. Returns false if there is none; the request must
    // then get its final answer.
    bool takeRetry(std::string_view database);
    // Whole retries in the budget.
    std::int64_t available(std::string_view database) const;

private:
    RetryBudgetOptions m_options;
    // Invariant: 0 <= value <= maximumSaved * 1000, in thousandths of a retry.
    absl::flat_hash_map<std::string, std::int64_t> m_saved;
};

} // namespace egrettide
