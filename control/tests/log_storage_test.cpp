#include "control/log_storage.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include <QTemporaryDir>
#include <filesystem>
#include <fstream>

#include "control/synced_file.h"

using namespace balsamdrift;

namespace {

/// A data folder that is removed at the end of the test.
struct folder_fixture {
    QTemporaryDir temporary;
    std::string folder = temporary.path().toStdString() + "/data";

    opened_storage open(log_storage& storage)
    {
        auto opened = log_storage::open(folder, storage);
        REQUIRE(succeeded(opened));
        return value_of(opened);
    }
    std::string log_path() const { return folder + "/log"; }
    std::string log_bytes() const
    {
        auto content = read_file(log_path());
        return value_of(content);
    }
    void set_log_bytes(const std::string& bytes) const
    {
        std::ofstream(log_path(), std::ios::binary) << bytes;
    }
};

/// Returns `count` commands of consecutive indexes from `first` on.
std::vector<log_entry> entries(std::uint64_t first, int count)
{
    std::vector<log_entry> res;
    res.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        res.push_back({.index = first + static_cast<std::uint64_t>(n),
                       .term = 1,
                       .kind = entry_kind::command,
                       .data = "command " + std::to_string(first + n)});
    }
    return res;
}

}  // namespace

TEST_CASE("written data is restored when the folder is opened again", "[storage]")
{
    folder_fixture it;
    std::uint64_t incarnation = 0;
    {
        log_storage storage;
        incarnation = it.open(storage).incarnation;
        REQUIRE(succeeded(storage.write(save_vote{3, "b"})));
        REQUIRE(succeeded(storage.write(save_entries{1, entries(1, 5)})));
        REQUIRE(succeeded(storage.write(save_entries{4, entries(4, 1)})));
    }
    log_storage storage;
    const opened_storage opened = it.open(storage);
    CHECK(opened.incarnation == incarnation);
    CHECK(opened.stored.term == 3);
    CHECK(opened.stored.voted_for == "b");
    CHECK(opened.stored.log.entries == entries(1, 4));
    CHECK(opened.may_form);
}

TEST_CASE("a record truncated at any byte is ignored and earlier records are kept", "[storage]")
{
    folder_fixture it;
    {
        log_storage storage;
        it.open(storage);
        REQUIRE(succeeded(storage.write(save_entries{1, entries(1, 2)})));
    }
    const std::string complete = it.log_bytes();
    std::string with_next_record;
    {
        log_storage storage;
        it.open(storage);
        REQUIRE(succeeded(storage.write(save_entries{3, entries(3, 2)})));
        with_next_record = it.log_bytes();
    }
    for (std::size_t size = complete.size() + 1; size < with_next_record.size(); ++size) {
        it.set_log_bytes(with_next_record.substr(0, size));
        log_storage storage;
        const opened_storage opened = it.open(storage);
        CHECK(opened.stored.log.entries == entries(1, 2));
        CHECK(opened.discarded_bytes == size - complete.size());
        CHECK(opened.may_form);
        CHECK(storage.log_bytes() == complete.size());
    }
}

TEST_CASE("a damaged record leads to a new incarnation that may not form a group", "[storage]")
{
    folder_fixture it;
    std::uint64_t incarnation = 0;
    {
        log_storage storage;
        incarnation = it.open(storage).incarnation;
        REQUIRE(succeeded(storage.write(save_entries{1, entries(1, 3)})));
    }
    const std::string undamaged = it.log_bytes();
    for (std::size_t n = 16; n < undamaged.size(); n += 7) {
        std::string damaged = undamaged;
        damaged[n] = static_cast<char>(damaged[n] ^ 0x20);
        it.set_log_bytes(damaged);
        log_storage storage;
        const opened_storage opened = it.open(storage);
        CHECK(opened.incarnation != incarnation);
        CHECK_FALSE(opened.may_form);
        CHECK(opened.stored.log.entries.empty());
        CHECK(std::filesystem::exists(it.folder + "/damaged/log"));
    }
}

TEST_CASE("a member that restarts before the first membership counts as one that lost its disk",
          "[storage]")
{
    folder_fixture it;
    const auto created_at_first_start = [&](bool first_start) {
        log_storage storage;
        auto opened = log_storage::open(it.folder, storage, first_start);
        REQUIRE(succeeded(opened));
        return value_of(opened).created_at_first_start;
    };
    CHECK(created_at_first_start(true));
    CHECK(created_at_first_start(false));
    std::filesystem::remove_all(it.folder);
    CHECK_FALSE(created_at_first_start(false));
}

TEST_CASE("a snapshot replaces the whole log", "[storage]")
{
    folder_fixture it;
    const log_snapshot snapshot{.index = 4, .term = 1, .members = {}, .state = "registry"};
    {
        log_storage storage;
        it.open(storage);
        REQUIRE(succeeded(storage.write(save_entries{1, entries(1, 6)})));
        REQUIRE(std::holds_alternative<std::monostate>(
            storage.write_snapshot(snapshot, {2, "a"}, entries(5, 2))));
        REQUIRE(succeeded(storage.write(save_entries{7, entries(7, 1)})));
    }
    log_storage storage;
    const opened_storage opened = it.open(storage);
    CHECK(opened.stored.log.snapshot == snapshot);
    CHECK(opened.stored.log.entries == entries(5, 3));
    CHECK(opened.stored.term == 2);
}

TEST_CASE("a crash during the replacement of the log leaves the old log", "[storage]")
{
    folder_fixture it;
    {
        log_storage storage;
        it.open(storage);
        REQUIRE(succeeded(storage.write(save_entries{1, entries(1, 6)})));
    }
    std::ofstream(it.log_path() + ".new") << "half a snapsh";
    log_storage storage;
    CHECK(it.open(storage).stored.log.entries == entries(1, 6));
}

TEST_CASE("writes to a full disk fail", "[storage]")
{
    // Every write to this device fails with ENOSPC, as on a full disk.
    const int full_device = ::open("/dev/full", O_WRONLY | O_CLOEXEC);
    REQUIRE(full_device >= 0);
    CHECK_FALSE(succeeded(write_all(system_file_operations(), full_device, "x")));
    ::close(full_device);
    CHECK_FALSE(succeeded(replace_file(system_file_operations(), "/dev/full", "log", "x")));
}

TEST_CASE("a lost folder is created again with a new incarnation", "[storage]")
{
    folder_fixture it;
    std::uint64_t incarnation = 0;
    {
        log_storage storage;
        incarnation = it.open(storage).incarnation;
    }
    std::filesystem::remove_all(it.folder);
    log_storage storage;
    CHECK(it.open(storage).incarnation != incarnation);
}
