#include "core/consensus/consensus.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "core/tests/consensus_fixture.h"

using namespace balsamdrift;
using namespace balsamdrift::test;

namespace {

const std::vector<std::string> three_members{"a", "b", "c"};

std::vector<std::string> numbered_commands(const std::string& prefix, int count)
{
    std::vector<std::string> commands;
    commands.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        commands.push_back(prefix + std::to_string(n));
    }
    return commands;
}

/// A cluster of three members with a leader.
consensus_fixture formed_cluster(std::uint64_t seed = 1)
{
    consensus_fixture cluster(three_members, seed);
    cluster.run(seconds(5));
    REQUIRE(cluster.leader());
    return cluster;
}

/// Checks that at most one member leads and that no member has applied another list of commands
/// than `committed`, which is extended by what any of them has applied.
void check_agreement(consensus_fixture& cluster, const std::vector<std::string>& names,
                     std::vector<std::string>& committed)
{
    RC_ASSERT(cluster.count_leaders() <= 1);
    for (const std::string& it : names) {
        const auto& applied = cluster.applied(it);
        const std::size_t common_length = std::min(applied.size(), committed.size());
        RC_ASSERT(std::equal(applied.begin(), applied.begin() + common_length, committed.begin()));
        if (applied.size() > committed.size()) {
            committed = applied;
        }
    }
}

}  // namespace

TEST_CASE("three empty members form a membership and commit a command", "[consensus]")
{
    consensus_fixture cluster = formed_cluster();
    cluster.propose(*cluster.leader(), "x");
    cluster.run(seconds(1));
    for (const std::string& it : three_members) {
        CHECK(cluster.applied(it) == std::vector<std::string>{"x"});
        CHECK(cluster.member(it).members.voters.size() == 3);
    }
}

TEST_CASE("a single member forms a membership and commits on its own", "[consensus]")
{
    consensus_fixture cluster({"a"});
    cluster.run(seconds(3));
    REQUIRE(cluster.leader() == "a");
    cluster.propose("a", "x");
    CHECK(cluster.applied("a") == std::vector<std::string>{"x"});
}

TEST_CASE("a stopped leader is replaced within 5 s and no committed command is lost", "[consensus]")
{
    consensus_fixture cluster = formed_cluster();
    const std::string old_leader = *cluster.leader();
    cluster.propose(old_leader, "kept");
    cluster.run(milliseconds(100));
    cluster.stop(old_leader);
    const time_point stopped_at = cluster.now();
    while (!cluster.leader() && cluster.now() - stopped_at < seconds(10)) {
        cluster.run(milliseconds(20));
    }
    CHECK(cluster.now() - stopped_at <= seconds(5));
    cluster.propose(*cluster.leader(), "more");
    cluster.start(old_leader);
    cluster.run(seconds(2));
    for (const std::string& it : three_members) {
        CHECK(cluster.applied(it) == std::vector<std::string>{"kept", "more"});
    }
}

TEST_CASE("an isolated leader neither commits nor holds leadership, and does not disrupt the new "
          "leader when it returns",
          "[consensus]")
{
    consensus_fixture cluster = formed_cluster();
    const std::string old_leader = *cluster.leader();
    cluster.isolate(old_leader);
    cluster.propose(old_leader, "lost");
    cluster.run(seconds(120));
    CHECK_FALSE(holds_leadership(cluster.member(old_leader), cluster.now()));
    const std::string new_leader = *cluster.leader();
    REQUIRE(new_leader != old_leader);
    const std::uint64_t term = cluster.member(new_leader).term;
    cluster.propose(new_leader, "kept");
    cluster.heal();
    cluster.run(seconds(5));
    CHECK(cluster.leader() == new_leader);
    CHECK(cluster.member(new_leader).term == term);
    CHECK(cluster.applied(old_leader) == std::vector<std::string>{"kept"});
}

