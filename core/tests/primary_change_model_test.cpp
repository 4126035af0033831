#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <set>

#include "base/outcome.h"
#include "base/random.h"
#include "core/failover/primary_change.h"

// Plays drawn orders of faults against the decisions on one service's primary, on a virtual clock,
// with a model of its instances, of the platform, of the control log and of an entry that writes.

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};
constexpr milliseconds step_time(10);
constexpr milliseconds write_interval(100);
constexpr milliseconds heartbeat_interval(1200);
constexpr milliseconds drain_time(7000);
/// Time after which a request to the platform is given up.
constexpr milliseconds platform_timeout(2000);
/// Time in which the platform puts an accepted promotion into effect.
constexpr milliseconds promotion_time(1000);
/// Time for which an earlier primary goes on once it can reach the newer one.
constexpr milliseconds step_down_time(1000);
/// Longest time for which an instance is down, receives nothing or answers nothing.
constexpr int max_fault_ms = 6000;
/// Longest partition.
constexpr int max_cut_ms = 20'000;
constexpr seconds calm_time(60);
/// Members of control. Each instance reports to one of them, which passes the reports on.
constexpr unsigned member_count = 5;

enum class fault_kind : std::uint8_t {
    crash,
    lose_disk,
    drain,
    stop_receiving,
    refuse_status,
    lose_control,
    change_leader,
    slow_platform,
    lose_platform_answer,
    /// One or two members are cut off from the leader, and acknowledge reports all the same.
    cut_members,
    /// The instance ends for good. Its machine refuses connections, or is silent.
    end_for_good,
    /// A deregistration of the earlier incarnation arrives after the instance has started again.
    late_deregistration,
    /// An odd report under the name of the instance, for a service that is not declared.
    odd_report,
};
constexpr int fault_kind_count = 13;

/// A fault of a drawn order.
struct fault {
    fault_kind kind = fault_kind::crash;
    /// Which of the running instances it hits.
    unsigned target = 0;
    /// Time since the fault before it.
    milliseconds after{};
    milliseconds lasts{};
};

/// Drawn lengths are those of partitions. Other faults are shorter in proportion.
milliseconds length_of(const fault& it)
{
    if (it.kind == fault_kind::lose_control || it.kind == fault_kind::cut_members) {
        return it.lasts;
    }
    return std::max(it.lasts * max_fault_ms / max_cut_ms, milliseconds(200));
}

std::ostream& operator<<(std::ostream& out, const fault& it)
{
    return out << "{kind " << static_cast<int>(it.kind) << ", target " << it.target << ", after "
               << it.after.count() << ", lasts " << it.lasts.count() << "}";
}

