// Implements the members of a line-protocol service on one thread.

#include "testing/platform/linegroup.h"

#include "runtime/host/timer.h"
#include "testing/upstream/slotpool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <future>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <thread>
#include <type_traits>
#include <utility>

namespace egrettide::standin
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace
{

struct Entry {
    Term term = 0;
    // Item and data of each write in the transaction.
    std::vector<std::pair<std::string, std::string>> writes;
};

std::string takeWord(std::string &text)
{
    const std::size_t end = text.find(' ');
    std::string word = text.substr(0, end);
    text = end == std::string::npos ? std::string() : text.substr(end + 1);
    return word;
}

std::string textOf(LogMark mark)
{
    return std::to_string(mark.term) + "." + std::to_string(mark.position);
}

LogMark markFrom(const std::string &text)
{
    const std::size_t dot = text.find('.');
    return {std::stoull(text.substr(0, dot)), std::stoull(text.substr(dot + 1))};
}

class Connection;

struct Member {
    explicit Member(asio::io_context &io, std::string memberName, int slotCount)
        : name(std::move(memberName)), acceptor(io, {asio::ip::address_v4::loopback(), 0}), slots(io, slotCount)
    {
    }

    std::string name;
    tcp::acceptor acceptor;
    testing::SlotPool slots;
    std::vector<Entry> log;
    // The term for which it is paused; 0 when it is not.
    Term pauseTerm = 0;
    bool dark = false;
    int answersToLose = 0;
    int refusals = 0;
    std::deque<StatementFate> plannedFates;
    int activeStatements = 0;
    int mostConnections = 0;
    int refusedConnections = 0;
    std::set<std::shared_ptr<Connection>> connections;

    LogMark position() const
    {
        return {log.empty() ? 0 : log.back().term, log.size()};
    }
};

} // namespace

class LineGroup::Impl
{
public:
    explicit Impl(LineGroupOptions groupOptions) : options(std::move(groupOptions)), m_random(options.seed)
    {
        for (const std::string &name : options.members) {
            members.push_back(std::make_unique<Member>(io, name, options.slots));
            accept(*members.back());
        }
        leader = options.members.front();
        m_thread = std::thread([this] { io.run(); });
    }

    ~Impl();

    // Runs the function on the group's thread and returns its result.
    template <typename Function> auto run(Function function)
    {
        std::packaged_task<std::invoke_result_t<Function>()> task(std::move(function));
        auto result = task.get_future();
        asio::post(io, [&task] { task(); });
        return result.get();
    }

    Member &member(const std::string &name)
    {
        const auto found = std::find_if(members.begin(), members.end(), [&](const auto &each) { return each->name == name; });
        return **found;
    }

    bool isPrimary(const Member &candidate) const
    {
        return candidate.name == leader;
    }

    void accept(Member &at);
    void commit(Member &at, std::vector<std::pair<std::string, std::string>> writes);
    void replicate(Member &to);
    void makePrimary(const std::string &name);
    std::string signature();

    LineGroupOptions options;
    asio::io_context io;
    std::vector<std::unique_ptr<Member>> members;
    std::string leader;
    Term term = 1;
    std::vector<RanStatement> ran;
    std::uint64_t lastConnection = 0;

private:
    std::mt19937_64 m_random;
    std::thread m_thread;
};

namespace
{

// One connection to a member; it runs one statement at a time, in order.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket socket, LineGroup::Impl &group, Member &member, std::uint64_t number);

    void start();
    void close();

private:
    void readLine();
    void handleLine(std::string line);
    void handleStartup(std::string rest);
    void handleStatement(std::string rest);
    StatementFate takeFate(const std::string &verb);
    bool handleWithoutSlot(const std::string &verb, std::string rest);
    void handleControl(const std::string &verb, const std::string &rest);
    void runInSlot(const std::string &verb, std::string rest);
    void execute(const std::string &verb, std::string rest);
    void record(const std::string &text, const std::string &shape);
    void read(const std::string &item);
    void write(const std::string &item, const std::string &data);
    void answer(const std::string &lines);
    void fail(const std::string &code);
    void send(const std::string &bytes);
    void writeNext();

    tcp::socket m_socket;
    LineGroup::Impl &m_group;
    Member &m_member;
    const std::uint64_t m_number;
    asio::streambuf m_input;
    std::deque<std::string> m_output;
    bool m_started = false;
    bool m_closed = false;
    std::string m_id;
    char m_state = 'I';
    bool m_readOnly = false;
    Term m_beginTerm = 0;
    std::vector<std::pair<std::string, std::string>> m_writes;
    // The caller named in the startup message.
    std::string m_caller;
    std::map<std::string, std::string> m_values;
    std::map<std::string, std::string> m_prepared;
};

