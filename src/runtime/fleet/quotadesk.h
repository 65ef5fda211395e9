// Has requests counted against the quota of their workspace before they start: by this host
// when it is the keeper, else by the host that is. See QuotaKeeper.

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

struct QuotaDeskHooks {
    // The host that keeps a slot; empty when none is known. Called on any thread.
    std::function<std::string(std::size_t slot)> keeperOf;
    // Sends to another host; may be lost. Called on any thread.
    std::function<void(const std::string &host, hop::HopMessage message)> send;
};

// Thread-safe, but for the constructor and destructor. `link` has to outlive it and to be
// stopped before it is destroyed.
class QuotaDesk
{
public:
    // Gets nothing when the request may start. QuotaExceeded when the workspace is beyond its
    // quota, Overloaded when nobody could be asked in time; nothing has run in both cases.
    using AdmitHandler = std::function<void(tl::expected<void, Error>)>;

    QuotaDesk(boost::asio::io_context &link, std::string self, QuotaKeeperOptions options, QuotaDeskHooks hooks);
    QuotaDesk(const QuotaDesk &) = delete;
    QuotaDesk &operator=(const QuotaDesk &) = delete;

    void configure(const Configuration &configuration);
    // Which slots this host keeps; see QuotaKeeper::keep.
    void keep(const std::bitset<quotaSlots> &slots, double part);

    // Counts one request. `handler` is called once, from within the call where the answer
    // is known here, at the latest shortly after `until`.
    void admit(const std::string &workspace, TimePoint until, AdmitHandler handler);

    // Messages of other hosts.
    hop::QuotaReply onAsk(const hop::QuotaAsk &ask);
    void onReply(const hop::QuotaReply &reply);

private:
    struct Waiting {
        std::string workspace;
        TimePoint until;
        // When the keeper is asked again, or the request starts once it is granted.
        TimePoint nextAt;
        AdmitHandler handler;
        bool granted = false;
    };
    // What is left to be done once the lock is released.
    struct Outcome {
        AdmitHandler handler;
        tl::expected<void, Error> result;
    };

    // Called with the lock held.
    void ask(std::uint64_t id, Waiting &waiting, TimePoint now, std::vector<Outcome> &outcomes);
    void take(std::uint64_t id, const QuotaVerdict &verdict, TimePoint now, std::vector<Outcome> &outcomes);
    void armTimer();

    void onTimer();
    static void tell(std::vector<Outcome> outcomes);

    const std::string m_self;
    const QuotaDeskHooks m_hooks;
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
