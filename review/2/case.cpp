// A primary turns slow and its queue fills up: it answers BUSY to statements inside transactions. A
// caller, told that its transaction has failed, ends it.
#include "../common/rig.h"

using namespace rig;

namespace {

constexpr double usual_work_s = 0.008;  // work_ms of the site file
constexpr double slow_factor = 5;  // srv_slow of the site files
constexpr double slow_s = 6;
constexpr int caller_count = 90;

bool is_promise(const std::string& code) {
    static const std::set<std::string> promises{"BUSY",     "ABORTED",   "LAGGING",
                                                "READONLY", "MISROUTED", "TOOMANY"};
    return promises.count(code) > 0;
}

}  // namespace

int main(int argc, char** argv) {
    begin(argc, argv);
    site where({});
    service db;
    db.name = "kiosk-ledger";
    for (int n = 0; n < 3; ++n) {
        db.add("i-" + std::to_string(n), where.host(60 + n, 8), zone_name(n), n == 0);
    }
    configuration conf;
    conf.routes = {{"bay-session", "primary", "kiosk-ledger"}};
    conf.services = {{"kiosk-ledger", 0}};
    conf.tenants = {{"tenant-a", {"key-of-a"}}};
    conf.max_conns = 39;
    where.start();
    db.control = where.control_planes;
    db.start();
    if (!where.replace(conf, 20)) {
        cannot_run("the first configuration was not acknowledged");
    }
    where.wait_until_serving("bay-session", "key-of-a");
    db.work_s = usual_work_s;
    db.slots = 3;

    // A transaction whose caller was told a promise for a statement and for its end.
    struct denied {
        std::string write;
        std::string told;
    };
    std::mutex mutex;
    std::vector<denied> all_denied;
    std::atomic<int> succeeded = 0;
    std::atomic<int> failed = 0;
    std::atomic<bool> stop = false;
    std::vector<std::thread> callers;
    for (int t = 0; t < caller_count; ++t) {
        callers.emplace_back([&, t] {
            std::mt19937 random(static_cast<unsigned>(t));
            caller it;
            const auto pause = [&](double least, double most) {
                sleep_s(least + (most - least) * (random() % 1000) / 1000.0);
            };
            for (int n = 0; !stop; ++n) {
                pause(0.3, 0.8);
                const auto& entry = where.frontends[static_cast<std::size_t>(t) % 3];
                if (!it.is_open() && !it.open(entry, "bay-session", "key-of-a").ok) {
                    continue;
                }
                const std::string id = std::to_string(t) + "-" + std::to_string(n);
                if (t % 4 != 0) {
                    (it.query(id, "READ item-" + std::to_string(t)).ok ? succeeded : failed)++;
                    continue;
                }
                // A transaction: a write, then ten reads.
                std::string told;
                bool only_promises = true;
                answer res = it.query(id + "-begin", "BEGIN");
                for (int step = 0; step < 11 && res.ok; ++step) {
                    pause(0.05, 0.25);
                    res = it.query(id + "-" + std::to_string(step),
                                   step == 0 ? "WRITE item-" + std::to_string(t) + " " + id
                                             : "READ item-" + std::to_string(t));
                    if (!res.ok) {
                        told = res.code;
                        only_promises = res.answered && is_promise(res.code);
                    }
                }
                const bool has_failed = !res.ok;
                if (!it.is_open() || (res.state != "T" && res.state != "E")) {
                    ++failed;
                    continue;
                }
                // Ends the transaction, after a pause if it has failed. In state E that rolls it back.
                if (has_failed) {
                    pause(0.2, 1.0);
                }
                const std::string state = res.state;
                res = it.query(id + "-commit", "COMMIT");
                (res.ok ? succeeded : failed)++;
                if (has_failed && !res.ok && res.answered && only_promises &&
                    is_promise(res.code)) {
                    const std::lock_guard lock(mutex);
                    all_denied.push_back({id + "-0", told + " in state " + state + ", then " +
                                                         res.code + " for COMMIT"});
                }
            }
        });
    }
    sleep_s(4);
    instance& primary = *db.instances.front();
    if (with_trouble()) {
        note("the primary takes %.0f times as long", slow_factor);
        primary.slow_factor = slow_factor;
    }
    sleep_s(slow_s);
    primary.slow_factor = 1;
    note("the primary works as usual");
    sleep_s(5);
    stop = true;
    for (std::thread& it : callers) {
        it.join();
    }

    // The check: what callers were told is not kept is in no log.
    std::set<std::string> kept;
    {
        const std::lock_guard lock(db.mutex);
        for (const auto& it : db.instances) {
            for (const commit_entry& entry : it->log) {
                kept.insert(entry.id);
            }
        }
    }
    int broken = 0;
    for (const denied& it : all_denied) {
        const bool is_kept = kept.count(it.write) > 0;
        broken += is_kept;
        note("write %s: the caller was told %s; %s", it.write.c_str(), it.told.c_str(),
             is_kept ? "it is committed" : "it is not kept");
    }
    note("%d operations succeeded, %d failed, %zu transactions were denied", succeeded.load(),
         failed.load(), all_denied.size());
    db.stop();
    if (succeeded == 0) {
        cannot_run("nothing succeeded");
    }
    return finish(broken > 0, "writes that are committed though their callers were told that "
                              "nothing is kept: " + std::to_string(broken));
}
