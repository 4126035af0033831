#include "core/rates/token_cache.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};
constexpr milliseconds step(10);

/// Many entries that share the rate of one customer, each with a small part of its load. Every
/// answer arrives 20 ms after its request, or is lost.
struct many_entries {
    struct answer {
        std::size_t entry = 0;
        std::uint64_t number = 0;
        customer_token_grants grants;
        time_point arrives_at{};
    };

    bucket_limits limits{.rate = 26, .burst = 26};
    token_pool_options options{.overage = 0.1, .slack = 20};
    token_cache_options cache_options;
    time_point now = start + seconds(10);
    token_pool pool{.customers = {}, .leading_since = start};
    std::vector<token_cache> entries = std::vector<token_cache>(80);
    std::vector<answer> answers;
    std::deque<time_point> admitted;
    std::mt19937 random{11};
    std::uint64_t operations = 0;
    std::uint64_t requests = 0;
    /// One in this many answers is lost; zero for none.
    unsigned lost_one_in = 0;

    void ask(std::size_t entry)
    {
        const auto requested = next_token_request(entries[entry], cache_options, now);
        if (requested.empty()) {
            return;
        }
        ++requests;
        const customer_token_grants grants{
            {"agence", grant_tokens(pool, options, "agence", limits, std::to_string(entry),
                                    requested.at("agence"), now)}};
        if (lost_one_in == 0 || random() % lost_one_in != 0) {
            answers.push_back(
                {entry, entries[entry].request_number, grants, now + milliseconds(20)});
        }
    }

    void deliver()
    {
        std::vector<answer> later;
        for (const answer& it : answers) {
            if (it.arrives_at > now) {
                later.push_back(it);
                continue;
            }
            for (const token_decision& decision :
                 apply_token_grants(entries[it.entry], cache_options, it.number, it.grants, now)) {
                if (!decision.retry_after) {
                    admitted.push_back(now);
                }
            }
        }
        answers = std::move(later);
    }

    void run(duration span, double operations_per_second)
    {
        std::poisson_distribution<int> arrivals(operations_per_second *
                                                float_seconds(step).count());
        for (const time_point end = now + span; now < end; now += step) {
            deliver();
            for (int n = arrivals(random); n > 0; --n) {
                ++operations;
                const std::size_t entry = random() % entries.size();
                const auto res = take_token(entries[entry], cache_options,
                                            {.number = operations, .customer = "agence"}, now);
                if (std::holds_alternative<token_taken>(res)) {
                    admitted.push_back(now);
                }
            }
            for (std::size_t entry = 0; entry < entries.size(); ++entry) {
                entries[entry].entry_count = static_cast<std::uint32_t>(entries.size());
                set_customer_limits(entries[entry], "agence", limits);
                record_control_answer(entries[entry], now);
                (void)refuse_timed_out_callers(entries[entry], cache_options, now);
                ask(entry);
            }
        }
    }

    double busiest_window() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t n = 0; n < admitted.size(); ++n) {
            while (admitted[n] - admitted[first] > options.window) {
                ++first;
            }
            most = std::max(most, n - first + 1);
        }
        return static_cast<double>(most);
    }

    double allowed() const { return (limits.rate * 5 + limits.burst) * 1.1 + 20; }
};

}  // namespace

TEST_CASE("entries do not keep asking for tokens that control cannot let all of them hold",
          "[rates]")
{
    // Guards against more requests than operations: each of many entries wanted one token of each
    // customer, and those that got none asked again every 100 ms.
    many_entries it;
    it.run(seconds(10), it.limits.rate / 1.6);
    it.requests = 0;
    it.operations = 0;
    const std::size_t admitted_before = it.admitted.size();
    it.run(seconds(30), it.limits.rate / 1.6);
    CHECK(it.requests < it.operations * 3 / 2);
    CHECK(it.admitted.size() - admitted_before > it.operations * 98 / 100);
}

TEST_CASE("the limit holds over many entries with rarer requests, bursts and lost answers",
          "[rates]")
{
    many_entries it;
    it.lost_one_in = 5;
    it.run(seconds(12), it.limits.rate / 1.6);
    it.run(seconds(12), it.limits.rate * 6);
    it.run(seconds(6), it.limits.rate / 4);
    it.run(seconds(6), it.limits.rate * 10);
    CHECK(it.busiest_window() <= it.allowed());
    // Neither do the tokens of entries that end add to those of the entries that are left.
    it.answers.clear();
    it.entries.resize(3);
    it.run(seconds(12), it.limits.rate * 6);
    CHECK(it.busiest_window() <= it.allowed());
}
