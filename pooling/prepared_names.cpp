#include "pooling/prepared_names.h"

#include <string_view>

namespace balsamdrift {
namespace {

constexpr std::string_view name_characters =
    "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

}  // namespace

std::string prepared_name_of(std::size_t number)
{
    std::string name(1, name_characters[number % name_characters.size()]);
    for (number /= name_characters.size(); number > 0; number /= name_characters.size()) {
        name += name_characters[--number % name_characters.size()];
    }
    return name;
}

const std::string& add_prepared_name(prepared_names& names, const prepared_statement& it)
{
    // Names are not removed one by one, so their count is the first number that is free.
    return names.names.emplace(it, prepared_name_of(names.names.size())).first->second;
}

}  // namespace balsamdrift
