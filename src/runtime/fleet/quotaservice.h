// Counts requests against the quota of their workspace before they start: on this host when
// it is the quota keeper of the workspace, otherwise by a call to the keeper. See QuotaKeeper.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/quotabackoff.h"
#include "egrettide/core/quotagrace.h"
#include "egrettide/core/quotakeeper.h"
#include "runtime/host/timer.h"
#include "wire/hopcodec.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace egrettide
{

struct QuotaServiceHooks {
    // Returns the keeper of a slot; empty when none is known. Called on any thread.
    std::function<std::string(std::size_t slot)> keeperOf;
    // Sends a message to another host; it may be lost. Called on any thread.
    std::function<void(const std::string &host, hop::HopMessage message)> send;
};

// Thread-safe except for the constructor and destructor. `link` must outlive this object and
// be stopped before its destruction.
class QuotaService
{
public:
    // Receives no error when the request may start, QuotaExceeded when the workspace has exceeded
    // its quota, and Overloaded when no keeper answered in time. On an error nothing has run.
    using AdmitHandler = std::function<void(tl::expected<void, Error>)>;

    QuotaService(boost::asio::io_context &link, std::string self, QuotaKeeperOptions options, QuotaServiceHooks hooks);
    QuotaService(const QuotaService &) = delete;
    QuotaService &operator=(const QuotaService &) = delete;

    void configure(const Configuration &configuration);
    // Sets the slots that this host keeps; see QuotaKeeper::setKeptSlots().
    void setKeptSlots(const std::bitset<quotaSlots> &slots, double visibleFraction);

    // Counts one request. `handler` is called once: from within this call when the answer is
    // known locally, otherwise later, at the latest shortly after `until`.
    void admit(const std::string &workspace, TimePoint until, AdmitHandler handler);

    // Messages from other hosts.
    hop::QuotaReply onAsk(const hop::QuotaAsk &ask);
    void onReply(const hop::QuotaReply &reply);

private:
    struct Waiting {
        std::string workspace;
        TimePoint until;
        // When the keeper is asked again or, once granted, when the request starts.
        TimePoint nextAt;
        AdmitHandler handler;
        bool granted = false;
    };
    // A handler to be called once the lock is released.
    struct Outcome {
        AdmitHandler handler;
        tl::expected<void, Error> result;
    };

    // Called with the lock held.
    void askKeeper(std::uint64_t id, Waiting &waiting, TimePoint now, std::vector<Outcome> &outcomes);
    void applyVerdict(std::uint64_t id, const QuotaVerdict &verdict, TimePoint now, std::vector<Outcome> &outcomes);
    void armTimer();

    void onTimer();
    static void complete(std::vector<Outcome> outcomes);

    const std::string m_self;
    const QuotaServiceHooks m_hooks;
    boost::asio::io_context &m_link;
    std::mutex m_mutex;
    // Guarded by m_mutex, like all below.
    QuotaKeeper m_keeper;
    QuotaGrace m_grace;
    QuotaBackoff m_backoff;
    std::uint64_t m_lastId = 0;
    absl::flat_hash_map<std::uint64_t, Waiting> m_waiting;
    Timer m_timer;
    TimePoint m_armedFor = TimePoint::max();
};

} // namespace egrettide
