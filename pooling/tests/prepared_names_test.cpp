#include "pooling/prepared_names.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <set>

using namespace balsamdrift;

TEST_CASE("the statement that was not used for the longest time makes room", "[prepared_names]")
{
    const prepared_limits limits{.max_statements = 2, .max_text_bytes = 100};
    prepared_names names;
    const std::string first = add_name(names, {false, "q1"});
    const std::string second = add_name(names, {true, "q1"});
    CHECK(first != second);
    CHECK(use_name(names, {false, "q1"}) == first);
    CHECK(make_room(names, limits, {false, "q2"}) == std::vector{second});
    CHECK(is_prepared(names, {false, "q1"}));
    CHECK_FALSE(is_prepared(names, {true, "q1"}));
    CHECK(add_name(names, {false, "q2"}) == second);
    // A text beyond the limit displaces all others, and goes with the next check.
    const prepared_statement large{false, std::string(200, 'x')};
    CHECK(make_room(names, limits, large) == std::vector{first, second});
    const std::string name = add_name(names, large);
    CHECK(remove_excess(names, limits) == std::vector{name});
    CHECK(names.entries.empty());
    CHECK(names.text_bytes == 0);
}

TEST_CASE("a name is one character, and no two statements have it at a time", "[prepared_names]")
{
    CHECK(rc::check([] {
        const prepared_limits limits{
            .max_statements = *rc::gen::inRange<std::size_t>(1, 63),
            .max_text_bytes = *rc::gen::inRange<std::size_t>(0, 400),
        };
        prepared_names names;
        const int count = *rc::gen::inRange(0, 300);
        for (int n = 0; n < count; ++n) {
            const prepared_statement it{
                *rc::gen::arbitrary<bool>(),
                std::string(static_cast<std::size_t>(*rc::gen::inRange(1, 90)), 'x')};
            if (is_prepared(names, it)) {
                (void)use_name(names, it);
                continue;
            }
            (void)make_room(names, limits, it);
            (void)add_name(names, it);
            std::set<std::string> used;
            std::size_t bytes = 0;
            for (const auto& [statement, entry] : names.entries) {
                RC_ASSERT(entry.name.size() == 1U);
                RC_ASSERT(used.insert(entry.name).second);
                bytes += statement.text.size();
            }
            RC_ASSERT(names.entries.size() <= limits.max_statements);
            RC_ASSERT(names.text_bytes == bytes);
            RC_ASSERT(bytes <= limits.max_text_bytes || names.entries.size() == 1U);
        }
    }));
}
