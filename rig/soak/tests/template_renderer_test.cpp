#include "rig/soak/template_renderer.h"

#include <catch2/catch.hpp>
#include <stdexcept>

using balsamdrift::soak::render_template;

namespace {

const nlohmann::json fields{{"ip", "127.0.0.1"},
                            {"on", true},
                            {"off", false},
                            {"empty", nlohmann::json::array()},
                            {"ports", {7560, 7575}},
                            {"seeds", {"a:1", "b:2"}},
                            {"zones", {{"north", "n"}, {"south", "s"}}},
                            {"bounds", {{"grace", 6}, {"share", 0.1}}}};

}  // namespace

TEST_CASE("a template gets plain values, list items and JSON")
{
    CHECK(render_template("{{ip}}:{{ports.1}}", fields) == "127.0.0.1:7575");
    CHECK(render_template("{{seeds}}|{{bounds.share}}|{{missing.name}}", fields) == "a:1,b:2|0.1|");
    CHECK(render_template("{{seeds|json}} {{zones|json}} {{on}}", fields) ==
          R"(["a:1","b:2"] {"north":"n","south":"s"} true)");
}

TEST_CASE("a section is rendered for each entry, and an inverted one where there is no value")
{
    CHECK(render_template("{{#seeds}}{{@}}={{.}}{{,}}{{/seeds}}", fields) == "0=a:1,1=b:2");
    CHECK(render_template("{{#zones}}{{@}}:{{.}} {{/zones}}", fields) == "north:n south:s ");
    CHECK(render_template("{{#bounds.grace}}{{bounds.grace}}s{{/bounds.grace}}", fields) == "6s");
    CHECK(render_template("{{#off}}x{{/off}}{{^off}}y{{/off}}{{^missing}}z{{/missing}}", fields) ==
          "yz");
    CHECK(render_template("{{#on}}x{{/on}}{{#empty}}y{{/empty}}{{^empty}}z{{/empty}}", fields) ==
          "xz");
}

TEST_CASE("a section without an end is an error, not a settings file cut short")
{
    CHECK_THROWS_AS(render_template("{{#on}}x", fields), std::invalid_argument);
    CHECK_THROWS_AS(render_template("{{ip", fields), std::invalid_argument);
}