TEST_CASE("a member cut off from the leader does not disrupt the leader", "[consensus]")
{
    consensus_fixture cluster = formed_cluster();
    const std::string leader = *cluster.leader();
    const std::uint64_t term = cluster.member(leader).term;
    cluster.cut(leader, leader == "a" ? "b" : "a");
    for (int n = 0; n < 200; ++n) {
        cluster.run(milliseconds(50));
        REQUIRE(cluster.count_leaders() == 1);
    }
    CHECK(cluster.leader() == leader);
    CHECK(cluster.member(leader).term == term);
}

TEST_CASE("a leader that was frozen does not hold leadership when it resumes", "[consensus]")
{
    consensus_fixture cluster = formed_cluster();
    const std::string old_leader = *cluster.leader();
    cluster.run(seconds(60), {old_leader});
    CHECK_FALSE(holds_leadership(cluster.member(old_leader), cluster.now()));
    CHECK(cluster.count_leaders() == 1);
    cluster.run(seconds(2));
    CHECK(cluster.count_leaders() == 1);
    CHECK(cluster.leader() != old_leader);
}

TEST_CASE("a member that lost its disk does not vote before it is up to date again", "[consensus]")
{
    consensus_fixture cluster = formed_cluster();
    const std::string leader = *cluster.leader();
    const std::string lost = leader == "a" ? "b" : "a";
    const std::string other =
        leader == "c" ? "b" : (lost == "b" ? "c" : (leader == "b" ? "c" : "b"));
    // The third member misses a committed command: only the leader and the lost disk hold it.
    cluster.isolate(other);
    cluster.propose(leader, "acknowledged");
    cluster.run(milliseconds(300));
    REQUIRE(cluster.applied(leader) == std::vector<std::string>{"acknowledged"});
    cluster.stop(leader);
    cluster.stop(lost);
    cluster.wipe_disk(lost);
    cluster.start(lost);
    cluster.heal();
    cluster.run(seconds(30));
    // The third member and the one with the empty disk would be a quorum without the command.
    CHECK_FALSE(cluster.leader());
    cluster.start(leader);
    cluster.run(seconds(10));
    REQUIRE(cluster.leader());
    for (const std::string& it : three_members) {
        CHECK(cluster.applied(it) == std::vector<std::string>{"acknowledged"});
        CHECK(cluster.member(it).members.voters.size() == 3);
    }
}

TEST_CASE("the cluster survives the loss of a second member right after the first was repaired",
          "[consensus]")
{
    for (const std::string& second : three_members) {
        consensus_fixture cluster = formed_cluster();
        cluster.propose(*cluster.leader(), "kept");
        cluster.run(milliseconds(200));
        const std::string first = second == "a" ? "b" : "a";
        cluster.stop(first);
        cluster.wipe_disk(first);
        cluster.start(first);
        cluster.run(seconds(4));
        REQUIRE(contains(cluster.member(*cluster.leader()).members,
                         cluster.member(first).options.self));
        cluster.stop(second);
        cluster.run(seconds(5));
        REQUIRE(cluster.leader());
        cluster.propose(*cluster.leader(), "after");
        cluster.run(seconds(1));
        CHECK(cluster.applied(first) == std::vector<std::string>{"kept", "after"});
    }
}

TEST_CASE("no new membership is formed when one member has data and the others lost their disks",
          "[consensus]")
{
    consensus_fixture cluster = formed_cluster();
    cluster.propose(*cluster.leader(), "kept");
    cluster.run(milliseconds(200));
    for (const char* it : {"a", "b"}) {
        cluster.stop(it);
        cluster.wipe_disk(it);
        cluster.start(it);
    }
    cluster.run(seconds(30));
    CHECK_FALSE(cluster.leader());
    CHECK(cluster.applied("c") == std::vector<std::string>{"kept"});
}

