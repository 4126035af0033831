#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <sstream>

#include "rig/soak/fault_series.h"
#include "rig/soak/soak_run.h"

DEFINE_string(site, "agency", "a file in rig/soak/sites without its ending, or a path");
DEFINE_string(root, ".", "repository whose deploy files are used; the processes run in it");
DEFINE_string(binaries, "", "folder of the programs; empty: where the deploy file has them");
DEFINE_string(folder, "", "folder for logs and data; empty: a new one under /tmp");
DEFINE_string(faults, "none", "faults by name, separated by commas; or none, mixed, final");
DEFINE_int32(seconds, 60, "length of the load, seconds");
DEFINE_uint64(seed, 1, "seed of the load, the changes and the faults");
DEFINE_int32(cores, 0, "processors that the processes of the system share; 0: all");
DEFINE_int32(start_spread_ms, 300, "the processes start within this time, milliseconds");
DEFINE_int32(early_kills, 0, "control members that are killed once during the start");
DEFINE_int32(absent, 0, "control members that are missing from the start");

namespace {

constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

std::vector<std::string> split(const std::string& text)
{
    std::istringstream in(text);
    std::vector<std::string> out;
    for (std::string it; std::getline(in, it, ',');) {
        out.push_back(it);
    }
    return out;
}

}  // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs a deployment as real processes and checks the users' rules");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    using namespace balsamdrift;
    soak::soak_options options{.faults = split(FLAGS_faults),
                               .length = seconds(FLAGS_seconds),
                               .seed = FLAGS_seed,
                               .cores = FLAGS_cores,
                               .start_spread = milliseconds(FLAGS_start_spread_ms),
                               .absent = FLAGS_absent,
                               .early_kills = FLAGS_early_kills};
    options.root = std::filesystem::absolute(FLAGS_root).lexically_normal().string();
    options.site = FLAGS_site.find('/') == std::string::npos
                       ? options.root + "/rig/soak/sites/" + FLAGS_site + ".yaml"
                       : FLAGS_site;
    options.binaries =
        FLAGS_binaries.empty() ? "" : std::filesystem::absolute(FLAGS_binaries).string();
    const auto& known = soak::fault_series::known();
    for (const std::string& it : options.faults) {
        if (it != "none" && it != "mixed" && it != "final" &&
            std::find(known.begin(), known.end(), it) == known.end()) {
            std::cerr << "unknown fault " << it << '\n';
            return exit_not_run;
        }
    }
    options.folder =
        std::filesystem::absolute(FLAGS_folder.empty() ? "/tmp/soak-" + std::to_string(::getpid())
                                                       : FLAGS_folder)
            .string();
    std::cout << "site " << FLAGS_site << ", seed " << FLAGS_seed << ", " << FLAGS_seconds
              << " s, faults " << FLAGS_faults << ", cores " << FLAGS_cores << ", logs in "
              << options.folder << std::endl;
    try {
        return soak::run_soak(options) ? 0 : exit_broken;
    }
    catch (const std::exception& problem) {
        std::cerr << "cannot run: " << problem.what() << '\n';
        return exit_not_run;
    }
}
