#include "databases/system_queries.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace balsamdrift {
namespace {

constexpr int probe_column_count = 4;
/// PostgreSQL writes an LSN as two hexadecimal halves of 32 bits.
constexpr unsigned lsn_half_bits = 32;

std::optional<std::uint64_t> parse_unsigned(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, value, base);
    if (ec != std::errc{} || ptr != end) {
        return std::nullopt;
    }
    return value;
}

}  // namespace

std::optional<std::uint64_t> parse_lsn(const std::string& text)
{
    const auto slash = text.find('/');
    if (slash == std::string::npos) {
        return std::nullopt;
    }
    const auto high = parse_unsigned(std::string_view(text).substr(0, slash), 16);
    const auto low = parse_unsigned(std::string_view(text).substr(slash + 1), 16);
    if (!high || !low) {
        return std::nullopt;
    }
    return (*high << lsn_half_bits) | *low;
}

std::string format_lsn(std::uint64_t lsn)
{
    std::array<char, 24> buf{};
    std::snprintf(buf.data(), buf.size(), "%X/%X", static_cast<unsigned>(lsn >> lsn_half_bits),
                  static_cast<unsigned>(lsn));
    return buf.data();
}

std::optional<probe_result> parse_probe(const query_result& res)
{
    if (!succeeded(res) || PQntuples(res.rows.get()) != 1 ||
        PQnfields(res.rows.get()) != probe_column_count) {
        return std::nullopt;
    }
    const auto received = parse_lsn(cell_text(res, 0, 1));
    const auto applied = parse_lsn(cell_text(res, 0, 2));
    const auto term = parse_unsigned(cell_text(res, 0, 3), 10);
    if (!received || !applied || !term) {
        return std::nullopt;
    }
    return probe_result{.in_recovery = cell_text(res, 0, 0) == "t",
                        .received = {*term, *received},
                        .applied = {*term, *applied}};
}

}  // namespace balsamdrift
