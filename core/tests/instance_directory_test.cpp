#include "core/instances/instance_directory.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};

instance_heartbeat heartbeat(const std::string& name, const std::string& address,
                             std::int64_t born_ms, std::int64_t sequence)
{
    return {.instance = name,
            .service = "registre",
            .address = address,
            .born_ms = born_ms,
            .sequence = sequence};
}

}  // namespace

TEST_CASE("an outdated heartbeat changes neither its instance nor the owner of its address",
          "[directory]")
{
    instance_directory directory;
    CHECK(record_heartbeat(directory, heartbeat("a", "10.0.0.1:1", 100, 5), start) ==
          heartbeat_result::accepted);
    CHECK(record_heartbeat(directory, heartbeat("a", "10.0.0.1:1", 100, 4), start) ==
          heartbeat_result::outdated);
    // Another instance started at the address later. A heartbeat of the earlier one arrives after a
    // network partition.
    CHECK(record_heartbeat(directory, heartbeat("b", "10.0.0.1:1", 200, 1), start) ==
          heartbeat_result::accepted);
    CHECK(record_heartbeat(directory, heartbeat("a", "10.0.0.1:1", 100, 6), start) ==
          heartbeat_result::outdated);
    REQUIRE(list_instances(directory).size() == 1);
    CHECK(list_instances(directory).front().instance == "b");
}

TEST_CASE("a restarted instance numbers its heartbeats from one again", "[directory]")
{
    instance_directory directory;
    record_heartbeat(directory, heartbeat("a", "10.0.0.1:1", 100, 50), start);
    const std::uint64_t version = directory.version;
    CHECK(record_heartbeat(directory, heartbeat("a", "10.0.0.1:1", 300, 1), start) ==
          heartbeat_result::accepted);
    CHECK(directory.version > version);
}

// Guards against a deregistration that arrives after the instance has started again under its name.
TEST_CASE("a late deregistration of an earlier incarnation removes nothing", "[directory]")
{
    instance_directory directory;
    record_heartbeat(directory, heartbeat("a", "10.0.0.1:1", 300, 1), start);
    remove_instance(directory, "a", 100);
    CHECK(directory.instances.contains("a"));
    remove_instance(directory, "a", 300);
    CHECK(directory.instances.empty());
}

TEST_CASE("an instance without heartbeats expires, and an unchanged heartbeat keeps the version",
          "[directory]")
{
    instance_directory directory;
    record_heartbeat(directory, heartbeat("a", "10.0.0.1:1", 100, 1), start);
    const std::uint64_t version = directory.version;
    record_heartbeat(directory, heartbeat("a", "10.0.0.1:1", 100, 2), start + seconds(10));
    CHECK(directory.version == version);
    remove_expired_instances(directory, {}, start + seconds(24));
    CHECK(directory.instances.size() == 1);
    remove_expired_instances(directory, {}, start + seconds(26));
    CHECK(directory.instances.empty());
}

TEST_CASE("an entry that applies the changes since its version has the whole directory",
          "[directory]")
{
    CHECK(rc::check([] {
        instance_directory directory;
        std::map<std::string, instance_heartbeat> entry;
        std::uint64_t entry_version = 0;
        time_point now = start;
        const int steps = *rc::gen::inRange(1, 120);
        for (int n = 1; n <= steps; ++n) {
            const std::string name = "i" + std::to_string(*rc::gen::inRange(0, 6));
            now += milliseconds(*rc::gen::inRange(1, 3000));
            const int action = *rc::gen::inRange(0, 8);
            if (action == 0) {
                remove_instance(directory, name, *rc::gen::inRange(0, 6));
            }
            else if (action == 1) {
                remove_expired_instances(directory, {}, now);
            }
            else {
                // Addresses are used again by other instances.
                const std::string address =
                    "10.0.0." + std::to_string(*rc::gen::inRange(0, 8)) + ":1";
                instance_heartbeat it = heartbeat(name, address, *rc::gen::inRange(1, 5), n);
                it.leaving = *rc::gen::inRange(0, 2) == 1;
                (void)record_heartbeat(directory, it, now);
            }
            if (*rc::gen::inRange(0, 3) != 0) {
                continue;
            }
            const directory_changes changes = changes_since(directory, entry_version);
            if (changes.complete) {
                entry.clear();
            }
            for (const std::string& it : changes.removed) {
                entry.erase(it);
            }
            for (const instance_heartbeat& it : changes.changed) {
                entry[it.instance] = it;
            }
            entry_version = directory.version;
            RC_ASSERT(entry.size() == directory.instances.size());
            for (const auto& [instance, it] : directory.instances) {
                RC_ASSERT(entry.at(instance).address == it.last_heartbeat.address);
                RC_ASSERT(entry.at(instance).leaving == it.last_heartbeat.leaving);
            }
        }
    }));
}

TEST_CASE("a warming instance is sent to entries when it becomes cold or warm, not each time",
          "[directory]")
{
    instance_directory directory;
    instance_heartbeat it = heartbeat("a", "10.0.0.1:1", 100, 1);
    const auto version_after = [&](std::int64_t warmup_left_ms) {
        ++it.sequence;
        it.warmup_left_ms = warmup_left_ms;
        (void)record_heartbeat(directory, it, start);
        return directory.version;
    };
    const std::uint64_t cold = version_after(4000);
    CHECK(version_after(3000) == cold);
    CHECK(version_after(10) == cold);
    CHECK(version_after(0) == cold + 1);
    CHECK(version_after(0) == cold + 1);
    CHECK(version_after(5000) == cold + 2);
}

TEST_CASE("a new leader knows the instances of the last one before their next heartbeats",
          "[instances]")
{
    // Guards against callers that wait for a heartbeat interval after every process was lost.
    const time_point now{std::chrono::hours(1)};
    instance_directory before;
    (void)record_heartbeat(before, {.instance = "a", .address = "10.0.0.1:1", .born_ms = 5}, now);
    (void)record_heartbeat(before, {.instance = "b", .address = "10.0.0.2:1", .born_ms = 5}, now);
    const instance_record_changes changes = changes_to_record(before, {});
    REQUIRE(changes.changed.size() == 2);
    recorded_instances recorded;
    for (const instance_heartbeat& it : changes.changed) {
        recorded[it.instance] = it;
    }
    CHECK(changes_to_record(before, recorded).changed.empty());
    instance_directory after;
    restore_instances(after, recorded, now);
    CHECK(after.instances.size() == 2);
    // An instance that is gone is forgotten like any other.
    remove_expired_instances(after, {}, now + seconds(16));
    CHECK(changes_to_record(after, recorded).removed == std::vector<std::string>{"a", "b"});
}

TEST_CASE("a recorded instance does not replace one that uses its address now", "[instances]")
{
    const time_point now{std::chrono::hours(1)};
    instance_directory directory;
    (void)record_heartbeat(directory, {.instance = "new", .address = "10.0.0.1:1", .born_ms = 9},
                           now);
    restore_instances(directory,
                      {{"old", {.instance = "old", .address = "10.0.0.1:1", .born_ms = 5}}}, now);
    CHECK(directory.instances.size() == 1);
    CHECK(directory.instances.contains("new"));
}
