#include "entry/lease_client.h"

#include <QCoreApplication>
#include <atomic>
#include <catch2/catch.hpp>

#include "base/codec.h"

using namespace balsamdrift;

namespace {

constexpr milliseconds lease_duration(1000);

/// A control leader that grants every lease. Ignores the messages of an entry that is cut off.
class fake_leader {
public:
    fake_leader()
    {
        auto res = node_.start([this](const fleet_message& it) { receive(it); });
        REQUIRE(succeeded(res));
    }
    ~fake_leader() { node_.stop(); }

    std::string address() const { return node_.address(); }
    void add_entry(const std::string& name, const std::string& address)
    {
        state_.entries[name] = {.incarnation = 1, .address = address};
        ++state_.index;
    }
    void cut_off(const std::string& address) { cut_off_ = address; }
    /// Number of relayed lease requests received.
    int relayed_requests() const { return relayed_requests_; }
    /// Makes the grants lack the registry, as if the message with it had been lost.
    void withhold_registry(bool value) { withholds_registry_ = value; }
    /// From now on the leader keeps reports and confirms them.
    void confirm_reports() { confirms_reports_ = true; }
    /// Loses all reports, as a new leader does.
    void forget_reports() { forget_reports_ = true; }
    /// Ignores renewals, as a build does that replaced this one on the same address.
    void ignore_renewals() { ignores_renewals_ = true; }
    int renewals() const { return renewals_; }
    int full_requests() const { return full_requests_; }
    /// Settled index in the newest report, received in full or rebuilt.
    std::uint64_t settled_index() const { return settled_index_; }

private:
    lease_grant grant_for(const lease_request& request) const
    {
        return {.incarnation = request.record.incarnation,
                .sent_at = request.sent_at,
                .lease_ms = lease_duration.count(),
                .snapshot = withholds_registry_ ? std::string() : encode(state_),
                .index = state_.index};
    }

    void receive(const fleet_message& message)
    {
        auto decoded = decode_variant<lease_message>(message.body);
        if (!succeeded(decoded) || message.sender == cut_off_) {
            return;
        }
        if (forget_reports_.exchange(false)) {
            reports_.clear();
        }
        if (const auto* it = std::get_if<lease_request>(&value_of(decoded))) {
            ++full_requests_;
            settled_index_ = it->report.settled_index;
            lease_grant grant = grant_for(*it);
            if (confirms_reports_) {
                record_full_report(reports_, *it);
                grant.confirmed_report = it->report_number;
            }
            node_.send(message.sender, fleet_channel::lease, encode_variant(lease_message(grant)));
        }
        else if (const auto* renewal = std::get_if<lease_renewal>(&value_of(decoded))) {
            receive(*renewal, message.sender);
        }
        else if (const auto* relayed = std::get_if<relayed_lease_request>(&value_of(decoded))) {
            ++relayed_requests_;
            node_.send(message.sender, fleet_channel::lease,
                       encode_variant(lease_message(
                           relayed_lease_grant{relayed->origin, grant_for(relayed->request)})));
        }
    }

    void receive(const lease_renewal& renewal, const std::string& sender)
    {
        if (ignores_renewals_) {
            return;
        }
        const auto request = expand_renewal(reports_, renewal);
        if (!request) {
            node_.send(sender, fleet_channel::lease,
                       encode_variant(lease_message(renewal_refused{renewal.incarnation})));
            return;
        }
        ++renewals_;
        settled_index_ = request->report.settled_index;
        lease_grant grant = grant_for(*request);
        grant.confirmed_report = request->report_number;
        node_.send(sender, fleet_channel::lease, encode_variant(lease_message(grant)));
    }

