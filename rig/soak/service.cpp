#include "rig/soak/service.h"

#include <algorithm>

namespace balsamdrift::soak {

namespace {

constexpr milliseconds heartbeat_interval(1200);
/// A heartbeat that is not acknowledged within a second goes to the next control member.
constexpr seconds heartbeat_limit(1);
constexpr milliseconds replication_interval(50);
/// An earlier primary continues for so long after it reaches the new one.
constexpr seconds step_down_delay(1);
/// Statements that wait for a slot; further ones are refused as BUSY.
constexpr std::size_t queue_limit = 24;
/// Tries of an instance that leaves to be acknowledged.
constexpr int leave_tries = 5;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}  // namespace

service::service(event_loop& loop, const site_description& site, std::string name, journal& record,
                 judge& verdicts, control_list control, std::uint64_t seed)
    : loop_(loop),
      site_(site),
      name_(std::move(name)),
      record_(record),
      verdicts_(verdicts),
      control_(std::move(control)),
      random_(seed)
{
}

instance& service::add(const std::string& id, const address& at, const std::string& zone,
                       bool primary)
{
    auto it = std::make_unique<instance>();
    it->id = id;
    it->at = at;
    it->zone = zone;
    it->primary = primary;
    it->beat_now = std::make_unique<waiter>(loop_);
    instances_.push_back(std::move(it));
    return *instances_.back();
}

void service::start(instance& it)
{
    it.down = false;
    it.draining = false;
    it.born = unix_ms();
    it.sequence = 0;
    it.paused_term = 0;
    it.running = 0;
    it.heartbeat_to.clear();
    ++it.starts;
    it.door = std::make_unique<listener>(
        loop_, it.at, &it.path,
        [this, &it](std::unique_ptr<connection> conn) { serve(it, std::move(conn)); });
    if (!it.door->is_open()) {
        record_.note("cannot listen on " + it.at.text());
    }
    heartbeat(it);
}

void service::stop(instance& it)
{
    it.down = true;
    it.door.reset();
    ++it.starts;
    for (connection* conn : it.connections) {
        conn->close();
    }
    for (waiter* waiting : it.queue) {
        waiting->notify();
    }
    it.queue.clear();
    it.beat_now->notify();
}

background service::crash(instance& it, duration down)
{
    record_.note(it.id + " of " + name_ + (it.primary ? ", the primary," : "") + " crashes");
    stop(it);
    co_await loop_.sleep(down);
    const instance* newest = primary();
    if (newest != nullptr && newest != &it && newest->term > it.term) {
        it.primary = false;
    }
    record_.note(it.id + " comes back as " + (it.primary ? "primary" : "replica"));
    start(it);
}

background service::release(instance& it)
{
    record_.note(it.id + " of " + name_ + (it.primary ? ", the primary," : "") + " is to leave");
    it.draining = true;
    it.beat_now->notify();
    const duration drain = site_.bound_ms("drainMs") + seconds(1);
    co_await loop_.sleep(drain);
    const std::string call = "/deregister";
    const std::string body = "{\"born\":" + std::to_string(it.born) + "}";
    const bool acked = co_await call_control(it, call, body);
    const bool was_primary = it.primary;
    stop(it);
    it.primary = false;
    record_.note(it.id + " has left, " + (acked ? "acknowledged" : "not acknowledged"));
    const duration reuse = site_.bound_s("reuseAfterS");
    co_await loop_.sleep(reuse);
    it.id = "i-" + name_ + "-n" + std::to_string(++next_id_);
    it.primary = was_primary && primary() == nullptr;
    start(it);
    record_.note(it.id + " takes over " + it.at.text());
}

instance* service::find(const std::string& id)
{
    for (const auto& it : instances_) {
        if (it->id == id) {
            return it.get();
        }
    }
    return nullptr;
}

instance* service::primary()
{
    instance* best = nullptr;
    for (const auto& it : instances_) {
        if (it->primary && !it->down && (best == nullptr || it->term > best->term)) {
            best = it.get();
        }
    }
    return best;
}

bool service::promote(const std::string& id)
{
    instance* it = find(id);
    if (it == nullptr || it->down) {
        return false;
    }
    if (it == primary()) {
        return true;
    }
    std::uint64_t newest = 0;
    for (const auto& other : instances_) {
        newest = std::max(newest, other->term);
    }
    it->term = newest + 1;
    it->paused_term = 0;
    it->primary = true;
    it->beat_now->notify();
    record_.note(id + " leads term " + std::to_string(it->term) + " of " + name_);
    return true;
}

background service::replicate()
{
    while (true) {
        co_await loop_.sleep(replication_interval);
        const instance* from = primary();
        const time_point now = monotonic_clock::now();
        for (const auto& it : instances_) {
            if (from == nullptr || it.get() == from || it->down) {
                it->reaches_newer_since = time_point::max();
                continue;
            }
            if (it->primary) {
                it->reaches_newer_since = std::min(it->reaches_newer_since, now);
                if (now - it->reaches_newer_since < step_down_delay) {
                    continue;
                }
                it->primary = false;
                it->beat_now->notify();
            }
            if (it->paused_term <= from->term) {
                follow(*from, *it);
            }
        }
    }
}

void service::follow(const instance& from, instance& to)
{
    std::size_t same = std::min(to.log.size(), from.log.size());
    // Logs that agree on one entry agree on all before it.
    while (same > 0 && (to.log[same - 1].id != from.log[same - 1].id ||
                        to.log[same - 1].term != from.log[same - 1].term)) {
        --same;
    }
    const bool rolls_back = same < to.log.size();
    if (rolls_back) {
        record_.note(to.id + " rolls back " + std::to_string(to.log.size() - same) + " commits");
        to.log.resize(same);
        to.items.clear();
        same = 0;
    }
    to.term = std::max(to.term, from.term);
    for (std::size_t n = to.log.size(); n < from.log.size(); ++n) {
        to.log.push_back(from.log[n]);
    }
    for (std::size_t n = same; n < to.log.size(); ++n) {
        for (const auto& [item, data] : to.log[n].writes) {
            to.items[item] = data;
        }
    }
}

std::string service::heartbeat_body(instance& it) const
{
    return nlohmann::json{{"service", name_},     {"address", it.at.text()},
                          {"zone", it.zone},      {"version", "v1"},
                          {"slots", site_.slots}, {"state", it.draining ? "draining" : "ready"},
                          {"warmupLeftMs", 0},    {"dbRole", it.primary ? "primary" : "replica"},
                          {"born", it.born},      {"sequence", ++it.sequence}}
        .dump();
}

background service::heartbeat(instance& it)
{
    const int start = it.starts;
    const std::string call = "/heartbeat";
    std::uniform_int_distribution<int> first(0, static_cast<int>(heartbeat_interval.count()));
    co_await it.beat_now->wait(monotonic_clock::now() + milliseconds(first(random_) / 8));
    while (it.starts == start) {
        std::string body = heartbeat_body(it);
        const bool acked = co_await call_control(it, call, body);
        if (it.starts != start) {
            break;
        }
        if (!acked) {
            record_.note(it.id + ": no control member acknowledged a heartbeat");
        }
        co_await it.beat_now->wait(monotonic_clock::now() + heartbeat_interval);
    }
}

task<bool> service::call_control(instance& it, std::string call, std::string body)
{
    for (int n = 0; n < leave_tries; ++n) {
        const std::vector<address> members = control_();
        if (members.empty()) {
            co_return false;
        }
        address to = members[random_() % members.size()];
        if (n == 0 && !it.heartbeat_to.empty()) {
            to = parse_address(it.heartbeat_to);
        }
        http_request request{.to = to,
                             .method = "POST",
                             .path = "/balsamdrift/instances/" + it.id + call,
                             .body = body,
                             .limit = heartbeat_limit,
                             .over = &it.path};
        const http_answer answer = co_await http_call(loop_, request);
        if (answer.status >= 200 && answer.status < 300) {
            const auto json = nlohmann::json::parse(answer.body, nullptr, false);
            if (json.is_object() && json.contains("heartbeatUrl") &&
                json["heartbeatUrl"].is_string()) {
                std::string url = json["heartbeatUrl"].get<std::string>();
                url = url.rfind("http://", 0) == 0 ? url.substr(7) : url;
                it.heartbeat_to = url.substr(0, url.find('/'));
            }
            co_return true;
        }
        it.heartbeat_to.clear();
    }
    co_return false;
}

task<bool> service::occupy_slot(instance& it, duration work)
{
    const int start = it.starts;
    if (it.running >= site_.slots) {
        if (it.queue.size() >= queue_limit) {
            co_return false;
        }
        waiter turn(loop_);
        it.queue.push_back(&turn);
        co_await turn.wait(time_point::max());
    }
    else {
        ++it.running;
    }
    if (it.starts == start) {
        co_await loop_.sleep(work);
    }
    if (it.starts == start) {
        if (it.queue.empty()) {
            --it.running;
        }
        else {
            // The slot passes to the next one.
            it.queue.front()->notify();
            it.queue.pop_front();
        }
    }
    co_return true;
}

duration service::draw_work(const instance& it)
{
    // Spread of the usual time of a statement around its median.
    std::lognormal_distribution<double> spread(0.0, 0.6);
    const float_seconds mean = site_.work;
    return std::chrono::duration_cast<duration>(mean * it.slow_factor *
                                                std::min(spread(random_) * 0.83, 6.0));
}

}  // namespace balsamdrift::soak
