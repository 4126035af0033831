#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

namespace {

/// Runs the soak as a process of its own, as its stand-ins end with it.
int run_soak_program(const std::string& arguments)
{
    const std::string command = std::string(BALSAMDRIFT_BINARIES) + "/soak --root " +
                                BALSAMDRIFT_SOURCE_DIR + " --binaries " + BALSAMDRIFT_BINARIES +
                                " " + arguments;
    return std::system(command.c_str());
}

}  // namespace

TEST_CASE("the smallest deployment keeps the users' rules as real processes without faults")
{
    CHECK(run_soak_program("--site agency --seconds 15 --seed 1 --folder soak-calm") == 0);
}

TEST_CASE("the smallest deployment keeps the users' rules beside kills, stops and lost disks")
{
    CHECK(run_soak_program("--site agency --seconds 30 --seed 2 --folder soak-faults --faults "
                           "kill_control,kill_entry,kill_core,stop_entries,wipe,replace,final") ==
          0);
}