Connection::Connection(tcp::socket socket, LineGroup::Impl &group, Member &member, std::uint64_t number)
    : m_socket(std::move(socket)), m_group(group), m_member(member), m_number(number)
{
}

void Connection::start()
{
    readLine();
}

void Connection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    error_code ignored;
    m_socket.close(ignored);
    m_member.connections.erase(shared_from_this());
}

void Connection::readLine()
{
    asio::async_read_until(m_socket, m_input, "\r\n", [self = shared_from_this()](const error_code &error, std::size_t size) {
        if (error || self->m_closed) {
            self->close();
            return;
        }
        // Only CR LF ends a line; a lone CR or LF is data.
        const auto received = self->m_input.data();
        std::string line(static_cast<const char *>(received.data()), size - 2);
        self->m_input.consume(size);
        // A dark member discards what it receives.
        if (!self->m_member.dark) {
            self->handleLine(std::move(line));
        }
    });
}

void Connection::handleLine(std::string line)
{
    const std::string word = takeWord(line);
    if (!m_started && word == "STARTUP") {
        handleStartup(std::move(line));
    } else if (m_started && word == "QUERY") {
        handleStatement(std::move(line));
    } else {
        close();
    }
}

void Connection::handleStartup(std::string rest)
{
    const std::string service = takeWord(rest);
    m_caller = takeWord(rest);
    const bool wrongId = !rest.empty() && rest != m_member.name;
    const bool full = static_cast<int>(m_member.connections.size()) > m_group.options.connections;
    if (service != m_group.options.service || wrongId || full) {
        m_member.refusedConnections += full ? 1 : 0;
        send(full ? "ERROR TOOMANY\r\n" : "ERROR MOVED\r\n");
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->close(); });
        return;
    }
    m_started = true;
    send("READY I " + textOf(m_member.position()) + "\r\n");
    readLine();
}

void Connection::handleStatement(std::string rest)
{
    m_id = takeWord(rest);
    std::string verb = takeWord(rest);
    std::optional<LogMark> after;
    if (verb == "AFTER") {
        after = markFrom(takeWord(rest));
        verb = takeWord(rest);
    }
    const StatementFate fate = takeFate(verb);
    if (fate == StatementFate::Close) {
        close();
    } else if (fate == StatementFate::Fail) {
        m_state = m_state == 'I' ? 'I' : 'E';
        fail("FAILED");
    } else if (m_state == 'E' && verb != "ROLLBACK" && verb != "COMMIT") {
        fail("MALFORMED");
    } else if (after && m_member.position() < *after) {
        fail("LAGGING");
    } else if (!handleWithoutSlot(verb, rest)) {
        runInSlot(verb, std::move(rest));
    }
}

StatementFate Connection::takeFate(const std::string &verb)
{
    const bool controls = verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN";
    if (controls || m_member.plannedFates.empty()) {
        return StatementFate::Run;
    }
    const StatementFate fate = m_member.plannedFates.front();
    m_member.plannedFates.pop_front();
    return fate;
}

// Handles statements that need no slot; returns false for all others.
bool Connection::handleWithoutSlot(const std::string &verb, std::string rest)
{
    if (verb == "SET") {
        const std::string name = takeWord(rest);
        m_values[name] = rest;
    } else if (verb == "RESET") {
        m_values.clear();
        m_prepared.clear();
    } else if (verb == "PREPARE") {
        const std::string name = takeWord(rest);
        m_prepared[name] = rest;
    } else if (verb == "ROLLBACK") {
        m_state = 'I';
        m_writes.clear();
    } else if (verb == "BEGIN") {
        m_readOnly = rest == "READ";
        if (!m_readOnly && !m_group.isPrimary(m_member)) {
            fail("READONLY " + m_member.name);
            return true;
        }
        m_state = 'T';
        m_beginTerm = m_group.term;
    } else if (verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
        handleControl(verb, rest);
        return true;
    } else {
        return false;
    }
    answer("COMPLETE -\r\n");
    return true;
}

void Connection::handleControl(const std::string &verb, const std::string &rest)
{
    if (verb == "PAUSE") {
        const Term wanted = std::stoull(rest);
        if (m_group.isPrimary(m_member) || wanted <= std::max(m_group.term, m_member.pauseTerm)) {
            fail("READONLY");
            return;
        }
        m_member.pauseTerm = wanted;
    } else if (verb == "RESUME") {
        m_member.pauseTerm = 0;
        m_group.replicate(m_member);
    } else if (m_group.isPrimary(m_member) && std::stoull(rest) > m_group.term) {
        m_group.leader.clear();
    }
    const std::string role = m_group.isPrimary(m_member) ? "primary" : "replica";
    answer("DATAROW " + role + " " + std::to_string(m_group.term) + " " + textOf(m_member.position()) + " "
           + std::to_string(m_member.pauseTerm) + " 1 " + std::to_string(m_member.activeStatements) + " "
           + std::to_string(m_member.connections.size()) + "\r\nCOMPLETE -\r\n");
}

