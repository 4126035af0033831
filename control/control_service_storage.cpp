#include <filesystem>

#include "base/codec.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "control/consensus_frame.h"
#include "control/control_service.h"

namespace balsamdrift {
namespace {

/// A member whose data folder failed tries to open it again at this interval.
constexpr milliseconds reopen_interval(500);

/// A snapshot that could not be saved is tried again after this time. Appends go on meanwhile.
constexpr seconds snapshot_retry_interval(5);

std::string free_bytes_text(const std::string& folder)
{
    std::error_code ec;
    const auto space = std::filesystem::space(folder, ec);
    return ec ? "unknown" : std::to_string(space.available);
}

}  // namespace

outcome<std::monostate> control_service::open_storage()
{
    auto opened = log_storage::open(options_.data_folder, storage_, options_.may_form);
    if (!succeeded(opened)) {
        return failure_of(opened);
    }
    opened_storage& it = value_of(opened);
    if (!it.damage.empty()) {
        log_event(event_id::data_folder_set_aside, {{"reason", it.damage}});
    }
    if (it.discarded_bytes > 0) {
        log_event(event_id::log_tail_discarded, {{"bytes", std::to_string(it.discarded_bytes)}});
    }
    registry restored;
    if (!it.stored.log.snapshot.state.empty()) {
        auto decoded = decode<registry>(it.stored.log.snapshot.state);
        if (!succeeded(decoded)) {
            return failure_of(decoded);
        }
        restored = std::move(value_of(decoded));
    }
    registry_ = std::move(restored);
    recent_log_.clear();
    recent_log_bytes_ = 0;
    consensus_options conf{
        .self = {options_.name, it.incarnation},
        .address = fleet_.address(),
        .seeds = options_.members,
        .max_voters = std::max(options_.disks_lost_at_once * 2 + 1, options_.members.size()),
        .min_commit_copies = options_.disks_lost_at_once + 1,
        .heartbeat_interval = options_.heartbeat_interval,
        .election_timeout = options_.election_timeout,
        .election_jitter = options_.election_jitter,
        // A member that restarts before the first membership holds no data, but has lost none.
        .may_form = it.may_form && (options_.may_form || it.created_at_first_start),
        .form_without_all_seeds = options_.form_without_all_seeds,
        .random_seed = random_identity()};
    consensus_ = make_consensus(conf, std::move(it.stored), monotonic_clock::now());
    return std::monostate{};
}

void control_service::handle_storage_failure(const std::string& message)
{
    log_event(event_id::storage_failed, {{"reason", message}});
    set_metric("balsamdrift_storage_available", {}, 0);
    const std::string leader = leader_address();
    leader_without_storage_ = leader == fleet_.address() ? std::string() : leader;
    consensus_.reset();
    storage_failed_at_ = monotonic_clock::now();
    storage_failure_.clear();
    reopen_at_ = monotonic_clock::now() + reopen_interval;
    fail_proposals();
    publish_status();
}

void control_service::reopen_storage(time_point now)
{
    if (now < reopen_at_) {
        return;
    }
    reopen_at_ = now + reopen_interval;
    auto opened = open_storage();
    if (succeeded(opened)) {
        set_metric("balsamdrift_storage_available", {}, 1);
        log_event(event_id::storage_restored,
                  {{"waited_ms", milliseconds_text(now - storage_failed_at_)},
                   {"free_bytes", free_bytes_text(options_.data_folder)}});
        return;
    }
    // Each reason is logged once.
    if (const std::string& reason = failure_of(opened).message; reason != storage_failure_) {
        storage_failure_ = reason;
        log_event(event_id::storage_unavailable,
                  {{"reason", reason}, {"free_bytes", free_bytes_text(options_.data_folder)}});
    }
}

void control_service::receive_without_storage(const fleet_message& message)
{
    if (message.channel == fleet_channel::lease) {
        auto decoded = decode_variant<lease_message>(message.body);
        if (succeeded(decoded)) {
            if (const auto* const it = std::get_if<relayed_command_result>(&value_of(decoded))) {
                handle(*it, message.sender);
            }
        }
        return;
    }
    if (message.channel != fleet_channel::consensus) {
        return;
    }
    auto frame = decode<consensus_frame>(message.body);
    if (!succeeded(frame)) {
        return;
    }
    auto decoded = decode_variant<consensus_message>(value_of(frame).message);
    if (succeeded(decoded) && std::holds_alternative<append_request>(value_of(decoded))) {
        leader_without_storage_ = message.sender;
    }
}

outcome<std::monostate> control_service::save_own_snapshot(const log_snapshot& snapshot)
{
    const save_vote vote{consensus_->term, consensus_->voted_for, consensus_->last_leader};
    auto saved = storage_.write_snapshot(snapshot, vote, consensus_->log.entries);
    if (const auto* const failed = std::get_if<failure>(&saved)) {
        return *failed;
    }
    if (const auto* const postponed = std::get_if<snapshot_postponed>(&saved)) {
        next_compaction_at_ = monotonic_clock::now() + snapshot_retry_interval;
        log_event(event_id::snapshot_postponed,
                  {{"index", std::to_string(snapshot.index)}, {"reason", postponed->reason}});
        return std::monostate{};
    }
    log_event(event_id::snapshot_saved, {{"index", std::to_string(snapshot.index)}});
    return std::monostate{};
}

outcome<std::monostate> control_service::adopt_leader_snapshot(const log_snapshot& snapshot)
{
    const save_vote vote{consensus_->term, consensus_->voted_for, consensus_->last_leader};
    auto saved = storage_.write_snapshot(snapshot, vote, consensus_->log.entries);
    if (const auto* const failed = std::get_if<failure>(&saved)) {
        return *failed;
    }
    if (const auto* const postponed = std::get_if<snapshot_postponed>(&saved)) {
        // The entries before the snapshot are missing, so the member cannot go on without it.
        return failure{postponed->reason};
    }
    auto decoded = decode<registry>(snapshot.state);
    if (succeeded(decoded)) {
        registry_ = std::move(value_of(decoded));
        recent_log_.clear();
        recent_log_bytes_ = 0;
    }
    log_event(event_id::snapshot_installed, {{"index", std::to_string(snapshot.index)}});
    return std::monostate{};
}

void control_service::compact_log()
{
    if (monotonic_clock::now() < next_compaction_at_ ||
        storage_.log_bytes() < options_.snapshot_log_bytes ||
        consensus_->applied_index <= consensus_->log.snapshot.index) {
        return;
    }
    run_step(snapshot_taken{consensus_->applied_index, encode(registry_)});
}

}  // namespace balsamdrift
