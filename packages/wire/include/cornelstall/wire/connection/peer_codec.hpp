#pragma once

#include <peer.pb.h>

#include "cornelstall/wire/connection/peer_messages.hpp"

/// @file
/// Conversions between protobuf messages and plain structs. Each `decode` checks its input and throws connection_error
/// (id 220) when an id is missing, too long or not printable, a number is out of range, or a list is too long. Nothing
/// is stored before a whole message is checked.

namespace cornelstall
{

/// @brief Longest accepted id, name or address, in bytes.
inline constexpr std::size_t max_id_bytes = 256;
/// @brief Longest accepted list in one message; above the members and engines of any data centre designed for.
inline constexpr int max_list_items = 20'000;
/// @brief Longest accepted remaining time; keeps sums with the clock in range.
inline constexpr milliseconds max_remaining{86'400'000};

[[nodiscard]] peer::ExchangeRequest encode_request(const exchange_delta& delta);
[[nodiscard]] peer::ExchangeReply encode_reply(const exchange_delta& delta);
[[nodiscard]] exchange_delta decode(const peer::ExchangeRequest& message);
[[nodiscard]] exchange_delta decode(const peer::ExchangeReply& message);

[[nodiscard]] peer::ProbeRequest encode(const probe_request& plain);
[[nodiscard]] peer::ProbeReply encode(const probe_reply& plain);
[[nodiscard]] probe_request decode(const peer::ProbeRequest& message);
[[nodiscard]] probe_reply decode(const peer::ProbeReply& message);

[[nodiscard]] peer::ReserveRequest encode(const reserve_request& plain);
[[nodiscard]] peer::ReserveReply encode(const reserve_reply& plain);
[[nodiscard]] reserve_request decode(const peer::ReserveRequest& message);
[[nodiscard]] reserve_reply decode(const peer::ReserveReply& message);

[[nodiscard]] peer::ReleaseRequest encode(const release_request& plain);
[[nodiscard]] peer::ReleaseReply encode(const release_reply& plain);
[[nodiscard]] release_request decode(const peer::ReleaseRequest& message);
[[nodiscard]] release_reply decode(const peer::ReleaseReply& message);

[[nodiscard]] peer::RenewRequest encode(const renew_request& plain);
[[nodiscard]] peer::RenewReply encode(const renew_reply& plain);
[[nodiscard]] renew_request decode(const peer::RenewRequest& message);
[[nodiscard]] renew_reply decode(const peer::RenewReply& message);

[[nodiscard]] peer::WantedRequest encode(const wanted_request& plain);
[[nodiscard]] peer::WantedReply encode(const wanted_reply& plain);
[[nodiscard]] wanted_request decode(const peer::WantedRequest& message);
[[nodiscard]] wanted_reply decode(const peer::WantedReply& message);

[[nodiscard]] peer::FetchConfigurationRequest encode(const fetch_configuration_request& plain);
[[nodiscard]] peer::FetchConfigurationReply encode(const fetch_configuration_reply& plain);
[[nodiscard]] fetch_configuration_request decode(const peer::FetchConfigurationRequest& message);
[[nodiscard]] fetch_configuration_reply decode(const peer::FetchConfigurationReply& message);

}  // namespace cornelstall