void Connection::runInSlot(const std::string &verb, std::string rest)
{
    const bool refused = m_member.refusals > 0 && verb != "STATUS";
    if (refused || m_member.slots.queue() >= m_group.options.queue) {
        m_member.refusals -= refused ? 1 : 0;
        fail("BUSY");
        return;
    }
    ++m_member.activeStatements;
    m_member.slots.submit(m_group.options.work, [self = shared_from_this(), verb, rest = std::move(rest)] {
        --self->m_member.activeStatements;
        if (!self->m_closed && !self->m_member.dark) {
            self->execute(verb, rest);
        }
    });
}

void Connection::execute(const std::string &verb, std::string rest)
{
    if (verb == "STATUS") {
        handleControl(verb, "0");
        return;
    }
    const bool lostPrimaryRole = m_state == 'T' && !m_readOnly && (!m_group.isPrimary(m_member) || m_beginTerm != m_group.term);
    if (lostPrimaryRole && !(verb == "COMMIT" && m_writes.empty())) {
        m_state = verb == "COMMIT" ? 'I' : 'E';
        m_writes.clear();
        fail("READONLY " + m_member.name);
        return;
    }
    if (verb == "COMMIT") {
        const bool failed = m_state == 'E';
        m_state = 'I';
        record("COMMIT", {});
        if (!failed && !m_writes.empty()) {
            m_group.commit(m_member, std::exchange(m_writes, {}));
        }
        answer("COMPLETE " + m_group.signature() + "\r\n");
        return;
    }
    std::string shape;
    std::string kind = verb;
    if (verb == "EXECUTE") {
        const auto found = m_prepared.find(takeWord(rest));
        if (found == m_prepared.end()) {
            fail("NOSTMT");
            return;
        }
        shape = found->second;
        kind = shape.substr(0, shape.find(' '));
    }
    const std::string item = takeWord(rest);
    if (kind == "READ") {
        record(verb + " " + item, shape);
        read(item);
    } else if (kind == "WRITE" && m_group.isPrimary(m_member) && !(m_state == 'T' && m_readOnly)) {
        record(verb + " " + item + " " + rest, shape);
        write(item, rest);
    } else {
        fail(kind == "WRITE" ? "READONLY " + m_member.name : std::string("MALFORMED"));
    }
}

void Connection::record(const std::string &text, const std::string &shape)
{
    m_group.ran.push_back({m_member.name, m_number, m_id, text, m_state == 'T', m_values, shape, m_caller});
}

void Connection::read(const std::string &item)
{
    std::string value = "-";
    for (const Entry &entry : m_member.log) {
        for (const auto &[name, data] : entry.writes) {
            value = name == item ? data : value;
        }
    }
    for (const auto &[name, data] : m_writes) {
        value = name == item ? data : value;
    }
    answer("DATAROW " + value + "\r\nCOMPLETE " + m_group.signature() + "\r\n");
}

void Connection::write(const std::string &item, const std::string &data)
{
    m_writes.emplace_back(item, data);
    if (m_state == 'I') {
        m_group.commit(m_member, std::exchange(m_writes, {}));
    }
    answer("COMPLETE " + m_group.signature() + "\r\n");
}

void Connection::fail(const std::string &code)
{
    answer("ERROR " + code + "\r\n");
}

void Connection::answer(const std::string &lines)
{
    if (m_id != "-" && m_member.answersToLose > 0) {
        --m_member.answersToLose;
        close();
        return;
    }
    send(lines + "READY " + m_state + " " + textOf(m_member.position()) + "\r\n");
    readLine();
}

void Connection::send(const std::string &bytes)
{
    m_output.push_back(bytes);
    if (m_output.size() == 1) {
        writeNext();
    }
}

void Connection::writeNext()
{
    asio::async_write(m_socket, asio::buffer(m_output.front()),
                      [self = shared_from_this()](const error_code &error, std::size_t) {
                          self->m_output.pop_front();
                          if (error) {
                              self->close();
                          } else if (!self->m_output.empty()) {
                              self->writeNext();
                          }
                      });
}

} // namespace

LineGroup::Impl::~Impl()
{
    io.stop();
    m_thread.join();
    for (const auto &each : members) {
        each->connections.clear();
    }
}

