// What the samples share: a connection that closes itself, and what a caller may
// conclude from each answer. Needs nothing but libpq; copy what you like.

#pragma once

#include <libpq-fe.h>

#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace samples
{

enum class Verdict {
    // The answer holds the rows.
    Done,
    // Nothing of the request took effect: sending it again cannot run it twice.
    NotRun,
    // It may have taken effect, or may still do so.
    Unknown,
    // The upstream said no; the SQLSTATE says why.
    Failed,
};

struct Answer {
    Verdict verdict = Verdict::Failed;
    std::string sqlState;
    std::string message;
    // How long to wait before asking again; from the hint of a refusal.
    int retryAfterMs = 0;
    std::vector<std::vector<std::string>> rows;
};

namespace detail
{

inline constexpr std::string_view notRun = "Not run.";
inline constexpr std::string_view comeBack = "Come back in ";
inline constexpr std::string_view unknownOutcomeState = "08007";
inline constexpr std::string_view duplicateKeyState = "23505";

struct ConnectionDeleter {
    void operator()(PGconn *connection) const
    {
        PQfinish(connection);
    }
};

struct ResultDeleter {
    void operator()(PGresult *result) const
    {
        PQclear(result);
    }
};

inline std::string textOf(const char *text)
{
    return text != nullptr ? text : "";
}

// The number in "Come back in 50 ms.", zero without one.
inline int retryAfterIn(const std::string &text)
{
    const std::size_t at = text.find(comeBack);
    return at == std::string::npos ? 0 : std::atoi(text.c_str() + at + comeBack.size());
}

inline Answer failureOf(const PGconn *connection, const PGresult *result)
{
    Answer answer;
    answer.sqlState = textOf(PQresultErrorField(result, PG_DIAG_SQLSTATE));
    answer.message = textOf(PQresultErrorMessage(result));
    std::string hint = textOf(PQresultErrorField(result, PG_DIAG_MESSAGE_HINT));
    if (answer.sqlState.empty()) {
        // The connection ended. A host that leaves says good-bye first; libpq hands
        // the words on in the connection's message, without fields.
        answer.message += textOf(PQerrorMessage(connection));
        const std::size_t at = answer.message.find(notRun);
        hint = at == std::string::npos ? std::string() : answer.message.substr(at);
        answer.verdict = Verdict::Unknown;
    }
    if (std::string_view(hint).starts_with(notRun)) {
        answer.verdict = Verdict::NotRun;
        answer.retryAfterMs = retryAfterIn(hint);
    } else if (answer.sqlState == unknownOutcomeState) {
        answer.verdict = Verdict::Unknown;
    }
    return answer;
}

} // namespace detail

// One connection to an entry host.
class Caller
{
public:
    // `conninfo` as for any libpq program. Throws when no host takes the caller.
    explicit Caller(const std::string &conninfo) : m_connection(PQconnectdb(conninfo.c_str()))
    {
        if (PQstatus(m_connection.get()) != CONNECTION_OK) {
            throw std::runtime_error(PQerrorMessage(m_connection.get()));
        }
    }

    // Runs one statement and waits for its answer.
    Answer run(const std::string &statement)
    {
        const std::unique_ptr<PGresult, detail::ResultDeleter> result(PQexec(m_connection.get(), statement.c_str()));
        const ExecStatusType status = PQresultStatus(result.get());
        if (status != PGRES_COMMAND_OK && status != PGRES_TUPLES_OK) {
            return detail::failureOf(m_connection.get(), result.get());
        }
        Answer answer;
        answer.verdict = Verdict::Done;
        for (int row = 0; row < PQntuples(result.get()); ++row) {
            std::vector<std::string> values;
            for (int column = 0; column < PQnfields(result.get()); ++column) {
                values.emplace_back(PQgetvalue(result.get(), row, column));
            }
            answer.rows.push_back(std::move(values));
        }
        return answer;
    }

    // As run(), for statements that have to succeed: throws what went wrong.
    Answer need(const std::string &statement)
    {
        Answer answer = run(statement);
        if (answer.verdict != Verdict::Done) {
            throw std::runtime_error(statement + ": " + answer.message);
        }
        return answer;
    }

    // The session's token: hand it to the next connection, on whichever host.
    // Empty before the first write or confirmed read.
    std::string token() const
    {
        return detail::textOf(PQparameterStatus(m_connection.get(), "egrettide.session"));
    }

private:
    std::unique_ptr<PGconn, detail::ConnectionDeleter> m_connection;
};

inline bool isDuplicateKey(const Answer &answer)
{
    return answer.sqlState == detail::duplicateKeyState;
}

} // namespace samples
