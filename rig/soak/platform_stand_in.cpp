#include "rig/soak/platform_stand_in.h"

namespace balsamdrift::soak {

namespace {

constexpr seconds probe_interval(1);
/// So many probes without a 200 take an entry out of rotation.
constexpr int misses_until_out = 2;
constexpr seconds call_limit(5);

}  // namespace

platform_stand_in::platform_stand_in(event_loop& loop, const site_description& site,
                                     deployment& machines,
                                     std::vector<std::unique_ptr<service>>& services,
                                     journal& record, judge& verdicts, std::uint64_t seed)
    : loop_(loop),
      site_(site),
      machines_(machines),
      services_(services),
      record_(record),
      verdicts_(verdicts),
      random_(seed)
{
}

void platform_stand_in::start()
{
    door_ = std::make_unique<listener>(
        loop_, machines_.platform_address(), &path,
        [this](std::unique_ptr<connection> conn) { serve(std::move(conn)); });
    for (machine* it : machines_.entries()) {
        probe(*it);
    }
    for (machine* it : machines_.controls()) {
        watch_member(*it);
    }
}

background platform_stand_in::serve(std::unique_ptr<connection> conn)
{
    while (true) {
        std::optional<received_call> call =
            co_await read_call(*conn, monotonic_clock::now() + call_limit);
        if (!call) {
            co_return;
        }
        const auto body = nlohmann::json::parse(call->body, nullptr, false);
        const std::string name = body.is_object() ? body.value("service", "") : "";
        const std::string id = body.is_object() ? body.value("id", "") : "";
        std::string text = "platform: promote ";
        text.append(id).append(" of ").append(name);
        text.append(", holder ").append(call->headers["x-duty-holder"]);
        text.append(", token ").append(call->headers["x-fencing-token"]);
        record_.note(text);
        service* found = nullptr;
        for (const auto& it : services_) {
            found = it->name() == name ? it.get() : found;
        }
        instance* chosen = found == nullptr ? nullptr : found->find(id);
        if (chosen == nullptr || chosen->down) {
            answer_call(*conn, chosen == nullptr ? 404 : 409);
            continue;
        }
        answer_call(*conn, 200);
        loop_.at(monotonic_clock::now() + site_.promotion, [found, id] { found->promote(id); });
    }
}

background platform_stand_in::probe(machine& entry)
{
    time_point ready_at = monotonic_clock::now();
    int reported = 0;
    co_await loop_.sleep(milliseconds(random_() % 1000));
    while (true) {
        const time_point sent = monotonic_clock::now();
        http_request request{.to = entry.readiness_address,
                             .path = "/balsamdrift/readyz",
                             .limit = probe_interval,
                             .over = &entry.path};
        const http_answer answer = co_await http_call(loop_, request);
        const bool ready = answer.status == 200;
        entry.missed_probes = ready ? 0 : entry.missed_probes + 1;
        if (ready != entry.ready && (ready || entry.missed_probes >= misses_until_out)) {
            entry.ready = ready;
            record_.note(
                entry.name +
                (ready ? " is ready" : " is not ready, status " + std::to_string(answer.status)));
        }
        verdicts_.served().probed(sent, entry.name, ready);
        const time_point now = monotonic_clock::now();
        ready_at = ready || now - machines_.last_disturbance() < site_.bound_s("recoveryS")
                       ? now
                       : ready_at;
        if (now - ready_at > site_.bound_s("recoveryS") && reported != entry.incarnation) {
            reported = entry.incarnation;
            verdicts_.break_rule(rule::fault, entry.name +
                                                  " is not ready, long after the last "
                                                  "disturbance, status " +
                                                  std::to_string(answer.status));
        }
        co_await loop_.sleep(sent + probe_interval - monotonic_clock::now());
    }
}

background platform_stand_in::watch_member(machine& member)
{
    time_point answered_at = monotonic_clock::now();
    int reported = 0;
    while (!member.removed) {
        co_await loop_.sleep(probe_interval);
        http_request request{
            .to = member.service_address, .path = "/balsamdrift/config/read", .over = &member.path};
        const time_point sent = monotonic_clock::now();
        const int incarnation = member.incarnation;
        const http_answer answer = co_await http_call(loop_, request);
        const time_point now = monotonic_clock::now();
        if (answer.status == 200) {
            verdicts_.config_read(member, sent, answer.body, rule::config);
        }
        if (answer.status == 200 || incarnation != member.incarnation ||
            now - machines_.last_disturbance() < site_.bound_s("recoveryS") ||
            verdicts_.history().newest_acked() == 0) {
            answered_at = now;
        }
        if (now - answered_at > site_.bound_s("recoveryS") && reported != incarnation) {
            reported = incarnation;
            verdicts_.break_rule(rule::fault, member.name +
                                                  " does not answer reads of the configuration, "
                                                  "long after the last disturbance, status " +
                                                  std::to_string(answer.status));
        }
    }
}

std::vector<machine*> platform_stand_in::ready_entries() const
{
    std::vector<machine*> out;
    for (machine* it : machines_.entries()) {
        if (it->ready) {
            out.push_back(it);
        }
    }
    return out;
}

machine* platform_stand_in::pick_entry(const std::string& zone)
{
    std::vector<machine*> all;
    std::vector<machine*> ready;
    for (machine* it : machines_.entries()) {
        if (it->zone == zone) {
            all.push_back(it);
            if (it->ready) {
                ready.push_back(it);
            }
        }
    }
    // Where fewer than half of a zone are in rotation, all are used; the next zones if none is.
    std::vector<machine*>& chosen = ready.size() * 2 < all.size() ? all : ready;
    if (ready.empty()) {
        std::vector<machine*> others = ready_entries();
        if (!others.empty()) {
            return others[random_() % others.size()];
        }
    }
    return chosen.empty() ? nullptr : chosen[random_() % chosen.size()];
}

}  // namespace balsamdrift::soak
