#include "base/compression.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace balsamdrift;

TEST_CASE("decompression restores the bytes, and long documents become smaller", "[compression]")
{
    CHECK(rc::check([] {
        // Starts like an encoded message, with an array of two.
        const std::string unit = "\x92" + *rc::gen::string<std::string>();
        std::string bytes;
        const int repeats = *rc::gen::inRange(1, 400);
        for (int n = 0; n < repeats; ++n) {
            bytes += unit;
        }
        const std::string compressed = compress_if_large(bytes);
        auto plain = decompress(compressed);
        RC_ASSERT(value_of(plain) == bytes);
    }));
    std::string routes;
    for (int n = 0; n < 1600; ++n) {
        routes += R"({"name":"r-)" + std::to_string(n * 7919) +
                  R"(","kind":"primary","timeoutMs":1000,"priority":1,"service":"huvo11a"},)";
    }
    CHECK(compress_if_large(routes).size() < routes.size() / 5);
}

TEST_CASE("truncated compressed bytes are a failure", "[compression]")
{
    std::string compressed = compress_if_large(std::string(10000, 'x'));
    compressed.resize(compressed.size() / 2);
    CHECK_FALSE(succeeded(decompress(compressed)));
    CHECK_FALSE(succeeded(decompress("Z")));
}
