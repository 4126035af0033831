#include "base/compression.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace balsamdrift;

TEST_CASE("bytes come back as they were, and long documents shrink", "[compression]")
{
    rc::check([] {
        // Encoded messages begin with an array of a few members.
        const std::string unit = "\x92" + *rc::gen::string<std::string>();
        std::string bytes;
        const int repeats = *rc::gen::inRange(1, 400);
        for (int n = 0; n < repeats; ++n) {
            bytes += unit;
        }
        const std::string packed = compress_if_large(bytes);
        auto plain = decompress(packed);
        RC_ASSERT(value_of(plain) == bytes);
    });
    std::string routes;
    for (int n = 0; n < 1600; ++n) {
        routes += R"({"name":"r-)" + std::to_string(n * 7919) +
                  R"(","kind":"primary","timeoutMs":1000,"priority":1,"service":"huvo11a"},)";
    }
    CHECK(compress_if_large(routes).size() < routes.size() / 5);
}

TEST_CASE("damaged compressed bytes are a failure", "[compression]")
{
    std::string packed = compress_if_large(std::string(10000, 'x'));
    packed.resize(packed.size() / 2);
    CHECK_FALSE(succeeded(decompress(packed)));
    CHECK_FALSE(succeeded(decompress("Z")));
}
