#include "rig/load/experiment.h"

#include "base/settings_reader.h"

namespace balsamdrift::rig {
namespace {

/// Largest value of rates, loads, gaps and seeds.
constexpr std::int64_t max_number = 1'000'000;

void read_site(settings_reader in, site_options& site)
{
    site.entries = static_cast<int>(in.number("entries", 6, 1, 50));
    const auto groups = in.number("groups", 3, 1, 50);
    site.groups.clear();
    for (std::int64_t n = 1; n <= groups; ++n) {
        site.groups.push_back("group" + std::to_string(n));
    }
    site.instances = static_cast<int>(in.number("instances", 3, 1, 9));
    site.connections = static_cast<int>(in.number("connections", 20, 4, 1000));
    site.slots = static_cast<int>(in.number("slots", 3, 1, 100));
    site.ship_delay = in.time_span("ship_delay", milliseconds(1));
    site.apply_lag = in.time_span("apply_lag", milliseconds(50));
    site.service_time = in.time_span("service_time", milliseconds(2));
    site.connect_time = in.time_span("connect_time", milliseconds(12));
    (void)in.finish();
}

load_customer read_customer(settings_reader& in)
{
    load_customer it{.name = in.text("name"),
                     .rate = static_cast<double>(in.number("rate", 100, 1, max_number)),
                     .burst = static_cast<double>(in.number("burst", 50, 1, max_number)),
                     .load = static_cast<double>(in.number("load", 10, 0, max_number)),
                     .sessions = static_cast<int>(in.number("sessions", 20, 1, 10'000))};
    (void)in.finish();
    return it;
}

load_mix read_mix(settings_reader in)
{
    load_mix mix{.read = static_cast<int>(in.number("read", 80, 0, 100)),
                 .write = static_cast<int>(in.number("write", 12, 0, 100)),
                 .once = static_cast<int>(in.number("once", 6, 0, 100)),
                 .transaction = static_cast<int>(in.number("transaction", 2, 0, 100))};
    (void)in.finish();
    return mix;
}

load_bounds read_bounds(settings_reader in)
{
    // Settings have whole numbers only, so shares are given in parts of ten thousand.
    const auto read_share = [&](const char* key) {
        const auto value = in.number(key, -1, -1, 10'000);
        return value < 0 ? -1.0 : static_cast<double>(value) / 10'000;
    };
    load_bounds bounds;
    bounds.replica_share = read_share("replica_share_permyriad");
    bounds.served_share = read_share("served_share_permyriad");
    bounds.refused_in_rate = read_share("refused_in_rate_permyriad");
    bounds.write_gap_ms = static_cast<double>(in.number("write_gap_ms", -1, -1, max_number));
    bounds.read_gap_ms = static_cast<double>(in.number("read_gap_ms", -1, -1, max_number));
    (void)in.finish();
    return bounds;
}

}  // namespace

std::variant<experiment, std::vector<std::string>> read_experiment(const std::string& file)
{
    settings_reader root = settings_reader::from_file(file);
    experiment it;
    it.name = root.text("name");
    it.seed = static_cast<std::uint64_t>(root.number("seed", 1, 0, max_number));
    it.length = root.time_span("length", it.length);
    it.timeout = root.time_span("timeout", it.timeout);
    read_site(root.section("site", false), it.site);
    for (settings_reader& customer : root.list("customers")) {
        it.customers.push_back(read_customer(customer));
    }
    it.mix = read_mix(root.section("mix", false));
    it.bounds = read_bounds(root.section("bounds", false));
    settings_reader faults = root.section("faults", false);
    for (settings_reader& fault : faults.list_or_empty("schedule")) {
        scheduled_fault scheduled{.at = fault.time_span("at", duration{}),
                                  .kind = fault.choice("kind", {"kill", "freeze", "thaw", "cut",
                                                                "heal", "stop", "restart"}),
                                  .target = fault.text("target")};
        (void)fault.finish();
        it.faults.push_back(scheduled);
    }
    (void)faults.finish();
    if (auto problems = root.finish(); !problems.empty()) {
        return problems;
    }
    return it;
}

}  // namespace balsamdrift::rig
