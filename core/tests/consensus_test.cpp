#include "core/consensus/consensus.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "core/tests/consensus_fixture.h"

using namespace balsamdrift;
using namespace balsamdrift::test;

namespace {

const std::vector<std::string> three{"a", "b", "c"};

std::vector<std::string> numbered(const std::string& prefix, int count)
{
    std::vector<std::string> commands;
    commands.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        commands.push_back(prefix + std::to_string(n));
    }
    return commands;
}

/// A site with a leader and some committed commands.
consensus_fixture formed_site(std::uint64_t seed = 1)
{
    consensus_fixture site(three, seed);
    site.run(seconds(5));
    REQUIRE(site.leader());
    return site;
}

}  // namespace

TEST_CASE("three empty members form a membership and commit", "[consensus]")
{
    consensus_fixture site = formed_site();
    site.propose(*site.leader(), "x");
    site.run(seconds(1));
    for (const std::string& it : three) {
        CHECK(site.applied(it) == std::vector<std::string>{"x"});
        CHECK(site.member(it).members.voters.size() == 3);
    }
}

TEST_CASE("a single member forms and commits on its own", "[consensus]")
{
    consensus_fixture site({"a"});
    site.run(seconds(3));
    REQUIRE(site.leader() == "a");
    site.propose("a", "x");
    CHECK(site.applied("a") == std::vector<std::string>{"x"});
}

TEST_CASE("a leader that dies is replaced within the bound and nothing committed is lost",
          "[consensus]")
{
    consensus_fixture site = formed_site();
    const std::string old = *site.leader();
    site.propose(old, "kept");
    site.run(milliseconds(100));
    site.stop(old);
    const time_point died = site.now();
    while (!site.leader() && site.now() - died < seconds(10)) {
        site.run(milliseconds(20));
    }
    CHECK(site.now() - died <= seconds(5));
    site.propose(*site.leader(), "more");
    site.start(old);
    site.run(seconds(2));
    for (const std::string& it : three) {
        CHECK(site.applied(it) == std::vector<std::string>{"kept", "more"});
    }
}

TEST_CASE("a leader on the far side of a long silent cut neither commits nor serves, and does not "
          "disturb when it returns",
          "[consensus]")
{
    consensus_fixture site = formed_site();
    const std::string old = *site.leader();
    site.isolate(old);
    site.propose(old, "lost");
    site.run(seconds(120));
    CHECK_FALSE(holds_leadership(site.member(old), site.now()));
    const std::string fresh = *site.leader();
    REQUIRE(fresh != old);
    const std::uint64_t term = site.member(fresh).term;
    site.propose(fresh, "kept");
    site.heal();
    site.run(seconds(5));
    CHECK(site.leader() == fresh);
    CHECK(site.member(fresh).term == term);
    CHECK(site.applied(old) == std::vector<std::string>{"kept"});
}

TEST_CASE("a member that cannot hear the leader does not disturb those that do", "[consensus]")
{
    consensus_fixture site = formed_site();
    const std::string leader = *site.leader();
    const std::uint64_t term = site.member(leader).term;
    site.cut(leader, leader == "a" ? "b" : "a");
    for (int n = 0; n < 200; ++n) {
        site.run(milliseconds(50));
        REQUIRE(site.certain_leaders() == 1);
    }
    CHECK(site.leader() == leader);
    CHECK(site.member(leader).term == term);
}

TEST_CASE("a frozen leader does not serve once it is thawed", "[consensus]")
{
    consensus_fixture site = formed_site();
    const std::string old = *site.leader();
    site.run(seconds(60), {old});
    CHECK_FALSE(holds_leadership(site.member(old), site.now()));
    CHECK(site.certain_leaders() == 1);
    site.run(seconds(2));
    CHECK(site.certain_leaders() == 1);
    CHECK(site.leader() != old);
}

