#pragma once

#include <sys/resource.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "rig/soak/deploy_file.h"
#include "rig/soak/event_loop.h"
#include "rig/soak/journal.h"
#include "rig/soak/judge.h"
#include "rig/soak/machine.h"
#include "rig/soak/site_description.h"
#include "rig/soak/task.h"

namespace balsamdrift::soak {

struct deployment_options {
    std::string folder;
    /// Repository whose deploy files are used; also the current folder of the processes.
    std::string root;
    /// Folder of the programs; empty: where the deploy file has them.
    std::string binaries;
    /// Processors that the processes may use; 0: all.
    int cores = 0;
    std::uint64_t seed = 1;
    /// Puts a proxy before each process, on the paths from the other processes.
    bool proxies = false;
};

/// Whether rules with a time bound hold for a machine.
struct touch {
    bool judged = false;
    /// Added to the time until a configuration is in force.
    milliseconds stretch{};
};

/// Starts, disturbs and restarts the processes of a site as the platform does.
class deployment {
public:
    deployment(event_loop& loop, const site_description& site, deployment_options options,
               journal& record, judge& verdicts);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts all processes within the time, in any order. The first `absent` control members stay
    /// away.
    void start(duration spread, int absent);
    /// Looks after the processes until the run ends.
    background supervise();

    void kill(machine& it, duration down);
    void terminate(machine& it, duration down);
    void freeze(machine& it);
    void thaw(machine& it);
    /// Renders the settings anew and sends SIGHUP.
    void reload(machine& it);
    void wipe(machine& it);
    /// Removes a control member for good and adds another at a new address.
    machine& replace(machine& it);
    /// Gives all machines other seeds.
    void turn_seeds_over();
    void disturb(machine& it);

    std::vector<machine*> controls() const { return list(true); }
    std::vector<machine*> entries() const { return list(false); }
    touch touch_at(const machine& it, time_point at) const;
    /// Addresses of the control members as the operator's list has them.
    std::vector<machine*> listed_controls() const;
    std::string host(int subnet, int last) const;
    address platform_address() const { return {host(200, 2), 8466}; }
    bool is_running(const machine& it) const { return it.pid > 0 && !it.frozen; }
    /// Something other than a machine was disturbed.
    void note_disturbance() { last_disturbance_ = monotonic_clock::now(); }
    time_point last_disturbance() const { return last_disturbance_; }
    /// What the processes have used so far.
    std::string usage() const;
    void end_all();

private:
    machine& add(bool is_control, const zone_description& zone, std::size_t zone_number,
                 int number);
    std::vector<machine*> list(bool is_control) const;
    void render(const machine& it) const;
    void start_process(machine& it);
    void on_end(machine& it, int status, const rusage& usage);
    void check_majority();

    event_loop& loop_;
    const site_description& site_;
    deployment_options options_;
    journal& record_;
    judge& verdicts_;
    std::map<std::string, deploy_role> roles_;
    std::mt19937_64 random_;
    std::string net_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::vector<std::pair<time_point, machine*>> listed_;
    int next_control_ = 100;
    time_point core_disturbed_{};
    time_point majority_lost_{};
    time_point last_disturbance_{};
};

}  // namespace balsamdrift::soak
