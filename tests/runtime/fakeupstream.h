// A fake PostgreSQL server that processes the protocol message by message, to check that
// answers reach their callers complete and in order. It follows the protocol's rules for
// errors, Sync, statement names and portals, and stores no data.

#pragma once

#include "wire/pgwire.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace egrettide::test
{

// One connection. Statements that start with BAD do not parse; those that contain FAIL
// fail when they run; SELECT returns its own text with `$1` replaced; everything else
// is treated as an INSERT.
class FakeUpstreamConnection
{
public:
    // `ran` is called for each statement that ran without an error.
    explicit FakeUpstreamConnection(std::function<void(const std::string &sql)> ran) : m_ran(std::move(ran))
    {
    }

    char state() const
    {
        return m_state;
    }

    // The answer to all messages in `batch`.
    std::string run(std::string_view batch)
    {
        std::string out;
        pg::FrameReader reader;
        reader.feed(batch);
        for (auto message = reader.next(); message && *message; message = reader.next()) {
            take(**message, out);
        }
        return out;
    }

private:
    struct Portal {
        std::string sql;
        std::string argument;
    };

    void take(const pg::Message &message, std::string &out)
    {
        if (message.type == 'S') {
            endBatch(out);
            return;
        }
        if (m_skipping) {
            return;
        }
        pg::PayloadReader reader(message.payload);
        switch (message.type) {
        case 'Q':
            takeQuery(std::string(*reader.cString()), out);
            return;
        case 'P':
            takeParse(reader, out);
            return;
        case 'B':
            takeBind(reader, out);
            return;
        case 'D':
            takeDescribe(reader, out);
            return;
        case 'E':
            takeExecute(reader, out);
            return;
        case 'C':
            takeClose(reader, out);
            return;
        default:
            fail(out, "08P01", "unexpected message");
        }
    }

    void endBatch(std::string &out)
    {
        m_skipping = false;
        if (m_state == 'I') {
            m_portals.clear();
        }
        pg::appendReadyForQuery(out, m_state);
    }

    void fail(std::string &out, std::string_view sqlState, std::string_view text, std::string_view hint = {})
    {
        pg::appendErrorResponse(out, sqlState, text, hint);
        m_skipping = true;
        if (m_state == 'T') {
            m_state = 'E';
        }
    }

    void failUnknown(std::string &out, const std::string &name)
    {
        fail(out, "26000", "prepared statement \"" + name + "\" does not exist", "Prepare it in this session first.");
    }

    void takeQuery(const std::string &text, std::string &out)
    {
        std::size_t at = 0;
        while (at < text.size() && !m_skipping) {
            const std::size_t end = std::min(text.find(';', at), text.size());
            const std::string sql = trimmed(text.substr(at, end - at));
            at = end + 1;
            if (!sql.empty()) {
                if (sql.starts_with("SELECT")) {
                    pg::appendRowDescription(out, {"v"});
                }
                runStatement({sql, {}}, out);
            }
        }
        endBatch(out);
    }

    void takeParse(pg::PayloadReader &reader, std::string &out)
    {
        const std::string name(*reader.cString());
        const std::string sql(*reader.cString());
        if (sql.starts_with("BAD")) {
            fail(out, "42601", "syntax error");
            return;
        }
        m_statements[name] = sql;
        pg::appendMessage(out, '1', {});
    }

    void takeBind(pg::PayloadReader &reader, std::string &out)
    {
        const std::string portal(*reader.cString());
        const std::string name(*reader.cString());
        const auto statement = m_statements.find(name);
        if (statement == m_statements.end()) {
            failUnknown(out, name);
            return;
        }
        m_portals[portal] = {statement->second, firstArgument(reader)};
        pg::appendMessage(out, '2', {});
    }

    static std::string firstArgument(pg::PayloadReader &reader)
    {
        const std::uint16_t formats = reader.uint16().value_or(0);
        for (std::uint16_t i = 0; i < formats; ++i) {
            reader.uint16();
        }
        if (reader.uint16().value_or(0) == 0) {
            return {};
        }
        const auto length = reader.uint32();
        return std::string(reader.bytes(length.value_or(0)).value_or(std::string_view()));
    }

    void takeDescribe(pg::PayloadReader &reader, std::string &out)
    {
        const char kind = reader.bytes(1)->front();
        const std::string name(*reader.cString());
        const auto statement = m_statements.find(name);
        const auto portal = m_portals.find(name);
        if (kind == 'S' ? statement == m_statements.end() : portal == m_portals.end()) {
            if (kind == 'S') {
                failUnknown(out, name);
            } else {
                fail(out, "34000", "portal does not exist");
            }
            return;
        }
        if (kind == 'S') {
            std::string none;
            pg::appendUint16(none, 0);
            pg::appendMessage(out, 't', none);
        }
        const std::string &sql = kind == 'S' ? statement->second : portal->second.sql;
        if (sql.starts_with("SELECT")) {
            pg::appendRowDescription(out, {"v"});
        } else {
            pg::appendMessage(out, 'n', {});
        }
    }

    void takeExecute(pg::PayloadReader &reader, std::string &out)
    {
        const auto portal = m_portals.find(std::string(*reader.cString()));
        if (portal == m_portals.end()) {
            fail(out, "34000", "portal does not exist");
            return;
        }
        runStatement(portal->second, out);
    }

    void takeClose(pg::PayloadReader &reader, std::string &out)
    {
        const char kind = reader.bytes(1)->front();
        const std::string name(*reader.cString());
        if (kind == 'S') {
            m_statements.erase(name);
        } else {
            m_portals.erase(name);
        }
        pg::appendMessage(out, '3', {});
    }

    void runStatement(const Portal &portal, std::string &out)
    {
        const std::string &sql = portal.sql;
        const bool ends = sql == "COMMIT" || sql == "ROLLBACK";
        if (m_state == 'E' && !ends) {
            fail(out, "25P02", "current transaction is aborted");
            return;
        }
        if (sql.find("FAIL") != std::string::npos) {
            fail(out, "22012", "it failed");
            return;
        }
        m_ran(sql);
        if (sql == "BEGIN") {
            m_state = 'T';
            pg::appendCommandComplete(out, "BEGIN");
        } else if (ends) {
            pg::appendCommandComplete(out, m_state == 'E' ? "ROLLBACK" : sql);
            m_state = 'I';
        } else if (sql.starts_with("SELECT")) {
            answerSelect(portal, out);
        } else {
            pg::appendCommandComplete(out, "INSERT 0 1");
        }
    }

    static void answerSelect(const Portal &portal, std::string &out)
    {
        std::string value = trimmed(portal.sql.substr(6));
        const std::size_t mark = value.find("$1");
        if (mark != std::string::npos) {
            value.replace(mark, 2, portal.argument);
        }
        pg::appendDataRow(out, {value});
        pg::appendCommandComplete(out, "SELECT 1");
    }

    static std::string trimmed(const std::string &text)
    {
        const std::size_t first = text.find_first_not_of(" \n\t");
        const std::size_t last = text.find_last_not_of(" \n\t");
        return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
    }

    std::function<void(const std::string &)> m_ran;
    std::map<std::string, std::string> m_statements;
    std::map<std::string, Portal> m_portals;
    char m_state = 'I';
    // True after an error, up to the next Sync.
    bool m_skipping = false;
};

} // namespace egrettide::test
