#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "pooling/prepared_statement.h"

namespace balsamdrift {

/// Names under which statements are prepared on one connection, by statement. Sessions that prepare
/// the same statement share its name.
struct prepared_names {
    std::map<prepared_statement, std::string> names;
};

/// Returns the name of the number: letters and digits only, which make one field of a line whatever
/// callers prepare. The first 62 names have one character, so that no line becomes longer than the
/// caller's.
std::string prepared_name_of(std::size_t number);

/// Adds the statement, which must not be there yet, and returns its name. No other statement has
/// had it since the connection was opened or last reset.
const std::string& add_prepared_name(prepared_names& names, const prepared_statement& it);

}  // namespace balsamdrift
