#include "cornelstall/declarations/key_hash.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <span>
#include <string>

namespace cornelstall
{

key_hash hash_key(std::string_view bearer_key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    if (EVP_Digest(bearer_key.data(), bearer_key.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
    {
        throw process_error(410, "OpenSSL computes no SHA-256; install libssl with its default provider");
    }
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(std::size_t{2} * size);
    std::ranges::for_each(std::span(digest).first(size), [&](unsigned char byte) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0x0fU]);
    });
    return key_hash{text};
}

}  // namespace cornelstall
