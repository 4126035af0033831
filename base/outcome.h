#pragma once

#include <string>
#include <utility>
#include <variant>

namespace balsamdrift {

/// An error as a value. Functions that can fail return `outcome<T>` and do not throw.
struct failure {
    /// Human-readable text: what failed, where, and what was expected.
    std::string message;
};

/// Either a value or the failure that prevented it.
template<class T>
using outcome = std::variant<T, failure>;

/// Returns whether the outcome holds a value.
template<class T>
bool succeeded(const outcome<T>& res)
{
    return std::holds_alternative<T>(res);
}

/// Returns the value of a successful outcome. Must not be called on a failure.
template<class T>
T& value_of(outcome<T>& res)
{
    return std::get<T>(res);
}

/// Returns the failure of an unsuccessful outcome. Must not be called on a success.
template<class T>
const failure& failure_of(const outcome<T>& res)
{
    return std::get<failure>(res);
}

/// Combines several function objects into one visitor for std::visit.
template<class... Visitors>
struct overloaded : Visitors... {
    using Visitors::operator()...;
};
template<class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

}  // namespace balsamdrift
