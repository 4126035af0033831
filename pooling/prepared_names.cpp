#include "pooling/prepared_names.h"

#include <algorithm>
#include <string_view>

#include "base/invariant.h"

namespace balsamdrift {
namespace {

constexpr std::string_view name_characters =
    "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

/// A name that no statement has.
std::string free_name(const prepared_names& names)
{
    std::string used;
    for (const auto& [statement, entry] : names.entries) {
        used += entry.name;
    }
    const std::size_t n = name_characters.find_first_not_of(used);
    BALSAMDRIFT_INVARIANT(n != std::string_view::npos);
    return std::string(1, name_characters[n]);
}

/// Removes the statement that was not used for the longest time, and returns its name.
std::string remove_oldest(prepared_names& names)
{
    const auto oldest = std::min_element(
        names.entries.begin(), names.entries.end(),
        [](const auto& a, const auto& b) { return a.second.last_use < b.second.last_use; });
    std::string name = std::move(oldest->second.name);
    names.text_bytes -= oldest->first.text.size();
    names.entries.erase(oldest);
    return name;
}

}  // namespace

bool is_prepared(const prepared_names& names, const prepared_statement& it)
{
    return names.entries.contains(it);
}

const std::string& use_name(prepared_names& names, const prepared_statement& it)
{
    prepared_entry& entry = names.entries.at(it);
    entry.last_use = ++names.uses;
    return entry.name;
}

std::vector<std::string> make_room(prepared_names& names, const prepared_limits& limits,
                                   const prepared_statement& next)
{
    BALSAMDRIFT_INVARIANT(limits.max_statements > 0 &&
                          limits.max_statements <= name_characters.size());
    std::vector<std::string> removed;
    while (!names.entries.empty() &&
           (names.entries.size() >= limits.max_statements ||
            names.text_bytes + next.text.size() > limits.max_text_bytes)) {
        removed.push_back(remove_oldest(names));
    }
    return removed;
}

std::vector<std::string> remove_excess(prepared_names& names, const prepared_limits& limits)
{
    std::vector<std::string> removed;
    while (names.text_bytes > limits.max_text_bytes) {
        removed.push_back(remove_oldest(names));
    }
    return removed;
}

const std::string& add_name(prepared_names& names, const prepared_statement& it)
{
    prepared_entry entry{.name = free_name(names), .last_use = ++names.uses};
    names.text_bytes += it.text.size();
    return names.entries.emplace(it, std::move(entry)).first->second.name;
}

}  // namespace balsamdrift
