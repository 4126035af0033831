#include <gflags/gflags.h>

#include <QCoreApplication>
#include <QUuid>
#include <cstdio>
#include <fstream>
#include <functional>
#include <random>

#include "apps/exit_code.h"
#include "callers/statement_request.h"
#include "control/synced_file.h"
#include "operators/operator_client.h"
#include "operators/timeline_report.h"

DEFINE_string(control, "127.0.0.1:7101",
              "operator addresses of the control members, separated by commas");
DEFINE_string(token_file, "operator.token", "file with the operator token");
DEFINE_string(operator_name, "operator", "who makes the change");
DEFINE_string(change_id, "", "id of the change; sending the same id again gives the first answer");
DEFINE_int64(expected_version, -1, "version of the record that the change is meant for");
DEFINE_string(output, "text", "text or json");
DEFINE_double(rate, 100, "customer put: requests per second over all VMs");
DEFINE_double(burst, 100, "customer put: requests that may come at once");
DEFINE_string(customer, "", "key give: the customer");
DEFINE_int32(instances, 3, "group put: instances when all are well");
DEFINE_int32(connections, 20, "group put: connections to all instances together");
DEFINE_int32(slots, 3, "group put: statements that one instance runs at once");
DEFINE_string(ack, "replicated", "group put: when a write is acknowledged, replicated or primary");
DEFINE_uint64(since, 0, "timeline: only events after this stamp");
DEFINE_string(html, "", "timeline: write a self-contained page to this file");
DEFINE_int32(timeout_s, 10, "seconds to wait for an answer");

namespace {

using namespace balsamdrift;
using nlohmann::json;

constexpr const char* usage =
    "balsamctl [flags] COMMAND\n\n"
    "  customer put NAME --rate N --burst N   create a customer or change its limits\n"
    "  customer remove NAME                   remove a customer with its keys and grants\n"
    "  key give KEY_ID --customer NAME        give a key; prints its secret once\n"
    "  key withdraw KEY_ID                    withdraw a key\n"
    "  group put NAME [--instances N --connections N --slots N --ack WHEN]\n"
    "                                         declare a database group or change its limits\n"
    "  group grant NAME CUSTOMER              let a customer reach a group\n"
    "  group revoke NAME CUSTOMER             take that back\n"
    "  preset set ordinary|peak|maintenance   switch the preset\n"
    "  domain evacuate NAME                   send nothing more to the instances of a failure "
    "domain\n"
    "  domain restore NAME                    use its instances again\n"
    "  status                                 members, VMs, groups, evacuated domains\n"
    "  configuration                          customers and keys\n"
    "  timeline [--since STAMP --html FILE]   events of all processes in one order\n\n"
    "Exit codes: 0 done, 1 refused (conflict or invalid), 64 wrong command line,\n"
    "69 no control member answered.";

int to_int(exit_code code) { return static_cast<int>(code); }

int usage_error(const std::string& what)
{
    std::fprintf(stderr, "balsamctl: %s\nsee balsamctl --help\n", what.c_str());
    return to_int(exit_code::usage);
}

/// Splits a list at its commas; empty parts are left out.
std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    for (const QString& it : QString::fromStdString(text).split(',', Qt::SkipEmptyParts)) {
        parts.push_back(it.toStdString());
    }
    return parts;
}

/// Generates the secret of a key: 256 random bits.
std::string generate_secret()
{
    constexpr std::size_t secret_words = 8;
    std::random_device device;
    std::string secret = "bd_";
    for (std::size_t n = 0; n < secret_words; ++n) {
        secret += QString("%1").arg(device(), 8, 16, QChar('0')).toStdString();
    }
    return secret;
}

