// Answers SET, SHOW, RESET, DISCARD and DEALLOCATE for one caller. These never
// reach an upstream: its connections are shared, and a setting made for one caller
// would show in the results of another.

#pragma once

#include "egrettide/core/classifier.h"
#include "egrettide/core/sessionstate.h"
#include "wire/batchassembler.h"

#include <tl/expected.hpp>

#include <map>
#include <string>

namespace egrettide::detail
{

// Holds references: `session` and `statements` have to outlive it.
class CallerSettings
{
public:
    CallerSettings(SessionState &session, pg::SessionStatements &statements);
    CallerSettings(const CallerSettings &) = delete;
    CallerSettings &operator=(const CallerSettings &) = delete;

    // Takes harmless settings that came with the startup message. Unsupported for
    // one that upstreams could not honour.
    tl::expected<void, Error> applyStartup(const SessionState::Parameters &parameters);
    // ParameterStatus messages that drivers expect before their first query.
    std::string startupStatus() const;

    // One setting as a statement that the front runs later; faults are found now.
    tl::expected<pg::LocalStatement, Error> prepare(const Setting &setting);
    // The answers to all settings of a simple query, without ReadyForQuery. Nothing
    // is applied when one of them is faulty.
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
    // Settings that change nothing but their own SHOW, by name in lower case.
    std::map<std::string, std::string, std::less<>> m_harmless;
};

} // namespace egrettide::detail
