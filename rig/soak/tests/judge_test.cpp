#include "rig/soak/judge.h"

#include <catch2/catch.hpp>
#include <sstream>

#include "rig/soak/deployment.h"

using namespace balsamdrift;
using namespace balsamdrift::soak;

namespace {

/// A judge whose machines are all in touch, with version 1 long in force.
struct court {
    site_description site;
    journal record{"/dev/null"};
    machine entry;
    std::unique_ptr<judge> verdicts;
    const time_point now = monotonic_clock::now();

    court()
    {
        site.bounds = {{"configApplyMs", 3000}, {"rollbackSlackMs", 250}, {"recoveryS", 12}};
        verdicts = std::make_unique<judge>(site, record);
        verdicts->set_touch([](const machine&, time_point) { return touch{.judged = true}; });
        add_version(1, "svc0", "k0", now - seconds(60));
    }

    void add_version(int version, const std::string& service, const std::string& key,
                     time_point acked)
    {
        configuration conf{.version = version};
        conf.routes.push_back({.host = "db", .service = service});
        conf.services = {"svc0", "svc1"};
        conf.tenants.push_back({.name = "t", .keys = {key}});
        verdicts->history().add_sent(conf, true, acked);
        verdicts->history().add_ack(version, acked);
    }

    void send(const std::string& id, const std::string& key, time_point at)
    {
        verdicts->statement_sent(id, {.entry = &entry,
                                      .incarnation = 1,
                                      .database = "db",
                                      .key = key,
                                      .explores = true,
                                      .sent_at = at,
                                      .began_at = at});
    }

    bool broken(const std::string& name) const
    {
        std::ostringstream out;
        verdicts->report(out);
        return out.str().find(name + " BROKEN") != std::string::npos;
    }
};

}  // namespace

TEST_CASE("a run under a withdrawn key breaks CONFIG only once the change has to be in force")
{
    court it;
    it.add_version(2, "svc0", "k1", it.now - seconds(4));
    it.send("early", "k0", it.now - seconds(2));
    it.verdicts->ran("early", "i", "svc0", "t", "", "");
    CHECK_FALSE(it.broken("CONFIG"));
    it.send("late", "k0", it.now);
    it.verdicts->ran("late", "i", "svc0", "t", "", "");
    CHECK(it.broken("CONFIG"));
}

TEST_CASE("an older configuration after a newer one was seen in force breaks CONFIG")
{
    court it;
    it.add_version(2, "svc1", "k0", it.now - seconds(1));
    it.send("newer", "k0", it.now);
    it.verdicts->ran("newer", "i", "svc1", "t", "", "");
    it.send("older", "k0", monotonic_clock::now() + seconds(1));
    it.verdicts->ran("older", "i", "svc0", "t", "", "");
    CHECK(it.broken("CONFIG"));
}

TEST_CASE("a run that no configuration allows breaks ROUTE, one that nobody sent UNASKED")
{
    court it;
    it.send("strayed", "k0", it.now);
    it.verdicts->ran("strayed", "i", "svc1", "t", "", "");
    CHECK(it.broken("ROUTE"));
    it.verdicts->ran("unknown", "i", "svc0", "t", "", "");
    CHECK(it.broken("UNASKED"));
}

TEST_CASE("another shape than the prepared one breaks PINNED, another text UNASKED")
{
    court it;
    it.send("as-sent", "k0", it.now);
    it.verdicts->ran("as-sent", "i", "svc0", "t", "", "");
    CHECK_FALSE(it.broken("PINNED"));
    CHECK_FALSE(it.broken("UNASKED"));
    it.send("shape", "k0", it.now);
    it.verdicts->ran("shape", "i", "svc0", "t", "READ q1", "");
    CHECK(it.broken("PINNED"));
    CHECK_FALSE(it.broken("UNASKED"));
    it.send("text", "k0", it.now);
    it.verdicts->ran("text", "i", "svc0", "t", "", "READ 12");
    CHECK(it.broken("UNASKED"));
}

TEST_CASE("an older or altered configuration that is read back breaks CONFIG")
{
    court it;
    it.add_version(2, "svc1", "k0", it.now - seconds(4));
    nlohmann::json held = it.verdicts->history().find(2)->content;
    it.verdicts->config_read(it.entry, it.now, held.dump(), rule::config);
    CHECK_FALSE(it.broken("CONFIG"));
    held["routes"][0]["service"] = "svc0";
    it.verdicts->config_read(it.entry, it.now, held.dump(), rule::config);
    CHECK(it.broken("CONFIG"));
    court other;
    other.add_version(2, "svc1", "k0", other.now - seconds(4));
    other.verdicts->config_read(other.entry, other.now,
                                other.verdicts->history().find(1)->content.dump(), rule::config);
    CHECK(other.broken("CONFIG"));
}

TEST_CASE("a write that is committed twice, or after a promise, breaks TWICE and REFUSED")
{
    court it;
    it.send("w", "k0", it.now);
    it.verdicts->committed("w", "i");
    CHECK_FALSE(it.broken("TWICE"));
    it.verdicts->committed("w", "i");
    CHECK(it.broken("TWICE"));
    it.verdicts->promised_nothing("w");
    CHECK(it.broken("REFUSED"));
}

TEST_CASE("a window with little service breaks SHORT unless a disturbance acted in it")
{
    court it;
    service_record record(it.site);
    record.begin(it.now);
    for (int n = 0; n < 300; ++n) {
        const bool served = n < 100 || n >= 200;
        record.operation(it.now + milliseconds(100 * n), served, milliseconds(5), "read");
    }
    CHECK_FALSE(record.evaluate(it.now + seconds(30)).too_little.empty());
    for (int n = 10; n < 20; ++n) {
        record.disturbed(it.now + seconds(n));
    }
    CHECK(record.evaluate(it.now + seconds(30)).too_little.empty());
}
