// What egrettidectl does, apart from reading its command line: each command runs
// to its end and says what came of it, in text and as an exit code.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/configurationapply.h"
#include "egrettide/core/error.h"
#include "egrettide/core/types.h"

#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

// Stable, so that scripts can rely on them; --help lists them.
enum class ExitCode {
    Done = 0,
    // Refused or invalid; nothing changed. For status: not every host agrees.
    Refused = 1,
    Usage = 2,
    LostRace = 3,
    UnknownOutcome = 4,
    Unreachable = 5,
};

// The meaning of an exit code in a few words.
std::string meaningOf(ExitCode code);

struct CommandResult {
    ExitCode code = ExitCode::Done;
    // What was asked for; for the standard output. Ends in a newline or is empty.
    std::string output;
    // What went wrong and what to do; for the standard error.
    std::string complaint;
};

struct OperatorSettings {
    // The platform's store.
    std::optional<boost::asio::ip::tcp::endpoint> platform;
    // Any host's operators' endpoint.
    std::optional<boost::asio::ip::tcp::endpoint> host;
    // How long one command may take in all.
    milliseconds timeout{10000};
    // Recorded with an accepted file, for the loser of a race to talk to.
    std::string who;
};

// The commands. Each call blocks until it is done, at most for the timeout, on an
// io_context of its own.
class OperatorCommands
{
public:
    explicit OperatorCommands(OperatorSettings settings);

    // Checks a file's text and prints all faults and warnings.
    CommandResult validate(const std::string &text) const;

    // Prints what applying the file would change, and the version to name.
    CommandResult diff(const std::string &text) const;

    // Applies the whole file; with `ifVersion`, only over that version.
    CommandResult apply(const std::string &text, std::optional<std::uint64_t> ifVersion) const;

    // Tells whether every host has the last accepted file in force. Asks again
    // until they all have or `patience` is over.
    CommandResult status(bool asJson, milliseconds patience) const;

    // Drains the upstream (by applying the file in force with it leaving) or the
    // host of that name.
    CommandResult drain(const std::string &name) const;

    // Makes `to`, or the best replica when it is empty, the database's primary.
    CommandResult switchover(const std::string &database, const std::string &to) const;

    // Builds the trace of a request from hosts' log lines, of which each text holds any
    // number; needs neither host nor platform.
    static CommandResult explain(const std::string &requestId, const std::vector<std::string> &logs);

private:
    CommandResult applyConfiguration(const Configuration &configuration, std::optional<std::uint64_t> ifVersion) const;
    CommandResult drainUpstream(Configuration configuration, const std::string &name) const;
    CommandResult drainHost(const std::string &name) const;
    TimePoint deadline() const;

    OperatorSettings m_settings;
};

} // namespace egrettide
