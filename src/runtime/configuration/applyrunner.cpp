// Performs the actions of ConfigurationApply through the store client.

#include "runtime/configuration/applyrunner.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

namespace
{

// Timeout of one call: a part of the deadline, so that a lost answer leaves time for a retry.
constexpr milliseconds CallTimeout{2000};

ApplyEvent readEvent(std::uint64_t attempt, const tl::expected<VersionedObject, StoreError> &answer)
{
    if (!answer && answer.error().failure == StoreFailure::NotFound) {
        return ReadAnswered{attempt, std::nullopt};
    }
    if (!answer) {
        return ReadFailed{attempt};
    }
    auto head = parseConfigurationHead(answer->value);
    if (!head) {
        return ReadUnusable{attempt, std::move(head.error())};
    }
    return ReadAnswered{attempt, StoredHead{answer->version, std::move(*head)}};
}

ApplyEvent writeEvent(std::uint64_t attempt, const tl::expected<VersionedObject, StoreError> &answer)
{
    if (answer) {
        return WriteAccepted{attempt, answer->version};
    }
    switch (answer.error().failure) {
    case StoreFailure::Conflict:
        return WriteConflicted{attempt};
    case StoreFailure::Refused:
        return WriteRefused{attempt, answer.error().error.message};
    case StoreFailure::Unavailable:
        return WriteNotSent{attempt};
    default:
        return WriteAnswerLost{attempt};
    }
}

} // namespace

ApplyRunner::ApplyRunner(boost::asio::io_context &context, Store &store, ConfigurationApply::Settings settings,
                         nlohmann::json file)
    : m_store(store), m_apply(std::move(settings)), m_file(std::move(file)), m_pauseTimer(context), m_deadlineTimer(context)
{
}

void ApplyRunner::start(TimePoint deadline, ApplyHandler handler)
{
    m_deadline = deadline;
    m_handler = std::move(handler);
    m_deadlineTimer.expires_at(deadline);
    m_deadlineTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            feed(ApplyDeadlinePassed{});
        }
    });
    perform(m_apply.start(Clock::now()));
}

void ApplyRunner::feed(const ApplyEvent &event)
{
    if (const auto action = m_apply.handle(event, Clock::now())) {
        perform(*action);
    }
}

void ApplyRunner::perform(const ApplyAction &action)
{
    if (const auto *toRead = std::get_if<ReadConfiguration>(&action)) {
        after(toRead->notBefore, [this, action = *toRead] { read(action); });
    } else if (const auto *toWrite = std::get_if<WriteConfiguration>(&action)) {
        after(toWrite->notBefore, [this, action = *toWrite] { write(action); });
    } else {
        m_pauseTimer.cancel();
        m_deadlineTimer.cancel();
        const ApplyHandler handler = std::exchange(m_handler, nullptr);
        handler(std::get<ApplyFinished>(action));
    }
}

void ApplyRunner::after(TimePoint moment, std::function<void()> step)
{
    m_pauseTimer.expires_at(moment);
    m_pauseTimer.async_wait([step = std::move(step)](const boost::system::error_code &error) {
        if (!error) {
            step();
        }
    });
}

void ApplyRunner::read(const ReadConfiguration &action)
{
    m_store.read(std::string(ConfigurationKey), callDeadline(),
                 [this, attempt = action.attempt](const auto &answer) { feed(readEvent(attempt, answer)); });
}

void ApplyRunner::write(const WriteConfiguration &action)
{
    m_store.write(std::string(ConfigurationKey), configurationObject(action.head, m_file), action.expectedVersion, callDeadline(),
                  [this, attempt = action.attempt](const auto &answer) { feed(writeEvent(attempt, answer)); });
}

TimePoint ApplyRunner::callDeadline() const
{
    return std::min(m_deadline, Clock::now() + CallTimeout);
}

} // namespace egrettide
