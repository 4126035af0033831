// A key is withdrawn while a caller that presented it has a transaction open.
#include "../common/rig.h"

using namespace rig;

namespace {

constexpr double config_apply_s = 3;  // configApplyMs
constexpr double revoke_s = 5;        // revokeMs

}  // namespace

int main(int argc, char** argv) {
    begin(argc, argv);
    site where({});
    service db;
    db.name = "registre";
    db.promote_s = 1.0;
    for (int n = 0; n < 3; ++n) {
        db.add("i-" + std::to_string(n), where.host(60 + n, 8), zone_name(n), n == 0);
    }
    configuration conf;
    conf.routes = {{"test-log", "primary", "registre"}};
    conf.services = {{"registre", 0}};
    conf.tenants = {{"tenant-a", {"key-one-of-a", "key-two-of-a"}}, {"tenant-b", {"key-of-b"}}};
    where.start();
    for (const address& it : where.control_planes) {
        db.control.push_back(it);
    }
    db.start();
    if (!where.replace(conf, 20)) {
        cannot_run("the first configuration was not acknowledged");
    }
    where.wait_until_serving("test-log", "key-two-of-a");

    caller owner;
    if (!owner.open(where.frontends[0], "test-log", "key-one-of-a").ok ||
        !owner.query("t-begin", "BEGIN").ok || !owner.query("t-1", "READ item-1").ok) {
        cannot_run("the transaction did not begin");
    }
    note("a caller with key-one-of-a has begun a transaction");

    double acked_at = 1e9;
    if (with_trouble()) {
        conf.version = 2;
        conf.tenants[0].keys = {"key-two-of-a"};
        if (!where.replace(conf, 20)) {
            cannot_run("the withdrawal was not acknowledged");
        }
        acked_at = now_s();
        note("key-one-of-a is withdrawn, acknowledged");
    }

    // Ten more statements with pauses of a second, as many as a transaction may have.
    bool ran_late = false;
    bool refused = false;
    int ran = 0;
    for (int n = 2; n <= 11 && owner.is_open(); ++n) {
        sleep_s(1.0);
        const std::string id = "t-" + std::to_string(n);
        const bool writes = n >= 9;
        const double sent_at = now_s();
        const answer res = owner.query(id, writes ? "WRITE item-1 data" + id : "READ item-1");
        note("statement %s sent %.1f s after the withdrawal: %s", id.c_str(),
             acked_at > 1e8 ? 0.0 : sent_at - acked_at, res.summary().c_str());
        if (res.ok) {
            ++ran;
            ran_late = ran_late || sent_at > acked_at + std::max(config_apply_s, revoke_s);
        }
        else {
            refused = true;
            break;
        }
        if (n == 7 && with_trouble()) {
            caller other;
            answer opened = other.open(where.frontends[0], "test-log", "key-one-of-a");
            if (opened.ok) {
                opened = other.query("probe", "READ item-1");
            }
            note("a new session with the same key at the same entry: %s",
                 opened.summary().c_str());
            if (opened.ok) {
                note("the withdrawal is not in force there");
            }
        }
    }
    answer committed;
    if (owner.is_open() && !refused) {
        const double sent_at = now_s();
        committed = owner.query("t-commit", "COMMIT");
        note("COMMIT sent %.1f s after the withdrawal: %s", acked_at > 1e8 ? 0.0 : sent_at - acked_at,
             committed.summary().c_str());
    }
    {
        const std::lock_guard lock(db.mutex);
        for (const run_event& it : db.runs) {
            if (it.at > acked_at && it.id.rfind("t-", 0) == 0) {
                note("%s ran %s for %s, %.1f s after the withdrawal", it.instance.c_str(),
                     it.id.c_str(), it.tenant.c_str(), it.at - acked_at);
            }
        }
    }
    if (!with_trouble() && (ran < 10 || !committed.ok)) {
        cannot_run("the transaction did not run without trouble");
    }
    db.stop();
    return finish(ran_late, "no statement under a withdrawn key, sent more than " +
                                std::to_string(static_cast<int>(revoke_s)) +
                                " s after the ack, runs");
}
