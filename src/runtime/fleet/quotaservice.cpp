// Sends requests to quota keepers and repeats unanswered ones.

#include "runtime/fleet/quotaservice.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace egrettide
{

namespace
{

// A keeper answers within a few milliseconds; within 100 ms when its link is being dialed or
// its host waits for processor time.
constexpr milliseconds answerTimeout{100};
// Retry delay while the hosts disagree on the keeper; their views converge soon.
constexpr milliseconds disagreementRetry{50};
// Retry delay reported when no keeper answers; by then a failed keeper has been replaced.
constexpr milliseconds noKeeperRetry{500};

Error quotaExceeded(const std::string &workspace, milliseconds retryAfter)
{
    return Error{ErrorKind::QuotaExceeded,
                 absl::StrCat("Not run: workspace ", workspace, " has exceeded its quota; send requests less often."),
                 retryAfter};
}

Error noKeeper(const std::string &workspace)
{
    return Error{ErrorKind::Overloaded,
                 absl::StrCat("Not run: the host that counts the requests of workspace ", workspace, " did not answer."),
                 noKeeperRetry};
}

} // namespace

QuotaService::QuotaService(boost::asio::io_context &link, std::string self, QuotaKeeperOptions options, QuotaServiceHooks hooks)
    : m_self(std::move(self))
    , m_hooks(std::move(hooks))
    , m_link(link)
    , m_keeper(options)
    , m_grace(options.bounds.window)
    , m_timer(link)
{
}

void QuotaService::configure(const Configuration &configuration)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_keeper.configure(configuration);
}

void QuotaService::setKeptSlots(const std::bitset<quotaSlots> &slots, double visibleFraction)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_keeper.setKeptSlots(slots, visibleFraction, Clock::now());
}

void QuotaService::admit(const std::string &workspace, TimePoint until, AdmitHandler handler)
{
    std::vector<Outcome> outcomes;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const TimePoint now = Clock::now();
        if (!m_keeper.isLimited(workspace)) {
            outcomes.push_back({std::move(handler), {}});
        } else if (const auto after = m_backoff.localRefusal(workspace, now)) {
            outcomes.push_back({std::move(handler), tl::unexpected(quotaExceeded(workspace, *after))});
        } else {
            const std::uint64_t id = ++m_lastId;
            const auto place = m_waiting.emplace(id, Waiting{workspace, until, TimePoint::max(), std::move(handler)}).first;
            askKeeper(id, place->second, now, outcomes);
            armTimer();
        }
    }
    complete(std::move(outcomes));
}

void QuotaService::askKeeper(std::uint64_t id, Waiting &waiting, TimePoint now, std::vector<Outcome> &outcomes)
{
    const std::string keeper = m_hooks.keeperOf(quotaSlotOf(waiting.workspace));
    if (keeper == m_self) {
        applyVerdict(id, m_keeper.ask(waiting.workspace, now), now, outcomes);
        return;
    }
    waiting.nextAt = now + (keeper.empty() ? disagreementRetry : answerTimeout);
    // Sent also when the request does not wait for the answer: an answer ends the grace period.
    if (!keeper.empty()) {
        m_hooks.send(keeper, hop::QuotaAsk{id, waiting.workspace});
    }
    if (m_grace.tryStart(waiting.workspace)) {
        outcomes.push_back({std::exchange(waiting.handler, nullptr), {}});
        waiting.granted = true;
    }
}

// Applies a verdict of a keeper; removes the request when its outcome is final.
void QuotaService::applyVerdict(std::uint64_t id, const QuotaVerdict &verdict, TimePoint now, std::vector<Outcome> &outcomes)
{
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end()) {
        return;
    }
    Waiting &waiting = found->second;
    m_grace.onVerdict(waiting.workspace, verdict, now);
    if (waiting.granted) {
        return;
    }
    switch (verdict.kind) {
    case QuotaVerdict::Kind::NotKeeper:
        waiting.nextAt = now + disagreementRetry;
        return;
    case QuotaVerdict::Kind::Refused:
        m_backoff.onRefused(waiting.workspace, verdict.after, now);
        outcomes.push_back({std::move(waiting.handler), tl::unexpected(quotaExceeded(waiting.workspace, verdict.after))});
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

hop::QuotaReply QuotaService::onAsk(const hop::QuotaAsk &ask)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {ask.id, m_keeper.ask(ask.workspace, Clock::now())};
}

void QuotaService::onReply(const hop::QuotaReply &reply)
{
    std::vector<Outcome> outcomes;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        applyVerdict(reply.id, reply.verdict, Clock::now(), outcomes);
        armTimer();
    }
    complete(std::move(outcomes));
}

// One timer serves all waiting requests; it is not set while none waits. A timer that fires too
// early costs one check, which is cheaper than setting it again for each request.
void QuotaService::armTimer()
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

void QuotaService::onTimer()
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
                m_grace.onKeeperTimeout(waiting.workspace, now);
                askKeeper(id, waiting, now, outcomes);
                continue;
            }
            if (waiting.granted) {
                // Empty when the request has already started without an answer.
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
    complete(std::move(outcomes));
}

void QuotaService::complete(std::vector<Outcome> outcomes)
{
    for (Outcome &outcome : outcomes) {
        outcome.handler(std::move(outcome.result));
    }
}

} // namespace egrettide
