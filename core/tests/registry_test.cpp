#include "core/registry/registry.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "base/codec.h"
#include "core/ownership/assignment.h"
#include "core/registry/domain_order.h"
#include "core/registry/item_id.h"

using namespace balsamdrift;

namespace {

operator_change change(const std::string& id, const change_body& body,
                       std::optional<std::uint64_t> version = std::nullopt,
                       const std::string& who = "op")
{
    return {.operator_name = who,
            .change_id = id,
            .expected_version = version,
            .body = encode_variant(body)};
}

/// A registry that commands are applied to at consecutive indexes.
struct registry_fixture {
    registry state;
    std::uint64_t next_index = 1;

    change_result operator()(const registry_command& command)
    {
        return apply(state, next_index++, command);
    }
};

const std::string valid_key_hash(64, 'a');

}  // namespace

TEST_CASE("of two changes that expect the same version exactly one is accepted", "[registry]")
{
    registry_fixture run;
    run(change("1", put_customer{"agence", 10, 10}));
    const auto first = run(change("2", put_customer{"agence", 20, 20}, 1, "ann"));
    const auto second = run(change("2", put_customer{"agence", 30, 30}, 1, "bob"));
    CHECK(first.status == change_status::accepted);
    CHECK(second.status == change_status::conflict);
    CHECK(run.state.customers["agence"].rate == 20);
}

TEST_CASE("a resent change gets the first answer and is not applied again", "[registry]")
{
    registry_fixture run;
    const auto first = run(change("1", put_customer{"agence", 10, 10}));
    run(change("2", put_customer{"agence", 20, 20}));
    const auto again = run(change("1", put_customer{"agence", 10, 10}));
    CHECK(again == first);
    CHECK(run.state.customers["agence"].rate == 20);
    CHECK(run.state.version == 2);
}

TEST_CASE("removing a customer removes its keys and grants", "[registry]")
{
    registry_fixture run;
    run(change("1", put_customer{"agence", 10, 10}));
    run(change("2", put_group{"registry", 3, 20, 3}));
    run(change("3", grant_group{"agence", "registry"}));
    run(change("4", give_key{"agence", "k1", valid_key_hash}));
    run(change("5", remove_customer{"agence"}));
    CHECK(run.state.keys.empty());
    CHECK(run.state.groups["registry"].customers.empty());
}

TEST_CASE("an owner of an earlier epoch can neither record a primary nor release the item",
          "[registry]")
{
    registry_fixture run;
    run(change("1", put_group{"registry", 3, 20, 3}));
    run(register_entry{"e1", {1, "addr", "brest-port", ""}});
    run(assign_items{{{group_item("registry"), {"e1", 1}}}});
    CHECK(run(record_primary{"registry", 1, "r1", 1}).status == change_status::accepted);
    run(expire_entry{{"e1", 1}});
    CHECK(run(record_primary{"registry", 1, "r2", 2}).status == change_status::fenced);
    CHECK(run(release_item{group_item("registry"), 1, {}}).status == change_status::fenced);
    CHECK(run.state.groups["registry"].primary == "r1");
}

TEST_CASE("the term of a primary never decreases", "[registry]")
{
    registry_fixture run;
    run(change("1", put_group{"registry", 3, 20, 3}));
    run(register_entry{"e1", {1, "addr", "brest-port", ""}});
    run(assign_items{{{group_item("registry"), {"e1", 1}}}});
    run(record_primary{"registry", 1, "r2", 5});
    CHECK(run(record_primary{"registry", 1, "r1", 4}).status == change_status::fenced);
}

TEST_CASE("a switch of preset conflicts with one that is not finished", "[registry]")
{
    registry_fixture run;
    run(change("1", switch_preset{preset::peak}));
    CHECK(run.state.preset.in_force == preset::ordinary);
    CHECK(run.state.preset.switching);
    CHECK(run(change("2", switch_preset{preset::maintenance})).status == change_status::conflict);
    run(activate_preset{run.state.preset.switch_index});
    CHECK(run.state.preset.in_force == preset::peak);
    CHECK_FALSE(run.state.preset.switching);
}