TEST_CASE("a seed that never starts keeps the others from forming a membership", "[consensus]")
{
    // Guards against a site that serves nothing because one VM is missing at its first start.
    for (const char* missing : {"a", "b", "c"}) {
        consensus_fixture cluster({"a", "b", "c", "d", "e"}, 6,
                                  {.seeds = 3,
                                   .disks_lost_at_once = 2,
                                   .form_without_all_seeds = true,
                                   .stopped_at_start = {missing}});
        cluster.run(seconds(6));
        REQUIRE(cluster.leader());
        cluster.propose(*cluster.leader(), "x");
        cluster.run(seconds(1));
        CHECK(cluster.member(*cluster.leader()).members.voters.size() == 4);
        CHECK(cluster.applied("d") == std::vector<std::string>{"x"});

        cluster.start(missing);
        cluster.run(seconds(4));
        CHECK(cluster.member(*cluster.leader()).members.voters.size() == 5);
        CHECK(cluster.applied(missing) == std::vector<std::string>{"x"});
    }
}

TEST_CASE("a seed that is lost while the membership is formed holds up the others", "[consensus]")
{
    // Guards against a site that stays out of service because a seed answered once and vanished.
    for (const char* victim : {"a", "b", "c"}) {
        for (int ms = 5; ms <= 200; ms += 5) {
            const bool replaced = ms % 10 == 0;
            INFO(victim << " is lost after " << ms << " ms, disk lost: " << replaced);
            consensus_fixture cluster(
                {"a", "b", "c", "d", "e"}, static_cast<std::uint64_t>(ms),
                {.seeds = 3, .disks_lost_at_once = 2, .form_without_all_seeds = true});
            cluster.run(milliseconds(ms));
            cluster.stop(victim);
            if (replaced) {
                cluster.run(milliseconds(300));
                cluster.wipe_disk(victim);
                cluster.start(victim);
            }
            cluster.run(seconds(9));
            REQUIRE(cluster.leader());
            cluster.propose(*cluster.leader(), "x");
            cluster.run(milliseconds(500));
            CHECK(cluster.applied("d") == std::vector<std::string>{"x"});
        }
    }
}

TEST_CASE("a membership of two seeds keeps a command on fewer disks than may be lost",
          "[consensus]")
{
    consensus_fixture cluster({"a", "b", "c", "d"}, 7,
                              {.seeds = 3,
                               .disks_lost_at_once = 2,
                               .form_without_all_seeds = true,
                               .stopped_at_start = {"a", "d"}});
    cluster.run(seconds(10));
    CHECK_FALSE(cluster.leader());
    for (const char* it : {"b", "c"}) {
        cluster.propose(it, "x");
        CHECK(cluster.member(it).members.voters.size() == 2);
    }
    cluster.run(seconds(1));
    CHECK(cluster.applied("b").empty());
    CHECK(cluster.applied("c").empty());

    cluster.start("d");
    cluster.run(seconds(4));
    REQUIRE(cluster.leader());
    cluster.propose(*cluster.leader(), "y");
    cluster.run(seconds(1));
    CHECK(cluster.applied("d") == std::vector<std::string>{"y"});
}

TEST_CASE("members that lost their disks form a membership beside one that has data", "[consensus]")
{
    consensus_fixture cluster(
        {"a", "b", "c", "d", "e"}, 8,
        {.seeds = 3, .disks_lost_at_once = 2, .form_without_all_seeds = true});
    cluster.run(seconds(5));
    REQUIRE(cluster.leader());
    cluster.propose(*cluster.leader(), "kept");
    cluster.run(milliseconds(200));
    for (const char* it : {"a", "b", "c", "d", "e"}) {
        cluster.stop(it);
    }
    cluster.wipe_disk("a");
    cluster.wipe_disk("b");
    // The seeds whose disks were lost are up before any member that has data.
    cluster.start("a");
    cluster.start("b");
    cluster.run(seconds(10));
    CHECK_FALSE(cluster.leader());
    for (const char* it : {"c", "d", "e"}) {
        cluster.start(it);
    }
    cluster.run(seconds(6));
    REQUIRE(cluster.leader());
    CHECK(cluster.applied("a") == std::vector<std::string>{"kept"});
}

