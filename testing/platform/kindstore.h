// The objects of the users' platform by kind and name, over the stand-in's store:
// revisions, conditional changes, the history that watches read. Pure.

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

// What a call is answered with.
struct KindAnswer {
    int status = 200;
    nlohmann::json body;
};

class KindStore
{
public:
    // `expected` as in the call's revision; nothing when it carries none.
    KindAnswer create(const std::string &kind, const nlohmann::json &object);
    KindAnswer replace(const std::string &kind, const std::string &name, const nlohmann::json &object);
    KindAnswer remove(const std::string &kind, const std::string &name);
    KindAnswer read(const std::string &kind, const std::string &name) const;
    // At most `pageSize` objects behind the name `after`.
    KindAnswer list(const std::string &kind, const std::string &after) const;
    // What changed in the kind since a revision: 410 when that history is gone,
    // nothing when there is no change yet.
    std::optional<KindAnswer> changes(const std::string &kind, std::uint64_t since) const;
    KindAnswer noChanges() const;

    // Forgets all history; watches from before are answered 410.
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
    static KindAnswer conflict(const nlohmann::json &standing);

    // By kind and name.
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::deque<Change> m_history;
    std::uint64_t m_revision = 0;
    // Changes up to this one are forgotten.
    std::uint64_t m_forgotten = 0;
};

} // namespace egrettide::standin
