// Lists the differences between two configurations for operators.

#include "egrettide/core/configurationfile.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <sstream>
#include <string_view>

namespace egrettide
{

namespace
{

// Collects the changed fields of one entry, for example "slots 5 -> 6, zone a -> b".
class FieldChanges
{
public:
    template <typename Value> void compare(const char *field, const Value &before, const Value &after)
    {
        if (before == after) {
            return;
        }
        m_text << (m_text.tellp() > 0 ? ", " : "") << field << ' ' << before << " -> " << after;
    }

    void note(std::string_view text)
    {
        m_text << (m_text.tellp() > 0 ? ", " : "") << text;
    }

    std::string text() const
    {
        return m_text.str();
    }

private:
    std::ostringstream m_text;
};

// Lists added, removed and changed entries of one kind, matched by name.
template <typename Spec, typename Compare>
void compareLists(const std::string &kind, const std::vector<Spec> &before, const std::vector<Spec> &after,
                  const Compare &compare, std::vector<std::string> &changes)
{
    const auto find = [](const std::vector<Spec> &specs, const std::string &name) -> const Spec * {
        for (const Spec &spec : specs) {
            if (spec.name == name) {
                return &spec;
            }
        }
        return nullptr;
    };
    const auto report = [&kind, &changes](const Spec &spec, const std::string &what) {
        changes.push_back(absl::StrCat(kind, " ", spec.name, what));
    };
    for (const Spec &spec : before) {
        if (find(after, spec.name) == nullptr) {
            report(spec, " removed");
        }
    }
    for (const Spec &spec : after) {
        const Spec *old = find(before, spec.name);
        if (old == nullptr) {
            report(spec, " added");
            continue;
        }
        const std::string fields = compare(*old, spec);
        if (!fields.empty()) {
            report(spec, absl::StrCat(": ", fields));
        }
    }
}

const char *yesNo(bool value)
{
    return value ? "yes" : "no";
}

std::string textOf(const std::optional<milliseconds> &time)
{
    return time ? std::to_string(time->count()) + "ms" : "unset";
}

std::string textOf(const std::optional<RequestQuota> &quota)
{
    return quota ? absl::StrCat(quota->perSecond, "/s+", quota->burst) : "unlimited";
}

// The number of `keys` that are not in `known`.
std::size_t missingFrom(const std::vector<std::string> &known, const std::vector<std::string> &keys)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(keys, [&known](const std::string &key) { return std::ranges::find(known, key) == known.end(); }));
}

std::string textOf(Durability durability)
{
    return durability == Durability::Majority ? "majority" : "primary-only";
}

std::string upstreamChanges(const UpstreamSpec &before, const UpstreamSpec &after)
{
    FieldChanges changes;
    changes.compare("address", before.address, after.address);
    changes.compare("zone", before.zone, after.zone);
    changes.compare("slots", before.slots, after.slots);
    changes.compare("connections", before.connections, after.connections);
    changes.compare("leaving", std::string(yesNo(before.leaving)), std::string(yesNo(after.leaving)));
    return changes.text();
}

std::string databaseChanges(const DatabaseSpec &before, const DatabaseSpec &after)
{
    FieldChanges changes;
    changes.compare("durability", textOf(before.durability), textOf(after.durability));
    changes.compare("acknowledgingReplicas", before.acknowledgingReplicas, after.acknowledgingReplicas);
    changes.compare("maxAge", textOf(before.maxAge), textOf(after.maxAge));
    changes.compare("replicaWait", textOf(before.replicaWait), textOf(after.replicaWait));
    return changes.text();
}

std::string classChanges(const ClassSpec &before, const ClassSpec &after)
{
    FieldChanges changes;
    changes.compare("reservedShare", before.reservedShare, after.reservedShare);
    changes.compare("timeout", textOf(before.timeout), textOf(after.timeout));
    changes.compare("priority", before.priority, after.priority);
    return changes.text();
}

std::string tenantChanges(const TenantSpec &before, const TenantSpec &after)
{
    FieldChanges changes;
    changes.compare("class", before.className, after.className);
    changes.compare("share", before.share, after.share);
    if (before.password != after.password) {
        changes.note("password changed");
    }
    // Keys are secrets: only the number of added and removed keys is shown.
    if (const auto added = missingFrom(before.keys, after.keys); added > 0) {
        changes.note(absl::StrCat(added, " key(s) added"));
    }
    if (const auto removed = missingFrom(after.keys, before.keys); removed > 0) {
        changes.note(absl::StrCat(removed, " key(s) removed"));
    }
    changes.compare("quota", textOf(before.quota), textOf(after.quota));
    return changes.text();
}

} // namespace

std::vector<std::string> diff(const Configuration &before, const Configuration &after)
{
    std::vector<std::string> changes;
    compareLists("database", before.databases, after.databases, databaseChanges, changes);
    for (const DatabaseSpec &database : after.databases) {
        if (const DatabaseSpec *old = before.database(database.name)) {
            const std::string kind = "database " + database.name + ": upstream";
            compareLists(kind, old->upstreams, database.upstreams, upstreamChanges, changes);
        }
    }
    compareLists("class", before.classes, after.classes, classChanges, changes);
    compareLists("tenant", before.tenants, after.tenants, tenantChanges, changes);
    return changes;
}

} // namespace egrettide
