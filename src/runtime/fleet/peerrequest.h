// A request on its way to a home on another host, and what its front may conclude
// when no answer comes.

#pragma once

#include "egrettide/core/request.h"

#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace egrettide::detail
{

// Added to the size of a batch for what surrounds it in a frame.
constexpr std::size_t requestOverheadBytes = 512;

// What a frame of the request will take, before it is encoded.
std::size_t estimatedBytes(const StatementRequest &request);

// Transactions that are open at the home over one link, as both ends can tell
// from the answers that went over it.
class OpenTransactions
{
public:
    void onReply(std::uint64_t requestTransaction, const StatementReply &reply)
    {
        if (requestTransaction != 0 && requestTransaction != reply.transaction) {
            m_open.erase(requestTransaction);
        }
        if (reply.transaction != 0) {
            m_open.insert(reply.transaction);
        }
    }

    void onFrontGone(std::uint64_t transaction)
    {
        if (transaction == 0) {
            m_open.clear();
        } else {
            m_open.erase(transaction);
        }
    }

    bool empty() const
    {
        return m_open.empty();
    }

private:
    absl::flat_hash_set<std::uint64_t> m_open;
};

// Names a request across peers, in the order of deadlines.
using DeadlineKey = std::pair<std::string, std::uint64_t>;
using Deadlines = std::multimap<TimePoint, DeadlineKey>;

// A request of this host that is not answered yet.
struct PendingRequest {
    StatementRequest request;
    ReplyHandler handler;
    // Invariant: true from the moment at which its frame was handed to the socket.
    bool sent = false;
    // Kept apart, since the batch is dropped once it is sent.
    bool mayHaveCommitted = false;
    std::size_t queuedBytes = 0;
    // Its entry among the deadlines, which goes when the request goes.
    Deadlines::iterator deadline;
};

// Where a transaction lives that nobody here will use.
struct TransactionPlace {
    std::string database;
    std::string upstream;
};

// The answer to a request whose link broke or was never opened. `admitsUnknown`
// off is for tests alone.
Error lostError(const PendingRequest &pending, const std::string &reason, milliseconds retryAfter, bool admitsUnknown);

// The answer to a request that was given up, at its deadline or by its caller.
Error deadlineError(const PendingRequest &pending);

} // namespace egrettide::detail
