// Guards against a member, or a whole group, that does not come back after its disk was full.

#include <QCoreApplication>
#include <QTemporaryDir>
#include <sys/stat.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <cerrno>
#include <filesystem>
#include <random>
#include <set>

#include "control/control_service.h"
#include "control/log_storage.h"
#include "control/synced_file.h"

using namespace balsamdrift;

namespace {

/// A disk whose operations fail on demand.
struct faulty_disk {
    /// Bytes that can still be written; negative for any number.
    std::int64_t room = -1;
    bool sync_fails = false;
    bool truncate_fails = false;
    bool read_fails = false;
    /// Inodes of the files that were synced.
    std::set<ino_t> synced;

    file_operations operations()
    {
        file_operations system = system_file_operations();
        return {.write = [this, system](int fd, const char* bytes, std::size_t size) -> ssize_t {
                    if (room < 0) {
                        return system.write(fd, bytes, size);
                    }
                    const std::size_t fitting = std::min(size, static_cast<std::size_t>(room));
                    if (fitting == 0) {
                        errno = ENOSPC;
                        return -1;
                    }
                    room -= static_cast<std::int64_t>(fitting);
                    return system.write(fd, bytes, fitting);
                },
                .sync =
                    [this, system](int fd) {
                        if (sync_fails) {
                            errno = EIO;
                            return -1;
                        }
                        struct stat info {};
                        ::fstat(fd, &info);
                        synced.insert(info.st_ino);
                        return system.sync(fd);
                    },
                .truncate =
                    [this, system](const std::string& path, std::uint64_t size) {
                        if (truncate_fails) {
                            errno = ENOSPC;
                            return -1;
                        }
                        return system.truncate(path, size);
                    },
                .read = [this, system](const std::string& path) -> outcome<std::string> {
                    if (read_fails) {
                        return failure{"cannot open " + path};
                    }
                    return system.read(path);
                }};
    }
};

/// A data folder on a faulty disk.
struct folder_on_faulty_disk {
    QTemporaryDir temporary;
    std::string folder = temporary.path().toStdString() + "/data";
    faulty_disk disk;
    log_storage storage{disk.operations()};