TEST_CASE("a change with unknown names or values out of range is invalid", "[registry]")
{
    registry_fixture run;
    CHECK(run(change("1", put_customer{"a b", 1, 1})).status == change_status::invalid);
    CHECK(run(change("2", put_customer{"agence", 0, 1})).status == change_status::invalid);
    CHECK(run(change("3", grant_group{"agence", "registry"})).status == change_status::invalid);
    CHECK(run(change("4", withdraw_key{"k1"})).status == change_status::invalid);
    CHECK(run(change("5", put_group{"registry", 3, 4, 3})).status == change_status::invalid);
    CHECK(run.state.version == 0);
}

TEST_CASE("a registry is restored from its encoding and copies stay equal", "[registry]")
{
    rc::prop("decode(encode(x)) == x and equal commands give equal hashes", [] {
        const auto choices = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
        registry_fixture one;
        registry_fixture two;
        int id = 0;
        for (const int choice : choices) {
            const std::string name = "n" + std::to_string(choice % 5);
            const std::vector<registry_command> commands{
                change(std::to_string(choice % 40), put_customer{name, 1.0 + choice, 5}),
                change(std::to_string(++id), put_group{name, 3, 20, 3}),
                change(std::to_string(++id), grant_group{name, name}),
                register_entry{name, {static_cast<std::uint64_t>(choice), "a", "b", "c"}},
                assign_items{{{group_item(name), {name, static_cast<std::uint64_t>(choice)}}}},
                expire_entry{{name, static_cast<std::uint64_t>(choice)}},
            };
            const registry_command& command = commands[static_cast<std::size_t>(choice) % 6];
            RC_ASSERT(one(command) == two(command));
        }
        RC_ASSERT(state_hash(one.state) == state_hash(two.state));
        const auto copy = decode<registry>(encode(one.state));
        RC_ASSERT(std::get<registry>(copy) == one.state);
    });
}

TEST_CASE("an evacuation is not lost with a snapshot and ends only when it is withdrawn",
          "[registry]")
{
    registry_fixture run;
    CHECK(run(evacuate_domain{"brest-port"}).status == change_status::accepted);
    CHECK(run(change("1", evacuate_domain{"rennes-nord"})).status == change_status::accepted);
    auto copy = decode<registry>(encode(run.state));
    REQUIRE(succeeded(copy));
    CHECK(is_evacuated(value_of(copy), "brest-port"));
    CHECK(is_evacuated(value_of(copy), "rennes-nord"));
    CHECK(!is_evacuated(value_of(copy), "lorient-ouest"));
    run(restore_domain{"brest-port"});
    CHECK(!is_evacuated(run.state, "brest-port"));
    CHECK(is_evacuated(run.state, "rennes-nord"));
}

TEST_CASE(
    "of two operators that race over a domain the later in the log decides, neither is refused",
    "[registry]")
{
    registry_fixture run;
    CHECK(run(change("1", evacuate_domain{"brest-port"}, {}, "ann")).status ==
          change_status::accepted);
    CHECK(run(change("1", restore_domain{"brest-port"}, {}, "bob")).status ==
          change_status::accepted);
    CHECK(!is_evacuated(run.state, "brest-port"));
    // A resent change gets its answer again but does not undo the later one.
    CHECK(run(change("1", evacuate_domain{"brest-port"}, {}, "ann")).status ==
          change_status::accepted);
    CHECK(!is_evacuated(run.state, "brest-port"));
    CHECK(run(evacuate_domain{"brest-port"}).status == change_status::accepted);
    CHECK(run(evacuate_domain{"brest-port"}).status == change_status::accepted);
    CHECK(is_evacuated(run.state, "brest-port"));
}

TEST_CASE("an order for an unknown domain is refused, a repeated one never", "[registry]")
{
    registry_fixture run;
    CHECK(check_ordered_domain(run.state, {}, "brest-port").empty());
    CHECK(!check_ordered_domain(run.state, {"rennes-nord"}, "brest-port").empty());
    run(register_entry{"e1", {1, "addr", "brest-port", ""}});
    run(expire_entry{{"e1", 1}});
    CHECK(check_ordered_domain(run.state, {"rennes-nord"}, "brest-port").empty());
    CHECK(!check_ordered_domain(run.state, {}, "saint-malo").empty());
    run(evacuate_domain{"saint-malo"});
    run(restore_domain{"saint-malo"});
    CHECK(check_ordered_domain(run.state, {}, "saint-malo").empty());
}

