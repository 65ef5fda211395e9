// SessionState: settings, floor and open transaction of one session.

#include "egrettide/core/sessionstate.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>

namespace egrettide
{

namespace
{

constexpr milliseconds maxDuration = std::chrono::hours(24);

Error invalid(std::string message)
{
    return Error{ErrorKind::InvalidInput, std::move(message), milliseconds{0}};
}

Error unknownSetting(std::string_view name)
{
    return invalid("There is no setting " + std::string(name)
                   + "; use egrettide.freshness, egrettide.class, egrettide.timeout, egrettide.idempotent or egrettide.session.");
}

std::string lowered(std::string_view text)
{
    return absl::AsciiStrToLower(absl::string_view(text.data(), text.size()));
}

std::string trimmed(std::string_view text)
{
    std::string copy(text);
    absl::StripAsciiWhitespace(&copy);
    return copy;
}

bool hasPrefix(std::string_view name)
{
    return lowered(name).starts_with(settingnames::prefix);
}

std::string durationText(milliseconds duration)
{
    return absl::StrCat(duration.count(), "ms");
}

// Splits the `options` parameter as PostgreSQL does: at white space that is not
// escaped by a backslash.
std::vector<std::string> splitOptions(std::string_view options)
{
    std::vector<std::string> words;
    std::string word;
    bool escaped = false;
    for (const char each : options) {
        if (!escaped && each == '\\') {
            escaped = true;
            continue;
        }
        if (!escaped && absl::ascii_isspace(static_cast<unsigned char>(each))) {
            if (!word.empty()) {
                words.push_back(std::move(word));
                word.clear();
            }
            continue;
        }
        word.push_back(each);
        escaped = false;
    }
    if (!word.empty()) {
        words.push_back(std::move(word));
    }
    return words;
}

// The "name=value" part of one word of `options`. `-c` may also be a word of its own.
std::string_view assignmentOf(std::string_view word)
{
    if (word.starts_with("--") || word.starts_with("-c")) {
        word.remove_prefix(2);
    }
    return word;
}

} // namespace

namespace detail
{

std::optional<milliseconds> parseDuration(std::string_view text)
{
    struct Unit {
        std::string_view suffix;
        std::int64_t factor;
    };
    // "ms" has to precede "s", as it ends with it.
    static constexpr std::array<Unit, 3> units = {{{"ms", 1}, {"min", 60000}, {"s", 1000}}};
    std::string number = lowered(trimmed(text));
    std::int64_t factor = 1;
    for (const Unit &unit : units) {
        if (number.ends_with(unit.suffix)) {
            number.resize(number.size() - unit.suffix.size());
            factor = unit.factor;
            break;
        }
    }
    number = trimmed(number);
    std::int64_t value = 0;
    const bool digits = !number.empty() && std::all_of(number.begin(), number.end(), [](char each) {
        return absl::ascii_isdigit(static_cast<unsigned char>(each));
    });
    if (!digits || !absl::SimpleAtoi(number, &value) || value <= 0 || value > maxDuration.count() / factor) {
        return std::nullopt;
    }
    return milliseconds{value * factor};
}

} // namespace detail

SessionState::SessionState(SessionDefaults defaults, std::shared_ptr<const SessionTokenCodec> codec, TimePoint arrivedAt)
    : m_defaults(std::move(defaults)), m_codec(std::move(codec)), m_arrivedAt(arrivedAt)
{
    m_floorIncomplete = !m_defaults.startsWithCompleteFloor;
    resetAll();
}

void SessionState::setDefaults(SessionDefaults defaults)
{
    m_defaults = std::move(defaults);
    resetAll();
}

tl::expected<void, Error> SessionState::applyStartup(const Parameters &parameters)
{
    for (const auto &[name, value] : parameters) {
        auto applied = name == "options" ? applyOptions(value) : applyStartupSetting(name, value);
        if (!applied) {
            return applied;
        }
    }
    return {};
}

tl::expected<void, Error> SessionState::applyOptions(std::string_view options)
{
    for (const std::string &word : splitOptions(options)) {
        const std::string_view assignment = assignmentOf(word);
        const std::size_t equals = assignment.find('=');
        if (equals == std::string_view::npos) {
            continue;
        }
        auto applied = applyStartupSetting(assignment.substr(0, equals), assignment.substr(equals + 1));
        if (!applied) {
            return applied;
        }
    }
    return {};
}

tl::expected<void, Error> SessionState::applyStartupSetting(std::string_view name, std::string_view value)
{
    if (!hasPrefix(name)) {
        return {};
    }
    auto applied = set(name, value);
    if (!applied && lowered(name) == settingnames::session) {
        m_tokenRefusal = applied.error().message;
        return {};
    }
    return applied;
}

const std::string &SessionState::tokenRefusal() const
{
    return m_tokenRefusal;
}

tl::expected<void, Error> SessionState::set(std::string_view name, std::string_view value)
{
    const std::string setting = lowered(name);
    if (setting == settingnames::freshness) {
        return setFreshness(value);
    }
    if (setting == settingnames::className) {
        return setClass(value);
    }
    if (setting == settingnames::timeout) {
        return setTimeout(value);
    }
    if (setting == settingnames::idempotent) {
        return setIdempotent(value);
    }
    if (setting == settingnames::session) {
        return applyToken(value);
    }
    if (setting == settingnames::tenant) {
        return tl::unexpected(invalid("egrettide.tenant follows from the user; connect as another user to change it."));
    }
    return tl::unexpected(unknownSetting(name));
}

tl::expected<std::string, Error> SessionState::show(std::string_view name) const
{
    const std::string setting = lowered(name);
    if (setting == settingnames::freshness) {
        switch (m_mode) {
        case FreshnessMode::Session:
            return "session";
        case FreshnessMode::Latest:
            return "latest";
        case FreshnessMode::MaxAge:
            return durationText(*m_maxAge);
        }
    }
    if (setting == settingnames::className) {
        return m_className;
    }
    if (setting == settingnames::timeout) {
        return durationText(m_timeout);
    }
    if (setting == settingnames::idempotent) {
        return m_idempotent ? "on" : "off";
    }
    if (setting == settingnames::session) {
        return token();
    }
    if (setting == settingnames::tenant) {
        return m_defaults.tenant;
    }
    return tl::unexpected(unknownSetting(name));
}

tl::expected<void, Error> SessionState::reset(std::string_view name)
{
    const std::string setting = lowered(name);
    if (setting == settingnames::freshness) {
        m_maxAge = m_defaults.maxAge;
        m_mode = m_maxAge ? FreshnessMode::MaxAge : FreshnessMode::Session;
        m_mode = m_defaults.latest ? FreshnessMode::Latest : m_mode;
    } else if (setting == settingnames::className) {
        m_className = m_defaults.className;
    } else if (setting == settingnames::timeout) {
        m_timeout = m_defaults.timeout;
    } else if (setting == settingnames::idempotent) {
        m_idempotent = false;
    } else if (setting != settingnames::session && setting != settingnames::tenant) {
        return tl::unexpected(unknownSetting(name));
    }
    return {};
}

void SessionState::resetAll()
{
    for (const std::string_view name :
         {settingnames::freshness, settingnames::className, settingnames::timeout, settingnames::idempotent}) {
        (void)reset(name);
    }
}

tl::expected<void, Error> SessionState::setFreshness(std::string_view value)
{
    const std::string text = lowered(trimmed(value));
    if (text == "session" || text == "latest") {
        m_mode = text == "latest" ? FreshnessMode::Latest : FreshnessMode::Session;
        m_maxAge.reset();
        return {};
    }
    const auto age = detail::parseDuration(text);
    if (!age) {
        return tl::unexpected(invalid("egrettide.freshness is '" + std::string(value)
                                      + "'; use 'session', 'latest' or an age from 1ms to 24 hours such as '500ms' or '2s'."));
    }
    m_mode = FreshnessMode::MaxAge;
    m_maxAge = age;
    return {};
}

tl::expected<void, Error> SessionState::setClass(std::string_view value)
{
    const auto &allowed = m_defaults.allowedClasses;
    if (value != m_defaults.className && std::find(allowed.begin(), allowed.end(), value) == allowed.end()) {
        return tl::unexpected(invalid("egrettide.class is '" + std::string(value)
                                      + "'; this caller may use: " + absl::StrJoin(allowed, ", ") + "."));
    }
    m_className = value;
    return {};
}

tl::expected<void, Error> SessionState::setTimeout(std::string_view value)
{
    const auto timeout = detail::parseDuration(value);
    if (!timeout) {
        return tl::unexpected(invalid("egrettide.timeout is '" + std::string(value)
                                      + "'; use a time from 1ms to 24 hours such as '500ms' or '2s'."));
    }
    m_timeout = *timeout;
    return {};
}

tl::expected<void, Error> SessionState::setIdempotent(std::string_view value)
{
    const std::string text = lowered(trimmed(value));
    const bool on = text == "on" || text == "true" || text == "1" || text == "yes";
    const bool off = text == "off" || text == "false" || text == "0" || text == "no";
    if (!on && !off) {
        return tl::unexpected(invalid("egrettide.idempotent is '" + std::string(value) + "'; use on or off."));
    }
    m_idempotent = on;
    return {};
}

tl::expected<void, Error> SessionState::applyToken(std::string_view value)
{
    if (value.empty()) {
        return {};
    }
    const auto decoded = m_codec->decode(value);
    if (!decoded) {
        return tl::unexpected(decoded.error());
    }
    if (decoded->database != m_defaults.database) {
        // A mark in the log of another database can't be compared with marks of this one.
        return {};
    }
    raiseFloor(decoded->mark);
    m_floorIncomplete = false;
    return {};
}

const std::string &SessionState::database() const
{
    return m_defaults.database;
}

const std::string &SessionState::tenant() const
{
    return m_defaults.tenant;
}

const std::string &SessionState::className() const
{
    return m_className;
}

milliseconds SessionState::timeout() const
{
    return m_timeout;
}

bool SessionState::idempotent() const
{
    return m_idempotent;
}

FreshnessMode SessionState::mode() const
{
    return m_mode;
}

Freshness SessionState::freshnessFor(StatementKind kind) const
{
    const bool begins = kind == StatementKind::Begin || kind == StatementKind::BeginReadOnly;
    if (inTransaction() || !(begins || kind == StatementKind::Read)) {
        return {};
    }
    Freshness freshness;
    freshness.floor = m_floor;
    freshness.maxAge = m_maxAge;
    freshness.latest = m_mode == FreshnessMode::Latest || m_floorIncomplete;
    return freshness;
}

TimePoint SessionState::freshSince(TimePoint receivedAt) const
{
    const bool countsFromArrival = m_floorIncomplete && m_mode != FreshnessMode::Latest;
    return countsFromArrival ? m_arrivedAt : receivedAt;
}

bool SessionState::onSeen(LogMark mark, const Freshness &asked, StatementKind kind)
{
    const auto floorBefore = m_floor;
    const bool incompleteBefore = m_floorIncomplete;
    const bool onlyRead = kind == StatementKind::Read || kind == StatementKind::BeginReadOnly;
    if (m_defaults.readsRaiseFloor || !onlyRead) {
        raiseFloor(mark);
    }
    // BEGIN doesn't complete the floor: it returns no data, and the mark that covers its
    // transaction comes with COMMIT. The mark of an acknowledged write follows those of
    // all writes acknowledged before it.
    const bool latestRead = kind == StatementKind::Read && asked.latest;
    if (latestRead || kind == StatementKind::Write || kind == StatementKind::Commit) {
        m_floorIncomplete = false;
    }
    return !m_floorIncomplete && (incompleteBefore || m_floor != floorBefore);
}

void SessionState::raiseFloor(LogMark mark)
{
    m_floor = std::max(m_floor.value_or(mark), mark);
}

const std::optional<LogMark> &SessionState::floor() const
{
    return m_floor;
}

bool SessionState::isFloorIncomplete() const
{
    return m_floorIncomplete;
}

std::string SessionState::token() const
{
    if (m_floorIncomplete || !m_floor) {
        return {};
    }
    return m_codec->encode(SessionFloor{m_defaults.database, *m_floor});
}

void SessionState::onTransactionState(char state, std::uint64_t transaction, std::string_view upstream)
{
    m_transactionState = state;
    m_transaction = state == 'I' ? 0 : transaction;
    m_transactionUpstream = state == 'I' ? std::string_view() : upstream;
}

bool SessionState::inTransaction() const
{
    return m_transactionState != 'I';
}

std::uint64_t SessionState::transaction() const
{
    return m_transaction;
}

const std::string &SessionState::transactionUpstream() const
{
    return m_transactionUpstream;
}

} // namespace egrettide