TEST_CASE("a member that lost its disk does not vote before it has recovered", "[consensus]")
{
    consensus_fixture site = formed_site();
    const std::string leader = *site.leader();
    const std::string lost = leader == "a" ? "b" : "a";
    const std::string other =
        leader == "c" ? "b" : (lost == "b" ? "c" : (leader == "b" ? "c" : "b"));
    // The third member misses a committed command; only the leader and the lost disk had it.
    site.isolate(other);
    site.propose(leader, "acknowledged");
    site.run(milliseconds(300));
    REQUIRE(site.applied(leader) == std::vector<std::string>{"acknowledged"});
    site.stop(leader);
    site.stop(lost);
    site.wipe_disk(lost);
    site.start(lost);
    site.heal();
    site.run(seconds(30));
    // Together they would be a quorum that never saw the command.
    CHECK_FALSE(site.leader());
    site.start(leader);
    site.run(seconds(10));
    REQUIRE(site.leader());
    for (const std::string& it : three) {
        CHECK(site.applied(it) == std::vector<std::string>{"acknowledged"});
        CHECK(site.member(it).members.voters.size() == 3);
    }
}

TEST_CASE("a second member is lost straight after the repair of the first", "[consensus]")
{
    for (const std::string& second : three) {
        consensus_fixture site = formed_site();
        site.propose(*site.leader(), "kept");
        site.run(milliseconds(200));
        const std::string first = second == "a" ? "b" : "a";
        site.stop(first);
        site.wipe_disk(first);
        site.start(first);
        site.run(seconds(4));
        REQUIRE(contains(site.member(*site.leader()).members, site.member(first).options.self));
        site.stop(second);
        site.run(seconds(5));
        REQUIRE(site.leader());
        site.propose(*site.leader(), "after");
        site.run(seconds(1));
        CHECK(site.applied(first) == std::vector<std::string>{"kept", "after"});
    }
}

TEST_CASE("members with data never form anew when the others lost their disks", "[consensus]")
{
    consensus_fixture site = formed_site();
    site.propose(*site.leader(), "kept");
    site.run(milliseconds(200));
    for (const char* it : {"a", "b"}) {
        site.stop(it);
        site.wipe_disk(it);
        site.start(it);
    }
    site.run(seconds(30));
    CHECK_FALSE(site.leader());
    CHECK(site.applied("c") == std::vector<std::string>{"kept"});
}

TEST_CASE("a member behind the snapshot gets the snapshot", "[consensus]")
{
    consensus_fixture site = formed_site();
    const std::string leader = *site.leader();
    const std::string behind = leader == "a" ? "b" : "a";
    site.stop(behind);
    for (const std::string& it : numbered("x", 50)) {
        site.propose(leader, it);
    }
    site.run(seconds(1));
    site.compact(leader);
    CHECK(site.member(leader).log.entries.empty());
    site.start(behind);
    site.run(seconds(2));
    CHECK(site.applied(behind) == numbered("x", 50));
}

TEST_CASE("all members restart from their disks", "[consensus]")
{
    consensus_fixture site = formed_site();
    for (const std::string& it : numbered("x", 20)) {
        site.propose(*site.leader(), it);
    }
    site.run(seconds(1));
    site.compact("b");
    for (const std::string& it : three) {
        site.stop(it);
        site.start(it);
    }
    site.run(seconds(5));
    for (const std::string& it : three) {
        CHECK(site.applied(it) == numbered("x", 20));
    }
}