TEST_CASE("every item is assigned and groups are distributed evenly", "[ownership]")
{
    registry_fixture run;
    std::set<replica_id> live;
    for (int n = 0; n < 4; ++n) {
        const std::string name = "e" + std::to_string(n);
        run(register_entry{name, {1, "a", "b", "c"}});
        live.insert({name, 1});
    }
    for (int n = 0; n < 10; ++n) {
        run(change(std::to_string(n), put_group{"g" + std::to_string(n), 3, 20, 3}));
    }
    run(plan_assignments(run.state, live, 4).assign);
    std::map<std::string, int> groups;
    for (const auto& [item, owner] : run.state.owners) {
        REQUIRE_FALSE(owner.entry.name.empty());
        groups[owner.entry.name] += group_of_item(item).empty() ? 0 : 1;
    }
    for (const auto& [name, count] : groups) {
        CHECK(count >= 2);
        CHECK(count <= 3);
    }
    CHECK(plan_assignments(run.state, live, 4).recall.items.empty());
}

TEST_CASE("items are recalled for a new entry a few at a time", "[ownership]")
{
    registry_fixture run;
    run(register_entry{"e1", {1, "a", "b", "c"}});
    run(change("1", put_group{"g", 3, 20, 3}));
    run(plan_assignments(run.state, {{"e1", 1}}, 4).assign);
    run(register_entry{"e2", {1, "a", "b", "c"}});
    const std::set<replica_id> live{{"e1", 1}, {"e2", 1}};
    const auto plan = plan_assignments(run.state, live, 4);
    CHECK(plan.recall.items.size() == 4);
    run(plan.recall);
    CHECK(plan_assignments(run.state, live, 4).recall.items.empty());
}

TEST_CASE("an entry that applies patches has the registry of control without the document",
          "[registry]")
{
    CHECK(rc::check([] {
        registry control;
        registry entry;
        std::uint64_t index = 0;
        const int versions = *rc::gen::inRange(1, 12);
        for (int n = 1; n <= versions; ++n) {
            declared_configuration next{.version = static_cast<std::uint64_t>(n) * 3,
                                        .document = "document " + std::to_string(n)};
            const int routes = *rc::gen::inRange(0, 8);
            for (int route = 0; route < routes; ++route) {
                next.routes["r" + std::to_string(*rc::gen::inRange(0, 10))] = {
                    .service = "registre",
                    .statement_timeout = milliseconds(*rc::gen::inRange(1, 3))};
            }
            const int customers = *rc::gen::inRange(0, 4);
            for (int customer = 0; customer < customers; ++customer) {
                const std::string name = "c" + std::to_string(customer);
                next.customers[name] = {.rate = *rc::gen::inRange(1, 4) * 1.0};
                next.customer_of_key["key" + std::to_string(*rc::gen::inRange(0, 5))] = name;
            }
            const std::string data = encode_command(replace_declared{next});
            const declared_configuration before = control.declared;
            ++index;
            (void)apply_encoded(control, index, data);
            (void)apply_encoded(entry, index, command_for_entries(data, before, control.declared));
            registry expected = control;
            expected.declared.document.clear();
            RC_ASSERT(entry == expected);
        }
    }));
}

TEST_CASE("only the changes of a large configuration are sent to entries", "[registry]")
{
    declared_configuration before{.version = 1};
    for (int n = 0; n < 1600; ++n) {
        before.routes["route" + std::to_string(n)] = {.service = "registre",
                                                      .statement_timeout = milliseconds(1000)};
    }
    declared_configuration after = before;
    after.version = 2;
    after.routes["route7"].statement_timeout = milliseconds(900);
    const std::string data = encode_command(replace_declared{after});
    CHECK(command_for_entries(data, before, after).size() < 200);
}
