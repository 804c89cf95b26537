#include "cornelstall/runtime/connection/peer_credentials.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>
#include <fstream>
#include <iterator>
#include <utility>

#include "cornelstall/value.hpp"

namespace cornelstall
{

namespace
{

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (text.empty())
    {
        throw process_error(peer_credentials_invalid,
                            "cannot read '" + path + "'; check the path and the permissions of the TLS file");
    }
    return text;
}

std::array<unsigned char, SHA256_DIGEST_LENGTH> digest_of(const std::string& text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return digest;
}

}  // namespace

peer_credentials load_peer_credentials(std::string key, const std::string& certificate_path,
                                       const std::string& private_key_path, const std::string& ca_path)
{
    if (key.empty())
    {
        throw process_error(peer_credentials_invalid, "the peer key is empty; set the same key on all VMs");
    }
    if (certificate_path.empty() && private_key_path.empty() && ca_path.empty())
    {
        return {std::move(key), {}, {}, {}};
    }
    if (certificate_path.empty() || private_key_path.empty() || ca_path.empty())
    {
        throw process_error(peer_credentials_invalid, "TLS between peers needs a certificate, its key and a CA file");
    }
    return {std::move(key), read_file(certificate_path), read_file(private_key_path), read_file(ca_path)};
}

bool is_peer_key(const peer_credentials& credentials, const std::string& offered)
{
    // Digests have the same length, so the comparison does not tell the length of the key either.
    const auto expected = digest_of(credentials.key_);
    const auto given = digest_of(offered);
    return CRYPTO_memcmp(expected.data(), given.data(), expected.size()) == 0;
}

std::shared_ptr<grpc::ChannelCredentials> channel_credentials(const peer_credentials& credentials)
{
    if (credentials.certificate_.empty())
    {
        return grpc::InsecureChannelCredentials();
    }
    return grpc::SslCredentials({credentials.ca_, credentials.private_key_, credentials.certificate_});
}

std::shared_ptr<grpc::ServerCredentials> server_credentials(const peer_credentials& credentials)
{
    if (credentials.certificate_.empty())
    {
        return grpc::InsecureServerCredentials();
    }
    grpc::SslServerCredentialsOptions options(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.pem_root_certs = credentials.ca_;
    options.pem_key_cert_pairs.push_back({credentials.private_key_, credentials.certificate_});
    return grpc::SslServerCredentials(options);
}

}  // namespace cornelstall
