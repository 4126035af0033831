#pragma once

#include <string>
#include <utility>
#include <variant>

namespace balsamdrift {

/// What went wrong, as a value. Functions that can fail return `outcome<T>` and do not throw.
struct failure {
    /// Text for a person: what failed, where, and what was expected.
    std::string message;
};

/// Either a value or the failure that prevented it.
template<class T>
using outcome = std::variant<T, failure>;

/// True when the outcome holds a value.
template<class T>
bool succeeded(const outcome<T>& res)
{
    return std::holds_alternative<T>(res);
}

/// The value of a successful outcome. Calling it on a failure is a broken invariant.
template<class T>
T& value_of(outcome<T>& res)
{
    return std::get<T>(res);
}

/// The failure of an unsuccessful outcome.
template<class T>
const failure& failure_of(const outcome<T>& res)
{
    return std::get<failure>(res);
}

/// Joins several visitors into one, for use with std::visit.
template<class... Visitors>
struct overloaded : Visitors... {
    using Visitors::operator()...;
};
template<class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

}  // namespace balsamdrift
