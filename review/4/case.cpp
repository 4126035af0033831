// The instances of a service with syncReplicas 1 are replaced one after the other while the third
// replica receives nothing for a few seconds.
#include "../common/rig.h"

using namespace rig;

namespace {

constexpr double deaf_s = 6;          // replica_lag deaf: 6.5 s in the site file
constexpr double release_gap_s = 1;   // gap of a release

}  // namespace

int main(int argc, char** argv) {
    begin(argc, argv);
    site where({});
    service db;
    db.name = "registre";
    db.sync_replicas = 1;
    db.promote_s = 1.0;
    instance& a = db.add("i-a", where.host(60, 8), zone_name(0), true);
    instance& b = db.add("i-b", where.host(61, 8), zone_name(1), false);
    instance& c = db.add("i-c", where.host(62, 8), zone_name(2), false);
    platform cloud(where.platform_address());
    cloud.services["registre"] = &db;
    configuration conf;
    conf.routes = {{"test-log", "primary", "registre"}};
    conf.services = {{"registre", 1}};
    conf.tenants = {{"tenant-a", {"key-of-a"}}};
    where.start();
    cloud.start();
    db.control = where.control_planes;
    db.start();
    if (!where.replace(conf, 20)) {
        cannot_run("the first configuration was not acknowledged");
    }
    where.wait_until_serving("test-log", "key-of-a");
    sleep_s(2);

    // A caller that writes all the time and remembers what was acknowledged.
    std::mutex mutex;
    std::set<std::string> acknowledged;
    std::atomic<bool> stop = false;
    std::thread writer([&] {
        caller it;
        for (int n = 0; !stop; ++n) {
            if (!it.is_open() && !it.open(where.frontends[0], "test-log", "key-of-a").ok) {
                sleep_s(0.1);
                continue;
            }
            const std::string id = "w-" + std::to_string(n);
            const answer res = it.query(id, "WRITE item-" + std::to_string(n) + " data", 3);
            note("write %s: %s", id.c_str(), res.summary().c_str());
            if (res.ok) {
                const std::lock_guard lock(mutex);
                acknowledged.insert(id);
            }
            sleep_s(0.05);
        }
    });
    sleep_s(1);

    const double began = now_s();
    if (with_trouble()) {
        const std::lock_guard lock(db.mutex);
        b.deaf = true;
        note("i-b receives nothing from the primary from now on");
    }
    sleep_s(0.5);
    const auto drain = [&](instance& it) {
        {
            const std::lock_guard lock(db.mutex);
            it.draining = true;
        }
        note("%s is draining: %s", it.id.c_str(),
             db.beat(it) ? "acknowledged" : "not acknowledged");
    };
    drain(c);
    sleep_s(release_gap_s);
    drain(a);

    // The check: at each promotion, every commit acknowledged before is in the new primary's log.
    std::set<std::string> lost;
    bool promoted = false;
    while (now_s() < began + 15 && !promoted) {
        sleep_s(0.001);
        const std::lock_guard lock(db.mutex);
        if (b.primary || c.primary) {
            promoted = true;
            const instance& now_leads = b.primary ? b : c;
            std::set<std::string> has;
            for (const commit_entry& it : now_leads.log) {
                has.insert(it.id);
            }
            const std::lock_guard lock2(mutex);
            for (const std::string& id : acknowledged) {
                if (has.count(id) == 0) {
                    lost.insert(id);
                }
            }
            note("%s leads with %zu commits; i-a has %zu, i-b %zu, i-c %zu; %zu acknowledged",
                 now_leads.id.c_str(), now_leads.log.size(), a.log.size(), b.log.size(),
                 c.log.size(), acknowledged.size());
        }
        if (b.deaf && now_s() > began + deaf_s) {
            b.deaf = false;
            note("i-b receives again");
        }
    }
    sleep_s(3);
    stop = true;
    writer.join();
    for (const std::string& id : lost) {
        note("acknowledged, and not in the log of the promoted instance: %s", id.c_str());
    }
    db.stop();
    cloud.stop();
    if (!promoted) {
        cannot_run("no instance was promoted");
    }
    return finish(!lost.empty(), "acknowledged commits that the log of the promoted instance lacks: " +
                                     std::to_string(lost.size()));
}