    outcome<opened_storage> open() { return log_storage::open(folder, storage); }
};

/// A control group of five members in one process, each on a disk of its own.
struct group_on_faulty_disks {
    struct member {
        faulty_disk disk;
        fleet_node fleet{{.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"}};
        std::atomic<control_service*> receiver = nullptr;
        std::unique_ptr<control_service> control;
    };

    QTemporaryDir folder;
    std::array<member, 5> members;
    std::uint64_t version = 0;

    group_on_faulty_disks()
    {
        std::vector<voter> voters;
        for (member& it : members) {
            REQUIRE(succeeded(it.fleet.start([&it](fleet_message message) {
                if (control_service* const to = it.receiver.load()) {
                    to->receive(std::move(message));
                }
            })));
            voters.push_back({{"c" + std::to_string(voters.size()), 0}, it.fleet.address()});
        }
        for (std::size_t n = 0; n < members.size(); ++n) {
            const std::string name = "c" + std::to_string(n);
            members[n].control = std::make_unique<control_service>(
                control_options{.name = name,
                                .data_folder = folder.path().toStdString() + "/" + name,
                                .members = voters,
                                .disks_lost_at_once = 2,
                                .snapshot_log_bytes = 4096,
                                .files = members[n].disk.operations()},
                members[n].fleet);
            REQUIRE(succeeded(members[n].control->start()));
            members[n].receiver = members[n].control.get();
        }
    }

    ~group_on_faulty_disks()
    {
        for (member& it : members) {
            it.fleet.stop();
        }
    }

    static void run_events(duration span)
    {
        const time_point end = monotonic_clock::now() + span;
        while (monotonic_clock::now() < end) {
            QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
        }
    }

    std::optional<std::size_t> leader() const
    {
        for (std::size_t n = 0; n < members.size(); ++n) {
            if (members[n].control->status().leads) {
                return n;
            }
        }
        return std::nullopt;
    }

    /// Sends a new version to one member after the other, as operators do, until one acknowledges
    /// it. False if none has by then.
    bool change(std::size_t first, duration limit)
    {
        const time_point end = monotonic_clock::now() + limit;
        const declared_configuration next{.version = ++version, .document = std::string(300, 'd')};
        for (std::size_t n = first; monotonic_clock::now() < end; ++n) {
            auto settled = std::make_shared<std::optional<bool>>();
            const time_point sent_at = monotonic_clock::now();
            members[n % members.size()].control->submit(
                replace_declared{next},
                [settled](bool done, const std::string&) { *settled = done; });
            while (!*settled && monotonic_clock::now() - sent_at < milliseconds(1000)) {
                run_events(milliseconds(5));
            }
            // A member answers every change within the second that operators wait.
            REQUIRE(*settled);
            if (**settled) {
                return true;
            }
            run_events(milliseconds(50));
        }
        return false;
    }

    std::uint64_t version_at(std::size_t n) const
    {
        return members[n].control->status().state->declared.version;
    }
};

save_entries entry(std::uint64_t index, const std::string& data)
{
    return {.first_index = index,
            .entries = {{.index = index, .term = 1, .kind = entry_kind::command, .data = data}}};
}

}  // namespace

TEST_CASE("a member that cannot read its files for a moment keeps its data", "[storage]")
{
    folder_on_faulty_disk it;
    auto created = it.open();
    const std::uint64_t incarnation = value_of(created).incarnation;
    REQUIRE(succeeded(it.storage.write(entry(1, "x"))));
    it.disk.read_fails = true;
    CHECK(!succeeded(it.open()));
    it.disk.read_fails = false;
    auto opened = it.open();
    REQUIRE(succeeded(opened));
    CHECK(value_of(opened).incarnation == incarnation);
    CHECK(value_of(opened).may_form);
    CHECK(last_index(value_of(opened).stored.log) == 1);
}

TEST_CASE("a member whose full disk holds an incomplete record keeps its data", "[storage]")
{
    folder_on_faulty_disk it;
    auto created = it.open();
    const std::uint64_t incarnation = value_of(created).incarnation;
    REQUIRE(succeeded(it.storage.write(entry(1, "x"))));
    it.disk.room = 10;
    it.disk.truncate_fails = true;
    CHECK(!succeeded(it.storage.write(entry(2, "y"))));
    CHECK(!succeeded(it.open()));
    it.disk = {};
    auto opened = it.open();
    REQUIRE(succeeded(opened));
    CHECK(value_of(opened).incarnation == incarnation);
    CHECK(last_index(value_of(opened).stored.log) == 1);
}

TEST_CASE("a member without room does not take part until it has room", "[storage]")
{
    folder_on_faulty_disk it;
    REQUIRE(succeeded(it.open()));
    REQUIRE(succeeded(it.storage.write(entry(1, "x"))));
    it.disk.room = 0;
    CHECK(!succeeded(it.storage.write(entry(2, "y"))));
    // It could load its log, but neither vote nor append.
    CHECK(!succeeded(it.open()));
    it.disk.room = -1;
    CHECK(succeeded(it.open()));
    CHECK(succeeded(it.storage.write(entry(2, "y"))));
}

TEST_CASE("an entry whose sync failed does not count after the folder is opened again", "[storage]")
{
    folder_on_faulty_disk it;
    REQUIRE(succeeded(it.open()));
    REQUIRE(succeeded(it.storage.write(entry(1, "x"))));
    it.disk.sync_fails = true;
    CHECK(!succeeded(it.storage.write(entry(2, "y"))));
    it.disk.sync_fails = false;
    auto opened = it.open();
    REQUIRE(succeeded(opened));
    CHECK(last_index(value_of(opened).stored.log) == 1);
}

TEST_CASE("records that an earlier process did not sync are synced before they count", "[storage]")
{
    // Guards against an acknowledged entry that only the page cache holds when the power fails.
    folder_on_faulty_disk it;
    REQUIRE(succeeded(it.open()));
    it.disk.sync_fails = true;
    CHECK(!succeeded(it.storage.write(entry(1, "x"))));
    it.disk.sync_fails = false;
    it.disk.synced.clear();
    log_storage next_process(it.disk.operations());
    auto opened = log_storage::open(it.folder, next_process);
    REQUIRE(succeeded(opened));
    CHECK(last_index(value_of(opened).stored.log) == 1);
    struct stat info {};
    REQUIRE(::stat((it.folder + "/log").c_str(), &info) == 0);
    CHECK(it.disk.synced.contains(info.st_ino));
}

TEST_CASE("a snapshot that does not fit leaves the log usable and takes no room", "[storage]")
{
    folder_on_faulty_disk it;
    REQUIRE(succeeded(it.open()));
    REQUIRE(succeeded(it.storage.write(entry(1, "x"))));
    it.disk.room = 20;
    const log_snapshot snapshot{
        .index = 1, .term = 1, .members = {}, .state = std::string(500, 's')};
    CHECK(std::holds_alternative<snapshot_postponed>(it.storage.write_snapshot(snapshot, {}, {})));
    CHECK(!std::filesystem::exists(it.folder + "/log.new"));
    it.disk.room = -1;
    REQUIRE(succeeded(it.storage.write(entry(2, "y"))));
    auto opened = it.open();
    REQUIRE(succeeded(opened));
    CHECK(last_index(value_of(opened).stored.log) == 2);
}

TEST_CASE("a new folder on a full disk is created once there is room", "[storage]")
{
    folder_on_faulty_disk it;
    it.disk.room = 4;
    CHECK(!succeeded(it.open()));
    it.disk.room = -1;
    auto opened = it.open();
    REQUIRE(succeeded(opened));
    CHECK(value_of(opened).may_form);
    CHECK(succeeded(it.storage.write(entry(1, "x"))));
}

TEST_CASE("a member that starts while its disk is full takes part once there is room", "[control]")
{
    // Guards against a process that ends at every start until there is room.
    QTemporaryDir folder;
    faulty_disk disk;
    disk.room = 0;
    fleet_node fleet({.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"});
    std::atomic<control_service*> receiver = nullptr;
    REQUIRE(succeeded(fleet.start([&](fleet_message it) {
        if (control_service* const to = receiver.load()) {
            to->receive(std::move(it));
        }
    })));
    control_service control({.name = "c1",
                             .data_folder = folder.path().toStdString() + "/data",
                             .members = {{{"c1", 0}, fleet.address()}},
                             .files = disk.operations()},
                            fleet);
    REQUIRE(succeeded(control.start()));
    receiver = &control;
    group_on_faulty_disks::run_events(milliseconds(700));
    CHECK(!control.status().serves);
    disk.room = -1;
    group_on_faulty_disks::run_events(milliseconds(2000));
    CHECK(control.status().leads);
    fleet.stop();
}

TEST_CASE("changes succeed after the disks of all members were full in turn", "[control]")
{
    // Guards against changes that are refused for good after one disk after the other was full.
    std::mt19937 random(GENERATE(1U, 2U));
    group_on_faulty_disks group;
    group.run_events(milliseconds(1500));
    REQUIRE(group.change(0, seconds(4)));
    std::array<std::size_t, 5> order{0, 1, 2, 3, 4};
    std::shuffle(order.begin(), order.end(), random);
    for (const std::size_t n : order) {
        faulty_disk& disk = group.members[n].disk;
        disk.room = static_cast<std::int64_t>(random() % 200);
        disk.truncate_fails = random() % 2 == 0;
        const time_point end = monotonic_clock::now() + milliseconds(600);
        while (monotonic_clock::now() < end) {
            CHECK(group.change(random() % 5, seconds(4)));
            group.run_events(milliseconds(20));
        }
        disk.room = -1;
        disk.truncate_fails = false;
        group.run_events(milliseconds(random() % 300));
    }
    // Each member answers on its own, whoever leads.
    group.run_events(seconds(1));
    for (std::size_t n = 0; n < group.members.size(); ++n) {
        CHECK(group.change(n, seconds(1)));
    }
    group.run_events(milliseconds(300));
    for (std::size_t n = 0; n < group.members.size(); ++n) {
        CHECK(group.version_at(n) == group.version);
    }
}
