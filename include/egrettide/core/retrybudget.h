// Bounds how many requests egrettide itself sends a second time.
//
// What goes wrong without it: an upstream slows down, every request is retried,
// the retries are load as well, and the upstream never recovers. One notices
// sends per request rising with the error rate. Here each first attempt pays in a
// fixed part of a retry, so sends never exceed 1.09 times the requests.

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
    // The most retries saved up while all goes well.
    std::int64_t maximumSaved = 100;
    // Switch for the proof: grant every retry.
    bool grantAll = false;
};

// One per traffic thread; accounts by database. Starts empty, so the bound holds
// from the first request on.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options = {});

    // Counts a first attempt.
    void onRequest(std::string_view database);
    // Takes one retry out of the budget; false when there is none, and the request
    // must then get its final answer.
    bool mayRetry(std::string_view database);
    // Retries that could be granted now.
    std::int64_t available(std::string_view database) const;

private:
    RetryBudgetOptions m_options;
    // Invariant: 0 <= value <= maximumSaved * 1000, in thousandths of a retry.
    absl::flat_hash_map<std::string, std::int64_t> m_saved;
};

} // namespace egrettide
