// The leader of control freezes while its promotion call waits for the platform to accept the
// connection. Another leader takes over and promotes; the first one wakes and sends its call.
#include "../common/rig.h"

using namespace rig;

int main(int argc, char** argv) {
    begin(argc, argv);
    site where({});
    service db;
    db.name = "registre";
    db.promote_s = 1.0;
    instance& a = db.add("i-a", where.host(60, 8), zone_name(0), true);
    db.add("i-b", where.host(61, 8), zone_name(1), false);
    db.add("i-c", where.host(62, 8), zone_name(2), false);
    platform cloud(where.platform_address(), 0);
    cloud.services["registre"] = &db;
    configuration conf;
    conf.routes = {{"test-log", "primary", "registre"}};
    conf.services = {{"registre", 0}};
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

    int filler = -1;
    if (with_trouble()) {
        cloud.accepts = false;
        sleep_s(0.1);
        filler = connect_to(where.platform_address(), 1);
        note("the platform accepts no connections");
    }
    {
        const std::lock_guard lock(db.mutex);
        a.draining = true;
    }
    note("i-a is draining: %s", db.beat(a) ? "acknowledged" : "not acknowledged");

    process* leader = nullptr;
    const double began = now_s();
    while (leader == nullptr && now_s() < began + 8) {
        sleep_s(0.001);
        for (const auto& it : where.controls) {
            if (where.read_log(*it).find("promotion_started") != std::string::npos) {
                leader = it.get();
            }
        }
    }
    if (leader == nullptr) {
        cannot_run("no promotion began");
    }
    if (with_trouble()) {
        send_signal(*leader, SIGSTOP);
        const double frozen_at = now_s();
        note("%s leads and has begun to connect to the platform; it freezes", leader->name.c_str());
        sleep_s(0.3);
        cloud.accepts = true;
        note("the platform accepts connections again");
        bool other_called = false;
        while (now_s() < frozen_at + 6) {
            sleep_s(0.005);
            const std::lock_guard lock(cloud.mutex);
            other_called = !cloud.calls.empty();
            if (other_called && now_s() > frozen_at + 1.15) {
                break;
            }
        }
        send_signal(*leader, SIGCONT);
        note("%s wakes after %.3f s", leader->name.c_str(), now_s() - frozen_at);
    }
    sleep_s(6);
    if (filler >= 0) {
        close(filler);
    }

    // The check: the platform never sees a lower fence number than one that it has seen.
    bool broken = false;
    std::uint64_t highest = 0;
    std::string highest_holder;
    for (const promotion_call& it : cloud.calls) {
        if (it.token < highest) {
            broken = true;
            note("at %.3f %s sends fence number %llu after %s had sent %llu", it.at,
                 it.holder.c_str(), static_cast<unsigned long long>(it.token),
                 highest_holder.c_str(), static_cast<unsigned long long>(highest));
        }
        if (it.token >= highest) {
            highest = it.token;
            highest_holder = it.holder;
        }
    }
    const bool any = !cloud.calls.empty();
    db.stop();
    cloud.stop();
    if (!any) {
        cannot_run("the platform received no call");
    }
    return finish(broken, "no promotion call has a lower fence number than an earlier one");
}
