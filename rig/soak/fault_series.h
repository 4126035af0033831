#pragma once

#include <random>
#include <string>
#include <vector>

#include "rig/soak/change_operator.h"
#include "rig/soak/deployment.h"
#include "rig/soak/platform_stand_in.h"

namespace balsamdrift::soak {

/// Everything that faults act on.
struct fault_targets {
    event_loop& loop;
    const site_description& site;
    deployment& machines;
    std::vector<std::unique_ptr<service>>& services;
    platform_stand_in& platform;
    change_operator& changes;
    journal& record;
    judge& verdicts;
};

/// Disturbs a site in seeded series that overlap, with calm spans between them.
class fault_series {
public:
    fault_series(fault_targets on, std::vector<std::string> names, std::uint64_t seed);

    /// All faults that a series may have; `mixed` stands for them.
    static const std::vector<std::string>& known();
    background run(time_point end);
    /// Strikes once more, right after a change was acknowledged.
    background strike_finally();

private:
    using action = background (fault_series::*)();
    struct entry_of_table {
        const char* name;
        action act;
    };
    static const std::vector<entry_of_table>& table();

    background kill_control();
    background kill_entry();
    background kill_entries();
    background kill_core();
    background kill_all();
    background freeze_control();
    background freeze_entry();
    background stop_control();
    background stop_entries();
    background reload();
    background turn_seeds_over();
    background wipe();
    background replace();
    background silence_entry();
    background silence_control();
    background silence_platform();
    background slow_path();
    background dead_connections();
    background crash_primary();
    background crash_instance();
    background slow_instance();
    background release_instance();
    background silence_instance();
    background lose_acks();
    background disturb_fleet_path();
    background limit_files();
    background keep_port_busy();

    machine& some(const std::vector<machine*>& of) { return *of[random_() % of.size()]; }
    service& some_service() { return *on_.services[random_() % on_.services.size()]; }
    milliseconds between(int least, int most)
    {
        return milliseconds(least +
                            static_cast<int>(random_() % static_cast<unsigned>(most - least)));
    }
    void disturbed() { on_.machines.note_disturbance(); }

    fault_targets on_;
    std::vector<std::string> names_;
    std::mt19937_64 random_;
    /// No further disk is lost until then.
    time_point disks_safe_at_{};
};

}  // namespace balsamdrift::soak
