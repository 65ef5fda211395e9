// Control functions of upstreams over SQL.

#include "runtime/groupcontrol.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <charconv>
#include <deque>
#include <string_view>

namespace egrettide
{

namespace asio = boost::asio;

namespace
{

// Between two attempts to connect to an upstream that refuses.
constexpr milliseconds firstBackoff{10};
constexpr milliseconds lastBackoff{100};

// A row of the control functions by column name.
class RowView
{
public:
    RowView(const std::vector<std::string> &columns, const std::vector<std::optional<std::string>> &values)
        : m_columns(columns), m_values(values)
    {
    }

    std::optional<std::string> text(std::string_view column) const
    {
        for (std::size_t i = 0; i < m_columns.size() && i < m_values.size(); ++i) {
            if (m_columns[i] == column) {
                return m_values[i];
            }
        }
        return std::nullopt;
    }

    std::optional<std::uint64_t> number(std::string_view column) const
    {
        const auto value = text(column);
        std::uint64_t number = 0;
        if (!value) {
            return std::nullopt;
        }
        const auto parsed = std::from_chars(value->data(), value->data() + value->size(), number);
        if (parsed.ec != std::errc{}) {
            return std::nullopt;
        }
        return number;
    }

private:
    const std::vector<std::string> &m_columns;
    const std::vector<std::optional<std::string>> &m_values;
};

std::optional<UpstreamRole> roleFrom(const std::optional<std::string> &text)
{
    if (text == "primary") {
        return UpstreamRole::Primary;
    }
    if (text == "replica") {
        return UpstreamRole::Replica;
    }
    if (text == "fenced") {
        return UpstreamRole::Fenced;
    }
    return std::nullopt;
}

std::string quoted(std::string_view text)
{
    std::string out = "'";
    for (const char c : text) {
        out += c == '\'' ? "''" : std::string(1, c);
    }
    return out + "'";
}

std::string termCall(std::string_view function, Term term, const std::string &arguments)
{
    return "SELECT * FROM " + std::string(function) + "(" + std::to_string(term) + ", " + arguments + ")";
}

} // namespace

std::optional<MemberStatus> memberStatusFromRow(const std::vector<std::string> &columns,
                                                const std::vector<std::optional<std::string>> &values)
{
    const RowView row(columns, values);
    const auto role = roleFrom(row.text("role"));
    const auto promised = row.number("promised_term");
    const auto receivedTerm = row.number("received_term");
    const auto received = row.number("received");
    const auto replayedTerm = row.number("replayed_term");
    const auto replayed = row.number("replayed");
    const auto following = row.number("following_term");
    if (!role || !promised || !receivedTerm || !received || !replayedTerm || !replayed || !following) {
        return std::nullopt;
    }
    MemberStatus status;
    status.upstream = row.text("name").value_or("");
    status.role = *role;
    status.promisedTerm = *promised;
    status.promisedTo = row.text("promised_to").value_or("");
    status.received = LogMark{*receivedTerm, *received};
    status.replayed = LogMark{*replayedTerm, *replayed};
    status.followingTerm = *following;
    return status;
}

// One upstream's control connection and the calls that wait for it, which run
// one after the other.
class GroupControl::Channel : public std::enable_shared_from_this<Channel>
{
public:
    Channel(asio::io_context &context, ConnectionSettings settings)
        : m_context(context), m_settings(std::move(settings)), m_openTimer(context)
    {
    }

    const std::string &address() const
    {
        return m_settings.address;
    }

    void call(const std::string &sql, TimePoint deadline, ControlHandler handler)
    {
        const auto call = std::make_shared<Call>(m_context, deadline, std::move(handler));
        pg::appendQuery(call->bytes, sql);
        call->timer.expires_at(deadline);
        call->timer.async_wait([weak = weak_from_this(), call](const boost::system::error_code &cancelled) {
            const auto self = weak.lock();
            if (!cancelled && self) {
                self->finish(call, tl::unexpected(ControlFailure{ProbeFailure::Timeout, "no answer in time"}));
            }
        });
        m_queue.push_back(call);
        // Not from within the caller's call.
        asio::post(m_context, [self = shared_from_this()] { self->pump(); });
    }

    // Ends without calling anybody; see UpstreamConnection::abandon.
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
        // Empty once it was called.
        ControlHandler handler;
        asio::steady_timer timer;
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

