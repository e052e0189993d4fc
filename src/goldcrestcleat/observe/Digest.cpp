#include "goldcrestcleat/observe/Digest.h"

#include <Poco/DigestEngine.h>
#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

#include <random>

namespace goldcrestcleat::observe {

namespace {

    /// SHA-256 with the block size and default constructor that Poco's HMAC template requires.
    class Sha256 : public Poco::SHA2Engine {
    public:
        static constexpr int BLOCK_SIZE = 64;
        static constexpr int DIGEST_SIZE = 32;
    };

} // namespace

std::string sha256Hex(std::string_view text)
{
    Sha256 engine;
    engine.update(text.data(), text.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string hmacSha256Hex(const std::string& secret, std::string_view text)
{
    Poco::HMACEngine<Sha256> engine(secret);
    engine.update(text.data(), text.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
        return false;
    unsigned char difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
        difference = static_cast<unsigned char>(difference | (a[i] ^ b[i]));
    return difference == 0;
}

std::string randomHex(std::size_t bytes)
{
    static const char* const digits = "0123456789abcdef";
    static std::random_device device;
    std::string hex;
    for (std::size_t i = 0; i < bytes; ++i) {
        const unsigned value = device() & 0xff;
        hex.push_back(digits[value >> 4]);
        hex.push_back(digits[value & 15]);
    }
    return hex;
}

} // namespace goldcrestcleat::observe