// The naive version: one list of commands. Whatever happens, every member's list is a beginning of
// one common list, which holds everything that was ever seen committed.
TEST_CASE("random faults never fork or lose committed commands", "[consensus]")
{
    rc::prop("members agree with one list", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto faults = *rc::gen::container<std::vector<int>>(25, rc::gen::inRange(0, 9));
        consensus_fixture site(three, seed);
        site.run(seconds(3));
        std::vector<std::string> committed;
        int next = 0;
        const auto compare = [&] {
            RC_ASSERT(site.certain_leaders() <= 1);
            for (const std::string& it : three) {
                const auto& list = site.applied(it);
                const std::size_t shared = std::min(list.size(), committed.size());
                RC_ASSERT(std::equal(list.begin(), list.begin() + shared, committed.begin()));
                if (list.size() > committed.size()) {
                    committed = list;
                }
            }
        };
        for (const int fault : faults) {
            const std::string& victim = three[static_cast<std::size_t>(fault) % 3];
            for (const std::string& it : three) {
                if (site.runs(it)) {
                    site.propose(it, std::to_string(next++));
                }
            }
            if (fault < 3) {
                site.isolate(victim);
                site.run(milliseconds(700));
            }
            else if (fault < 6 && site.runs(victim)) {
                site.stop(victim);
                site.run(milliseconds(400));
                site.start(victim);
            }
            else {
                site.run(milliseconds(900), {victim});
                site.heal();
            }
            site.run(milliseconds(300));
            compare();
        }
        site.heal();
        site.run(seconds(8));
        compare();
        RC_ASSERT(site.leader());
        for (const std::string& it : three) {
            RC_ASSERT(site.applied(it) == committed);
        }
    });
}

TEST_CASE("five members grow out of three seeds, and an entry is on three disks before it counts",
          "[consensus]")
{
    consensus_fixture site({"a", "b", "c", "d", "e"}, 3, {.seeds = 3, .disks_lost_at_once = 2});
    site.run(seconds(5));
    REQUIRE(site.leader());
    CHECK(site.member(*site.leader()).members.voters.size() == 5);
    site.propose(*site.leader(), "x");
    site.run(seconds(1));
    // The loss of any two disks leaves a member that has it, and a quorum that elects it.
    site.stop("a");
    site.stop("b");
    site.wipe_disk("a");
    site.wipe_disk("b");
    site.run(seconds(5));
    REQUIRE(site.leader());
    CHECK(site.applied(*site.leader()) == std::vector<std::string>{"x"});
    site.start("a");
    site.start("b");
    site.run(seconds(4));
    CHECK(site.member(*site.leader()).members.voters.size() == 5);
    CHECK(site.applied("a") == std::vector<std::string>{"x"});
}

TEST_CASE("while three members vote, an entry needs all of them when two disks may be lost",
          "[consensus]")
{
    consensus_fixture site(three, 4, {.seeds = 3, .disks_lost_at_once = 2});
    site.run(seconds(5));
    REQUIRE(site.leader());
    const std::string leader = *site.leader();
    const std::string other = leader == "a" ? "b" : "a";
    site.stop(other);
    site.propose(leader, "x");
    site.run(milliseconds(400));
    CHECK(site.applied(leader).empty());
    site.start(other);
    site.run(seconds(3));
    CHECK(site.applied(*site.leader()) == std::vector<std::string>{"x"});
}

TEST_CASE("a member at a new address takes the place of one that is gone for good", "[consensus]")
{
    consensus_fixture site({"a", "b", "c", "d", "e", "f"}, 5,
                           {.seeds = 3, .disks_lost_at_once = 2, .late = {"f"}});
    site.run(seconds(5));
    REQUIRE(site.leader());
    CHECK(site.member(*site.leader()).members.voters.size() == 5);
    const std::string gone = *site.leader() == "d" ? "e" : "d";
    site.stop(gone);
    site.start("f");
    site.run(seconds(4));
    REQUIRE(site.leader());
    const membership& members = site.member(*site.leader()).members;
    CHECK(members.voters.size() == 5);
    CHECK(find_by_name(members, "f") != nullptr);
    CHECK(find_by_name(members, gone) == nullptr);
    // The replaced one does not know it; it follows again without a vote and disturbs nobody.
    const std::uint64_t term = site.member(*site.leader()).term;
    site.start(gone);
    site.run(seconds(3));
    CHECK(site.member(*site.leader()).term == term);
    CHECK(!contains(site.member(gone).members, site.member(gone).options.self));
}
