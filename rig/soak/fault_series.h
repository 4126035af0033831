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
    struct known_fault {
        const char* name;
        void (*strike)(fault_series& series);
    };
    static const std::vector<known_fault>& table();

    void kill(const std::vector<machine*>& all, int most_down_ms);
    void reload();
    void turn_seeds_over();
    /// True if no other disk is being restored.
    bool may_lose_disk();
    background freeze(machine& it);
    background stop_entries();
    background silence(machine& it);
    background silence_platform();
    background slow_path(machine& it);
    background slow_instance(instance& it);
    background silence_instance(instance& it);
    background lose_acks();
    background disturb_fleet_path(machine& it);
    background limit_files(machine& it);
    background keep_port_busy(machine& it);
    void kill_connections();
    void crash(service& of, instance* it);

    machine& some_control() { return some(on_.machines.controls()); }
    machine& some_entry() { return some(on_.machines.entries()); }
    machine& some_machine() { return random_() % 2 == 0 ? some_control() : some_entry(); }
    instance& some_instance(service& of)
    {
        return *of.instances()[random_() % of.instances().size()];
    }
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