/// Builds the change that the command line requests; null if the words are no valid change.
json parse_change(const std::vector<std::string>& words, const std::string& secret)
{
    const std::string verb = words.size() > 1 ? words[0] + " " + words[1] : std::string();
    const std::string name = words.size() > 2 ? words[2] : std::string();
    if (verb == "customer put" && words.size() == 3) {
        return {{"change", "put_customer"},
                {"customer", name},
                {"rate", FLAGS_rate},
                {"burst", FLAGS_burst}};
    }
    if (verb == "customer remove" && words.size() == 3) {
        return {{"change", "remove_customer"}, {"customer", name}};
    }
    if (verb == "key give" && words.size() == 3) {
        return {{"change", "give_key"},
                {"customer", FLAGS_customer},
                {"key_id", name},
                {"key_hash", sha256_hex(secret)}};
    }
    if (verb == "key withdraw" && words.size() == 3) {
        return {{"change", "withdraw_key"}, {"key_id", name}};
    }
    if (verb == "group put" && words.size() == 3) {
        return {{"change", "put_group"},        {"group", name},
                {"instances", FLAGS_instances}, {"connections", FLAGS_connections},
                {"slots", FLAGS_slots},         {"ack", FLAGS_ack}};
    }
    if (verb == "group grant" && words.size() == 4) {
        return {{"change", "grant_group"}, {"group", name}, {"customer", words[3]}};
    }
    if (verb == "group revoke" && words.size() == 4) {
        return {{"change", "revoke_group"}, {"group", name}, {"customer", words[3]}};
    }
    if (verb == "preset set" && words.size() == 3) {
        return {{"change", "switch_preset"}, {"preset", name}};
    }
    if (verb == "domain evacuate" && words.size() == 3) {
        return {{"change", "evacuate_domain"}, {"domain", name}};
    }
    if (verb == "domain restore" && words.size() == 3) {
        return {{"change", "restore_domain"}, {"domain", name}};
    }
    return nullptr;
}

/// Sends a change to the leader and prints the answer. `secret` is printed if the change creates a
/// key.
int submit_change(operator_client& client, json change, const std::string& secret)
{
    change["operator"] = FLAGS_operator_name;
    change["change_id"] = FLAGS_change_id.empty()
                              ? QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString()
                              : FLAGS_change_id;
    if (FLAGS_expected_version >= 0) {
        change["expected_version"] = static_cast<std::uint64_t>(FLAGS_expected_version);
    }
    auto answer = client.change(change);
    if (!succeeded(answer)) {
        std::fprintf(stderr, "balsamctl: %s\nchange id %s\n", failure_of(answer).message.c_str(),
                     change["change_id"].get<std::string>().c_str());
        return to_int(exit_code::unavailable);
    }
    json body = value_of(answer).body;
    const bool accepted = value_of(answer).status == 200;
    const bool gives_key = change["change"] == "give_key";
    if (accepted && gives_key) {
        body["key"] = secret;
    }
    if (FLAGS_output == "json") {
        std::printf("%s\n", body.dump().c_str());
    }
    else if (accepted) {
        std::printf("accepted, version %s\n", body.value("version", json(0)).dump().c_str());
        if (gives_key) {
            std::printf("key %s\n", secret.c_str());
        }
    }
    else {
        const std::string why = body.value("message", body.value("detail", "refused"));
        std::printf("refused: %s\n", why.c_str());
    }
    return to_int(accepted ? exit_code::success : exit_code::refused);
}

void print_status_text(const json& it, const std::vector<json>& entries)
{
    std::printf("control: leader %s, term %s, version %s, preset %s%s\n",
                it.value("leader", "").c_str(), it["term"].dump().c_str(),
                it["version"].dump().c_str(), it["preset"].get<std::string>().c_str(),
                it["preset_switching"].get<bool>() ? " (switching)" : "");
    for (const json& domain : it.value("evacuated_domains", json::array())) {
        std::printf("  failure domain %s is evacuated\n", domain.get<std::string>().c_str());
    }
    for (const json& member : it["members"]) {
        std::printf("  member %s at %s\n", member["name"].get<std::string>().c_str(),
                    member["address"].get<std::string>().c_str());
    }
    for (const json& entry : entries) {
        std::printf("VM %s: %s, version %s, %s connections\n",
                    entry["entry"].get<std::string>().c_str(),
                    entry["ready"].get<bool>() ? "ready" : "not ready",
                    entry["version"].dump().c_str(), entry["caller_connections"].dump().c_str());
        for (const json& group : entry["groups"]) {
            std::printf(
                "  owns group %s (epoch %s): primary %s term %s, %s queued, %s connections\n",
                group["group"].get<std::string>().c_str(), group["epoch"].dump().c_str(),
                group["primary"].get<std::string>().c_str(), group["primary_term"].dump().c_str(),
                group["queued"].dump().c_str(), group["connections"].dump().c_str());
            for (const json& instance : group["instances"]) {
                std::printf("    %s %s %s%s age %s ms\n",
                            instance["instance"].get<std::string>().c_str(),
                            instance["role"].get<std::string>().c_str(),
                            instance["reachable"].get<bool>() ? "reachable" : "unreachable",
                            instance["leaving"].get<bool>() ? " leaving" : "",
                            instance.value("age_ms", json(0)).dump().c_str());
            }
        }
    }
}

