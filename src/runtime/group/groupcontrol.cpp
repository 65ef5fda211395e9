// Implements control calls over one long-lived connection for each upstream.

#include "runtime/group/groupcontrol.h"
#include "runtime/host/timer.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <deque>

namespace egrettide
{

namespace asio = boost::asio;

namespace
{

// The delay between attempts to connect to an upstream that refuses connections, doubled after each failure.
constexpr milliseconds firstBackoff{10};
constexpr milliseconds lastBackoff{100};

} // namespace

// One upstream's control connection and its queue of calls, which run one at a time.
class GroupControl::Channel : public std::enable_shared_from_this<Channel>
{
public:
    Channel(asio::io_context &context, ControlPort port, ConnectionSettings settings)
        : m_context(context), m_port(std::move(port)), m_settings(std::move(settings)), m_openTimer(context)
    {
    }

    const std::string &address() const
    {
        return m_settings.address;
    }

    void call(std::string batch, TimePoint deadline, ControlHandler handler)
    {
        const auto call = std::make_shared<Call>(m_context, deadline, std::move(handler));
        call->bytes = std::move(batch);
        call->timer.expires_at(deadline);
        call->timer.async_wait([weak = weak_from_this(), call](const boost::system::error_code &cancelled) {
            const auto self = weak.lock();
            if (!cancelled && self) {
                self->finish(call, tl::unexpected(ControlFailure{ProbeFailure::Timeout, "no answer in time"}));
            }
        });
        m_queue.push_back(call);
        // Posted, so that no handler runs inside the caller's call.
        asio::post(m_context, [self = shared_from_this()] { self->pump(); });
    }

    // Closes without calling any handler; see UpstreamLink::abandon.
    void abandon()
    {
        m_closed = true;
        m_queue.clear();
        if (m_connection) {
            m_connection->abandon();
        }
    }

    void close()
    {
        m_closed = true;
        if (m_connection) {
            m_connection->close();
        }
        failAll(ControlFailure{ProbeFailure::Timeout, "this host stopped watching the upstream"});
    }

private:
    struct Call {
        Call(asio::io_context &context, TimePoint callDeadline, ControlHandler callHandler)
            : deadline(callDeadline), handler(std::move(callHandler)), timer(context)
        {
        }
        TimePoint deadline;
        // Empty after it has been called.
        ControlHandler handler;
        Timer timer;
        std::string bytes;
    };
    using CallPointer = std::shared_ptr<Call>;

    void finish(const CallPointer &call, tl::expected<ControlAnswer, ControlFailure> result)
    {
        call->timer.cancel();
        std::erase(m_queue, call);
        if (call->handler) {
            std::exchange(call->handler, nullptr)(std::move(result));
        }
    }

    void failAll(const ControlFailure &failure)
    {
        const auto calls = std::exchange(m_queue, {});
        for (const CallPointer &call : calls) {
            finish(call, tl::unexpected(failure));
        }
    }

    void pump()
    {
        if (m_closed || m_queue.empty() || m_running) {
            return;
        }
        if (!m_connection || !m_connection->isOpen()) {
            openWhenDue();
            return;
        }
        if (m_connection->usable()) {
            runFront();
        }
    }

    // Opens a connection, or schedules the attempt when the backoff has not passed yet. An upstream that refuses
    // connections does so at once; without the backoff, frequent rounds would make hundreds of attempts a second
    // while the upstream has no connection to spare.
    void openWhenDue()
    {
        if (Clock::now() >= m_openAt) {
            open();
            return;
        }
        m_openTimer.expires_at(m_openAt);
        m_openTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &cancelled) {
            const auto self = weak.lock();
            if (!cancelled && self) {
                self->pump();
            }
        });
    }

    void open()
    {
        m_connection = m_port.makeLink(m_context, m_settings);
        m_connection->open(m_queue.front()->deadline, [self = shared_from_this()](const tl::expected<void, Error> &opened) {
            if (opened) {
                self->m_backoff = firstBackoff;
                self->pump();
                return;
            }
            self->m_openAt = Clock::now() + self->m_backoff;
            self->m_backoff = std::min(self->m_backoff * 2, lastBackoff);
            // All queued calls depended on this attempt and fail with it; the next call starts a new one.
            const ProbeFailure failure = self->m_connection->lossKind();
            self->m_connection.reset();
            self->failAll(ControlFailure{failure, opened.error().message});
        });
    }

    void runFront()
    {
        const CallPointer call = m_queue.front();
        m_queue.pop_front();
        m_running = true;
        BatchOrder order;
        order.batch = call->bytes;
        order.keepRow = true;
        order.deadline = call->deadline;
        m_connection->run(std::move(order),
                          [self = shared_from_this(), call](const tl::expected<BatchAnswer, BatchFailure> &answer) {
                              self->onAnswer(call, answer);
                          });
    }

    void onAnswer(const CallPointer &call, const tl::expected<BatchAnswer, BatchFailure> &answer)
    {
        m_running = false;
        if (answer) {
            finish(call, m_port.codec.answer(*answer));
        } else {
            const ProbeFailure failure = m_connection ? m_connection->lossKind() : ProbeFailure::Reset;
            finish(call, tl::unexpected(ControlFailure{failure, answer.error().message}));
        }
        pump();
    }

    asio::io_context &m_context;
    // A copy, because a call in progress may outlive the GroupControl.
    const ControlPort m_port;
    const ConnectionSettings m_settings;
    std::shared_ptr<UpstreamLink> m_connection;
    // Calls that have not been sent yet, oldest first.
    std::deque<CallPointer> m_queue;
    bool m_running = false;
    bool m_closed = false;
    // The earliest time of the next attempt to connect.
    TimePoint m_openAt = TimePoint::min();
    milliseconds m_backoff = firstBackoff;
    Timer m_openTimer;
};

