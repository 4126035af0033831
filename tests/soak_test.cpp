#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <string>

namespace {

/// Runs the soak as a process of its own, as its stand-ins end with it. Its logs stay in the folder
/// until the next run, which must not find the data of other addresses there.
int run_soak_program(const std::string& folder, const std::string& arguments)
{
    std::filesystem::remove_all(folder);
    const std::string command = std::string(BALSAMDRIFT_BINARIES) + "/soak --root " +
                                BALSAMDRIFT_SOURCE_DIR + " --binaries " + BALSAMDRIFT_BINARIES +
                                " --site agency --folder " + folder + " " + arguments;
    return std::system(command.c_str());
}

}  // namespace

TEST_CASE("the smallest deployment keeps its rules beside kills, stops and lost disks")
{
    CHECK(run_soak_program("soak-faults",
                           "--seconds 30 --seed 2 --faults "
                           "kill_control,kill_entry,kill_core,stop_entries,wipe,replace,final") ==
          0);
}

TEST_CASE("the smallest deployment starts although one of its control members is missing")
{
    CHECK(run_soak_program("soak-absent", "--seconds 5 --seed 2 --absent 1") == 0);
}