/// Time in milliseconds between two faults: mostly short, so that they overlap, and at times so
/// long that a silent instance leaves the directory.
rc::Gen<int> any_pause()
{
    return rc::gen::weightedOneOf<int>(
        {{4, rc::gen::inRange(0, 2500)}, {1, rc::gen::inRange(2500, 19'000)}});
}

rc::Gen<fault> any_fault()
{
    return rc::gen::build<fault>(
        rc::gen::set(&fault::kind, rc::gen::map(rc::gen::inRange(0, fault_kind_count),
                                                [](int n) { return static_cast<fault_kind>(n); })),
        rc::gen::set(&fault::target, rc::gen::inRange(0U, 10U)),
        rc::gen::set(&fault::after,
                     rc::gen::map(any_pause(), [](int n) { return milliseconds(n); })),
        rc::gen::set(&fault::lasts, rc::gen::map(rc::gen::inRange(200, max_cut_ms),
                                                 [](int n) { return milliseconds(n); })));
}

/// A cut that lasts until silent instances have left the directory, and the loss of the primary
/// shortly before its end.
rc::Gen<std::vector<fault>> long_cut_and_crash()
{
    return rc::gen::exec([] {
        const fault cut{.kind =
                            *rc::gen::element(fault_kind::lose_control, fault_kind::cut_members),
                        .target = *rc::gen::inRange(0U, 10U),
                        .lasts = milliseconds(*rc::gen::inRange(17'000, max_cut_ms))};
        const fault crash{.kind = fault_kind::crash,
                          .after = milliseconds(*rc::gen::inRange(15'500, 17'000)),
                          .lasts = milliseconds(*rc::gen::inRange(10'000, max_cut_ms))};
        return std::vector<fault>{cut, crash};
    });
}

struct commit_entry {
    std::uint64_t term = 0;
    int id = 0;
    time_point at{};
    bool operator==(const commit_entry& other) const
    {
        return term == other.term && id == other.id;
    }
};

struct modelled_instance {
    std::string name;
    std::string address;
    std::int64_t born_ms = 0;
    std::int64_t sequence = 0;
    bool primary = false;
    /// Term of its log.
    std::uint64_t term = 1;
    std::vector<commit_entry> log;
    milliseconds lag{};
    time_point next_heartbeat_at = start;
    std::optional<time_point> drains_since;
    bool gone = false;
    /// True if it ended for good and its machine answers nothing.
    bool silent_machine = false;
    /// The member that it reports to.
    unsigned reports_to = 0;
    /// Until when each fault lasts.
    time_point down_until = start;
    time_point deaf_until = start;
    time_point busy_until = start;
    time_point cut_until = start;
    std::optional<time_point> reaches_newer_since;
};

/// One service with its control leader.
class modelled_service {
public:
    modelled_service(int instance_count, int synchronous_replicas, unsigned seed)
        : random_(seed), synchronous_replicas_(synchronous_replicas)
    {
        for (int n = 0; n < instance_count; ++n) {
            const std::string name(1, static_cast<char>('a' + n));
            instances_.push_back({.name = name,
                                  .address = "10.0.0.1:" + std::to_string(n),
                                  .born_ms = 1,
                                  .primary = n == 0,
                                  .lag = milliseconds(5 + 40 * n),
                                  .reports_to = static_cast<unsigned>(n) % member_count});
        }
    }

    std::vector<std::string> violations;
    /// What happened, for the report of a violation.
    std::vector<std::string> history;

    void run(duration span)
    {
        for (const time_point end = now_ + span; now_ < end;) {
            now_ += step_time;
            run_due();
            replicate();
            end_drained();
            send_heartbeats();
            run_entry();
            run_leader();
        }
    }

    void apply(const fault& it)
    {
        if (it.kind == fault_kind::change_leader) {
            change_leader();
            return;
        }
        if (it.kind == fault_kind::slow_platform) {
            platform_delay_ = length_of(it) / 2;
            note("the platform is slow by " + milliseconds_text(platform_delay_));
            return;
        }
        if (it.kind == fault_kind::lose_platform_answer) {
            loses_platform_answer_ = true;
            return;
        }
        if (it.kind == fault_kind::cut_members) {
            cut_members(it);
            return;
        }
        std::vector<modelled_instance*> running;
        for (modelled_instance& other : instances_) {
            if (runs(other)) {
                running.push_back(&other);
            }
        }
        if (!running.empty()) {
            hit(*running[it.target % running.size()], it);
        }
    }

    bool serves() const
    {
        const modelled_instance* const it = find(record_.instance);
        return record_.phase == primary_phase::serving && it != nullptr && runs(*it) && it->primary;
    }

    std::size_t acknowledged_count() const { return acknowledged_.size(); }

private:
    void note(const std::string& what)
    {
        history.push_back(milliseconds_text(now_ - start) + " " + what);
    }

    bool runs(const modelled_instance& it) const { return !it.gone && now_ >= it.down_until; }

    /// True if the leader gets what the instance reports.
    bool is_heard(const modelled_instance& it) const
    {
        return now_ >= it.cut_until && now_ >= members_cut_until_[it.reports_to];
    }

    int below(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }

    void at(duration delay, std::function<void()> event)
    {
        due_.emplace(now_ + delay, std::move(event));
    }

    void run_due()
    {
        while (!due_.empty() && due_.begin()->first <= now_) {
            const auto event = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            event();
        }
    }

    modelled_instance* find(const std::string& name)
    {
        const auto it = std::find_if(instances_.begin(), instances_.end(),
                                     [&](const auto& other) { return other.name == name; });
        return it == instances_.end() ? nullptr : &*it;
    }
    const modelled_instance* find(const std::string& name) const
    {
        return const_cast<modelled_service*>(this)->find(name);
    }

    /// The primary of the highest term, whether it is down or not. No replica follows an older one.
    modelled_instance* newest_primary()
    {
        modelled_instance* best = nullptr;
        for (modelled_instance& it : instances_) {
            if (!it.gone && it.primary && (best == nullptr || it.term > best->term)) {
                best = &it;
            }
        }
        return best;
    }

    /// Cuts one or two members other than the leader's off.
    void cut_members(const fault& drawn)
    {
        const unsigned first = 1 + drawn.target % (member_count - 1);
        const bool two = drawn.target >= member_count;
        const unsigned second = two ? 1 + first % (member_count - 1) : first;
        members_cut_until_[first] = now_ + drawn.lasts;
        members_cut_until_[second] = now_ + drawn.lasts;
        note("members " + std::to_string(first) + " and " + std::to_string(second) +
             " are cut until " + milliseconds_text(now_ + drawn.lasts - start));
    }

    void hit(modelled_instance& it, const fault& drawn)
    {
        const time_point until = now_ + length_of(drawn);
        note("fault " + std::to_string(static_cast<int>(drawn.kind)) + " at " + it.name +
             " until " + milliseconds_text(until - start));
        switch (drawn.kind) {
            case fault_kind::lose_disk:
                // An instance that loses its log while the platform carries out its promotion leads
                // without it, whatever control does.
                if (it.primary || disk_lost_ || it.name == record_.instance) {
                    return;
                }
                disk_lost_ = true;
                it.log.clear();
                it.term = 0;
                restart_at(it, until);
                return;
            case fault_kind::crash: restart_at(it, until); return;
            case fault_kind::drain:
                it.drains_since = it.drains_since ? it.drains_since : now_;
                it.next_heartbeat_at = now_;
                return;
            case fault_kind::stop_receiving: it.deaf_until = until; return;
            case fault_kind::refuse_status: it.busy_until = until; return;
            case fault_kind::lose_control: it.cut_until = until; return;
            case fault_kind::end_for_good:
                // More instances than hold a copy of a commit must not be lost at a time.
                if (it.primary || disk_lost_ || it.name == record_.instance) {
                    return;
                }
                disk_lost_ = true;
                it.gone = true;
                it.silent_machine = drawn.target % 2 == 1;
                return;
            case fault_kind::late_deregistration:
                remove_instance(directory_, it.name, it.born_ms - 1);
                return;
            case fault_kind::odd_report:
                (void)record_heartbeat(directory_,
                                       {.instance = it.name,
                                        .service = "elsewhere",
                                        .address = it.address,
                                        .born_ms = it.born_ms + 1000,
                                        .sequence = 1},
                                       now_);
                return;
            default: return;
        }
    }

    /// The instance is down until then and comes back with its log, as a replica if another was
    /// promoted meanwhile.
    void restart_at(modelled_instance& it, time_point until)
    {
        it.down_until = until;
        at(until - now_, [this, name = it.name] {
            modelled_instance& restarted = *find(name);
            const modelled_instance* const newest = newest_primary();
            note(name + " is back with " + std::to_string(restarted.log.size()) + " commits");
            ++restarted.born_ms;
            restarted.next_heartbeat_at = now_;
            if (newest != nullptr && newest->name != name && newest->term > restarted.term) {
                restarted.primary = false;
            }
        });
    }

    void change_leader()
    {
        state_ = {};
        ++leader_;
        note("another leader");
        // The new leader starts from the recorded instances.
        for (auto& [name, it] : directory_.instances) {
            it.last_heartbeat_at = now_;
        }
    }

    void replicate()
    {
        modelled_instance* const from = newest_primary();
        if (from == nullptr || !runs(*from)) {
            return;
        }
        for (modelled_instance& to : instances_) {
            if (&to == from || !runs(to) || now_ < to.deaf_until) {
                to.reaches_newer_since.reset();
                continue;
            }
            if (to.primary) {
                to.reaches_newer_since = to.reaches_newer_since ? to.reaches_newer_since : now_;
                if (now_ - *to.reaches_newer_since < step_down_time) {
                    continue;
                }
                to.primary = false;
                to.next_heartbeat_at = now_;
            }
            follow(*from, to);
        }
        acknowledge_write();
    }

    void follow(const modelled_instance& from, modelled_instance& to)
    {
        while (!to.log.empty() && (to.log.size() > from.log.size() ||
                                   !(to.log.back() == from.log[to.log.size() - 1]))) {
            to.log.pop_back();
        }
        to.term = from.term;
        while (to.log.size() < from.log.size() && now_ - from.log[to.log.size()].at >= to.lag) {
            to.log.push_back(from.log[to.log.size()]);
        }
    }

    /// Ends instances that have drained; an instance with the log starts later at the address. A
    /// primary continues for a while.
    void end_drained()
    {
        for (std::size_t n = 0; n < instances_.size(); ++n) {
            modelled_instance& it = instances_[n];
            const duration allowed = drain_time + (it.primary ? drain_time : duration{0});
            if (!runs(it) || !it.drains_since || now_ - *it.drains_since < allowed) {
                continue;
            }
            it.gone = true;
            note(it.name + " has drained");
            if (is_heard(it)) {
                remove_instance(directory_, it.name, it.born_ms);
            }
            at(milliseconds(200 + below(1500)), [this, name = it.name] {
                modelled_instance next = *find(name);
                next.name += "'";
                next.born_ms = 1;
                next.sequence = 0;
                next.primary = false;
                next.gone = false;
                next.drains_since.reset();
                next.next_heartbeat_at = now_;
                instances_.push_back(next);
            });
        }
    }

    void send_heartbeats()
    {
        for (modelled_instance& it : instances_) {
            if (!runs(it) || now_ < it.next_heartbeat_at) {
                continue;
            }
            it.next_heartbeat_at = now_ + heartbeat_interval;
            if (is_heard(it)) {
                (void)record_heartbeat(directory_,
                                       {.instance = it.name,
                                        .service = "registre",
                                        .address = it.address,
                                        .reports_primary = it.primary,
                                        .leaving = it.drains_since.has_value(),
                                        .born_ms = it.born_ms,
                                        .sequence = ++it.sequence},
                                       now_);
            }
        }
    }

    /// The entry has the record of a while ago and writes to a primary that serves.
    void run_entry()
    {
        if (entry_record_.epoch != record_.epoch && now_ >= entry_updated_at_) {
            entry_record_ = record_;
            // A write without an answer ends in doubt.
            pending_write_.reset();
        }
        if (now_ < next_write_at_ || pending_write_ ||
            entry_record_.phase != primary_phase::serving) {
            return;
        }
        next_write_at_ = now_ + write_interval;
        modelled_instance* const it = find(entry_record_.instance);
        const bool accepts = it != nullptr && runs(*it) && it->primary;
        if (accepts) {
            it->log.push_back({it->term, ++last_commit_, now_});
            pending_write_ = {it->name, it->term, last_commit_, is_replaced(*it)};
            acknowledge_write();
            last_served_at_ = now_;
        }
        handle_entry_report(state_, record_, entry_record_.instance, !accepts,
                            now_ - last_served_at_, now_);
    }

    /// True if the promotion of another instance has taken effect in a later term.
    bool is_replaced(const modelled_instance& it) const
    {
        return std::any_of(promotions_.begin(), promotions_.end(), [&](const auto& other) {
            return other.first > it.term && other.second != it.name;
        });
    }

    void acknowledge_write()
    {
        if (!pending_write_) {
            return;
        }
        const commit_entry written{pending_write_->term, pending_write_->id, {}};
        int copies = 0;
        for (const modelled_instance& it : instances_) {
            copies += it.name != pending_write_->instance && runs(it) &&
                      std::find(it.log.rbegin(), it.log.rend(), written) != it.log.rend();
        }
        if (copies < synchronous_replicas_) {
            return;
        }
        acknowledged_.insert(pending_write_->id);
        if (pending_write_->at_replaced_primary) {
            violations.push_back("ONE: a write was acknowledged at " + pending_write_->instance +
                                 " after another instance was promoted");
        }
        pending_write_.reset();
    }

    void run_leader()
    {
        remove_expired_instances(directory_, {}, now_);
        primary_change_view view{.service = "registre",
                                 .record = record_,
                                 .entries_settled = entry_record_.epoch >= record_.epoch,
                                 .synchronous_replicas = synchronous_replicas_,
                                 .holders = holders_};
        for (const auto& [name, it] : directory_.instances) {
            if (it.last_heartbeat.service == "registre") {
                view.instances.push_back(it);
            }
        }
        for (const primary_action& it : advance(state_, view, {}, now_)) {
            perform(it);
        }
    }

    void perform(const primary_action& action)
    {
        std::visit(overloaded{
                       [&](const propose_phase& it) {
                           at(milliseconds(below(100)), [this, it, epoch = record_.epoch] {
                               if (record_.epoch == epoch) {
                                   change_record(it);
                               }
                           });
                       },
                       [&](const propose_holders& it) {
                           at(milliseconds(below(100)), [this, it] { holders_ = it.holders; });
                       },
                       [&](const request_status& it) { ask_status(it.instance); },
                       [&](const request_holder_status& it) { ask_holder(it.holder); },
                       [&](const request_promotion& it) { call_platform(it.instance); },
                       [&](const request_step_down& it) { step_down(it); },
                       [](const report_blocked_evacuation&) {},
                       [](const report_missing_holder&) {},
                   },
                   action);
    }

    void change_record(const propose_phase& it)
    {
        const bool promoted =
            record_.phase == primary_phase::chosen && it.phase == primary_phase::serving;
        const bool changes = it.phase != primary_phase::serving;
        const std::string last =
            record_.phase == primary_phase::serving ? record_.instance : record_.predecessor;
        record_ = {.instance = it.instance,
                   .phase = it.phase,
                   .planned = it.planned,
                   .epoch = record_.epoch + 1,
                   .generation = record_.generation + (promoted ? 1 : 0),
                   .predecessor = changes ? last : std::string(),
                   .newest_term = it.newest_term,
                   .late_promotion = it.late_promotion};
        entry_updated_at_ = now_ + milliseconds(below(200));
        note(std::string(to_string(it.phase)) + " " + it.instance);
    }

    void ask_status(const std::string& name)
    {
        const auto answer = [this, name, leader = leader_, epoch = state_.epoch,
                             requested_at = now_](std::optional<instance_status> status) {
            if (leader == leader_ && epoch == state_.epoch) {
                handle_status_answer(state_, name, status, requested_at);
            }
        };
        const modelled_instance* const it = find(name);
        const bool answers =
            it != nullptr && runs(*it) && now_ >= it->busy_until && now_ >= it->cut_until;
        if (!answers) {
            at(milliseconds(10 + below(490)), [answer] { answer(std::nullopt); });
            return;
        }
        const instance_status status{it->primary, it->term, {it->term, it->log.size()}};
        at(milliseconds(1 + below(60)), [answer, status] { answer(status); });
    }

    void ask_holder(const commit_holder& holder)
    {
        const auto answer = [this, holder, leader = leader_,
                             requested_at = now_](const status_result& res) {
            if (leader == leader_) {
                handle_holder_status(state_, holder, res, requested_at, now_);
            }
        };
        const auto at_address =
            std::find_if(instances_.begin(), instances_.end(), [&](const auto& other) {
                return other.address == holder.address && !other.gone;
            });
        if (at_address == instances_.end()) {
            const modelled_instance* const last = find(holder.instance);
            const bool silent = last == nullptr || last->silent_machine;
            at(milliseconds(silent ? 500 : 10), [answer, silent] {
                answer(silent ? status_failure::no_answer : status_failure::not_running);
            });
            return;
        }
        const modelled_instance& it = *at_address;
        if (now_ < it.cut_until || now_ < it.busy_until) {
            at(milliseconds(500), [answer] { answer(status_failure::no_answer); });
            return;
        }
        // Nothing listens while the instance is down; another one at the address refuses.
        if (!runs(it) || it.name != holder.instance) {
            at(milliseconds(10), [answer] { answer(status_failure::not_running); });
            return;
        }
        const instance_status status{it.primary, it.term, {it.term, it.log.size()}};
        at(milliseconds(1 + below(60)), [answer, status] { answer(status); });
    }

    void step_down(const request_step_down& order)
    {
        modelled_instance* const it = find(order.instance);
        if (it != nullptr && runs(*it) && it->primary && it->term < order.term) {
            it->primary = false;
            it->next_heartbeat_at = now_;
        }
    }

    void call_platform(const std::string& name)
    {
        const duration delay = std::exchange(platform_delay_, duration{0});
        note("platform is asked to promote " + name);
        const bool answer_lost = std::exchange(loses_platform_answer_, false);
        const auto answer = [this, name, leader = leader_,
                             epoch = state_.epoch](promotion_answer res) {
            if (leader == leader_ && epoch == state_.epoch) {
                handle_promotion_answer(state_, name, res, now_);
            }
        };
        const bool given_up = answer_lost || delay >= platform_timeout;
        if (given_up) {
            at(platform_timeout, [answer] { answer(promotion_answer::unclear); });
        }
        at(delay, [this, name, answer, given_up] {
            const modelled_instance* const it = find(name);
            const bool accepted = it != nullptr && runs(*it);
            if (accepted) {
                at(milliseconds(300 + below(700)), [this, name] { promote(name); });
            }
            if (!given_up) {
                answer(accepted ? promotion_answer::accepted : promotion_answer::rejected);
            }
        });
    }

    void promote(const std::string& name)
    {
        modelled_instance& it = *find(name);
        if (!runs(it) || name == present_primary_) {
            return;
        }
        present_primary_ = name;
        std::uint64_t newest = 0;
        for (const modelled_instance& other : instances_) {
            newest = std::max(newest, other.term);
        }
        for (const auto& [term, other] : promotions_) {
            newest = std::max(newest, term);
        }
        it.term = newest + 1;
        it.primary = true;
        it.next_heartbeat_at = now_;
        promotions_[it.term] = name;
        note(name + " leads term " + std::to_string(it.term) + " with " +
             std::to_string(it.log.size()) + " commits");
        check_log(it);
    }

    void check_log(const modelled_instance& promoted)
    {
        if (synchronous_replicas_ == 0) {
            return;
        }
        std::set<int> held;
        for (const commit_entry& it : promoted.log) {
            held.insert(it.id);
        }
        if (!std::includes(held.begin(), held.end(), acknowledged_.begin(), acknowledged_.end())) {
            violations.push_back("LOST: " + promoted.name + " was promoted without some of " +
                                 std::to_string(acknowledged_.size()) + " acknowledged commits");
        }
    }

    /// A write that the entry has sent and that is not acknowledged yet.
    struct write {
        std::string instance;
        std::uint64_t term = 0;
        int id = 0;
        bool at_replaced_primary = false;
    };

    time_point now_ = start;
    random_engine random_;
    int synchronous_replicas_ = 0;
    std::vector<modelled_instance> instances_;
    std::multimap<time_point, std::function<void()>> due_;
    instance_directory directory_;
    primary_change_state state_;
    /// Number of the leader; answers to requests of earlier ones are dropped.
    int leader_ = 0;
    primary_record record_;
    commit_holders holders_;
    primary_record entry_record_;
    time_point entry_updated_at_ = start;
    time_point next_write_at_ = start;
    time_point last_served_at_ = start;
    std::optional<write> pending_write_;
    int last_commit_ = 0;
    std::set<int> acknowledged_;
    /// The instance that the platform regards as primary; a call for it changes nothing.
    std::string present_primary_ = "a";
    /// Names of the promoted instances by their term.
    std::map<std::uint64_t, std::string> promotions_;
    duration platform_delay_{};
    bool loses_platform_answer_ = false;
    /// True once a copy of the log was lost for good.
    bool disk_lost_ = false;
    /// Until when each member is cut off from the leader.
    std::array<time_point, member_count> members_cut_until_{};
};

}  // namespace

// Guards against lost commits, against two primaries at once, and against a service that stays
// without a primary, over orders of faults that nobody thought of.
TEST_CASE("no drawn order of faults loses a commit, lets two primaries serve or leaves none",
          "[primary]")
{
    rc::prop("LOST and ONE hold, and a primary serves in the end", [] {
        const int instance_count = *rc::gen::element(3, 4, 5);
        const int synchronous_replicas = *rc::gen::element(0, 1, 2);
        std::vector<fault> faults;
        if (*rc::gen::arbitrary<bool>()) {
            faults = *long_cut_and_crash();
        }
        const auto more = *rc::gen::container<std::vector<fault>>(any_fault());
        faults.insert(faults.end(), more.begin(), more.end());
        const auto seed = *rc::gen::arbitrary<unsigned>();
        modelled_service service(instance_count, synchronous_replicas, seed);
        service.run(seconds(3));
        RC_ASSERT(service.acknowledged_count() > 0U);
        for (const fault& it : faults) {
            service.run(it.after);
            service.apply(it);
        }
        service.run(calm_time);
        for (const std::string& it : service.history) {
            RC_LOG() << it << "\n";
        }
        RC_ASSERT(service.violations == std::vector<std::string>{});
        RC_ASSERT(service.serves());
    });
}