GroupControl::GroupControl(asio::io_context &context, ControlPort port, const DatabaseSpec &database, const std::string &user)
    : m_context(context), m_port(std::move(port)), m_user(user)
{
    update(database);
}

GroupControl::~GroupControl()
{
    for (const auto &[upstream, channel] : m_channels) {
        channel->abandon();
    }
}

void GroupControl::close()
{
    for (const auto &[upstream, channel] : std::exchange(m_channels, {})) {
        channel->close();
    }
}

void GroupControl::update(const DatabaseSpec &database)
{
    m_database = database.name;
    m_addresses.clear();
    for (const UpstreamSpec &upstream : database.upstreams) {
        m_addresses[upstream.name] = upstream.address;
    }
    std::vector<std::shared_ptr<Channel>> stale;
    std::erase_if(m_channels, [this, &stale](const auto &entry) {
        const auto address = m_addresses.find(entry.first);
        const bool gone = address == m_addresses.end() || address->second != entry.second->address();
        if (gone) {
            stale.push_back(entry.second);
        }
        return gone;
    });
    for (const auto &channel : stale) {
        channel->close();
    }
}

// Adds the token to granted answers of upstreams that do not return it: a granted answer belongs to the call that it
// answers.
ControlHandler GroupControl::namedToken(const std::string &token, ControlHandler handler) const
{
    if (m_port.codec.answersNameToken) {
        return handler;
    }
    return [token, handler = std::move(handler)](tl::expected<ControlAnswer, ControlFailure> answer) {
        if (answer && answer->granted) {
            answer->status.promisedTo = token;
        }
        handler(std::move(answer));
    };
}

GroupControlHooks GroupControl::hooks()
{
    GroupControlHooks hooks;
    hooks.status = [this](const std::string &upstream, TimePoint deadline, StatusHandler handler) {
        status(upstream, deadline, std::move(handler));
    };
    hooks.fence = [this](const std::string &upstream, Term term, const std::string &token, TimePoint deadline,
                         ControlHandler handler) {
        call(upstream, m_port.codec.fence(term, token), deadline, namedToken(token, std::move(handler)));
    };
    hooks.promote = [this](const std::string &upstream, Term term, const std::string &token, std::uint64_t fencingToken,
                           TimePoint deadline, ControlHandler handler) {
        promote(PromoteOrder{m_database, upstream, term, fencingToken}, token, deadline, std::move(handler));
    };
    hooks.follow = [this](const std::string &upstream, Term term, const std::string &token, const std::string &primary,
                          TimePoint deadline,
                          ControlHandler handler) { follow(upstream, term, token, primary, deadline, std::move(handler)); };
    return hooks;
}

void GroupControl::status(const std::string &upstream, TimePoint deadline, StatusHandler handler)
{
    const auto forwardStatus = [handler = std::move(handler)](tl::expected<ControlAnswer, ControlFailure> answer) {
        if (answer) {
            handler(answer->status);
        } else {
            handler(tl::unexpected(answer.error()));
        }
    };
    call(upstream, m_port.codec.status(), deadline, forwardStatus);
}

void GroupControl::follow(const std::string &upstream, Term term, const std::string &token, const std::string &primary,
                          TimePoint deadline, ControlHandler handler)
{
    const auto address = m_addresses.find(primary);
    const std::string primaryAddress = address == m_addresses.end() ? std::string() : address->second;
    call(upstream, m_port.codec.follow(term, token, primaryAddress), deadline, std::move(handler));
}

void GroupControl::promote(const PromoteOrder &order, const std::string &token, TimePoint deadline, ControlHandler handler)
{
    if (m_port.promote) {
        m_port.promote(order, deadline, std::move(handler));
        return;
    }
    call(order.upstream, m_port.codec.promote(order.term, token), deadline, std::move(handler));
}

void GroupControl::call(const std::string &upstream, std::string batch, TimePoint deadline, ControlHandler handler)
{
    const auto address = m_addresses.find(upstream);
    if (address == m_addresses.end()) {
        asio::post(m_context, [handler = std::move(handler)] {
            handler(tl::unexpected(ControlFailure{ProbeFailure::Refused, "the upstream is not configured"}));
        });
        return;
    }
    auto &channel = m_channels[upstream];
    if (!channel) {
        ConnectionSettings settings;
        settings.address = address->second;
        settings.user = m_user;
        settings.database = m_database;
        settings.upstream = upstream;
        settings.sendsCancel = false;
        channel = std::make_shared<Channel>(m_context, m_port, std::move(settings));
    }
    // Replaces the name in the row, which is the upstream's own, by the configured name.
    const auto withConfiguredName = [upstream, handler = std::move(handler)](tl::expected<ControlAnswer, ControlFailure> answer) {
        if (answer) {
            answer->status.upstream = upstream;
        }
        handler(std::move(answer));
    };
    channel->call(std::move(batch), deadline, withConfiguredName);
}

} // namespace egrettide