void LineGroup::Impl::accept(Member &at)
{
    at.acceptor.async_accept([this, &at](const error_code &error, tcp::socket socket) {
        if (!error && !at.dark) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            const auto connection = std::make_shared<Connection>(std::move(socket), *this, at, ++lastConnection);
            at.connections.insert(connection);
            at.mostConnections = std::max(at.mostConnections, static_cast<int>(at.connections.size()));
            connection->start();
        }
        accept(at);
    });
}

void LineGroup::Impl::commit(Member &at, std::vector<std::pair<std::string, std::string>> writes)
{
    at.log.push_back({term, std::move(writes)});
    for (const auto &each : members) {
        if (each.get() == &at) {
            continue;
        }
        auto timer = std::make_shared<Timer>(io, options.lag);
        timer->async_wait([this, timer, to = each.get()](const error_code &) { replicate(*to); });
    }
}

void LineGroup::Impl::replicate(Member &to)
{
    if (leader.empty() || isPrimary(to) || to.pauseTerm != 0 || to.dark || member(leader).dark) {
        return;
    }
    to.log = member(leader).log;
}

// The member becomes primary of the next term with the log that it holds; the others
// lose the writes that it lacks.
void LineGroup::Impl::makePrimary(const std::string &name)
{
    if (name == leader || member(name).dark) {
        return;
    }
    leader = name;
    ++term;
    for (const auto &each : members) {
        each->pauseTerm = 0;
        replicate(*each);
    }
}

std::string LineGroup::Impl::signature()
{
    std::ostringstream text;
    text << term << "." << std::hex << m_random();
    return text.str();
}

LineGroup::LineGroup(LineGroupOptions options) : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

LineGroup::~LineGroup() = default;

std::string LineGroup::address(const std::string &member) const
{
    return m_impl->run([&] { return "127.0.0.1:" + std::to_string(m_impl->member(member).acceptor.local_endpoint().port()); });
}

nlohmann::json LineGroup::registration(const std::string &member) const
{
    const auto memberIndex = std::ranges::find(m_impl->options.members, member) - m_impl->options.members.begin();
    return {{"service", m_impl->options.service},
            {"address", address(member)},
            {"zone", m_impl->options.zones.at(static_cast<std::size_t>(memberIndex))},
            {"version", "v1"},
            {"slots", m_impl->options.slots},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"dbRole", primary() == member ? "primary" : "replica"},
            {"sequence", 1}};
}

std::string LineGroup::primary() const
{
    return m_impl->run([this] { return m_impl->leader; });
}

Term LineGroup::term() const
{
    return m_impl->run([this] { return m_impl->term; });
}

bool LineGroup::promote(const std::string &member)
{
    return m_impl->run([&] {
        const auto &names = m_impl->options.members;
        if (std::ranges::find(names, member) == names.end() || m_impl->member(member).dark) {
            return false;
        }
        auto timer = std::make_shared<Timer>(m_impl->io, m_impl->options.promoteDelay);
        timer->async_wait([impl = m_impl.get(), timer, member](const error_code &) { impl->makePrimary(member); });
        return true;
    });
}

bool LineGroup::isPaused(const std::string &member) const
{
    return m_impl->run([&] { return m_impl->member(member).pauseTerm != 0; });
}

void LineGroup::pause(const std::string &member, Term term)
{
    m_impl->run([&] { m_impl->member(member).pauseTerm = term; });
}

void LineGroup::setLag(milliseconds lag)
{
    m_impl->run([&] { m_impl->options.lag = lag; });
}

void LineGroup::setDark(const std::string &member, bool dark)
{
    m_impl->run([&] {
        m_impl->member(member).dark = dark;
        m_impl->replicate(m_impl->member(member));
    });
}

void LineGroup::loseNextAnswers(const std::string &member, int count)
{
    m_impl->run([&] { m_impl->member(member).answersToLose = count; });
}

void LineGroup::refuseNext(const std::string &member, int count)
{
    m_impl->run([&] { m_impl->member(member).refusals = count; });
}

void LineGroup::planStatements(const std::string &member, std::vector<StatementFate> fates)
{
    m_impl->run([&] { m_impl->member(member).plannedFates.assign(fates.begin(), fates.end()); });
}

void LineGroup::dropConnections(const std::string &member)
{
    m_impl->run([&] {
        const auto open = m_impl->member(member).connections;
        for (const auto &connection : open) {
            connection->close();
        }
    });
}

std::vector<RanStatement> LineGroup::ran() const
{
    return m_impl->run([this] { return m_impl->ran; });
}

int LineGroup::mostConnections(const std::string &member) const
{
    return m_impl->run([&] { return m_impl->member(member).mostConnections; });
}

int LineGroup::refusedConnections(const std::string &member) const
{
    return m_impl->run([&] { return m_impl->member(member).refusedConnections; });
}

} // namespace egrettide::standin
