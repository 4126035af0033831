#include "fleet/report_exchange.h"

#include <catch2/catch.hpp>

#include "base/codec.h"

using namespace balsamdrift;

namespace {

const std::string leader = "10.0.0.1:7000";
constexpr std::uint64_t incarnation = 0x1234567890abcdef;

/// An entry and the leader that it reports to, without a network between them.
struct exchange {
    report_sender sender;
    report_table table;

    lease_request full(const entry_report& report)
    {
        return {.entry = "entry-17",
                .record = {.incarnation = incarnation, .address = "10.0.2.17:7000"},
                .report = report,
                .report_number = record_full_report(sender, report)};
    }
    std::optional<lease_renewal> renewal(const entry_report& report)
    {
        auto delta = make_next_delta(sender, leader, report);
        return delta ? std::optional(lease_renewal{.incarnation = incarnation, .report = *delta})
                     : std::nullopt;
    }
    /// Sends a full report, which the leader receives and confirms.
    void begin(const entry_report& report)
    {
        const lease_request request = full(report);
        record_full_report(table, request);
        record_confirmed_report(sender, leader, request.report_number);
    }
};

entry_report make_report(int step)
{
    entry_report report{.settled_index = 40U + static_cast<unsigned>(step),
                        .directory_version = 12};
    report.primaries = {{"orders", "orders-1", step % 2 == 1, milliseconds(step)}};
    report.connections = {.demand = {{"orders-1", 1.0 + step}, {"orders-2", 0.25}},
                          .held = {.shares = {{"orders-1", (1 + step) / 1024.0}},
                                   .number = static_cast<std::uint64_t>(step)},
                          .measured = true};
    if (step >= 3) {
        report.connections.demand.erase("orders-2");
        report.connections.demand["stock-1"] = 0.5;
        report.connections.held.shares = {{"stock-2", 1.0}};
    }
    return report;
}

}  // namespace

TEST_CASE("a lost, repeated or reordered delta does not change what a later one means", "[fleet]")
{
    exchange it;
    it.begin(make_report(0));
    const lease_renewal lost = it.renewal(make_report(1)).value();
    const lease_renewal second = it.renewal(make_report(2)).value();
    const lease_renewal third = it.renewal(make_report(3)).value();
    for (const lease_renewal& received : {third, second, third}) {
        const auto request = expand_renewal(it.table, received);
        REQUIRE(request);
        CHECK(request->entry == "entry-17");
        CHECK(encode(request->report) ==
              encode(make_report(received.report.number == third.report.number ? 3 : 2)));
    }
    record_confirmed_report(it.sender, leader, third.report.number);
    record_confirmed_report(it.sender, leader, second.report.number);
    const auto fourth = it.renewal(make_report(4));
    REQUIRE(fourth);
    CHECK(fourth->report.base == third.report.number);
    CHECK(encode(expand_renewal(it.table, *fourth)->report) == encode(make_report(4)));
    // The base of the lost one may be gone by now; it is then refused instead of misread.
    const auto late = expand_renewal(it.table, lost);
    CHECK((!late || encode(late->report) == encode(make_report(1))));
}

TEST_CASE("a new leader does not rebuild a report without its base, and gets it in full", "[fleet]")
{
    exchange it;
    it.begin(make_report(0));
    const auto renewal = it.renewal(make_report(1));
    report_table new_leader;
    CHECK_FALSE(expand_renewal(new_leader, *renewal));
    CHECK_FALSE(make_next_delta(it.sender, "10.0.0.2:7000", make_report(1)));
    record_missing_base(it.sender, "10.0.0.2:7000");
    CHECK(it.renewal(make_report(1)));
    record_missing_base(it.sender, leader);
    CHECK_FALSE(it.renewal(make_report(1)));
    it.begin(make_report(1));
    CHECK(it.renewal(make_report(2)));
}

TEST_CASE("a confirmation of an earlier process of the entry is no base for its successor",
          "[fleet]")
{
    exchange it;
    it.begin(make_report(0));
    it.sender = {};
    record_confirmed_report(it.sender, leader, 1);
    CHECK_FALSE(it.renewal(make_report(1)));
    lease_renewal foreign{.incarnation = incarnation + 1};
    foreign.report.base = 1;
    CHECK_FALSE(expand_renewal(it.table, foreign));
}

TEST_CASE("reports that are never confirmed do not use up memory", "[fleet]")
{
    exchange it;
    it.begin(make_report(0));
    for (int n = 0; n < 200; ++n) {
        REQUIRE(expand_renewal(it.table, *it.renewal(make_report(n % 5))));
    }
    CHECK(it.sender.sent.size() <= 17);
    CHECK(it.table[incarnation].reports.size() <= 17);
}

