#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

namespace {

/// Runs the soak as a process of its own, as its stand-ins end with it.
int run_soak_program(const std::string& arguments)
{
    const std::string command = std::string(BALSAMDRIFT_BINARIES) + "/soak --root " +
                                BALSAMDRIFT_SOURCE_DIR + " --binaries " + BALSAMDRIFT_BINARIES +
                                " --site agency " + arguments;
    return std::system(command.c_str());
}

}  // namespace

TEST_CASE("the smallest deployment keeps its rules beside kills, stops and lost disks")
{
    CHECK(run_soak_program("--seconds 30 --seed 2 --folder soak-faults --faults "
                           "kill_control,kill_entry,kill_core,stop_entries,wipe,replace,final") ==
          0);
}

TEST_CASE("the smallest deployment starts although one of its control members is missing")
{
    CHECK(run_soak_program("--seconds 5 --seed 2 --folder soak-absent --absent 1") == 0);
}
