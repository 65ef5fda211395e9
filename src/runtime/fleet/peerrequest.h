// A request sent to a home on another host, and the outcome that its front may report when
// no answer comes.

#pragma once

#include "egrettide/core/request.h"

#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace egrettide::detail
{

// Estimated frame size in addition to the size of a batch.
constexpr std::size_t requestOverheadBytes = 512;

// Estimated size of the frame of a request that is not encoded yet.
std::size_t estimatedBytes(const StatementRequest &request);

// Transactions that are open at the home over one link. Both ends of the link derive the
// same set from the answers sent over it.
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

// The peer and the id of a request; identifies it among all peers.
using DeadlineKey = std::pair<std::string, std::uint64_t>;
using Deadlines = std::multimap<TimePoint, DeadlineKey>;

// A request of this host that is not answered yet.
struct PendingRequest {
    StatementRequest request;
    ReplyHandler handler;
    // Invariant: true from the moment its frame is passed to the socket.
    bool sent = false;
    // Stored separately, since the batch is released once it is sent.
    bool mayHaveCommitted = false;
    std::size_t queuedBytes = 0;
    // Its entry among the deadlines, which is removed together with the request.
    Deadlines::iterator deadline;
};

// Database and upstream of a transaction that no caller of this host will use.
struct TransactionPlace {
    std::string database;
    std::string upstream;
};

// The answer to a request whose link was lost or never opened. `admitsUnknown` is false
// only in tests.
Error lostError(const PendingRequest &pending, const std::string &reason, milliseconds retryAfter, bool admitsUnknown);

// The answer to a request that ended at its deadline or was cancelled by its caller.
Error deadlineError(const PendingRequest &pending);

} // namespace egrettide::detail