TEST_CASE("two seeds form memberships of their own whose logs diverge", "[consensus]")
{
    rc::prop("all members apply the same list of commands", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto faults = *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 15));
        const std::vector<std::string> names{"a", "b", "c", "d", "e"};
        consensus_fixture cluster(names, seed,
                                  {.seeds = 3,
                                   .disks_lost_at_once = 2,
                                   .form_without_all_seeds = true,
                                   .stopped_at_start = {names.begin(), names.end()}});
        std::vector<std::string> committed;
        int next = 0;
        const auto compare = [&] { check_agreement(cluster, names, committed); };
        // Seeds start, stop, freeze and are cut off while the membership is formed.
        for (const int fault : faults) {
            const std::string& victim = names[static_cast<std::size_t>(fault) % 5];
            std::set<std::string> frozen;
            if (fault < 5 && cluster.is_running(victim)) {
                cluster.isolate(victim);
            }
            else if (!cluster.is_running(victim)) {
                cluster.start(victim);
            }
            else if (fault < 10) {
                cluster.stop(victim);
            }
            else {
                frozen.insert(victim);
            }
            cluster.run(milliseconds(50 + 130 * fault), frozen);
            if (fault % 3 == 0) {
                cluster.heal();
            }
            for (const std::string& it : names) {
                if (cluster.is_running(it)) {
                    cluster.propose(it, std::to_string(next++));
                }
            }
            compare();
        }
        cluster.heal();
        for (const std::string& it : names) {
            if (!cluster.is_running(it)) {
                cluster.start(it);
            }
        }
        cluster.run(seconds(10));
        compare();
        RC_ASSERT(cluster.leader());
        for (const std::string& it : names) {
            RC_ASSERT(cluster.applied(it) == committed);
        }
    });
}

TEST_CASE("a member that lacks entries dropped by the leader's snapshot gets the snapshot",
          "[consensus]")
{
    consensus_fixture cluster = formed_cluster();
    const std::string leader = *cluster.leader();
    const std::string behind = leader == "a" ? "b" : "a";
    cluster.stop(behind);
    for (const std::string& it : numbered_commands("x", 50)) {
        cluster.propose(leader, it);
    }
    cluster.run(seconds(1));
    cluster.take_snapshot(leader);
    CHECK(cluster.member(leader).log.entries.empty());
    cluster.start(behind);
    cluster.run(seconds(2));
    CHECK(cluster.applied(behind) == numbered_commands("x", 50));
}

TEST_CASE("all members restart with the data on their disks", "[consensus]")
{
    consensus_fixture cluster = formed_cluster();
    for (const std::string& it : numbered_commands("x", 20)) {
        cluster.propose(*cluster.leader(), it);
    }
    cluster.run(seconds(1));
    cluster.take_snapshot("b");
    for (const std::string& it : three_members) {
        cluster.stop(it);
        cluster.start(it);
    }
    cluster.run(seconds(5));
    for (const std::string& it : three_members) {
        CHECK(cluster.applied(it) == numbered_commands("x", 20));
    }
}

// Compares the members with a simple model: one list of all commands that any member ever applied.
// At any time, the list that a member applied must be a prefix of the model or extend it.
TEST_CASE("members that all restart elect a leader without waiting for an election timeout",
          "[consensus]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        consensus_fixture cluster({"a", "b", "c", "d", "e"}, seed,
                                  {.seeds = 3, .disks_lost_at_once = 2});
        cluster.run(seconds(5));
        REQUIRE(cluster.leader());
        const duration timeout = cluster.member("a").options.election_timeout;
        // The members start at different times, as VMs do after a loss of power.
        random_engine random(seed);
        for (const char* name : {"a", "b", "c", "d", "e"}) {
            cluster.stop(name);
        }
        cluster.run(seconds(1));
        for (const char* name : {"d", "b", "e", "a", "c"}) {
            cluster.start(name);
            cluster.run(random_between(random, milliseconds(0), milliseconds(60)));
        }
        cluster.run(timeout / 2);
        INFO("seed " << seed);
        CHECK(cluster.leader());
    }
}

TEST_CASE("a leader that restarts at once is replaced without waiting for an election timeout",
          "[consensus]")
{
    consensus_fixture cluster(three_members);
    cluster.run(seconds(5));
    REQUIRE(cluster.leader());
    const std::string leader = *cluster.leader();
    cluster.stop(leader);
    cluster.start(leader);
    cluster.run(cluster.member(leader).options.election_timeout / 2);
    CHECK(cluster.leader());
}

