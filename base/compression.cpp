#include "base/compression.h"

#include <QByteArray>
#include <utility>

namespace balsamdrift {
namespace {

/// First byte of compressed data. As MessagePack, it would be the integer 90. Encoded messages
/// begin with an array, a map or a smaller integer.
constexpr char compressed_marker = 'Z';

/// Fastest level of zlib; it already reduces route documents to a tenth of their size.
constexpr int compression_level = 1;

}  // namespace

std::string compress_if_large(std::string bytes)
{
    if (bytes.size() < compression_threshold_bytes) {
        return bytes;
    }
    const QByteArray compressed =
        qCompress(reinterpret_cast<const uchar*>(bytes.data()),
                  static_cast<qsizetype>(bytes.size()), compression_level);
    return std::string(1, compressed_marker).append(compressed.constData(), compressed.size());
}

outcome<std::string> decompress(std::string_view bytes)
{
    if (bytes.empty() || bytes.front() != compressed_marker) {
        return std::string(bytes);
    }
    const std::string_view body = bytes.substr(1);
    const QByteArray plain = qUncompress(reinterpret_cast<const uchar*>(body.data()),
                                         static_cast<qsizetype>(body.size()));
    if (plain.isEmpty()) {
        return failure{"malformed compressed bytes"};
    }
    return plain.toStdString();
}

}  // namespace balsamdrift