/// Gets a resource from every entry that the status of the leader lists. Entries without an answer
/// are left out.
std::vector<json> get_from_entries(operator_client& client, const json& status,
                                   const std::string& path)
{
    std::vector<json> answers;
    for (const json& entry : status["entries"]) {
        auto answer = client.get(entry["platform"].get<std::string>(), path);
        if (succeeded(answer) && value_of(answer).status == 200) {
            answers.push_back(value_of(answer).body);
        }
    }
    return answers;
}

int show_status(operator_client& client)
{
    auto answer = client.get_from_leader("/v1/status");
    if (!succeeded(answer) || value_of(answer).status != 200) {
        std::fprintf(stderr, "balsamctl: no control member answered\n");
        return to_int(exit_code::unavailable);
    }
    json status = value_of(answer).body;
    const auto entries = get_from_entries(client, status, "/v1/status");
    if (FLAGS_output == "json") {
        status["vms"] = entries;
        std::printf("%s\n", status.dump().c_str());
    }
    else {
        print_status_text(status, entries);
    }
    return to_int(exit_code::success);
}

int show_configuration(operator_client& client)
{
    auto answer = client.get_from_leader("/v1/configuration");
    if (!succeeded(answer) || value_of(answer).status != 200) {
        std::fprintf(stderr, "balsamctl: no control member answered\n");
        return to_int(exit_code::unavailable);
    }
    std::printf("%s\n", value_of(answer).body.dump(FLAGS_output == "json" ? -1 : 2).c_str());
    return to_int(exit_code::success);
}

int show_timeline(operator_client& client)
{
    const std::string path = "/v1/timeline?since=" + std::to_string(FLAGS_since);
    std::vector<json> answers;
    for (const std::string& it : split(FLAGS_control)) {
        auto answer = client.get(it, path);
        if (succeeded(answer) && value_of(answer).status == 200) {
            answers.push_back(value_of(answer).body);
        }
    }
    auto status = client.get_from_leader("/v1/status");
    if (succeeded(status) && value_of(status).status == 200) {
        for (json& it : get_from_entries(client, value_of(status).body, path)) {
            answers.push_back(std::move(it));
        }
    }
    if (answers.empty()) {
        std::fprintf(stderr, "balsamctl: no process answered\n");
        return to_int(exit_code::unavailable);
    }
    const auto events = merge_timelines(answers);
    if (!FLAGS_html.empty()) {
        std::ofstream(FLAGS_html) << format_timeline_html(events);
    }
    else if (FLAGS_output == "json") {
        std::printf("%s\n", json(events).dump().c_str());
    }
    else {
        std::printf("%s", format_timeline(events).c_str());
    }
    return to_int(exit_code::success);
}

}  // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.empty()) {
        return usage_error("a command is missing");
    }
    if (FLAGS_output != "text" && FLAGS_output != "json") {
        return usage_error("--output must be text or json");
    }
    auto token = read_file(FLAGS_token_file);
    if (!succeeded(token)) {
        return usage_error("--token_file: " + failure_of(token).message);
    }
    while (!value_of(token).empty() && value_of(token).back() == '\n') {
        value_of(token).pop_back();
    }
    QCoreApplication app(argc, argv);
    operator_client client({.members = split(FLAGS_control),
                            .token = value_of(token),
                            .timeout = seconds(FLAGS_timeout_s)});
    if (words[0] == "status") {
        return show_status(client);
    }
    if (words[0] == "configuration") {
        return show_configuration(client);
    }
    if (words[0] == "timeline") {
        return show_timeline(client);
    }
    const std::string secret = generate_secret();
    const json change = parse_change(words, secret);
    if (change.is_null()) {
        return usage_error("unknown command or wrong number of words");
    }
    return submit_change(client, change, secret);
}
