#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "rig/soak/connection.h"
#include "rig/soak/event_loop.h"
#include "rig/soak/journal.h"
#include "rig/soak/machine.h"
#include "rig/soak/site_description.h"
#include "rig/soak/task.h"

namespace review {

using namespace balsamdrift;
using namespace balsamdrift::soak;

/// Settings of a small deployment, with the bounds of abcdg-balsam-grown.
site_description small_site(int controls, int entries);

struct fleet_options {
    /// Repository whose deploy files are used; the processes run in it.
    std::string root;
    /// Folder for settings, data and logs.
    std::string folder;
};

/// The processes of a deployment, started with the commands and templates of the deploy file. Each
/// advertises a proxy in place of its own fleet address, so that pairs of machines can be cut.
class fleet {
public:
    fleet(event_loop& loop, const site_description& site, fleet_options options, journal& record);
    ~fleet();

    void start_all();
    void start(machine& it);
    void kill(machine& it);
    void end_all();
    /// Ends the processes that use more memory than their machine has, as the platform does, and
    /// starts them again after a short delay.
    background limit_memory();
    /// How often the platform ended the process of a machine.
    std::map<const machine*, int> ended_for_memory;
    /// Notes processes that ended by themselves. False if one did.
    bool all_run();

    std::vector<machine*> controls() const { return list(true); }
    std::vector<machine*> entries() const { return list(false); }
    std::string host(int subnet, int last) const;
    address platform_address() const { return {host(200, 2), 8466}; }
    /// The control member whose log says last that it was elected; null if there is none.
    machine* leader() const;

    /// Silently cuts a machine from others in both directions, on the paths between processes.
    void cut(const machine& one, const std::vector<machine*>& others);
    void heal();

private:
    struct proxy;
    friend struct proxy;
    std::vector<machine*> list(bool is_control) const;
    bool is_cut(const machine* from, const machine* to) const
    {
        return cuts_.contains({from, to});
    }
    const machine* find_sender(const std::string& bytes) const;

    event_loop& loop_;
    const site_description& site_;
    fleet_options options_;
    journal& record_;
    std::string net_;
    /// Keeps the network from other runs on the same machine.
    std::unique_ptr<listener> guard_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::map<const machine*, std::unique_ptr<proxy>> proxies_;
    std::set<std::pair<const machine*, const machine*>> cuts_;
};

}  // namespace review
