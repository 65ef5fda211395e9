// SessionTokenCodec: a fixed binary layout under an HMAC, in base64url without
// padding. The layout is
//   version (1 byte) | term (8) | position (8) | database (rest) | HMAC (12)
// with big-endian numbers.

#include "egrettide/core/sessiontoken.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace egrettide
{

namespace
{

constexpr char layoutVersion = 1;
constexpr std::size_t numberBytes = 8;
constexpr std::size_t headBytes = 1 + 2 * numberBytes;
// 96 bits: a forgery takes 2^95 attempts on average, and a successful one causes no wrong answer.
constexpr std::size_t macBytes = 12;

void appendNumber(std::string &out, std::uint64_t value)
{
    for (int shift = 56; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU));
    }
}

std::uint64_t numberAt(std::string_view bytes, std::size_t at)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < numberBytes; ++i) {
        value = (value << 8U) | static_cast<unsigned char>(bytes[at + i]);
    }
    return value;
}

std::string macOf(const std::string &key, std::string_view body)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(body.data()),
         body.size(), digest.data(), &length);
    return {reinterpret_cast<const char *>(digest.data()), macBytes};
}

Error badToken(std::string_view what)
{
    return Error{ErrorKind::InvalidInput,
                 "egrettide.session is " + std::string(what)
                     + "; pass the last value that egrettide reported, or leave it out and the first read takes a little longer.",
                 milliseconds{0}};
}

} // namespace

SessionTokenCodec::SessionTokenCodec(std::vector<std::string> keys) : m_keys(std::move(keys))
{
    if (m_keys.empty()) {
        m_keys.emplace_back();
    }
}

std::string SessionTokenCodec::encode(const SessionFloor &floor) const
{
    std::string body(1, layoutVersion);
    appendNumber(body, floor.mark.term);
    appendNumber(body, floor.mark.position);
    body.append(floor.database);
    body.append(macOf(m_keys.front(), body));
    std::string token;
    absl::WebSafeBase64Escape(absl::string_view(body.data(), body.size()), &token);
    return token;
}

tl::expected<SessionFloor, Error> SessionTokenCodec::decode(std::string_view token) const
{
    if (token.size() > maxTokenBytes) {
        return tl::unexpected(badToken("too long"));
    }
    std::string bytes;
    if (!absl::WebSafeBase64Unescape(absl::string_view(token.data(), token.size()), &bytes)) {
        return tl::unexpected(badToken("not in base64url"));
    }
    if (bytes.size() < headBytes + macBytes || bytes.front() != layoutVersion) {
        return tl::unexpected(badToken("not a token of this version"));
    }
    const std::string_view body(bytes.data(), bytes.size() - macBytes);
    const std::string_view mac = std::string_view(bytes).substr(body.size());
    for (const std::string &key : m_keys) {
        const std::string expected = macOf(key, body);
        if (CRYPTO_memcmp(expected.data(), mac.data(), macBytes) == 0) {
            const LogMark mark{numberAt(body, 1), numberAt(body, 1 + numberBytes)};
            return SessionFloor{std::string(body.substr(headBytes)), mark};
        }
    }
    return tl::unexpected(badToken("damaged, or signed with a key that is no longer accepted"));
}

} // namespace egrettide
