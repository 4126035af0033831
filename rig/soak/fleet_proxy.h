#pragma once

#include <memory>
#include <string>

#include "rig/soak/connection.h"

namespace balsamdrift::soak {

/// Stands between a process and the other processes of the system: the process advertises the
/// proxy's address, so that the connections to it can be cut, delayed or silenced.
class fleet_proxy {
public:
    fleet_proxy(event_loop& loop, address at, address target);
    const address& at() const { return at_; }
    const address& target() const { return target_; }
    /// How connections are disturbed now, in both directions.
    link path;

private:
    /// The two ends of one proxied connection.
    struct pair {
        std::unique_ptr<connection> outer;
        std::unique_ptr<connection> inner;
    };
    background serve(std::unique_ptr<connection> outer);
    background copy(std::shared_ptr<pair> ends, bool outward);

    event_loop& loop_;
    address at_;
    address target_;
    listener door_;
};

}  // namespace balsamdrift::soak
