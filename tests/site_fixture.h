#pragma once

#include <QElapsedTimer>
#include <QTemporaryDir>
#include <QThread>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <string>

#include "rig/client/caller.h"
#include "rig/client/wait.h"
#include "rig/site/site.h"

namespace balsamdrift::test {

using namespace balsamdrift::rig;

/// A site of real processes for one test, with a customer whose rate limit the test cannot reach.
class site_fixture {
public:
    explicit site_fixture(site_options options = {})
    {
        options.folder = folder_.path().toStdString();
        options.binaries = BALSAMDRIFT_BINARIES;
        site_ = std::make_unique<rig::site>(options);
        const auto started = site_->start();
        REQUIRE(succeeded(started));
        auto key = site_->create_customer("agence", 100'000, 100'000);
        REQUIRE(succeeded(key));
        key_ = value_of(key);
        REQUIRE(site_->wait_until_ready(seconds(20)));
    }

    rig::site& site() { return *site_; }
    const std::string& key() const { return key_; }

    /// A caller that sends its requests to the n-th entry.
    caller caller_at(std::size_t n) { return caller(callers_address(n), key_); }

    std::string callers_address(std::size_t n) const
    {
        return site_->address_of(site_->entry_names().at(n), "callers");
    }

    /// Name of the entry that owns the group; empty if it has no owner.
    std::string owner_of(const std::string& group = "registry")
    {
        const auto status = site_->run_balsamctl({"status"});
        for (const auto& it : status.body["groups"]) {
            if (it["group"] == group) {
                return it.value("owner", "");
            }
        }
        return {};
    }

    /// Index of an entry that does not own the group.
    std::size_t non_owner_entry(const std::string& group = "registry")
    {
        const std::string owner = owner_of(group);
        const auto names = site_->entry_names();
        for (std::size_t n = 0; n < names.size(); ++n) {
            if (names[n] != owner) {
                return n;
            }
        }
        return 0;
    }

    std::size_t entry_number(const std::string& name) const
    {
        const auto names = site_->entry_names();
        return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) -
                                        names.begin());
    }

private:
    QTemporaryDir folder_;
    std::unique_ptr<rig::site> site_;
    std::string key_;
};

/// Text of the first cell, or the error code if the request failed.
inline std::string first_cell(const caller_answer& answer)
{
    if (answer.status != 200) {
        return answer.body.is_object() ? answer.body.value("code", "?") : "no answer";
    }
    const auto& rows = answer.body["result"]["rows"];
    if (rows.empty()) {
        return "no row";
    }
    return rows[0][0].is_string() ? rows[0][0].get<std::string>() : rows[0][0].dump();
}

}  // namespace balsamdrift::test
