// Typed errors. Each kind fixes what a caller may conclude about its request and
// which SQLSTATE says so; each message names the remedy.

#pragma once

#include "egrettide/core/types.h"

#include <string>
#include <string_view>

namespace egrettide
{

// What a caller may conclude from a failed request.
enum class Outcome {
    // Nothing of the request ran; sending it again cannot run it twice.
    NotRun,
    // It may or may not have run; only the caller can find out.
    Unknown,
    // The upstream ran it and said no; the answer is the upstream's own.
    Failed,
};

enum class ErrorKind {
    Overloaded, // no slot within the deadline
    DeadlineExceeded, // the deadline passed before anything was sent
    NoPrimary, // no primary can be reached for a write
    NotFresh, // no upstream is fresh enough in time
    NoConfiguration, // this host has learnt no configuration yet
    UnknownDatabase, // no database service of that name
    Leaving, // the host or upstream is leaving
    Moved, // this home no longer serves the upstream, or the primary changed
    ConnectionLimit, // the upstream's connections are all in use
    UnknownOutcome, // sent, and the answer was lost or could not be confirmed
    Unsupported, // egrettide does not carry this kind of statement
    InvalidInput, // malformed frame, setting or file
    Conflict, // a conditional update lost against another one
    StoreUnavailable, // the platform's store did not answer
    AuthenticationFailed,
    Internal,
    UnknownStatement, // no prepared statement of that name in the session
    QuotaExceeded, // the workspace has asked more than its quota allows
};

// An error and what to do about it.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    // A full sentence: what happened and what to do.
    std::string message;
    // When to come back; zero means that coming back does not help.
    milliseconds retryAfter{0};
};

// What the kind lets a caller conclude.
Outcome outcomeOf(ErrorKind kind);

// The five-character SQLSTATE that callers see. NotRun kinds use class 57/53,
// unknown outcomes 08007 (transaction resolution unknown).
std::string_view sqlStateOf(ErrorKind kind);

// The stable name in logs, metrics and JSON output.
std::string_view nameOf(ErrorKind kind);

} // namespace egrettide
