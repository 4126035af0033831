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
        if (const auto* it = std::get_if<lease_request>(&value_of(decoded))) {
            node_.send(message.sender, fleet_channel::lease,
                       encode_variant(lease_message(grant_for(*it))));
        }
        else if (const auto* relayed = std::get_if<relayed_lease_request>(&value_of(decoded))) {
            ++relayed_requests_;
            node_.send(message.sender, fleet_channel::lease,
                       encode_variant(lease_message(
                           relayed_lease_grant{relayed->origin, grant_for(relayed->request)})));
        }
    }

    fleet_node node_{{.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"}};
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
            lease_client_options{.record = {.incarnation = 1, .address = node_.address()},
                                 .control = {control}},
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
