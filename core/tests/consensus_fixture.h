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

/// What a member has on its fake disk.
struct fake_disk {
    std::uint64_t incarnation = 0;
    stored_consensus stored;
};

/// How the members of a fixture are set up.
struct site_options {
    /// Members that the settings list, from the first on; zero for all, by name.
    std::size_t seeds = 0;
    std::size_t disks_lost_at_once = 0;
    /// Members that do not run at first.
    std::set<std::string> late = {};
};

/// A few control members with fake disks, a queue of messages and a virtual clock. Messages travel
/// in the order they were sent unless a link is cut.
class consensus_fixture {
public:
    explicit consensus_fixture(std::vector<std::string> names, std::uint64_t seed = 1,
                               site_options options = {})
        : names_(std::move(names)), random_(seed), options_(std::move(options))
    {
        for (const std::string& it : names_) {
            wipe_disk(it);
            if (!options_.late.contains(it)) {
                start(it);
            }
        }
    }

    /// Starts a member from what its disk holds.
    void start(const std::string& name)
    {
        consensus_options options{.self = {name, disks_[name].incarnation}, .address = name};
        for (const std::string& it : names_) {
            const bool by_name = options_.seeds == 0;
            if (by_name || options.seeds.size() < options_.seeds) {
                options.seeds.push_back({{by_name ? it : std::string(), 0}, it});
            }
        }
        options.min_commit_copies = options_.disks_lost_at_once + 1;
        if (options_.disks_lost_at_once > 0) {
            options.max_voters = options_.disks_lost_at_once * 2 + 1;
        }
        options.random_seed = random_();
        members_.insert_or_assign(name, make_consensus(options, disks_[name].stored, now_));
        applied_[name] = {};
        for (const auto& text : snapshot_commands(name)) {
            applied_[name].push_back(text);
        }
    }

    void stop(const std::string& name) { members_.erase(name); }

    /// Replaces the disk by an empty one.
    void wipe_disk(const std::string& name) { disks_[name] = {.incarnation = random_() | 1}; }

    void cut(const std::string& a, const std::string& b)
    {
        cuts_.insert({a, b});
        cuts_.insert({b, a});
    }
    void isolate(const std::string& name)
    {
        for (const std::string& it : names_) {
            cut(name, it);
        }
    }
    void heal() { cuts_.clear(); }

    /// Lets time pass; members that are `frozen` do nothing and keep their messages.
    void run(duration span, const std::set<std::string>& frozen = {})
    {
        const time_point end = now_ + span;
        while (now_ < end) {
            now_ += milliseconds(5);
            for (const std::string& name : names_) {
                if (members_.contains(name) && !frozen.contains(name)) {
                    give(name, clock_ticked{});
                }
            }
            deliver(frozen);
        }
    }

    /// Proposes at a member, whoever leads.
    void propose(const std::string& name, const std::string& command)
    {
        give(name, commands_proposed{{command}});
    }

    /// The member that certainly leads, if there is one.
    std::optional<std::string> leader() const
    {
        for (const auto& [name, it] : members_) {
            if (holds_leadership(it, now_)) {
                return name;
            }
        }
        return std::nullopt;
    }

    /// Members that believe to lead under their lease; never more than one.
    std::size_t certain_leaders() const
    {
        std::size_t n = 0;
        for (const auto& [name, it] : members_) {
            n += holds_leadership(it, now_) ? 1 : 0;
        }
        return n;
    }

    /// Takes a snapshot of what the member applied.
    void compact(const std::string& name)
    {
        std::string state;
        for (const std::string& it : applied_[name]) {
            state += it + "\n";
        }
        give(name, snapshot_taken{members_.at(name).applied_index, state});
    }

    const consensus_state& member(const std::string& name) const { return members_.at(name); }
    const std::vector<std::string>& applied(const std::string& name) { return applied_[name]; }
    time_point now() const { return now_; }
    bool runs(const std::string& name) const { return members_.contains(name); }

private:
    struct envelope {
        std::string to;
        member_message message;
    };

    std::vector<std::string> snapshot_commands(const std::string& name)
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

    void give(const std::string& name, const consensus_event& event)
    {
        for (const consensus_action& it : step(members_.at(name), event, now_)) {
            perform(name, it);
        }
    }

    void perform(const std::string& name, const consensus_action& action)
    {
        stored_consensus& disk = disks_[name].stored;
        std::visit(
            overloaded{
                [&](const save_vote& it) {
                    disk.term = it.term;
                    disk.voted_for = it.voted_for;
                },
                [&](const save_entries& it) {
                    truncate_from(disk.log, it.first_index);
                    disk.log.entries.insert(disk.log.entries.end(), it.entries.begin(),
                                            it.entries.end());
                },
                [&](const save_snapshot& it) { replace_prefix(disk.log, it.snapshot); },
                [&](const adopt_snapshot& it) {
                    replace_prefix(disk.log, it.snapshot);
                    applied_[name] = snapshot_commands(name);
                },
                [&](const send_to_member& it) {
                    queue_.push_back({it.address, {member(name).options.self, it.to, it.message}});
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
        std::deque<envelope> batch;
        batch.swap(queue_);
        for (envelope& it : batch) {
            if (cuts_.contains({it.message.from.name, it.to})) {
                continue;
            }
            if (frozen.contains(it.to)) {
                queue_.push_back(std::move(it));
            }
            else if (members_.contains(it.to)) {
                give(it.to, it.message);
            }
        }
    }

    std::vector<std::string> names_;
    random_engine random_;
    site_options options_;
    time_point now_{std::chrono::hours(1)};
    std::map<std::string, fake_disk> disks_;
    std::map<std::string, consensus_state> members_;
    std::map<std::string, std::vector<std::string>> applied_;
    std::deque<envelope> queue_;
    std::set<std::pair<std::string, std::string>> cuts_;
};

}  // namespace balsamdrift::test
