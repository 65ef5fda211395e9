// Reports what the store holds, or answers, that this host cannot read.

#pragma once

#include "egrettide/core/jsontext.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace egrettide
{

// Logs each object once per fault, since an object is read again with each list.
class StoreRefusals
{
public:
    // An object was read; `fault` is the reason why its content was not accepted.
    void onObject(std::string_view kind, std::string_view name, std::optional<JsonFault> fault);
    // An answer about objects of the kind arrived. Of answers that cannot be used, the first after a
    // usable one is logged.
    void onAnswer(std::string_view kind, std::size_t bytes, bool isUsable);

    // Since the start.
    std::uint64_t refusedObjects() const;
    std::uint64_t refusedAnswers() const;

private:
    // By kind and name. Bounded: another writer can leave any number of objects.
    std::map<std::pair<std::string, std::string>, JsonFault> m_objects;
    // Kinds whose last answer could not be used.
    std::set<std::string, std::less<>> m_kinds;
    std::uint64_t m_refusedObjects = 0;
    std::uint64_t m_refusedAnswers = 0;
};

} // namespace egrettide
