#pragma once

#include <QObject>
#include <QThread>
#include <QTimer>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "entry/group_owner.h"

namespace balsamdrift {

/// Settings of the owners of one entry.
struct owner_host_options {
    int threads = 2;
    /// Failure domain of this VM.
    std::string failure_domain;
};

/// Runs the owners of the groups that this entry owns, each on one of several threads, and follows
/// the configuration: an owner is created when a group is assigned, releases the group when it is
/// recalled, and is destroyed when its epoch has ended.
class owner_host {
public:
    owner_host(owner_host_options options, entry_view& view, group_owner::propose_function propose);
    ~owner_host();
    owner_host(const owner_host&) = delete;
    owner_host& operator=(const owner_host&) = delete;

    /// Applies the configuration in force. Safe from any thread.
    void on_view_changed();

    /// Passes a request to the owner of its group. `on_answer` is called once, on a thread of the
    /// host. Safe from any thread.
    void submit(work_request request, group_owner::answer_function on_answer);

    /// Handles the disconnection of a request's caller. Safe from any thread.
    void cancel(const work_cancel& cancelled);

    /// Passes an announcement to the owner of its group, if this entry owns the group. Safe from
    /// any thread.
    void handle_announcement(const announcement& announced);

    /// Releases each group as soon as no request or transaction of it is left.
    void drain();

    /// Number of groups that this entry owns.
    int owned_groups() const { return owned_; }

    /// Status of the groups that this entry owns. Blocks until all threads have answered.
    std::vector<group_status> status();

    /// Destroys all owners and stops their threads.
    void stop();

private:
    /// One thread and the owners on it.
    struct host_thread {
        QThread thread;
        /// Lives on the thread; calls are posted to it.
        QObject* loop = nullptr;
        std::map<std::string, std::unique_ptr<group_owner>> owners;
        /// Ownership epoch by group.
        std::map<std::string, std::uint64_t> epochs;
    };

    host_thread& thread_of(const std::string& group);
    void post(host_thread& thread, std::function<void()> fn);
    /// Destroys and creates owners on the thread according to the configuration in force.
    void reconcile(host_thread& thread);
    /// Proposes the release of groups without work if they are recalled or the entry drains.
    void release_idle_groups(host_thread& thread);

    owner_host_options options_;
    entry_view& view_;
    group_owner::propose_function propose_;
    std::vector<std::unique_ptr<host_thread>> threads_;
    std::atomic<int> owned_ = 0;
    std::atomic<bool> draining_ = false;
};

}  // namespace balsamdrift
