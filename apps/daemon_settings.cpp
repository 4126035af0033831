#include "apps/daemon_settings.h"

#include <algorithm>
#include <functional>

#include "base/settings_reader.h"
#include "control/synced_file.h"

namespace balsamdrift {
namespace {

constexpr std::size_t min_secret_bytes = 16;
constexpr std::int64_t max_threads = 64;
constexpr std::int64_t max_disks_lost = 4;

/// Part of the grace period that is kept for sending the last answers and ending the threads.
constexpr milliseconds exit_margin(400);

/// Larger values are refused as mistakes.
constexpr double max_rate_slack = 10000;
constexpr double max_warmup_overage = 1000;
constexpr std::int64_t kibibyte = 1024;
constexpr std::int64_t mebibyte = kibibyte * kibibyte;
constexpr std::int64_t max_body_bytes = 64 * mebibyte;
constexpr std::int64_t max_header_bytes = mebibyte;

/// Reads the secret in the file that the settings name under `key`; the settings themselves hold no
/// secrets. A relative path is appended to `secrets_folder`, which is empty or ends in a slash.
std::string read_secret(settings_reader& in, const std::string& key,
                        const std::string& secrets_folder, std::vector<std::string>& problems)
{
    std::string path = in.text(key);
    if (path.empty()) {
        return {};
    }
    if (path.front() != '/') {
        path = secrets_folder + path;
    }
    auto content = read_file(path);
    std::string secret = succeeded(content) ? value_of(content) : std::string();
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
        secret.pop_back();
    }
    if (secret.size() < min_secret_bytes) {
        problems.push_back(key + ": expected a readable file with at least 16 bytes at " + path);
    }
    return secret;
}

/// Returns the folder of a file with a slash at its end; empty for the current folder.
std::string folder_of(const std::string& file)
{
    const auto slash = file.rfind('/');
    return slash == std::string::npos ? std::string() : file.substr(0, slash + 1);
}

common_settings read_common(settings_reader& root, const std::string& secrets_folder,
                            std::vector<std::string>& problems)
{
    common_settings common;
    common.name = root.text("name");
    common.log_file = root.text("log_file", "");
    common.start_limit = root.time_span("start_limit", common.start_limit);
    settings_reader fleet = root.section("fleet");
    common.fleet_listen = fleet.address("listen");
    common.fleet_advertised = fleet.text("advertised", "");
    common.fleet_secret = read_secret(fleet, "secret_file", secrets_folder, problems);
    (void)fleet.finish();
    common.operator_token = read_secret(root, "operator_token_file", secrets_folder, problems);
    return common;
}

http_server_options read_http_server(settings_reader in, int default_threads)
{
    http_server_options options;
    options.listen = in.address("listen");
    if (in.has("also_listen")) {
        options.also_listen = in.addresses("also_listen");
    }
    options.threads = static_cast<int>(in.number("threads", default_threads, 1, max_threads));
    options.body_limit =
        static_cast<std::size_t>(in.number("body_limit_bytes", mebibyte, kibibyte, max_body_bytes));
    options.header_limit = static_cast<std::size_t>(
        in.number("header_limit_bytes", 16 * kibibyte, kibibyte, max_header_bytes));
    options.request_timeout = in.time_span("request_timeout", options.request_timeout);
    options.idle_timeout = in.time_span("idle_timeout", options.idle_timeout);
    (void)in.finish();
    return options;
}

/// Returns the fleet addresses of processes on these hosts. All processes of the fleet listen on
/// the same port, so that of this process is used.
std::vector<std::string> fleet_addresses(const std::vector<endpoint>& hosts,
                                         const endpoint& fleet_listen)
{
    std::vector<std::string> all;
    all.reserve(hosts.size());
    for (const endpoint& it : hosts) {
        all.push_back(to_string(endpoint{it.address, fleet_listen.port}));
    }
    return all;
}

token_pool_options read_rates(settings_reader in)
{
    token_pool_options rates;
    rates.window = in.time_span("window", rates.window);
    rates.overage = in.real("overage", rates.overage, 0, 1);
    rates.slack = in.real("slack", rates.slack, 0, max_rate_slack);
    (void)in.finish();
    return rates;
}

warmup_options read_warmup(settings_reader in)
{
    warmup_options warmup;
    warmup.overage = in.real("overage", warmup.overage, 0, max_warmup_overage);
    warmup.slack = in.real("slack", warmup.slack, 0, max_rate_slack);
    (void)in.finish();
    return warmup;
}

coordination_settings read_coordination(settings_reader in, control_options& control,
                                        const endpoint& fleet_listen)
{
    coordination_settings settings;
    settings.platform = read_http_server(in.section("platform"), 1);
    settings.promotions = in.address("promotions");
    control.disks_lost_at_once =
        static_cast<std::size_t>(in.number("disks_lost_at_once", 1, 0, max_disks_lost));
    control.may_form = in.flag("first_start", false);
    control.form_without_all_seeds = true;
    if (in.has("rates")) {
        control.rates = read_rates(in.section("rates"));
    }
    if (in.has("warmup")) {
        control.warmup = read_warmup(in.section("warmup"));
    }
    control.assigns_owners = false;
    for (const auto& [domain, region] : in.text_map("regions")) {
        control.failure_domains.insert(domain);
    }
    for (const std::string& it : fleet_addresses(in.addresses("seed_hosts"), fleet_listen)) {
        control.members.push_back({{}, it});
    }
    (void)in.finish();
    return settings;
}

void check_members(const control_settings& settings, const std::string& name,
                   std::vector<std::string>& problems)
{
    const std::vector<voter>& members = settings.control.members;
    const auto count = members.size();
    if (count != 1 && count != 3 && count != 5) {
        problems.emplace_back("control.members: expected 1, 3 or 5 members");
    }
    const bool listed = std::any_of(members.begin(), members.end(),
                                    [&](const voter& it) { return it.id.name == name; });
    if (!listed) {
        problems.emplace_back("control.members: expected this member's own name among them");
    }
}

control_settings read_control(settings_reader& root, common_settings common,
                              std::vector<std::string>& problems)
{
    control_settings settings;
    settings.operators = read_http_server(root.section("operators"), 1);
    control_options& control = settings.control;
    control.name = common.name;
    control.data_folder = root.text("data_folder");
    settings_reader section = root.section("control", !root.has("coordination"));
    if (root.has("coordination")) {
        settings.coordination =
            read_coordination(root.section("coordination"), control, common.fleet_listen);
    }
    for (settings_reader& member : section.list_or_empty("members")) {
        voter it;
        it.id.name = member.text("name");
        it.address = to_string(member.address("address"));
        (void)member.finish();
        control.members.push_back(it);
    }
    control.heartbeat_interval =
        section.time_span("heartbeat_interval", control.heartbeat_interval);
    control.election_timeout = section.time_span("election_timeout", control.election_timeout);
    control.election_jitter = section.time_span("election_jitter", control.election_jitter);
    control.lease_duration = section.time_span("lease_duration", control.lease_duration);
    control.snapshot_log_bytes = static_cast<std::uint64_t>(
        section.number("snapshot_log_bytes", mebibyte, 4 * kibibyte, max_body_bytes));
    (void)section.finish();
    if (!settings.coordination) {
        check_members(settings, common.name, problems);
    }
    if (control.election_timeout < control.heartbeat_interval * 3) {
        problems.emplace_back(
            "control.election_timeout: expected at least three heartbeat intervals");
    }
    settings.common = std::move(common);
    return settings;
}

entry_settings read_entry(settings_reader& root, common_settings common)
{
    entry_settings settings;
    entry_options& entry = settings.entry;
    entry.name = common.name;
    entry.operator_token = common.operator_token;
    entry.failure_domain = root.text("failure_domain");
    entry.callers = read_http_server(root.section("callers"), 2);
    entry.platform = read_http_server(root.section("platform"), 1);
    settings_reader databases = root.section("databases", false);
    entry.database_threads = static_cast<int>(databases.number("threads", 2, 1, max_threads));
    (void)databases.finish();
    settings_reader control = root.section("control");
    for (const endpoint& it : control.addresses("members")) {
        entry.control.push_back(to_string(it));
    }
    entry.lease_renew_interval =
        control.time_span("lease_renew_interval", entry.lease_renew_interval);
    (void)control.finish();
    settings_reader stop = root.section("stop", false);
    settings.drain_notice = stop.time_span("notice", settings.drain_notice);
    settings.drain_limit = stop.time_span("limit", settings.drain_limit);
    (void)stop.finish();
    settings.common = std::move(common);
    return settings;
}

void read_placement(settings_reader in, session_service_options& sessions)
{
    placement_options& costs = sessions.placement;
    costs.same_region_cost = in.time_span("same_region_cost", costs.same_region_cost);
    costs.other_region_cost = in.time_span("other_region_cost", costs.other_region_cost);
    locality_options& locality = sessions.locality;
    locality.enabled = in.flag("spill", locality.enabled);
    locality.same_region_round_trip =
        in.time_span("same_region_round_trip", locality.same_region_round_trip);
    locality.other_region_round_trip =
        in.time_span("other_region_round_trip", locality.other_region_round_trip);
    (void)in.finish();
}

statement_entry_settings read_statement_entry(settings_reader& root, common_settings common)
{
    statement_entry_settings settings;
    statement_entry_options& entry = settings.entry;
    entry.name = common.name;
    entry.sessions.failure_domain = root.text("failure_domain");
    entry.sessions.regions = root.text_map("regions");
    read_placement(root.section("placement", false), entry.sessions);
    entry.sessions.locality.seed = std::hash<std::string>{}(common.name);
    settings_reader statements = root.section("statements");
    entry.statements = statements.address("listen");
    (void)statements.finish();
    entry.readiness = read_http_server(root.section("readiness"), 1);
    settings_reader control = root.section("control");
    entry.control = fleet_addresses(control.addresses("seed_hosts"), common.fleet_listen);
    entry.lease_renew_interval =
        control.time_span("lease_renew_interval", entry.lease_renew_interval);
    (void)control.finish();
    settings_reader section = root.section("stop", false);
    stop_options& stop = settings.stop;
    const duration grace = section.time_span("grace", stop.drain_limit * 6 / 5);
    // The stages keep the proportions of their defaults, which suit a grace period of 6 s.
    stop.transaction_limit = grace / 2;
    stop.closing_delay = grace * 2 / 3;
    stop.drain_limit = grace * 5 / 6;
    stop.answer_limit = std::max(grace - exit_margin, stop.drain_limit);
    stop.drain_notice = std::min(stop.drain_notice, stop.transaction_limit);
    (void)section.finish();
    settings.common = std::move(common);
    return settings;
}

}  // namespace

std::variant<daemon_settings, settings_problems> read_settings(const std::string& file,
                                                               const std::string& secrets_folder)
{
    settings_reader root = settings_reader::from_file(file);
    std::vector<std::string> problems;
    daemon_settings settings;
    const std::string role = root.choice("role", {"entry", "control", "statement_entry"});
    const std::string secrets_base =
        secrets_folder.empty() ? folder_of(file) : secrets_folder + "/";
    common_settings common = read_common(root, secrets_base, problems);
    if (role == "control") {
        settings = read_control(root, std::move(common), problems);
    }
    else if (role == "statement_entry") {
        settings = read_statement_entry(root, std::move(common));
    }
    else {
        settings = read_entry(root, std::move(common));
    }
    std::vector<std::string> lines = root.finish();
    for (const std::string& it : problems) {
        lines.push_back(std::string(file).append(": ").append(it));
    }
    if (!lines.empty()) {
        return settings_problems{std::move(lines)};
    }
    return settings;
}

}  // namespace balsamdrift
