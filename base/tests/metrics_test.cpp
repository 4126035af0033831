// Guards against a label whose text ends it early, so that the series cannot be read or is another.

#include "base/metrics.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

using namespace balsamdrift;

namespace {

/// Reads a label back by the rules of the Prometheus text format.
std::string value_of_label(const std::string& label, const std::string& name)
{
    const std::string begin = name + "=\"";
    std::string value;
    std::size_t at = begin.size();
    for (; at + 1 < label.size() && label[at] != '"'; ++at) {
        if (label[at] == '\\') {
            ++at;
            value += label[at] == 'n' ? '\n' : label[at];
        }
        else {
            value += label[at];
        }
    }
    const bool whole = label.starts_with(begin) && at + 1 == label.size() && label[at] == '"' &&
                       label.find('\n') == std::string::npos;
    return whole ? value : "not one label";
}

}  // namespace

TEST_CASE("any text is one label and reads back as it was", "[metrics]")
{
    CHECK(metric_label("service", "s1") == "service=\"s1\"");
    CHECK(metric_label("service", "s\",x=\"1") == "service=\"s\\\",x=\\\"1\"");
    CHECK(rc::check([](const std::string& value) {
        RC_ASSERT(value_of_label(metric_label("service", value), "service") == value);
    }));
}