TEST_CASE("members that restart elect no leader beside one that they answered before",
          "[consensus]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        consensus_fixture cluster({"a", "b", "c", "d", "e"}, seed,
                                  {.seeds = 3, .disks_lost_at_once = 2});
        cluster.run(seconds(5));
        REQUIRE(cluster.leader());
        const std::string leader = *cluster.leader();
        cluster.isolate(leader);
        for (const char* name : {"a", "b", "c", "d", "e"}) {
            if (name != leader) {
                cluster.stop(name);
                cluster.start(name);
            }
        }
        INFO("seed " << seed);
        for (int n = 0; n < 200; ++n) {
            cluster.run(milliseconds(5));
            REQUIRE(cluster.count_leaders() <= 1);
        }
    }
}

TEST_CASE("random faults neither lose committed commands nor make members diverge", "[consensus]")
{
    rc::prop("all members apply the same list of commands", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto faults = *rc::gen::container<std::vector<int>>(25, rc::gen::inRange(0, 9));
        consensus_fixture cluster(three_members, seed);
        cluster.run(seconds(3));
        std::vector<std::string> committed;
        int next = 0;
        const auto compare = [&] { check_agreement(cluster, three_members, committed); };
        for (const int fault : faults) {
            const std::string& victim = three_members[static_cast<std::size_t>(fault) % 3];
            for (const std::string& it : three_members) {
                if (cluster.is_running(it)) {
                    cluster.propose(it, std::to_string(next++));
                }
            }
            if (fault < 3) {
                cluster.isolate(victim);
                cluster.run(milliseconds(700));
            }
            else if (fault < 6 && cluster.is_running(victim)) {
                cluster.stop(victim);
                cluster.run(milliseconds(400));
                cluster.start(victim);
            }
            else {
                cluster.run(milliseconds(900), {victim});
                cluster.heal();
            }
            cluster.run(milliseconds(300));
            compare();
        }
        cluster.heal();
        cluster.run(seconds(8));
        compare();
        RC_ASSERT(cluster.leader());
        for (const std::string& it : three_members) {
            RC_ASSERT(cluster.applied(it) == committed);
        }
    });
}

TEST_CASE(
    "a cluster of three seeds grows to five members, and an entry is committed only on three disks",
    "[consensus]")
{
    consensus_fixture cluster({"a", "b", "c", "d", "e"}, 3, {.seeds = 3, .disks_lost_at_once = 2});
    cluster.run(seconds(5));
    REQUIRE(cluster.leader());
    CHECK(cluster.member(*cluster.leader()).members.voters.size() == 5);
    cluster.propose(*cluster.leader(), "x");
    cluster.run(seconds(1));
    // After the loss of any two disks, a member that holds the entry is left, and a quorum that can
    // elect it.
    cluster.stop("a");
    cluster.stop("b");
    cluster.wipe_disk("a");
    cluster.wipe_disk("b");
    cluster.run(seconds(5));
    REQUIRE(cluster.leader());
    CHECK(cluster.applied(*cluster.leader()) == std::vector<std::string>{"x"});
    cluster.start("a");
    cluster.start("b");
    cluster.run(seconds(4));
    CHECK(cluster.member(*cluster.leader()).members.voters.size() == 5);
    CHECK(cluster.applied("a") == std::vector<std::string>{"x"});
}