    fleet_node node_{{.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"}};
    report_table reports_;
    std::atomic<bool> confirms_reports_ = false;
    std::atomic<bool> forget_reports_ = false;
    std::atomic<bool> ignores_renewals_ = false;
    std::atomic<int> renewals_ = 0;
    std::atomic<int> full_requests_ = 0;
    std::atomic<std::uint64_t> settled_index_ = 0;
    registry state_;
    std::string cut_off_;
    std::atomic<int> relayed_requests_ = 0;
    std::atomic<bool> withholds_registry_ = false;
};

/// An entry's lease client with its own fleet node.
class fake_entry {
public:
    fake_entry(const std::string& name, const std::string& control) : view_({name, 1})
    {
        auto res = node_.start([this](fleet_message it) {
            if (lease_client* const client = client_.load()) {
                client->receive(std::move(it));
            }
        });
        REQUIRE(succeeded(res));
        owned_ = std::make_unique<lease_client>(
            lease_client_options{
                .record = {.incarnation = 1, .address = node_.address()},
                .control = {control},
                .make_report = [this] { return entry_report{.settled_index = ++reported_}; }},
            view_, node_);
        client_ = owned_.get();
    }
    ~fake_entry() { node_.stop(); }

    void start()
    {
        owned_->start([] {});
    }
    std::string address() const { return node_.address(); }
    bool holds_lease() const { return view_.holds_lease(monotonic_clock::now()); }

private:
    fleet_node node_{{.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"}};
    entry_view view_;
    std::uint64_t reported_ = 0;
    std::atomic<lease_client*> client_ = nullptr;
    std::unique_ptr<lease_client> owned_;
};

void run_events(duration length)
{
    const time_point end = monotonic_clock::now() + length;
    while (monotonic_clock::now() < end) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
}

}  // namespace

TEST_CASE("an entry that cannot reach control keeps its lease through another entry", "[lease]")
{
    fake_leader leader;
    fake_entry near("near", leader.address());
    fake_entry far("far", leader.address());
    leader.add_entry("near", near.address());
    leader.add_entry("far", far.address());
    near.start();
    far.start();
    run_events(milliseconds(700));
    REQUIRE(near.holds_lease());
    REQUIRE(far.holds_lease());
    CHECK(leader.relayed_requests() == 0);
    leader.cut_off(far.address());
    run_events(milliseconds(2500));
    CHECK(near.holds_lease());
    CHECK(far.holds_lease());
    CHECK(leader.relayed_requests() > 0);
}

TEST_CASE("a lease does not count while the entry lacks configuration that control has in force",
          "[lease]")
{
    // Guards against reads of old data: an entry that had been cut off got its lease back before it
    // learned that the primary had been replaced in the meantime.
    fake_leader leader;
    fake_entry entry("entry", leader.address());
    leader.add_entry("entry", entry.address());
    leader.withhold_registry(true);
    entry.start();
    run_events(milliseconds(700));
    CHECK_FALSE(entry.holds_lease());
    leader.withhold_registry(false);
    run_events(milliseconds(700));
    CHECK(entry.holds_lease());
}

TEST_CASE("an entry keeps its lease when its renewals are refused or ignored", "[lease]")
{
    // Guards against an entry that insists on differences from a report that control does not have,
    // because its leader is new, or that it cannot read, because its build is older.
    fake_leader leader;
    fake_entry entry("entry", leader.address());
    leader.add_entry("entry", entry.address());
    leader.confirm_reports();
    entry.start();
    run_events(milliseconds(1800));
    REQUIRE(entry.holds_lease());
    CHECK(leader.renewals() >= 2);
    CHECK(leader.full_requests() == 1);
    CHECK(leader.settled_index() >= 3);
    leader.forget_reports();
    run_events(milliseconds(1300));
    CHECK(entry.holds_lease());
    CHECK(leader.full_requests() == 2);
    const int renewals = leader.renewals();
    leader.ignore_renewals();
    for (int n = 0; n < 10; ++n) {
        run_events(milliseconds(250));
        CHECK(entry.holds_lease());
    }
    CHECK(leader.renewals() == renewals);
    CHECK(leader.full_requests() > 3);
}

TEST_CASE("entries replace their connections to each other while control is away", "[lease]")
{
    // Guards against connections that are opened anew every second, between all entries of a site.
    fake_entry entry("e1", "127.0.0.1:1");
    entry.start();
    std::atomic<int> answers = 0;
    fleet_node other({.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"});
    REQUIRE(succeeded(other.start([&](const fleet_message&) { ++answers; })));
    lease_request request{.entry = "e2"};
    request.record = {.incarnation = 2, .address = other.address()};
    const time_point end = monotonic_clock::now() + milliseconds(1000);
    while (answers == 0 && monotonic_clock::now() < end) {
        other.send(entry.address(), fleet_channel::lease, encode_variant(lease_message(request)));
        run_events(milliseconds(100));
    }
    CHECK(answers > 0);
    other.stop();
}
