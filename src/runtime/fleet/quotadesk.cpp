// Asks keepers, again where an answer does not come.

#include "runtime/fleet/quotadesk.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace egrettide
{

namespace
{

// A keeper answers within a few milliseconds; a link that is being dialled, or a host that
// waits for its share of the processor, within a tenth of a second.
constexpr milliseconds answerPatience{100};
// Views that do not agree who the keeper is do so soon.
constexpr milliseconds disagreementPause{50};
// When to come back if no keeper answers: by then a dead one has been replaced.
constexpr milliseconds noKeeperRetry{500};

Error beyondQuota(const std::string &workspace, milliseconds retryAfter)
{
    return Error{ErrorKind::QuotaExceeded,
                 absl::StrCat("Not run: workspace ", workspace, " has used up its quota; ask less often."), retryAfter};
}

Error noKeeper(const std::string &workspace)
{
    return Error{ErrorKind::Overloaded,
                 absl::StrCat("Not run: the host that counts the requests of workspace ", workspace, " did not answer."),
                 noKeeperRetry};
}

} // namespace

QuotaDesk::QuotaDesk(boost::asio::io_context &link, std::string self, QuotaKeeperOptions options, QuotaDeskHooks hooks)
    : m_self(std::move(self))
    , m_hooks(std::move(hooks))
    , m_link(link)
    , m_keeper(options)
    , m_grace(options.bounds.window)
    , m_timer(link)
{
}

void QuotaDesk::configure(const Configuration &configuration)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_keeper.configure(configuration);
}

void QuotaDesk::keep(const std::bitset<quotaSlots> &slots, double part)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_keeper.keep(slots, part, Clock::now());
}

void QuotaDesk::admit(const std::string &workspace, TimePoint until, AdmitHandler handler)
{
    std::vector<Outcome> outcomes;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const TimePoint now = Clock::now();
        if (!m_keeper.isLimited(workspace)) {
            outcomes.push_back({std::move(handler), {}});
        } else if (const auto after = m_backoff.refusesHere(workspace, now)) {
            outcomes.push_back({std::move(handler), tl::unexpected(beyondQuota(workspace, *after))});
        } else {
            const std::uint64_t id = ++m_lastId;
            const auto place = m_waiting.emplace(id, Waiting{workspace, until, TimePoint::max(), std::move(handler)}).first;
            ask(id, place->second, now, outcomes);
            armTimer();
        }
    }
    tell(std::move(outcomes));
}

void QuotaDesk::ask(std::uint64_t id, Waiting &waiting, TimePoint now, std::vector<Outcome> &outcomes)
{
    const std::string keeper = m_hooks.keeperOf(quotaSlotOf(waiting.workspace));
    if (keeper == m_self) {
        take(id, m_keeper.ask(waiting.workspace, now), now, outcomes);
        return;
    }
    waiting.nextAt = now + (keeper.empty() ? disagreementPause : answerPatience);
    // Asked also where the answer is not waited for: it tells when the silence is over.
    if (!keeper.empty()) {
        m_hooks.send(keeper, hop::QuotaAsk{id, waiting.workspace});
    }
    if (m_grace.take(waiting.workspace)) {
        outcomes.push_back({std::exchange(waiting.handler, nullptr), {}});
        waiting.granted = true;
    }
}

// Forgets the request where its fate is known.
void QuotaDesk::take(std::uint64_t id, const QuotaVerdict &verdict, TimePoint now, std::vector<Outcome> &outcomes)
{
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end()) {
        return;
    }
    Waiting &waiting = found->second;
    m_grace.heard(waiting.workspace, verdict, now);
    if (waiting.granted) {
        return;
    }
    switch (verdict.kind) {
    case QuotaVerdict::Kind::NotKeeper:
        waiting.nextAt = now + disagreementPause;
        return;
    case QuotaVerdict::Kind::Refused:
        m_backoff.refused(waiting.workspace, verdict.after, now);
        outcomes.push_back({std::move(waiting.handler), tl::unexpected(beyondQuota(waiting.workspace, verdict.after))});
        break;
    case QuotaVerdict::Kind::Granted:
        if (verdict.after > milliseconds{0}) {
            waiting.granted = true;
            waiting.nextAt = now + verdict.after;
            return;
        }
        outcomes.push_back({std::move(waiting.handler), {}});
        break;
    }
    m_waiting.erase(found);
}

hop::QuotaReply QuotaDesk::onAsk(const hop::QuotaAsk &ask)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {ask.id, m_keeper.ask(ask.workspace, Clock::now())};
}

void QuotaDesk::onReply(const hop::QuotaReply &reply)
{
    std::vector<Outcome> outcomes;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        take(reply.id, reply.verdict, Clock::now(), outcomes);
        armTimer();
    }
    tell(std::move(outcomes));
}

// One timer for all that wait, and none while nobody does. One that is set too early costs a
// look; setting it anew for each request would cost more.
void QuotaDesk::armTimer()
{
    TimePoint next = TimePoint::max();
    for (const auto &[id, waiting] : m_waiting) {
        next = std::min(next, waiting.granted ? waiting.nextAt : std::min(waiting.nextAt, waiting.until));
    }
    if (next >= m_armedFor) {
        return;
    }
    m_armedFor = next;
    boost::asio::post(m_link, [this, next] {
        m_timer.expires_at(next);
        m_timer.async_wait([this](const boost::system::error_code &cancelled) {
            if (!cancelled) {
                onTimer();
            }
        });
    });
}

void QuotaDesk::onTimer()
{
    const TimePoint now = Clock::now();
    std::vector<Outcome> outcomes;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_armedFor = TimePoint::max();
        std::vector<std::uint64_t> due;
        for (const auto &[id, waiting] : m_waiting) {
            if (now >= waiting.nextAt || (!waiting.granted && now >= waiting.until)) {
                due.push_back(id);
            }
        }
        for (const std::uint64_t id : due) {
            Waiting &waiting = m_waiting.at(id);
            if (!waiting.granted && now < waiting.until) {
                m_grace.unanswered(waiting.workspace, now);
                ask(id, waiting, now, outcomes);
                continue;
            }
            if (waiting.granted) {
                // Empty where the request has started already, without an answer.
                if (waiting.handler) {
                    outcomes.push_back({std::move(waiting.handler), {}});
                }
            } else {
                outcomes.push_back({std::move(waiting.handler), tl::unexpected(noKeeper(waiting.workspace))});
            }
            m_waiting.erase(id);
        }
        armTimer();
    }
    tell(std::move(outcomes));
}

void QuotaDesk::tell(std::vector<Outcome> outcomes)
{
    for (Outcome &outcome : outcomes) {
        outcome.handler(std::move(outcome.result));
    }
}

} // namespace egrettide