namespace {

/// What is lost right after the first command was acknowledged.
struct first_loss {
    /// Member that is missing from the start, if any.
    std::set<std::string> missing;
    std::set<std::string> lost_disks;
    /// All other members lose power, too, and keep their disks.
    bool all_restart = false;
};

/// Five members of which two may be lost start, acknowledge a command, and have the losses.
void check_first_command(std::uint64_t seed, const first_loss& loss)
{
    const std::vector<std::string> names{"a", "b", "c", "d", "e"};
    consensus_fixture cluster(names, seed,
                              {.seeds = 3,
                               .disks_lost_at_once = 2,
                               .form_without_all_seeds = true,
                               .stopped_at_start = loss.missing});
    std::optional<std::string> leader;
    for (int n = 0; n < 1200 && !leader; ++n) {
        cluster.run(milliseconds(5));
        leader = cluster.leader();
    }
    REQUIRE(leader);
    cluster.propose(*leader, "x");
    for (int n = 0; n < 200 && cluster.applied(*leader).empty(); ++n) {
        cluster.run(milliseconds(5));
    }
    REQUIRE(cluster.applied(*leader) == std::vector<std::string>{"x"});
    for (const std::string& it : names) {
        const bool loses_disk = loss.lost_disks.contains(it);
        if (loses_disk || loss.all_restart) {
            cluster.stop(it);
        }
        if (loses_disk) {
            cluster.wipe_disk(it);
        }
    }
    cluster.run(seconds(1));
    for (const std::string& it : names) {
        if (!cluster.is_running(it)) {
            cluster.start(it);
        }
    }
    cluster.run(seconds(8));
    REQUIRE(cluster.leader());
    cluster.propose(*cluster.leader(), "y");
    cluster.run(seconds(1));
    for (const std::string& it : names) {
        CHECK(cluster.applied(it) == std::vector<std::string>{"x", "y"});
    }
}

}  // namespace

TEST_CASE("the first command outlives as many disks as may be lost once it is acknowledged",
          "[consensus]")
{
    // Guards against a site that never answers again after a disk was lost at its first start.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const std::string first : {"a", "b", "c", "d", "e"}) {
            for (const std::string second : {"a", "b", "c", "d", "e"}) {
                INFO("seed " << seed << ", first " << first << ", second " << second);
                check_first_command(seed, {.lost_disks = {first, second}});
                check_first_command(seed, {.lost_disks = {first, second}, .all_restart = true});
                if (first != second) {
                    // A member that is missing counts among the losses.
                    check_first_command(seed, {.missing = {first}, .lost_disks = {second}});
                }
            }
        }
    }
}

TEST_CASE("with three voters and two disks that may be lost, an entry needs all three",
          "[consensus]")
{
    consensus_fixture cluster(three_members, 4, {.seeds = 3, .disks_lost_at_once = 2});
    cluster.run(seconds(5));
    REQUIRE(cluster.leader());
    const std::string leader = *cluster.leader();
    const std::string other = leader == "a" ? "b" : "a";
    cluster.stop(other);
    cluster.propose(leader, "x");
    cluster.run(milliseconds(400));
    CHECK(cluster.applied(leader).empty());
    cluster.start(other);
    cluster.run(seconds(3));
    CHECK(cluster.applied(*cluster.leader()) == std::vector<std::string>{"x"});
}

TEST_CASE("a member at a new address replaces a voter that does not return", "[consensus]")
{
    consensus_fixture cluster({"a", "b", "c", "d", "e", "f"}, 5,
                              {.seeds = 3, .disks_lost_at_once = 2, .stopped_at_start = {"f"}});
    cluster.run(seconds(5));
    REQUIRE(cluster.leader());
    CHECK(cluster.member(*cluster.leader()).members.voters.size() == 5);
    const std::string removed = *cluster.leader() == "d" ? "e" : "d";
    cluster.stop(removed);
    cluster.start("f");
    cluster.run(seconds(4));
    REQUIRE(cluster.leader());
    const membership& members = cluster.member(*cluster.leader()).members;
    CHECK(members.voters.size() == 5);
    CHECK(find_by_name(members, "f") != nullptr);
    CHECK(find_by_name(members, removed) == nullptr);
    // The replaced member does not know that it lost its vote. It follows again without a vote and
    // does not disrupt the leader.
    const std::uint64_t term = cluster.member(*cluster.leader()).term;
    cluster.start(removed);
    cluster.run(seconds(3));
    CHECK(cluster.member(*cluster.leader()).term == term);
    CHECK(!contains(cluster.member(removed).members, cluster.member(removed).options.self));
}
