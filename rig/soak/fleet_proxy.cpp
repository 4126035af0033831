#include "rig/soak/fleet_proxy.h"

namespace balsamdrift::soak {

namespace {

constexpr seconds connect_limit(5);

}  // namespace

fleet_proxy::fleet_proxy(event_loop& loop, address at, address target)
    : loop_(loop),
      at_(std::move(at)),
      target_(std::move(target)),
      door_(loop, at_, &path, [this](std::unique_ptr<connection> it) { serve(std::move(it)); })
{
}

background fleet_proxy::serve(std::unique_ptr<connection> outer)
{
    auto ends = std::make_shared<pair>();
    ends->outer = std::move(outer);
    ends->inner = co_await connection::open(loop_, target_, connect_limit);
    if (ends->inner == nullptr) {
        co_return;
    }
    copy(ends, true);
    copy(ends, false);
}

background fleet_proxy::copy(std::shared_ptr<pair> ends, bool outward)
{
    connection& from = outward ? *ends->inner : *ends->outer;
    connection& to = outward ? *ends->outer : *ends->inner;
    while (true) {
        const bool arrived = co_await from.arrives(time_point::max());
        const std::string bytes = from.take_input();
        to.send(bytes);
        if (!arrived || to.is_closed() || (from.is_closed() && !from.has_input())) {
            break;
        }
    }
    from.close();
    to.close();
}

}  // namespace balsamdrift::soak
