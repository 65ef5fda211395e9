// The commands of egrettidectl, apart from command line parsing. Each command runs to
// completion and returns its result as text and as an exit code.

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

// The values are stable, so that scripts can rely on them; --help lists them.
enum class ExitCode {
    Done = 0,
    // Refused or invalid; nothing changed. For status: not every host agrees.
    Refused = 1,
    Usage = 2,
    LostRace = 3,
    UnknownOutcome = 4,
    Unreachable = 5,
};

// A short description of an exit code, as --help prints it.
std::string meaningOf(ExitCode code);

struct CommandResult {
    ExitCode code = ExitCode::Done;
    // The requested information, for standard output. Ends in a newline or is empty.
    std::string output;
    // The error and its remedy, for standard error.
    std::string complaint;
};

struct OperatorSettings {
    // The address of the platform's store.
    std::optional<boost::asio::ip::tcp::endpoint> platform;
    // The address of any host's HTTP endpoint for operators.
    std::optional<boost::asio::ip::tcp::endpoint> host;
    // The maximum duration of each store read, apply or host call; a command may make
    // several. A switchover may take longer, because it waits for open transactions.
    milliseconds timeout{10000};
    // The operator's name, recorded with an accepted file so that an operator whose
    // concurrent apply is refused can see who made the other change.
    std::string who;
};

// The commands. Each call blocks until it completes and runs its network calls on
// io_contexts of its own; the timeout bounds each of these calls.
class OperatorCommands
{
public:
    explicit OperatorCommands(OperatorSettings settings);

    // Validates the text of a file and prints all errors, or a summary with all warnings.
    CommandResult validate(const std::string &text) const;

    // Prints what applying the file would change, and the version to pass to apply.
    CommandResult diff(const std::string &text) const;

    // Applies the whole file; with `ifVersion`, only over that version.
    CommandResult apply(const std::string &text, std::optional<std::uint64_t> ifVersion) const;

    // Reports whether every host has the last accepted file in force. Polls until
    // all hosts have it or `maxWait` has passed.
    CommandResult status(bool asJson, milliseconds maxWait) const;

    // Drains the upstream of that name, by applying the configuration in force with
    // the upstream marked as leaving, or the host of that name.
    CommandResult drain(const std::string &name) const;

    // Makes `to` the database's primary, or the best replica if `to` is empty.
    CommandResult switchover(const std::string &database, const std::string &to) const;

    // Reconstructs how a request was handled from the log lines of hosts. Each text
    // holds any number of lines. Needs neither host nor platform.
    static CommandResult explain(const std::string &requestId, const std::vector<std::string> &logs);

private:
    CommandResult applyConfiguration(const Configuration &configuration, std::optional<std::uint64_t> ifVersion) const;
    CommandResult drainUpstream(Configuration configuration, const std::string &name) const;
    CommandResult drainHost(const std::string &name) const;
    TimePoint deadline() const;

    OperatorSettings m_settings;
};

} // namespace egrettide
