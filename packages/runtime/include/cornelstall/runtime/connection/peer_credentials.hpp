#pragma once

#include <memory>
#include <string>

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>

namespace cornelstall
{

/// @brief What a process shows to its peers and requires from them.
struct peer_credentials
{
    std::string key_;          ///< shared by all entry processes; travels as call metadata
    std::string certificate_;  ///< PEM; empty: no TLS
    std::string private_key_;  ///< PEM
    std::string ca_;           ///< PEM; signs the certificates of all peers
};

/// @brief Call metadata with the shared peer key.
inline constexpr const char* key_metadata = "cornelstall-key";
/// @brief Call metadata with the sender's VM id.
inline constexpr const char* sender_metadata = "cornelstall-sender";
/// @brief DNS name that a peer's certificate must carry. VMs are replaced at any time and are known by address only,
/// so that the certificates cannot name each of them.
inline constexpr const char* peer_certificate_name = "cornelstall-peer";
/// @brief Error id of peer credentials that cannot be used.
inline constexpr int peer_credentials_invalid = 411;

/// @brief Reads the TLS files; without any path there is no TLS.
/// @throws process_error (id 411) when the key is empty, only some paths are given, or a file cannot be read
[[nodiscard]] peer_credentials load_peer_credentials(std::string key, const std::string& certificate_path,
                                                     const std::string& private_key_path, const std::string& ca_path);

/// @brief Whether @a offered is the shared key. The time taken does not depend on where the two differ.
[[nodiscard]] bool is_peer_key(const peer_credentials& credentials, const std::string& offered);

/// @brief gRPC credentials of outgoing channels.
[[nodiscard]] std::shared_ptr<grpc::ChannelCredentials> channel_credentials(const peer_credentials& credentials);

/// @brief gRPC credentials of the listener; with TLS, a client must show a certificate of the CA.
[[nodiscard]] std::shared_ptr<grpc::ServerCredentials> server_credentials(const peer_credentials& credentials);

}  // namespace cornelstall
