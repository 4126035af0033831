// The primary of a service with syncReplicas 1 is lost for good while one of its two replicas
// drains.
#include "../common/rig.h"

using namespace rig;

namespace {

constexpr double drain_s = 7;       // drainMs
constexpr double near_lag_s = 0.005;
constexpr double far_lag_s = 0.06;  // lag_ms of the site file: 20 on average, 120 at most

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
    b.lag_s = far_lag_s;
    c.lag_s = near_lag_s;
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

    std::mutex mutex;
    std::set<std::string> acknowledged;
    std::atomic<bool> stop = false;
    std::vector<std::thread> writers;
    for (std::size_t w = 0; w < 3; ++w) {
        writers.emplace_back([&, w] {
            caller it;
            for (int n = 0; !stop; ++n) {
                if (!it.is_open() && !it.open(where.frontends[w], "test-log", "key-of-a").ok) {
                    sleep_s(0.1);
                    continue;
                }
                const std::string id = "w" + std::to_string(w) + "-" + std::to_string(n);
                const answer res = it.query(id, "WRITE item-" + id + " data", 3);
                note("write %s: %s", id.c_str(), res.summary().c_str());
                if (res.ok) {
                    const std::lock_guard lock(mutex);
                    acknowledged.insert(id);
                }
                sleep_s(res.ok ? 0.01 : 0.1);
            }
        });
    }
    sleep_s(1);

    {
        const std::lock_guard lock(db.mutex);
        c.draining = true;
    }
    note("i-c is draining: %s", db.beat(c) ? "acknowledged" : "not acknowledged");
    const double drain_began = now_s();
    sleep_s(1);
    const double crash_began = now_s();
    if (with_trouble()) {
        const std::lock_guard lock(db.mutex);
        a.dark = true;
        note("i-a is lost for good; commits: i-a %zu, i-b %zu, i-c %zu", a.log.size(), b.log.size(),
             c.log.size());
    }

    std::set<std::string> lost;
    bool promoted = false;
    std::string successor;
    bool ended = false;
    bool replaced = false;
    while (now_s() < drain_began + 16) {
        sleep_s(0.001);
        if (!ended && now_s() > drain_began + drain_s + 0.2) {
            ended = true;
            const bool leads = c.primary;
            if (!leads) {
                db.end(c);
            }
        }
        if (ended && !replaced && c.gone && now_s() > drain_began + drain_s + 0.4) {
            replaced = true;
            instance& next = db.add("i-c2", where.host(62, 8), zone_name(2), false);
            {
                const std::lock_guard lock(db.mutex);
                next.log = c.log;
                next.term = c.term;
                next.lag_s = near_lag_s;
            }
            db.start_instance(next);
            note("i-c2 starts at the address of i-c with its %zu commits", next.log.size());
        }
        const std::lock_guard lock(db.mutex);
        if (!promoted && !db.promotions.empty()) {
            promoted = true;
            const instance& leads = *db.find(db.promotions.front().instance);
            std::set<std::string> has;
            for (const commit_entry& it : leads.log) {
                has.insert(it.id);
            }
            const std::lock_guard lock2(mutex);
            for (const std::string& id : acknowledged) {
                if (has.count(id) == 0) {
                    lost.insert(id);
                }
            }
            note("%s is promoted %.1f s after the crash, with %zu commits; i-a has %zu, i-b %zu, "
                 "i-c %zu; %zu acknowledged",
                 leads.id.c_str(), now_s() - crash_began, leads.log.size(), a.log.size(),
                 b.log.size(), c.log.size(), acknowledged.size());
        }
    }
    stop = true;
    for (std::thread& it : writers) {
        it.join();
    }
    for (const std::string& id : lost) {
        note("acknowledged, and not in the log of the promoted instance: %s", id.c_str());
    }
    db.stop();
    cloud.stop();
    if (with_trouble() && !promoted) {
        return finish(false, "no instance was promoted");
    }
    return finish(!lost.empty(), "acknowledged commits that the log of the promoted instance lacks: " +
                                     std::to_string(lost.size()));
}