TEST_CASE("small changes of demand are not lost when they add up", "[fleet]")
{
    exchange it;
    entry_report report = make_report(0);
    it.begin(report);
    for (int n = 0; n < 100; ++n) {
        report.connections.demand["orders-1"] += 0.01;
        const auto renewal = it.renewal(report);
        const auto request = expand_renewal(it.table, *renewal);
        CHECK(std::abs(request->report.connections.demand.at("orders-1") -
                       report.connections.demand.at("orders-1")) < 0.12);
        record_confirmed_report(it.sender, leader, renewal->report.number);
    }
}

TEST_CASE("changed shares are applied to those of the report only, late grants included", "[fleet]")
{
    exchange it;
    it.begin(make_report(0));
    const lease_renewal first = it.renewal(make_report(1)).value();
    const lease_renewal second = it.renewal(make_report(2)).value();
    REQUIRE(expand_renewal(it.table, first));
    REQUIRE(expand_renewal(it.table, second));
    const share_map granted{{"orders-1", 3 / 1024.0}, {"new-1", 1 / 64.0}};
    const auto changes =
        make_share_changes(*find_report(it.table, incarnation, first.report.number), granted);
    REQUIRE(changes);
    CHECK(shares_of_grant(it.sender, *changes) == granted);
    record_confirmed_report(it.sender, leader, second.report.number);
    CHECK_FALSE(shares_of_grant(it.sender, *changes));
    CHECK_FALSE(make_share_changes(*find_report(it.table, incarnation, second.report.number),
                                   {{"orders-1", 1.0 / 3}}));
}

TEST_CASE("a delta with indexes that have no name is refused", "[fleet]")
{
    exchange it;
    it.begin(make_report(0));
    lease_renewal renewal = it.renewal(make_report(1)).value();
    lease_renewal evidence = renewal;
    evidence.report.primaries[0].service = 99;
    CHECK_FALSE(expand_renewal(it.table, evidence));
    renewal.report.demand[99] = 5;
    CHECK_FALSE(expand_renewal(it.table, renewal));
}

namespace {

/// lease_request and lease_grant as builds before renewals encode them.
struct earlier_lease_request {
    std::string entry;
    entry_record record;
    std::uint64_t index = 0;
    std::int64_t sent_at = 0;
    bool draining = false;
    entry_report report;
    MSGPACK_DEFINE(entry, record, index, sent_at, draining, report)
};

struct earlier_lease_grant {
    std::uint64_t incarnation = 0;
    std::int64_t sent_at = 0;
    std::int64_t lease_ms = 0;
    std::string snapshot;
    std::vector<log_entry> entries;
    entry_instructions instructions;
    std::uint64_t index = 0;
    MSGPACK_DEFINE(incarnation, sent_at, lease_ms, snapshot, entries, instructions, index)
};

}  // namespace

TEST_CASE("an older leader confirms no report, so a newer entry goes on in full", "[fleet]")
{
    exchange it;
    auto request = decode<earlier_lease_request>(encode(it.full(make_report(1))));
    REQUIRE(succeeded(request));
    CHECK(encode(value_of(request).report) == encode(make_report(1)));
    auto grant = decode<lease_grant>(encode(earlier_lease_grant{.lease_ms = 3000, .index = 8}));
    REQUIRE(succeeded(grant));
    CHECK(value_of(grant).shares.base == 0);
    record_confirmed_report(it.sender, leader, value_of(grant).confirmed_report);
    CHECK_FALSE(it.renewal(make_report(2)));
}

TEST_CASE("an older entry gets its shares in full from a newer leader", "[fleet]")
{
    auto request =
        decode<lease_request>(encode(earlier_lease_request{"entry", {}, 3, 4, false, {}}));
    REQUIRE(succeeded(request));
    CHECK(value_of(request).report_number == 0);
    report_table table;
    record_full_report(table, value_of(request));
    CHECK(table.empty());
    lease_grant grant{.lease_ms = 3000};
    grant.instructions.connections.shares = {{"orders-1", 0.5}};
    auto read = decode<earlier_lease_grant>(encode(grant));
    REQUIRE(succeeded(read));
    CHECK(value_of(read).instructions.connections.shares == grant.instructions.connections.shares);
}

TEST_CASE("a changed list of control members is noticed", "[fleet]")
{
    CHECK(address_list_checksum({"10.0.0.1:1", "10.0.0.2:1"}) !=
          address_list_checksum({"10.0.0.2:1", "10.0.0.1:1"}));
    CHECK(address_list_checksum({"ab", "c"}) != address_list_checksum({"a", "bc"}));
    CHECK(address_list_checksum({}) != address_list_checksum({"a"}));
}
