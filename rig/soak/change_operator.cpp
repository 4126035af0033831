#include "rig/soak/change_operator.h"

#include <algorithm>
#include <array>

namespace balsamdrift::soak {

namespace {

constexpr int most_in_progress = 8;
constexpr milliseconds first_backoff(100);
constexpr milliseconds longest_backoff(1500);
/// A change without a clear answer is given up after this time.
constexpr seconds delivery_limit(40);
/// Larger bodies get more time than a second.
constexpr std::size_t large_body = 50000;
constexpr int idle_routes = 40;
constexpr int many_routes = 300;
/// Databases and keys that change, besides those of the load.
constexpr std::size_t most_changing = 6;
/// Callers still try so many databases and keys that were removed.
constexpr std::size_t remembered = 24;
constexpr milliseconds look_delay(60);
constexpr milliseconds read_interval(500);

constexpr std::array kinds{"primary", "bounded_staleness", "read_your_writes"};

void remember(std::vector<std::string>& names, const std::string& name)
{
    names.push_back(name);
    if (names.size() > remembered) {
        names.erase(names.begin());
    }
}

bool is_changing(const std::string& name) { return name[0] == 'x'; }

}  // namespace

change_operator::change_operator(event_loop& loop, const site_description& site,
                                 deployment& machines, judge& verdicts, journal& record,
                                 std::uint64_t seed)
    : loop_(loop),
      site_(site),
      machines_(machines),
      verdicts_(verdicts),
      record_(record),
      random_(seed)
{
}

std::string change_operator::main_database(int service, const std::string& kind)
{
    return "db" + std::to_string(service) + kind.substr(0, 1);
}

std::string change_operator::main_key(int tenant) { return "key" + std::to_string(tenant) + "a"; }

std::string change_operator::some_database(std::mt19937_64& random) const
{
    return databases_.empty() || random() % 5 == 0 ? main_database(0, kinds[2])
                                                   : databases_[random() % databases_.size()];
}

std::string change_operator::some_key(std::mt19937_64& random) const
{
    return keys_.empty() || random() % 2 == 0 ? main_key(0) : keys_[random() % keys_.size()];
}

configuration change_operator::first_configuration() const
{
    configuration out{.version = 1, .connections = site_.connections};
    for (int n = 0; n < site_.services; ++n) {
        out.services.push_back(service_name(n));
        for (const char* kind : kinds) {
            out.routes.push_back({.host = main_database(n, kind),
                                  .kind = kind,
                                  .service = service_name(n),
                                  .timeout_ms = kind == kinds[1] ? 2000 : 1000,
                                  .staleness_ms = kind == kinds[1] ? 1500 : 2500});
        }
    }
    for (int n = 0; n < idle_routes; ++n) {
        out.routes.push_back({.host = "idle" + std::to_string(n), .service = service_name(0)});
    }
    for (int n = 0; n < site_.tenants; ++n) {
        out.tenants.push_back({.name = "tenant" + std::to_string(n),
                               .keys = {main_key(n), "key" + std::to_string(n) + "b"}});
    }
    return out;
}

background change_operator::begin()
{
    current_ = first_configuration();
    version_ = current_.version;
    touched none;
    send_change(current_, none);
    while (verdicts_.history().newest_acked() == 0) {
        co_await loop_.sleep(milliseconds(20));
    }
    begun_ = true;
    record_.note("the first configuration is acknowledged");
}

void change_operator::change_route(configuration& conf, touched& what)
{
    std::vector<route*> changing;
    for (route& it : conf.routes) {
        if (is_changing(it.host)) {
            changing.push_back(&it);
        }
    }
    const auto some_service = [&] { return conf.services[random_() % conf.services.size()]; };
    if (changing.empty() || (changing.size() < most_changing && random_() % 3 == 0)) {
        what.database = "x" + std::to_string(++next_name_);
        conf.routes.push_back({.host = what.database,
                               .kind = kinds.at(random_() % kinds.size()),
                               .service = some_service()});
        remember(databases_, what.database);
        return;
    }
    route& it = *changing[random_() % changing.size()];
    what.database = it.host;
    if (random_() % 2 == 0) {
        it.service = some_service();
        return;
    }
    std::erase_if(conf.routes, [&](const route& r) { return r.host == what.database; });
}

void change_operator::change_key(configuration& conf, touched& what)
{
    tenant& to = conf.tenants[random_() % conf.tenants.size()];
    std::vector<std::pair<tenant*, std::string>> changing;
    for (tenant& it : conf.tenants) {
        for (const std::string& key : it.keys) {
            if (is_changing(key)) {
                changing.emplace_back(&it, key);
            }
        }
    }
    if (changing.empty() || (changing.size() < most_changing && random_() % 3 == 0)) {
        what.key = "xk" + std::to_string(++next_name_);
        remember(keys_, what.key);
        to.keys.push_back(what.key);
        return;
    }
    const auto& [from, key] = changing[random_() % changing.size()];
    what.key = key;
    std::erase(from->keys, what.key);
    if (random_() % 2 == 0) {
        to.keys.push_back(what.key);
    }
}

configuration change_operator::next_configuration(touched& what)
{
    configuration out = current_;
    out.version = take_version();
    const auto choice = random_() % 10;
    if (choice < 5) {
        change_route(out, what);
    }
    else if (choice < 8) {
        change_key(out, what);
    }
    else if (choice == 8) {
        route& it = out.routes[random_() % out.routes.size()];
        it.timeout_ms = 800 + static_cast<int>(random_() % 1500);
        it.staleness_ms = 1000 + static_cast<int>(random_() % 2000);
    }
    else if (std::erase_if(out.routes, [](const route& r) { return r.host[0] == 'm'; }) == 0) {
        for (int n = 0; n < many_routes; ++n) {
            out.routes.push_back({.host = "m" + std::to_string(n), .service = out.services.back()});
        }
    }
    return out;
}

task<bool> change_operator::change_once()
{
    touched what;
    configuration next = next_configuration(what);
    current_ = next;
    const int version = next.version;
    send_change(next, what);
    const time_point until = monotonic_clock::now() + seconds(10);
    while (monotonic_clock::now() < until) {
        const sent_change* it = verdicts_.history().find(version);
        if (it != nullptr && it->acked_at) {
            co_return true;
        }
        co_await loop_.sleep(milliseconds(2));
    }
    co_return false;
}

background change_operator::run()
{
    while (!stopped_) {
        const milliseconds pause(1000 + random_() % 4000);
        co_await loop_.sleep(pause);
        if (stopped_ || in_progress_ >= most_in_progress) {
            continue;
        }
        const auto choice = random_() % 20;
        // A storm sends several changes in a row, a race two from the same base to two members.
        const int count = choice < 2 ? 5 : choice < 5 ? 2 : 1;
        if (choice >= 17) {
            send_invalid();
        }
        else if (choice >= 15) {
            int version = verdicts_.history().newest_acked();
            if (choice == 16) {
                for (version /= 2; version > 0 && verdicts_.history().find(version) == nullptr;) {
                    --version;
                }
            }
            send_again(version, random_() % 3 == 0);
        }
        else {
            for (int n = 0; n < count; ++n) {
                touched what;
                configuration next = next_configuration(what);
                send_change(next, what);
                if (choice >= 5 || choice < 2 || n == 1) {
                    current_ = next;
                }
                const milliseconds gap(choice < 2 ? 80 + random_() % 250 : 0);
                co_await loop_.sleep(gap);
            }
        }
    }
}

background change_operator::send_change(configuration conf, touched what)
{
    ++in_progress_;
    const time_point sent = monotonic_clock::now();
    verdicts_.history().add_sent(conf, true, sent);
    record_.note("version " + std::to_string(conf.version) + " is sent: database " + what.database +
                 ", key " + what.key);
    std::string body = to_json(conf).dump();
    const int status = co_await deliver(body, conf.version, true);
    --in_progress_;
    if (status != 200) {
        co_return;
    }
    const time_point acked = monotonic_clock::now();
    verdicts_.history().add_ack(conf.version, acked);
    record_.note("version " + std::to_string(conf.version) + " is acknowledged after " +
                 std::to_string(to_milliseconds(acked - sent).count()) + " ms");
    const duration delay = site_.bound_ms("configApplyMs") + look_delay;
    co_await loop_.sleep(delay);
    if (changed_ && (!what.database.empty() || !what.key.empty())) {
        changed_(what.database.empty() ? main_database(0, kinds[2]) : what.database,
                 what.key.empty() ? main_key(0) : what.key);
    }
    read_all();
}

background change_operator::send_invalid()
{
    configuration conf = current_;
    conf.version = take_version();
    nlohmann::json body = to_json(conf);
    body["routes"].push_back(body["routes"].back());
    nlohmann::json& added = body["routes"].back();
    added["name"] = "r-bad";
    added["host"] = "bad" + std::to_string(conf.version);
    std::string kind;
    std::string text;
    switch (random_() % 8) {
        case 0:
            added["service"] = "unknown";
            kind = "unknown service";
            break;
        case 1:
            added["host"] = body["routes"][0]["host"];
            kind = "two routes of one host";
            break;
        case 2:
            added["timeoutMs"] = 0;
            kind = "time-out of 0";
            break;
        case 3:
            body["tenants"][1]["apiKeys"].push_back(main_key(0));
            kind = "shared key";
            break;
        case 4:
            body["routes"] = "none";
            kind = "routes of another type";
            break;
        case 5:
            added["timeoutMs"] = "soon";
            kind = "time-out of another type";
            break;
        case 6:
            body.erase("routes");
            kind = "no routes";
            break;
        default: kind = "cut off"; break;
    }
    text = body.dump();
    if (kind == "cut off") {
        text.resize(text.size() / 2);
    }
    verdicts_.history().add_invalid(conf.version, monotonic_clock::now());
    record_.note("invalid version " + std::to_string(conf.version) + " is sent: " + kind);
    const int status = co_await deliver(text, conf.version, false);
    if (status == 200) {
        verdicts_.invalid_acked(conf.version, kind);
    }
}

background change_operator::send_again(int version, bool other_content)
{
    const sent_change* it = verdicts_.history().find(version);
    if (it == nullptr || !it->valid || !it->acked_at) {
        co_return;
    }
    nlohmann::json body = it->content;
    if (other_content) {
        body["routes"].push_back(body["routes"].back());
        body["routes"].back()["name"] = "r-other";
        body["routes"].back()["host"] = "other" + std::to_string(version);
    }
    record_.note("version " + std::to_string(version) + " is sent again" +
                 (other_content ? " with other content" : ""));
    std::string text = body.dump();
    const int status = co_await deliver(text, version, !other_content);
    if (other_content) {
        record_.note("version " + std::to_string(version) + " with other content: status " +
                     std::to_string(status));
    }
}

task<http_answer> change_operator::call(std::string body)
{
    const std::vector<machine*> members = machines_.listed_controls();
    machine* member = members[random_() % members.size()];
    http_request request{.to = member->service_address,
                         .method = "POST",
                         .path = "/balsamdrift/config/replace",
                         .body = body,
                         .limit = seconds(body.size() > large_body ? 3 : 1),
                         .over = &member->path};
    http_answer answer = co_await http_call(loop_, request);
    for (int n = 0; n < 2 && answer.status == 307; ++n) {
        std::string to = answer.location;
        to = to.rfind("http://", 0) == 0 ? to.substr(7) : to;
        request.to = parse_address(to.substr(0, to.find('/')));
        answer = co_await http_call(loop_, request);
    }
    co_return answer;
}

task<int> change_operator::deliver(std::string body, int version, bool is_valid)
{
    const time_point sent = monotonic_clock::now();
    milliseconds backoff = first_backoff;
    bool reported = false;
    int refusals = 0;
    while (monotonic_clock::now() - sent < delivery_limit) {
        const http_answer answer = co_await call(body);
        const bool lost = std::uniform_real_distribution<>(0, 1)(random_) < lost_acks;
        const int status = lost ? 0 : answer.status;
        if (status == 200) {
            co_return status;
        }
        const bool final_refusal =
            status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
        refusals += status >= 400 && status < 500 && status != 408 && status != 429 ? 1 : 0;
        if (final_refusal || refusals >= 3) {
            if (is_valid) {
                verdicts_.change_refused(version, status, answer.body);
            }
            co_return status;
        }
        const time_point now = monotonic_clock::now();
        if (is_valid && !reported && lost_acks <= 0 &&
            now - std::max(sent, machines_.last_disturbance()) > site_.bound_ms("ackMs")) {
            reported = true;
            verdicts_.break_rule(rule::ack, "version " + std::to_string(version) +
                                                " has no acknowledgement after ackMs without "
                                                "disturbances, last status " +
                                                std::to_string(answer.status));
        }
        co_await loop_.sleep(backoff);
        backoff = std::min(backoff * 2, longest_backoff);
    }
    co_return 0;
}

background change_operator::read_all()
{
    for (machine* it : machines_.controls()) {
        read_member(*it);
    }
    co_return;
}

background change_operator::read_member(machine& member)
{
    const time_point sent = monotonic_clock::now();
    http_request request{.to = member.service_address,
                         .path = "/balsamdrift/config/read",
                         .limit = seconds(2),
                         .over = &member.path};
    const http_answer answer = co_await http_call(loop_, request);
    if (answer.status == 200) {
        verdicts_.config_read(member, sent, answer.body, rule::config);
    }
}

background change_operator::read_back(duration length)
{
    const time_point until = monotonic_clock::now() + length;
    int answers = 0;
    while (monotonic_clock::now() < until) {
        for (machine* it : machines_.controls()) {
            const time_point sent = monotonic_clock::now();
            http_request request{
                .to = it->service_address, .path = "/balsamdrift/config/read", .over = &it->path};
            const http_answer answer = co_await http_call(loop_, request);
            if (answer.status == 200) {
                ++answers;
                verdicts_.config_read(*it, sent, answer.body, rule::lost);
            }
        }
        co_await loop_.sleep(read_interval);
    }
    if (answers == 0) {
        verdicts_.break_rule(rule::config, "no member answered the read at the end");
    }
    record_.note("read back at the end: " + std::to_string(answers) + " answers");
}

}  // namespace balsamdrift::soak
