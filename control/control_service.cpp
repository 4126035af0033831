#include "control/control_service.h"

#include <QThread>
#include <algorithm>
#include <numeric>
#include <random>

#include "base/codec.h"
#include "base/compression.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "control/consensus_frame.h"
#include "control/domain_events.h"
#include "core/ownership/assignment.h"
#include "core/registry/domain_order.h"

namespace balsamdrift {
namespace {

/// Interval of ticks while the member leads, passes on submissions or waits for its data folder;
/// otherwise the shortest one.
constexpr milliseconds tick_interval(10);
constexpr milliseconds assign_interval(50);

/// Shortest interval between two updates of the instance directory to all entries. A new leader
/// learns of the instances one by one within about a second.
constexpr milliseconds directory_push_interval(100);

/// Interval between updates of the status that operators read. Each copies the registry if it has
/// changed.
constexpr milliseconds publish_interval(100);
constexpr std::size_t max_recalls = 4;

/// Limits of the recent log entries that are kept for entry processes. An entry process that lags
/// further is sent the whole registry.
constexpr std::size_t max_recent_log_entries = 4096;
constexpr std::size_t max_recent_log_bytes = std::size_t{2} * 1024 * 1024;

/// Commands of at least this size may be declared configurations and are converted by
/// command_for_entries(), so that entries get a patch instead of the whole configuration.
constexpr std::size_t configuration_command_bytes = 1024;

/// An update of this size takes a considerable part of a second on the slowest links to entries.
constexpr std::size_t large_transfer_bytes = std::size_t{16} * 1024;

/// A large update that an entry has not confirmed is not sent again before this time.
constexpr milliseconds transfer_resend_interval(1500);

/// The registration of an entry is proposed again if it was not committed within this time.
constexpr milliseconds registration_retry_interval(500);

constexpr std::size_t session_secret_bytes = 32;

/// Returns random bytes that serve as the key of session tokens.
std::string random_secret()
{
    std::random_device device;
    std::string secret;
    for (std::size_t n = 0; n < session_secret_bytes; ++n) {
        secret.push_back(static_cast<char>(device()));
    }
    return secret;
}

}  // namespace

control_service::control_service(control_options options, fleet_node& fleet,
                                 const failover_requests& requests)
    : options_(std::move(options)),
      fleet_(fleet),
      storage_(options_.files),
      coordinator_(requests, options_.rates, options_.warmup,
                   [this](const registry_command& it) { propose_internal(it); }),
      coordinates_services_(requests.promote != nullptr),
      seen_domains_(options_.failure_domains)
{
    connect(&timer_, &QTimer::timeout, this, &control_service::on_tick);
    timer_.setTimerType(Qt::PreciseTimer);
    timer_.setSingleShot(true);
}

control_service::~control_service() = default;

outcome<std::monostate> control_service::start()
{
    if (auto prepared = prepare_data_folder(options_.data_folder); !succeeded(prepared)) {
        return prepared;
    }
    if (auto res = open_storage(); !succeeded(res)) {
        // The disk may be full for now. A process that ended would only start again.
        handle_storage_failure(failure_of(res).message);
    }
    publish_status();
    schedule_tick();
    return std::monostate{};
}

void control_service::receive(fleet_message message)
{
    QMetaObject::invokeMethod(
        this, [this, message = std::move(message)] { on_message(message); }, Qt::QueuedConnection);
}

void control_service::on_message(const fleet_message& message)
{
    if (!consensus_) {
        receive_without_storage(message);
    }
    else if (message.channel == fleet_channel::consensus) {
        on_consensus(message);
    }
    else if (message.channel == fleet_channel::lease) {
        on_lease(message);
    }
    // The message may have brought the next election forward or made this member the leader.
    schedule_tick();
}

void control_service::on_consensus(const fleet_message& message)
{
    auto frame = decode<consensus_frame>(message.body);
    if (!succeeded(frame)) {
        return;
    }
    auto decoded = decode_variant<consensus_message>(value_of(frame).message);
    if (succeeded(decoded)) {
        run_step(member_message{value_of(frame).from, value_of(frame).to,
                                std::move(value_of(decoded)), message.sender});
    }
}

void control_service::run_step(const consensus_event& event)
{
    for (const consensus_action& it : step(*consensus_, event, monotonic_clock::now())) {
        if (!perform(it)) {
            return;
        }
    }
}

bool control_service::perform(const consensus_action& action)
{
    outcome<std::monostate> saved = std::monostate{};
    std::visit(overloaded{
                   [&](const save_vote& it) { saved = storage_.write(it); },
                   [&](const save_entries& it) { saved = storage_.write(it); },
                   [&](const save_snapshot& it) { saved = save_own_snapshot(it.snapshot); },
                   [&](const adopt_snapshot& it) { saved = adopt_leader_snapshot(it.snapshot); },
                   [&](const send_to_member& it) {
                       const consensus_frame frame{consensus_->options.self, it.to,
                                                   encode_variant(it.message)};
                       fleet_.send(it.address, fleet_channel::consensus, encode(frame));
                   },
                   [&](const apply_entries& it) { apply_committed(it); },
                   [&](const leadership_changed& it) {
                       log_event(it.leads ? event_id::leader_elected : event_id::leadership_lost,
                                 {{"term", std::to_string(it.term)}});
                       leases_ = {.leases = {}, .leading_since = monotonic_clock::now()};
                       coordinator_.reset(leases_.leading_since, it.term);
                       transfers_.clear();
                       reports_.clear();
                       if (!it.leads) {
                           fail_proposals();
                       }
                   },
                   [&](const formation_completed&) { log_event(event_id::formation_completed); },
               },
               action);
    if (!succeeded(saved)) {
        handle_storage_failure(failure_of(saved).message);
        return false;
    }
    return true;
}

void control_service::apply_committed(const apply_entries& action)
{
    std::vector<change_result> results;
    results.reserve(action.entries.size());
    for (const log_entry& it : action.entries) {
        change_result result;
        log_entry forwarded_entry = it;
        if (it.kind == entry_kind::command) {
            const bool large = it.data.size() >= configuration_command_bytes;
            const auto previous = large ? registry_.declared : declared_configuration{};
            const std::uint64_t previous_version = registry_.declared.version;
            const auto previous_domains = registry_.evacuated_domains;
            result = apply_encoded(registry_, it.index, it.data);
            if (registry_.declared.version != previous_version) {
                log_event(event_id::declared_configuration_committed,
                          {{"version", std::to_string(registry_.declared.version)},
                           {"index", std::to_string(it.index)},
                           {"term", std::to_string(it.term)}});
            }
            report_domain_changes(previous_domains, registry_.evacuated_domains, it.index);
            if (large) {
                forwarded_entry.data = command_for_entries(it.data, previous, registry_.declared);
            }
        }
        registry_.index = it.index;
        results.push_back(std::move(result));
        append_recent_log(std::move(forwarded_entry));
    }
    // Pushed with the next tick instead of at once: when all entries register at the same time,
    // each would otherwise be sent the registration of every other one in a message of its own.
    push_due_ = true;
    // Published before the handlers are called, so that a caller that has the result finds the
    // change in the status.
    publish_status();
    for (std::size_t n = 0; n < results.size(); ++n) {
        complete_proposals(action.entries[n].index, action.entries[n].term, results[n]);
    }
}

void control_service::append_recent_log(log_entry entry)
{
    recent_log_bytes_ += entry.data.size();
    recent_log_.push_back(std::move(entry));
    while (recent_log_.size() > max_recent_log_entries ||
           (recent_log_bytes_ > max_recent_log_bytes && recent_log_.size() > 1)) {
        recent_log_bytes_ -= recent_log_.front().data.size();
        recent_log_.pop_front();
    }
}

void control_service::complete_proposals(std::uint64_t index, std::uint64_t term,
                                         const change_result& result)
{
    const auto [first, last] = pending_proposals_.equal_range(index);
    for (auto it = first; it != last; ++it) {
        if (it->second.term == term) {
            it->second.on_done(result);
        }
        else {
            it->second.on_done(unsettled{});
        }
    }
    pending_proposals_.erase(first, last);
}

void control_service::fail_proposals()
{
    for (auto& [index, it] : std::exchange(pending_proposals_, {})) {
        it.on_done(unsettled{});
    }
    for (auto& it : std::exchange(queued_proposals_, {})) {
        it.on_done(not_leading{leader_address()});
    }
}

std::string control_service::refusal_of(const std::string& domain) const
{
    if (domain.empty() || !consensus_ || !holds_leadership(*consensus_, monotonic_clock::now())) {
        return {};
    }
    return check_ordered_domain(registry_, seen_domains_, domain);
}

void control_service::propose(const registry_command& command, proposal_handler on_done)
{
    std::string data = encode_command(command);
    QMetaObject::invokeMethod(
        this,
        [this, data = std::move(data), domain = ordered_domain(command),
         on_done = std::move(on_done)] {
            if (std::string refusal = refusal_of(domain); !refusal.empty()) {
                on_done(change_result{change_status::invalid, 0, std::move(refusal)});
                return;
            }
            queued_proposals_.push_back({data, on_done});
            // All proposals that wait in the event loop are appended and synced together.
            if (!flush_scheduled_) {
                flush_scheduled_ = true;
                QMetaObject::invokeMethod(this, &control_service::flush_proposals,
                                          Qt::QueuedConnection);
            }
        },
        Qt::QueuedConnection);
}

void control_service::propose_internal(const registry_command& command)
{
    propose(command, [](const proposal_outcome&) {});
}

void control_service::flush_proposals()
{
    flush_scheduled_ = false;
    if (!consensus_ || !holds_leadership(*consensus_, monotonic_clock::now())) {
        for (auto& it : std::exchange(queued_proposals_, {})) {
            it.on_done(not_leading{leader_address()});
        }
        return;
    }
    commands_proposed event;
    std::uint64_t index = last_index(consensus_->log);
    for (queued_proposal& it : std::exchange(queued_proposals_, {})) {
        event.commands.push_back(std::move(it.command));
        pending_proposals_.emplace(++index,
                                   pending_proposal{consensus_->term, std::move(it.on_done)});
    }
    run_step(event);
}

std::string control_service::leader_address() const
{
    if (!consensus_) {
        return leader_without_storage_;
    }
    if (!consensus_->leader) {
        return {};
    }
    const voter* it = find_by_name(consensus_->members, consensus_->leader->name);
    return it == nullptr ? std::string() : it->address;
}

void control_service::on_lease(const fleet_message& message)
{
    auto decoded = decode_variant<lease_message>(message.body);
    if (succeeded(decoded)) {
        std::visit([&](const auto& it) { handle(it, message.sender); }, value_of(decoded));
    }
}

void control_service::handle(const lease_request& it, const std::string& sender)
{
    process_lease_request(it, sender, {});
}

void control_service::handle(const relayed_lease_request& it, const std::string& sender)
{
    process_lease_request(it.request, sender, it.origin);
}

void control_service::handle(const relayed_lease_grant&, const std::string&) {}

void control_service::send_grant(const std::string& address, const std::string& origin,
                                 const lease_grant& grant)
{
    if (origin.empty()) {
        send_message(address, grant);
    }
    else {
        send_message(address, relayed_lease_grant{origin, grant});
    }
}

void control_service::send_message(const std::string& address, const lease_message& message)
{
    fleet_.send(address, fleet_channel::lease, encode_variant(message));
}

void control_service::send_leader_hint(const std::string& address)
{
    // The entry goes on with the leader.
    fleet_.send(address, fleet_channel::lease,
                encode_variant(lease_message(not_leader{leader_address()})), reply_expected::no);
}

void control_service::process_lease_request(const lease_request& it, const std::string& sender,
                                            const std::string& origin, const lease_renewal* renewal)
{
    const time_point now = monotonic_clock::now();
    if (!holds_leadership(*consensus_, now)) {
        send_leader_hint(sender);
        return;
    }
    const auto known = registry_.entries.find(it.entry);
    const replica_id id{it.entry, it.record.incarnation};
    if (known == registry_.entries.end() || known->second != it.record) {
        // An earlier process of the same name may serve until its lease has expired.
        const replica_id earlier{it.entry, known == registry_.entries.end()
                                               ? it.record.incarnation
                                               : known->second.incarnation};
        // Where entries own no items, it is enough that a new process listens on the same address:
        // the earlier one has ended then.
        const bool replaced = coordinates_services_ && known != registry_.entries.end() &&
                              known->second.address == it.record.address;
        const bool earlier_may_serve =
            earlier != id && !replaced &&
            expired_entries(leases_, {earlier}, options_.lease_duration, now).empty();
        const auto lease = leases_.leases.find(id);
        const bool registration_pending =
            lease != leases_.leases.end() &&
            lease->second.ends_at > now + options_.lease_duration - registration_retry_interval;
        if (!earlier_may_serve && !registration_pending) {
            log_event(event_id::entry_registered, {{"entry", it.entry}});
            // Recorded as a lease from now on, so that the entry is not expired before its next
            // request.
            record_grant(leases_, id,
                         {.address = sender, .origin = origin, .draining = it.draining},
                         options_.lease_duration, now);
            propose_internal(register_entry{it.entry, it.record});
        }
        return;
    }
    record_grant(leases_, id,
                 {.address = sender,
                  .origin = origin,
                  .confirmed_index = it.index,
                  .draining = it.draining,
                  .settled_index = it.report.settled_index,
                  .directory_version = it.report.directory_version},
                 options_.lease_duration, now);
    lease_grant grant = make_grant(it, id);
    if (coordinates_services_) {
        grant.instructions =
            coordinator_.make_instructions(make_coordinator_view(), id, it.report, now);
        grant.instructions.control = member_addresses();
        if (origin.empty()) {
            shorten_grant(grant, it, renewal);
        }
    }
    send_grant(sender, origin, grant);
}

void control_service::add_registry_update(lease_grant& grant, std::uint64_t known_index) const
{
    if (known_index >= registry_.index) {
        return;
    }
    const bool has_gap = recent_log_.empty() || known_index + 1 < recent_log_.front().index;
    if (has_gap) {
        grant.snapshot = compressed_registry();
        return;
    }
    // The recent log entries have no gaps, so the first missing one is found by its index.
    const auto first_missing =
        recent_log_.begin() +
        static_cast<std::ptrdiff_t>(known_index + 1 - recent_log_.front().index);
    const std::size_t log_bytes =
        std::accumulate(first_missing, recent_log_.end(), std::size_t{0},
                        [](std::size_t sum, const log_entry& it) { return sum + it.data.size(); });
    // A process that has just started would otherwise be sent the whole history, which delays its
    // first statements and costs traffic.
    if (log_bytes >= large_transfer_bytes && compressed_registry().size() < log_bytes) {
        grant.snapshot = compressed_registry();
        return;
    }
    grant.entries.assign(first_missing, recent_log_.end());
}

lease_grant control_service::make_grant(const lease_request& it, const replica_id& entry)
{
    const time_point now = monotonic_clock::now();
    lease_grant grant{.incarnation = it.record.incarnation,
                      .sent_at = it.sent_at,
                      .lease_ms = to_milliseconds(options_.lease_duration).count(),
                      .snapshot = {},
                      .entries = {},
                      .index = registry_.index};
    const auto transfer = transfers_.find(entry);
    const bool in_progress = transfer != transfers_.end() && it.index < transfer->second.index &&
                             now - transfer->second.started_at < transfer_resend_interval;
    if (in_progress) {
        // Messages on a connection stay in order, so only what came after the pending transfer is
        // sent.
        add_registry_update(grant, transfer->second.index);
        transfer->second.index = registry_.index;
        return grant;
    }
    add_registry_update(grant, it.index);
    const std::size_t bytes = std::accumulate(
        grant.entries.begin(), grant.entries.end(), grant.snapshot.size(),
        [](std::size_t sum, const log_entry& entry) { return sum + entry.data.size(); });
    if (bytes >= large_transfer_bytes) {
        transfers_[entry] = {.index = registry_.index, .started_at = now};
    }
    else if (transfer != transfers_.end()) {
        transfers_.erase(transfer);
    }
    return grant;
}

const std::string& control_service::compressed_registry() const
{
    if (compressed_registry_.empty() || compressed_registry_index_ != registry_.index) {
        registry without_document = registry_;
        without_document.declared.document.clear();
        compressed_registry_ = compress_if_large(encode(without_document));
        compressed_registry_index_ = registry_.index;
    }
    return compressed_registry_;
}

void control_service::push_configuration()
{
    if (!consensus_ || !holds_leadership(*consensus_, monotonic_clock::now())) {
        return;
    }
    const bool directory_changed = pushed_directory_version_ != coordinator_.directory_version();
    pushed_directory_version_ = coordinator_.directory_version();
    next_directory_push_at_ = monotonic_clock::now() + directory_push_interval;
    for (const auto& [id, lease] : leases_.leases) {
        if (lease.confirmed_index >= registry_.index && !directory_changed) {
            continue;
        }
        lease_request request{.index = lease.confirmed_index};
        request.record.incarnation = id.incarnation;
        lease_grant update = make_grant(request, id);
        update.lease_ms = 0;
        if (directory_changed) {
            coordinator_.fill_directory(update.instructions, lease.directory_version);
        }
        send_grant(lease.address, lease.origin, update);
    }
}

void control_service::handle(const owner_command& it, const std::string&)
{
    auto decompressed = decompress(it.command);
    if (!succeeded(decompressed)) {
        return;
    }
    auto command = decode_variant<registry_command>(value_of(decompressed));
    if (succeeded(command)) {
        propose_internal(value_of(command));
    }
}

void control_service::handle(const lease_release& it, const std::string&)
{
    leases_.leases.erase(it.entry);
    reports_.erase(it.entry.incarnation);
    coordinator_.release_entry(it.entry.name);
    propose_internal(expire_entry{it.entry});
}

void control_service::handle(const lease_grant&, const std::string&) {}

void control_service::handle(const rate_token_request& it, const std::string& sender)
{
    const time_point now = monotonic_clock::now();
    if (!holds_leadership(*consensus_, now)) {
        send_leader_hint(sender);
        return;
    }
    send_message(sender, coordinator_.grant_rate_tokens(registry_, it, now));
}

void control_service::handle(const rate_token_grant&, const std::string&) {}

void control_service::remember_domain(const std::string& domain)
{
    if (!domain.empty()) {
        seen_domains_.insert(domain);
    }
}

void control_service::handle(const relayed_heartbeat& it, const std::string& sender)
{
    remember_domain(it.heartbeat.failure_domain);
    if (holds_leadership(*consensus_, monotonic_clock::now())) {
        coordinator_.handle_heartbeat(registry_, it.heartbeat, monotonic_clock::now());
        if (it.id != 0) {
            send_message(sender, relayed_command_result{.id = it.id, .settled = true});
        }
    }
}

void control_service::handle(const relayed_deregistration& it, const std::string&)
{
    if (holds_leadership(*consensus_, monotonic_clock::now())) {
        coordinator_.handle_deregistration(it.instance, it.born_ms);
    }
}

void control_service::handle(const relayed_command& it, const std::string& sender)
{
    if (!holds_leadership(*consensus_, monotonic_clock::now())) {
        return;
    }
    run_submission(it.command, [this, id = it.id, sender](bool settled, const std::string& text) {
        send_message(sender,
                     relayed_command_result{id, settled, settled ? text : "", settled ? "" : text});
    });
}

void control_service::handle(const relayed_command_result& it, const std::string& sender)
{
    if (!submissions_.contains(it.id)) {
        log_event(event_id::submission_result_unmatched,
                  {{"submission", std::to_string(it.id)}, {"leader", sender}});
    }
    else if (it.settled) {
        complete_submission(it.id, true, it.document);
    }
    else if (!it.refusal.empty()) {
        complete_submission(it.id, false, it.refusal);
    }
}

void control_service::handle_deregistration(const std::string& instance, std::int64_t born_ms)
{
    QMetaObject::invokeMethod(
        this,
        [this, instance, born_ms] {
            coordinator_.handle_deregistration(instance, born_ms);
            const std::string leader = leader_address();
            if (!leader.empty() && leader != fleet_.address()) {
                send_message(leader, relayed_deregistration{instance, born_ms});
            }
        },
        Qt::QueuedConnection);
}

coordinator_view control_service::make_coordinator_view() const
{
    return {.state = registry_,
            .leases = leases_,
            .lease_duration = options_.lease_duration,
            .leader = options_.name,
            .term = consensus_->term,
            .still_leads = [this, term = consensus_->term] {
                return consensus_ && consensus_->term == term &&
                       holds_leadership(*consensus_, monotonic_clock::now());
            }};
}

std::vector<std::string> control_service::member_addresses() const
{
    std::vector<std::string> addresses;
    for (const voter& it : consensus_->members.voters) {
        addresses.push_back(it.address);
    }
    return addresses;
}

void control_service::handle(const not_leader&, const std::string&) {}

std::vector<replica_id> control_service::registered_entries() const
{
    std::vector<replica_id> ids;
    for (const auto& [name, it] : registry_.entries) {
        ids.push_back({name, it.incarnation});
    }
    return ids;
}

void control_service::expire_entries(time_point now)
{
    for (const replica_id& it :
         expired_entries(leases_, registered_entries(), options_.lease_duration, now)) {
        log_event(event_id::entry_expired, {{"entry", it.name}});
        leases_.leases.erase(it);
        reports_.erase(it.incarnation);
        propose_internal(expire_entry{it});
    }
}

void control_service::assign_owners(time_point now)
{
    std::set<replica_id> live = live_entries(leases_, now);
    if (planned_index_ == registry_.index && planned_entries_ == live) {
        return;
    }
    const assignment_plan plan = plan_assignments(registry_, live, max_recalls);
    if (plan.assign.items.empty() && plan.recall.items.empty()) {
        // No new plan is needed until the registry or the live entries change.
        planned_index_ = registry_.index;
        planned_entries_ = std::move(live);
    }
    if (!plan.assign.items.empty()) {
        log_event(event_id::item_assigned, {{"items", std::to_string(plan.assign.items.size())}});
        propose_internal(plan.assign);
    }
    if (!plan.recall.items.empty()) {
        propose_internal(plan.recall);
    }
}

void control_service::finish_preset_switch(time_point now)
{
    const preset_record& record = registry_.preset;
    if (record.switching && all_confirmed(leases_, registered_entries(), record.switch_index,
                                          options_.lease_duration, now)) {
        propose_internal(activate_preset{record.switch_index});
    }
}

void control_service::announce_leadership()
{
    if (announced_term_ == consensus_->term) {
        return;
    }
    announced_term_ = consensus_->term;
    for (const auto& [name, it] : registry_.entries) {
        send_leader_hint(it.address);
    }
}

void control_service::run_leader_tasks()
{
    const time_point now = monotonic_clock::now();
    if (!consensus_ || !holds_leadership(*consensus_, now)) {
        return;
    }
    announce_leadership();
    finish_preset_switch(now);
    if (coordinates_services_) {
        coordinator_.advance_services(make_coordinator_view(), now);
    }
    const bool directory_push_due = coordinates_services_ && now >= next_directory_push_at_ &&
                                    pushed_directory_version_ != coordinator_.directory_version();
    if (push_due_ || directory_push_due) {
        push_due_ = false;
        push_configuration();
    }
    if (now < next_assignment_at_) {
        return;
    }
    next_assignment_at_ = now + assign_interval;
    if (registry_.session_secret.empty()) {
        propose_internal(set_session_secret{random_secret()});
    }
    expire_entries(now);
    if (options_.assigns_owners) {
        assign_owners(now);
    }
}

void control_service::on_tick()
{
    tick_at_ = {};
    check_submissions(monotonic_clock::now());
    if (!consensus_) {
        reopen_storage(monotonic_clock::now());
    }
    else {
        run_step(clock_ticked{});
        if (consensus_) {
            run_leader_tasks();
            compact_log();
        }
        if (monotonic_clock::now() >= next_publish_at_) {
            publish_status();
        }
    }
    schedule_tick();
}

void control_service::schedule_tick()
{
    const time_point now = monotonic_clock::now();
    const bool busy =
        !consensus_ || consensus_->role == consensus_role::leader || !submissions_.empty();
    time_point due = now + tick_interval;
    if (!busy) {
        due = std::max(due, std::min(next_tick_at(*consensus_, now), next_publish_at_));
    }
    if (tick_at_ == time_point{} || due < tick_at_) {
        tick_at_ = due;
        timer_.start(to_milliseconds(due - now));
    }
}

void control_service::publish_status()
{
    const time_point now = monotonic_clock::now();
    next_publish_at_ = now + publish_interval;
    set_metric("balsamdrift_evacuated_domains", {},
               static_cast<double>(registry_.evacuated_domains.size()));
    control_status updated;
    updated.name = options_.name;
    if (consensus_) {
        updated.serves = true;
        updated.leads = holds_leadership(*consensus_, now);
        updated.leader = consensus_->leader ? consensus_->leader->name : std::string();
        updated.term = consensus_->term;
        updated.commit_index = consensus_->commit_index;
        updated.members = consensus_->members;
        for (const auto& [id, lease] : leases_.leases) {
            updated.entry_index[id.name] = lease.confirmed_index;
        }
    }
    const std::lock_guard lock(status_mutex_);
    updated.state = status_.state;
    if (!updated.state || updated.state->index != registry_.index) {
        updated.state = std::make_shared<const registry>(registry_);
    }
    status_ = std::move(updated);
}

control_status control_service::status() const
{
    const std::lock_guard lock(status_mutex_);
    return status_;
}

}  // namespace balsamdrift