    // What goes wrong: an upstream that refuses connections does so at once, and
    // rounds that follow each other closely would ask it hundreds of times a
    // second, just when it can't spare a connection.
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
        m_connection = UpstreamConnection::create(m_context, m_settings);
        m_connection->open(m_queue.front()->deadline, [self = shared_from_this()](const tl::expected<void, Error> &opened) {
            if (opened) {
                self->m_backoff = firstBackoff;
                self->pump();
                return;
            }
            self->m_openAt = Clock::now() + self->m_backoff;
            self->m_backoff = std::min(self->m_backoff * 2, lastBackoff);
            // Every call that waits shared this attempt; the next call opens anew.
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
            finish(call, controlAnswer(*answer));
        } else {
            const ProbeFailure failure = m_connection ? m_connection->lossKind() : ProbeFailure::Reset;
            finish(call, tl::unexpected(ControlFailure{failure, answer.error().message}));
        }
        pump();
    }

    static tl::expected<ControlAnswer, ControlFailure> controlAnswer(const BatchAnswer &answer)
    {
        if (!answer.row.empty()) {
            if (const auto status = memberStatusFromRow(answer.columns, answer.row)) {
                const RowView row(answer.columns, answer.row);
                return ControlAnswer{row.text("granted").value_or("t") == "t", *status};
            }
        }
        return tl::unexpected(ControlFailure{ProbeFailure::Refused,
                                             "the upstream refused a control function with SQLSTATE '" + answer.sqlState + "'"});
    }

    asio::io_context &m_context;
    const ConnectionSettings m_settings;
    std::shared_ptr<UpstreamConnection> m_connection;
    // Not sent yet, oldest first.
    std::deque<CallPointer> m_queue;
    bool m_running = false;
    bool m_closed = false;
    // No connection is opened before that.
    TimePoint m_openAt = TimePoint::min();
    milliseconds m_backoff = firstBackoff;
    asio::steady_timer m_openTimer;
};

GroupControl::GroupControl(asio::io_context &context, const DatabaseSpec &database, const std::string &user)
    : m_context(context), m_user(user)
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

GroupControlHooks GroupControl::hooks()
{
    GroupControlHooks hooks;
    hooks.status = [this](const std::string &upstream, TimePoint deadline, StatusHandler handler) {
        status(upstream, deadline, std::move(handler));
    };
    hooks.fence = [this](const std::string &upstream, Term term, const std::string &token, TimePoint deadline,
                         ControlHandler handler) {
        call(upstream, termCall("group_fence", term, quoted(token)), deadline, std::move(handler));
    };
    hooks.promote = [this](const std::string &upstream, Term term, const std::string &token, TimePoint deadline,
                           ControlHandler handler) {
        call(upstream, termCall("group_promote", term, quoted(token)), deadline, std::move(handler));
    };
    hooks.follow = [this](const std::string &upstream, Term term, const std::string &token, const std::string &primary,
                          TimePoint deadline,
                          ControlHandler handler) { follow(upstream, term, token, primary, deadline, std::move(handler)); };
    return hooks;
}

void GroupControl::status(const std::string &upstream, TimePoint deadline, StatusHandler handler)
{
    const auto passOn = [handler = std::move(handler)](tl::expected<ControlAnswer, ControlFailure> answer) {
        if (answer) {
            handler(answer->status);
        } else {
            handler(tl::unexpected(answer.error()));
        }
    };
    call(upstream, "SELECT * FROM group_status()", deadline, passOn);
}

void GroupControl::follow(const std::string &upstream, Term term, const std::string &token, const std::string &primary,
                          TimePoint deadline, ControlHandler handler)
{
    const auto address = m_addresses.find(primary);
    const std::string arguments = quoted(token) + ", " + quoted(address == m_addresses.end() ? "" : address->second);
    call(upstream, termCall("group_follow", term, arguments), deadline, std::move(handler));
}

void GroupControl::call(const std::string &upstream, const std::string &sql, TimePoint deadline, ControlHandler handler)
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
        settings.sendsCancel = false;
        channel = std::make_shared<Channel>(m_context, std::move(settings));
    }
    // The name in the row is the upstream's own; here the configuration's counts.
    const auto renamed = [upstream, handler = std::move(handler)](tl::expected<ControlAnswer, ControlFailure> answer) {
        if (answer) {
            answer->status.upstream = upstream;
        }
        handler(std::move(answer));
    };
    channel->call(sql, deadline, renamed);
}

} // namespace egrettide
