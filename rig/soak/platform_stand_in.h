#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "rig/soak/deployment.h"
#include "rig/soak/service.h"

namespace balsamdrift::soak {

/// Plays the platform: carries out promotions, asks entries whether they are ready, and picks
/// entries for new sessions.
class platform_stand_in {
public:
    platform_stand_in(event_loop& loop, const site_description& site, deployment& machines,
                      std::vector<std::unique_ptr<service>>& services, journal& record,
                      judge& verdicts, std::uint64_t seed);

    /// Starts to look at all entries.
    void start();
    /// An entry for a new session from a zone; null if there is none.
    machine* pick_entry(const std::string& zone);
    std::vector<machine*> ready_entries() const;
    link path;

private:
    background serve(std::unique_ptr<connection> conn);
    background probe(machine& entry);
    background watch_member(machine& member);

    event_loop& loop_;
    const site_description& site_;
    deployment& machines_;
    std::vector<std::unique_ptr<service>>& services_;
    journal& record_;
    judge& verdicts_;
    std::mt19937_64 random_;
    std::unique_ptr<listener> door_;
};

}  // namespace balsamdrift::soak
