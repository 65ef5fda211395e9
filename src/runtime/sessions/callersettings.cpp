// Runs SET, SHOW, RESET, DISCARD and DEALLOCATE of one caller.

#include "runtime/sessions/callersettings.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace egrettide::detail
{

namespace
{

struct ReportedSetting {
    std::string_view name;
    std::string_view value;
};

// Parameters that libpq and JDBC read at startup. They describe how upstream
// connections are set up, so callers cannot change them.
constexpr std::array<ReportedSetting, 9> reportedSettings{{
    {"server_version", "15.0 (egrettide)"},
    {"server_encoding", "UTF8"},
    {"client_encoding", "UTF8"},
    {"DateStyle", "ISO, MDY"},
    {"IntervalStyle", "postgres"},
    {"TimeZone", "UTC"},
    {"integer_datetimes", "on"},
    {"standard_conforming_strings", "on"},
    {"is_superuser", "off"},
}};

// Startup parameters that identify the caller or do not affect answers. A time zone or
// date style is accepted but not applied: values are ISO texts with an offset, and the
// reported parameters say so.
constexpr std::array<std::string_view, 15> acceptedParameters{
    "user",
    "database",
    "options",
    "application_name",
    "client_encoding",
    "datestyle",
    "timezone",
    "intervalstyle",
    "extra_float_digits",
    "standard_conforming_strings",
    "client_min_messages",
    "bytea_output",
    "geqo",
    "jit",
    "replication",
};

constexpr std::string_view protocolOptionPrefix = "_pq_.";
constexpr std::string_view applicationName = "application_name";
constexpr std::string_view clientEncoding = "client_encoding";

std::string lowered(std::string_view text)
{
    return absl::AsciiStrToLower(absl::string_view(text.data(), text.size()));
}

bool isOwn(std::string_view name)
{
    return name.starts_with(settingnames::prefix);
}

bool isUtf8(std::string_view encoding)
{
    const std::string lower = lowered(encoding);
    return lower == "utf8" || lower == "utf-8" || lower == "unicode";
}

Error unsupportedEncoding()
{
    return Error{ErrorKind::Unsupported, "Only the client encoding UTF8 is supported; set client_encoding to UTF8.",
                 milliseconds{0}};
}

// Refuses startup settings that would be dropped. If a search_path were ignored without
// an error, the caller would read the tables of another schema.
tl::expected<void, Error> checkStartupName(std::string_view name)
{
    const std::string lower = lowered(name);
    const bool isAccepted = std::find(acceptedParameters.begin(), acceptedParameters.end(), lower) != acceptedParameters.end();
    if (isAccepted || isOwn(lower) || lower.starts_with(protocolOptionPrefix)) {
        return {};
    }
    return tl::unexpected(
        Error{ErrorKind::Unsupported,
              "The startup setting " + lower
                  + " cannot be kept on shared connections; use SET LOCAL in a transaction or ALTER ROLE on the "
                    "upstream.",
              milliseconds{0}});
}

// The names that `options` sets with `-c name=value` or `--name=value`.
std::vector<std::string> optionNames(const std::string &options)
{
    std::vector<std::string> names;
    bool expectsName = false;
    bool continues = false;
    for (const absl::string_view each : absl::StrSplit(options, absl::ByAnyChar(" \t\n"), absl::SkipEmpty())) {
        std::string_view word(each.data(), each.size());
        const bool isPart = continues;
        // A space after a backslash is part of the value.
        continues = word.ends_with('\\');
        if (isPart) {
            continue;
        }
        const bool isSwitch = word.starts_with("--") || word.starts_with("-c");
        if (isSwitch) {
            word.remove_prefix(2);
        }
        if ((isSwitch || expectsName) && !word.empty()) {
            names.emplace_back(word.substr(0, word.find('=')));
        }
        expectsName = isSwitch && word.empty();
    }
    return names;
}

std::string commandComplete(std::string_view tag)
{
    std::string out;
    pg::appendCommandComplete(out, tag);
    return out;
}

} // namespace

CallerSettings::CallerSettings(SessionState &session, pg::SessionStatements &statements)
    : m_session(session), m_statements(statements)
{
    for (const ReportedSetting &setting : reportedSettings) {
        m_localSettings[lowered(setting.name)] = setting.value;
    }
    m_localSettings[std::string(applicationName)] = "";
}

tl::expected<void, Error> CallerSettings::applyStartup(const SessionState::Parameters &parameters)
{
    for (const auto &[name, value] : parameters) {
        std::vector<std::string> names{name};
        if (name == "options") {
            names = optionNames(value);
        }
        for (const std::string &each : names) {
            if (auto checked = checkStartupName(each); !checked) {
                return checked;
            }
        }
        if (name == clientEncoding && !isUtf8(value)) {
            return tl::unexpected(unsupportedEncoding());
        }
        if (name == applicationName) {
            m_localSettings[name] = value;
        }
    }
    return {};
}

std::string CallerSettings::startupStatus() const
{
    std::string out;
    for (const ReportedSetting &setting : reportedSettings) {
        pg::appendParameterStatus(out, setting.name, setting.value);
    }
    pg::appendParameterStatus(out, applicationName, valueOf(std::string(applicationName)));
    pg::appendParameterStatus(out, "session_authorization", m_session.tenant());
    return out;
}

tl::expected<pg::LocalStatement, Error> CallerSettings::prepare(const Setting &setting)
{
    if (auto checked = check(setting); !checked) {
        return tl::unexpected(checked.error());
    }
    pg::LocalStatement statement;
    if (setting.action == SettingAction::Show) {
        statement.columns.push_back(setting.name);
    }
    statement.execute = [this, setting] { return apply(setting); };
    return statement;
}

tl::expected<std::string, Error> CallerSettings::run(const std::vector<Setting> &settings)
{
    for (const Setting &setting : settings) {
        if (auto checked = check(setting); !checked) {
            return tl::unexpected(checked.error());
        }
    }
    std::string out;
    for (const Setting &setting : settings) {
        if (setting.action == SettingAction::Show) {
            pg::appendRowDescription(out, {setting.name});
        }
        out.append(apply(setting));
    }
    return out;
}

// Validates the setting on a copy of the session, so that an invalid batch is not
// partly applied.
tl::expected<void, Error> CallerSettings::check(const Setting &setting) const
{
    if (setting.action == SettingAction::Set && setting.name == clientEncoding && !isUtf8(setting.value)) {
        return tl::unexpected(unsupportedEncoding());
    }
    if (!isOwn(setting.name)) {
        return {};
    }
    SessionState trial(m_session);
    switch (setting.action) {
    case SettingAction::Set:
        return trial.set(setting.name, setting.value);
    case SettingAction::Show:
        return trial.show(setting.name).map([](const std::string &) {});
    case SettingAction::Reset:
        return trial.reset(setting.name);
    case SettingAction::Discard:
    case SettingAction::Deallocate:
        break;
    }
    return {};
}

std::string CallerSettings::apply(const Setting &setting)
{
    switch (setting.action) {
    case SettingAction::Set:
        return applySet(setting);
    case SettingAction::Show:
        return applyShow(setting);
    case SettingAction::Reset:
        return applyReset(setting);
    case SettingAction::Discard:
        m_session.resetAll();
        m_statements.clear();
        return commandComplete("DISCARD ALL");
    case SettingAction::Deallocate:
        break;
    }
    if (setting.name.empty()) {
        m_statements.clear();
        return commandComplete("DEALLOCATE ALL");
    }
    m_statements.forget(setting.name);
    return commandComplete("DEALLOCATE");
}

std::string CallerSettings::applySet(const Setting &setting)
{
    std::string out = commandComplete("SET");
    if (isOwn(setting.name)) {
        static_cast<void>(m_session.set(setting.name, setting.value)); // validated by check()
        return out;
    }
    const bool isFixed = std::any_of(reportedSettings.begin(), reportedSettings.end(), [&](const ReportedSetting &reported) {
        return absl::EqualsIgnoreCase(absl::string_view(reported.name.data(), reported.name.size()), setting.name);
    });
    if (!isFixed) {
        m_localSettings[setting.name] = setting.value;
    }
    if (setting.name == applicationName) {
        pg::appendParameterStatus(out, applicationName, setting.value);
    }
    return out;
}

std::string CallerSettings::applyShow(const Setting &setting) const
{
    std::string out;
    pg::appendDataRow(out, {valueOf(setting.name)});
    pg::appendCommandComplete(out, "SHOW");
    return out;
}

std::string CallerSettings::applyReset(const Setting &setting)
{
    if (setting.name.empty()) {
        m_session.resetAll();
    } else if (isOwn(setting.name)) {
        static_cast<void>(m_session.reset(setting.name)); // validated by check()
    }
    return commandComplete("RESET");
}

std::string CallerSettings::valueOf(const std::string &name) const
{
    if (isOwn(name)) {
        return m_session.show(name).value_or("");
    }
    const auto it = m_localSettings.find(name);
    return it == m_localSettings.end() ? std::string() : it->second;
}

} // namespace egrettide::detail
