#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/outcome.h"
#include "core/consensus/consensus.h"

namespace balsamdrift::test {

/// Data on the simulated disk of a member.
struct simulated_disk {
    std::uint64_t incarnation = 0;
    stored_consensus stored;
    /// True if another disk was there before.
    bool replaced = false;
};

/// Settings of the members of a fixture.
struct cluster_options {
    /// Number of members, from the first on, that the settings list by address only; zero if the
    /// settings list all members with their names.
    std::size_t seeds = 0;
    /// An entry is committed only when it is on at least one disk more than this.
    std::size_t disks_lost_at_once = 0;
    /// Whether a membership is formed without all seeds. Members know then whether their disk was
    /// replaced.
    bool form_without_all_seeds = false;
    /// Members that are not started with the others.
    std::set<std::string> stopped_at_start = {};
};

/// A cluster of control members with simulated disks, a message queue and a virtual clock. Messages
/// arrive in the order in which they were sent; messages over a cut link are lost.
class consensus_fixture {
public:
    explicit consensus_fixture(std::vector<std::string> names, std::uint64_t seed = 1,
                               cluster_options options = {})
        : names_(std::move(names)), random_(seed), options_(std::move(options))
    {
        for (const std::string& it : names_) {
            wipe_disk(it);
            if (!options_.stopped_at_start.contains(it)) {
                start(it);
            }
        }
    }

    /// Starts a member with the data on its disk.
    void start(const std::string& name)
    {
        consensus_options options{.self = {name, disks_[name].incarnation}, .address = name};
        for (const std::string& it : names_) {
            const bool list_all_by_name = options_.seeds == 0;
            if (list_all_by_name || options.seeds.size() < options_.seeds) {
                options.seeds.push_back({{list_all_by_name ? it : std::string(), 0}, it});
            }
        }
        options.min_commit_copies = options_.disks_lost_at_once + 1;
        if (options_.disks_lost_at_once > 0) {
            options.max_voters = options_.disks_lost_at_once * 2 + 1;
        }
        options.form_without_all_seeds = options_.form_without_all_seeds;
        options.may_form = !options_.form_without_all_seeds || !disks_[name].replaced;
        options.random_seed = random_();
        members_.insert_or_assign(name, make_consensus(options, disks_[name].stored, now_));
        applied_[name] = {};
        for (const auto& command : commands_in_snapshot(name)) {
            applied_[name].push_back(command);
        }
    }

    /// Stops a member at once, as a crash does. Its disk keeps the saved data.
    void stop(const std::string& name) { members_.erase(name); }

    /// Replaces the disk of a member by an empty one with a new incarnation.
    void wipe_disk(const std::string& name)
    {
        const bool replaced = disks_.contains(name);
        disks_[name] = {.incarnation = random_() | 1, .stored = {}, .replaced = replaced};
    }

    /// Loses all messages between two members until heal().
    void cut(const std::string& a, const std::string& b)
    {
        cut_links_.insert({a, b});
        cut_links_.insert({b, a});
    }
    /// Cuts the links of a member to all others.
    void isolate(const std::string& name)
    {
        for (const std::string& it : names_) {
            cut(name, it);
        }
    }
    void heal() { cut_links_.clear(); }

    /// Advances the clock in steps of 5 ms. Members in `frozen` handle nothing; messages to them
    /// stay queued.
    void run(duration span, const std::set<std::string>& frozen = {})
    {
        const time_point end = now_ + span;
        while (now_ < end) {
            now_ += milliseconds(5);
            for (const std::string& name : names_) {
                if (members_.contains(name) && !frozen.contains(name)) {
                    handle(name, clock_ticked{});
                }
            }
            deliver(frozen);
        }
    }

    /// Proposes a command at a member, whether or not it leads.
    void propose(const std::string& name, const std::string& command)
    {
        handle(name, commands_proposed{{command}});
    }

    /// A member for which holds_leadership() is true, if there is one.
    std::optional<std::string> leader() const
    {
        for (const auto& [name, it] : members_) {
            if (holds_leadership(it, now_)) {
                return name;
            }
        }
        return std::nullopt;
    }

    /// Number of members for which holds_leadership() is true. More than one would be a fault.
    std::size_t count_leaders() const
    {
        std::size_t n = 0;
        for (const auto& [name, it] : members_) {
            n += holds_leadership(it, now_) ? 1 : 0;
        }
        return n;
    }

    /// Makes a member replace its log by a snapshot of the commands that it applied.
    void take_snapshot(const std::string& name)
    {
        std::string state;
        for (const std::string& it : applied_[name]) {
            state += it + "\n";
        }
        handle(name, snapshot_taken{members_.at(name).applied_index, state});
    }

    const consensus_state& member(const std::string& name) const { return members_.at(name); }
    /// The commands that a member applied, in order.
    const std::vector<std::string>& applied(const std::string& name) { return applied_[name]; }
    time_point now() const { return now_; }
    bool is_running(const std::string& name) const { return members_.contains(name); }

private:
    struct queued_message {
        std::string to;
        member_message message;
    };

    std::vector<std::string> commands_in_snapshot(const std::string& name)
    {
        std::vector<std::string> commands;
        std::string line;
        for (const char c : disks_[name].stored.log.snapshot.state) {
            if (c == '\n') {
                commands.push_back(line);
                line.clear();
            }
            else {
                line.push_back(c);
            }
        }
        return commands;
    }

    void handle(const std::string& name, const consensus_event& event)
    {
        for (const consensus_action& it : step(members_.at(name), event, now_)) {
            perform(name, it);
        }
    }

    void perform(const std::string& name, const consensus_action& action)
    {
        stored_consensus& disk = disks_[name].stored;
        std::visit(overloaded{
                       [&](const save_vote& it) {
                           disk.term = it.term;
                           disk.voted_for = it.voted_for;
                           disk.last_leader = it.last_leader;
                       },
                       [&](const save_entries& it) {
                           truncate_from(disk.log, it.first_index);
                           disk.log.entries.insert(disk.log.entries.end(), it.entries.begin(),
                                                   it.entries.end());
                       },
                       [&](const save_snapshot& it) { replace_prefix(disk.log, it.snapshot); },
                       [&](const adopt_snapshot& it) {
                           replace_prefix(disk.log, it.snapshot);
                           applied_[name] = commands_in_snapshot(name);
                       },
                       [&](const send_to_member& it) {
                           queue_.push_back(
                               {it.address, {member(name).options.self, it.to, it.message, name}});
                       },
                       [&](const apply_entries& it) {
                           for (const log_entry& entry : it.entries) {
                               if (entry.kind == entry_kind::command) {
                                   applied_[name].push_back(entry.data);
                               }
                           }
                       },
                       [](const auto&) {},
                   },
                   action);
    }

    void deliver(const std::set<std::string>& frozen)
    {
        std::deque<queued_message> batch;
        batch.swap(queue_);
        for (queued_message& it : batch) {
            if (cut_links_.contains({it.message.from.name, it.to})) {
                continue;
            }
            if (frozen.contains(it.to)) {
                queue_.push_back(std::move(it));
            }
            else if (members_.contains(it.to)) {
                handle(it.to, it.message);
            }
        }
    }

    std::vector<std::string> names_;
    random_engine random_;
    cluster_options options_;
    time_point now_{std::chrono::hours(1)};
    std::map<std::string, simulated_disk> disks_;
    std::map<std::string, consensus_state> members_;
    std::map<std::string, std::vector<std::string>> applied_;
    std::deque<queued_message> queue_;
    std::set<std::pair<std::string, std::string>> cut_links_;
};

}  // namespace balsamdrift::test
