// In-memory store of the users' platform's objects by kind and name: revisions,
// conditional changes and the change history that watches read. Does no I/O.

#pragma once

#include "testing/platform/objectstore.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace egrettide::standin
{

// The answer to a call: HTTP status and JSON body.
struct KindAnswer {
    int status = 200;
    nlohmann::json body;
};

class KindStore
{
public:
    // 409 with the existing object when the name is taken.
    KindAnswer create(const std::string &kind, const nlohmann::json &object);
    // 409 with the existing object when the call's meta.revision is present and differs.
    KindAnswer replace(const std::string &kind, const std::string &name, const nlohmann::json &object);
    KindAnswer remove(const std::string &kind, const std::string &name);
    KindAnswer read(const std::string &kind, const std::string &name) const;
    // At most `pageSize` objects whose names sort after `after`.
    KindAnswer list(const std::string &kind, const std::string &after) const;
    // Changes of the kind after revision `since`: 410 when that part of the history is
    // not available, nullopt when there is no change yet.
    std::optional<KindAnswer> changes(const std::string &kind, std::uint64_t since) const;
    KindAnswer noChanges() const;

    // Discards the history; watches from an earlier revision are answered 410.
    void forgetHistory();
    std::size_t pageSize = 500;

private:
    struct Change {
        std::string kind;
        std::uint64_t revision = 0;
        bool removed = false;
        nlohmann::json object;
    };

    nlohmann::json objectAt(const std::string &kind, const std::string &name) const;
    KindAnswer store(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    static KindAnswer conflict(const nlohmann::json &existing);

    // By kind and name.
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::deque<Change> m_history;
    std::uint64_t m_revision = 0;
    // The history holds no change up to and including this revision.
    std::uint64_t m_forgotten = 0;
};

} // namespace egrettide::standin
