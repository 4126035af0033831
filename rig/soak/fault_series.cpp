#include "rig/soak/fault_series.h"

#include <unistd.h>

#include <algorithm>

namespace balsamdrift::soak {

namespace {

/// Kills restart a process within a second unless they take the machine down for longer.
constexpr int least_down_ms = 200;
constexpr int most_down_ms = 5000;
/// After a disk was lost, the members need this time beyond catchUpS before another one may be.
constexpr seconds disk_margin(8);
constexpr int limited_file_bytes = 100;
constexpr int most_faults_of_a_series = 3;

}  // namespace

fault_series::fault_series(fault_targets on, std::vector<std::string> names, std::uint64_t seed)
    : on_(on), names_(std::move(names)), random_(seed)
{
}

const std::vector<fault_series::known_fault>& fault_series::table()
{
    using series = fault_series;
    static const std::vector<known_fault> all{
        {"kill_control", [](series& s) { s.kill({&s.some_control()}, most_down_ms); }},
        {"kill_entry", [](series& s) { s.kill({&s.some_entry()}, most_down_ms); }},
        {"kill_entries",
         [](series& s) {
             std::vector<machine*> half = s.on_.machines.entries();
             std::shuffle(half.begin(), half.end(), s.random_);
             half.resize((half.size() + 1) / 2);
             s.kill(half, 2000);
         }},
        {"kill_core", [](series& s) { s.kill(s.on_.machines.controls(), 1000); }},
        {"kill_all",
         [](series& s) {
             s.kill(s.on_.machines.controls(), 1000);
             s.kill(s.on_.machines.entries(), 1500);
         }},
        {"freeze_control", [](series& s) { s.freeze(s.some_control()); }},
        {"freeze_entry", [](series& s) { s.freeze(s.some_entry()); }},
        {"stop_control",
         [](series& s) { s.on_.machines.terminate(s.some_control(), s.between(1000, 4000)); }},
        {"stop_entries", [](series& s) { s.stop_entries(); }},
        {"reload", [](series& s) { s.reload(); }},
        {"seeds", [](series& s) { s.turn_seeds_over(); }},
        {"wipe",
         [](series& s) {
             if (s.may_lose_disk()) {
                 machine& it = s.some_control();
                 s.on_.machines.kill(it, s.between(500, 3000));
                 s.on_.machines.wipe(it);
             }
         }},
        {"replace",
         [](series& s) {
             if (s.may_lose_disk()) {
                 s.on_.machines.replace(s.some_control());
             }
         }},
        {"silence_entry", [](series& s) { s.silence(s.some_entry()); }},
        {"silence_control", [](series& s) { s.silence(s.some_control()); }},
        {"silence_platform", [](series& s) { s.silence_platform(); }},
        {"slow_path", [](series& s) { s.slow_path(s.some_machine()); }},
        {"dead_connections", [](series& s) { s.kill_connections(); }},
        {"crash_primary",
         [](series& s) {
             service& of = s.some_service();
             s.crash(of, of.primary());
         }},
        {"crash_instance",
         [](series& s) {
             service& of = s.some_service();
             s.crash(of, &s.some_instance(of));
         }},
        {"slow_instance", [](series& s) { s.slow_instance(s.some_instance(s.some_service())); }},
        {"release_instance",
         [](series& s) {
             service& of = s.some_service();
             instance& it = s.some_instance(of);
             s.disturbed();
             if (!it.down && !it.draining) {
                 of.release(it);
             }
         }},
        {"silence_instance",
         [](series& s) { s.silence_instance(s.some_instance(s.some_service())); }},
        {"lose_acks", [](series& s) { s.lose_acks(); }},
        {"fleet_path", [](series& s) { s.disturb_fleet_path(s.some_machine()); }},
        {"limit_files", [](series& s) { s.limit_files(s.some_control()); }},
        {"busy_port", [](series& s) { s.keep_port_busy(s.some_machine()); }}};
    return all;
}

const std::vector<std::string>& fault_series::known()
{
    static const std::vector<std::string> names = [] {
        std::vector<std::string> out;
        for (const known_fault& it : table()) {
            out.emplace_back(it.name);
        }
        return out;
    }();
    return names;
}

background fault_series::run(time_point end)
{
    while (!names_.empty() && monotonic_clock::now() < end) {
        const std::uint64_t count = 1 + random_() % most_faults_of_a_series;
        for (std::uint64_t n = 0; n < count; ++n) {
            const std::string& name = names_[random_() % names_.size()];
            on_.record.note("fault: " + name);
            for (const known_fault& it : table()) {
                if (it.name == name) {
                    it.strike(*this);
                }
            }
            const milliseconds pause = between(0, 2500);
            co_await on_.loop.sleep(pause);
        }
        // Rules with a time bound hold again so long after the last disturbance.
        const milliseconds calm = on_.site.bound_ms("contactMs") +
                                  on_.site.bound_ms("configApplyMs") + between(1000, 7000);
        co_await on_.loop.sleep(calm);
    }
}

background fault_series::strike_finally()
{
    const bool acked = co_await on_.changes.change_once();
    on_.record.note(std::string("final fault, the last change was ") +
                    (acked ? "acknowledged" : "not acknowledged"));
    const milliseconds down = between(least_down_ms, 2000);
    std::vector<machine*> members = on_.machines.controls();
    std::shuffle(members.begin(), members.end(), random_);
    const auto choice = random_() % 3;
    for (machine* it : members) {
        on_.machines.kill(*it, down);
    }
    if (choice != 0 && monotonic_clock::now() >= disks_safe_at_) {
        for (int n = 0; n < on_.site.machines_lost_at_once; ++n) {
            on_.machines.wipe(*members[static_cast<std::size_t>(n)]);
        }
    }
    if (choice != 1) {
        for (machine* it : on_.machines.entries()) {
            on_.machines.kill(*it, down);
        }
    }
    on_.verdicts.served().final_fault(monotonic_clock::now() + down);
    disturbed();
}

void fault_series::kill(const std::vector<machine*>& all, int longest_ms)
{
    for (machine* it : all) {
        on_.machines.kill(*it, between(least_down_ms, longest_ms));
    }
}

background fault_series::freeze(machine& it)
{
    on_.machines.freeze(it);
    const milliseconds length = between(500, 7000);
    co_await on_.loop.sleep(length);
    on_.machines.thaw(it);
}

background fault_series::stop_entries()
{
    for (machine* it : on_.machines.entries()) {
        if (random_() % 3 == 0) {
            on_.machines.terminate(*it, between(1000, 4000));
            const milliseconds gap = between(900, 1500);
            co_await on_.loop.sleep(gap);
        }
    }
}

void fault_series::reload()
{
    for (const auto& all : {on_.machines.controls(), on_.machines.entries()}) {
        for (machine* it : all) {
            on_.machines.reload(*it);
        }
    }
}

void fault_series::turn_seeds_over()
{
    on_.machines.turn_seeds_over();
    const bool told = random_() % 2 == 0;
    on_.record.note(std::string("the seeds have changed, ") + (told ? "with" : "without") +
                    " a signal");
    if (told) {
        reload();
    }
}

bool fault_series::may_lose_disk()
{
    const time_point now = monotonic_clock::now();
    if (now < disks_safe_at_) {
        return false;
    }
    disks_safe_at_ = now + on_.site.bound_s("catchUpS") + disk_margin;
    return true;
}

background fault_series::silence(machine& it)
{
    on_.record.note("the paths between " + it.name + " and its callers are silent");
    it.path.silent_in = random_() % 3 != 0;
    it.path.silent_out = !it.path.silent_in || random_() % 2 == 0;
    const milliseconds length = between(1000, 7000);
    co_await on_.loop.sleep(length);
    it.path.silent_in = it.path.silent_out = false;
    on_.machines.disturb(it);
}

background fault_series::silence_platform()
{
    on_.record.note("the platform is silent");
    on_.platform.path.silent_in = on_.platform.path.silent_out = true;
    const milliseconds length = between(2000, 7000);
    co_await on_.loop.sleep(length);
    on_.platform.path.silent_in = on_.platform.path.silent_out = false;
}

background fault_series::slow_path(machine& it)
{
    on_.record.note("the path to " + it.name + " is slow");
    it.path.delay = between(20, 300);
    const milliseconds length = between(2000, 7000);
    co_await on_.loop.sleep(length);
    it.path.delay = {};
    on_.machines.disturb(it);
}

void fault_series::kill_connections()
{
    on_.record.note("open connections of instances and of a third of the entries go silent");
    const time_point now = monotonic_clock::now();
    for (const auto& service : on_.services) {
        for (const auto& it : service->instances()) {
            if (random_() % 2 == 0) {
                it->path.dead_before = now;
            }
        }
    }
    for (machine* it : on_.machines.entries()) {
        if (random_() % 3 == 0) {
            it->path.dead_before = now;
            on_.machines.disturb(*it);
        }
    }
    disturbed();
}

void fault_series::crash(service& of, instance* it)
{
    disturbed();
    if (it != nullptr && !it->down) {
        of.crash(*it, between(500, 8000));
    }
}

background fault_series::slow_instance(instance& it)
{
    on_.record.note(it.id + " is slow");
    it.slow_factor = 6;
    disturbed();
    const milliseconds length = between(2000, 6500);
    co_await on_.loop.sleep(length);
    it.slow_factor = 1;
    disturbed();
}

background fault_series::silence_instance(instance& it)
{
    on_.record.note("the paths to and from " + it.id + " are silent");
    it.path.silent_in = it.path.silent_out = true;
    disturbed();
    const milliseconds length = between(1000, 7000);
    co_await on_.loop.sleep(length);
    it.path.silent_in = it.path.silent_out = false;
    disturbed();
}

background fault_series::lose_acks()
{
    on_.record.note("acknowledgements to the operator are lost");
    on_.changes.lost_acks = 0.6;
    const milliseconds length = between(3000, 8000);
    co_await on_.loop.sleep(length);
    on_.changes.lost_acks = 0;
}

background fault_series::disturb_fleet_path(machine& it)
{
    if (it.proxy == nullptr) {
        co_return;
    }
    link& path = it.proxy->path;
    const auto choice = random_() % 5;
    on_.record.note("the path from other processes to " + it.name + " is " +
                    (choice == 0   ? "slow"
                     : choice == 1 ? "dead for open connections"
                                   : "silent"));
    path.delay = choice == 0 ? between(20, 300) : milliseconds(0);
    path.dead_before = choice == 1 ? monotonic_clock::now() : path.dead_before;
    path.silent_in = choice == 2 || choice == 3;
    path.silent_out = choice == 2 || choice == 4;
    on_.machines.disturb(it);
    const milliseconds length = between(1000, 7000);
    co_await on_.loop.sleep(length);
    path.silent_in = path.silent_out = false;
    path.delay = {};
    on_.machines.disturb(it);
}

background fault_series::limit_files(machine& it)
{
    it.file_limit_bytes = limited_file_bytes;
    on_.machines.kill(it, between(least_down_ms, 1000));
    const milliseconds length = between(3000, 7000);
    co_await on_.loop.sleep(length);
    it.file_limit_bytes = 0;
    on_.machines.kill(it, between(least_down_ms, 1000));
}

background fault_series::keep_port_busy(machine& it)
{
    on_.machines.kill(it, between(300, 1000));
    const milliseconds end(250);
    co_await on_.loop.sleep(end);
    const int fd = listen_on(it.service_address);
    on_.record.note("another process " + std::string(fd < 0 ? "does not get " : "listens on ") +
                    it.service_address.text());
    const milliseconds length = between(1000, 3000);
    co_await on_.loop.sleep(length);
    if (fd >= 0) {
        ::close(fd);
    }
    on_.machines.disturb(it);
}

}  // namespace balsamdrift::soak
