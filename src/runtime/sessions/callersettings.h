// Runs SET, SHOW, RESET, DISCARD and DEALLOCATE of one caller. They are not sent to
// upstreams: connections are shared, and a setting of one caller would affect the
// results of another.

#pragma once

#include "egrettide/core/classifier.h"
#include "egrettide/core/sessionstate.h"
#include "wire/batchassembler.h"

#include <tl/expected.hpp>

#include <map>
#include <string>

namespace egrettide::detail
{

// `session` and `statements` have to outlive it.
class CallerSettings
{
public:
    CallerSettings(SessionState &session, pg::SessionStatements &statements);
    CallerSettings(const CallerSettings &) = delete;
    CallerSettings &operator=(const CallerSettings &) = delete;

    // Applies the settings of the startup message. Returns Unsupported for a setting that
    // shared upstream connections cannot apply.
    tl::expected<void, Error> applyStartup(const SessionState::Parameters &parameters);
    // ParameterStatus messages that drivers expect before their first query.
    std::string startupStatus() const;

    // Returns a statement that applies the setting when the front executes it; errors are
    // reported now.
    tl::expected<pg::LocalStatement, Error> prepare(const Setting &setting);
    // Applies all settings of a simple query and returns the answers, without
    // ReadyForQuery. Applies none of them when one is invalid.
    tl::expected<std::string, Error> run(const std::vector<Setting> &settings);

private:
    tl::expected<void, Error> check(const Setting &setting) const;
    std::string apply(const Setting &setting);
    std::string applySet(const Setting &setting);
    std::string applyShow(const Setting &setting) const;
    std::string applyReset(const Setting &setting);
    std::string valueOf(const std::string &name) const;

    SessionState &m_session;
    pg::SessionStatements &m_statements;
    // Settings that affect only the answer to SHOW, by lower-case name.
    std::map<std::string, std::string, std::less<>> m_localSettings;
};

} // namespace egrettide::detail
