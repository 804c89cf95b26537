#pragma once

#include <cstdint>

#include "cornelstall/value/strong_type.hpp"

namespace cornelstall
{

namespace detail
{
struct request_tag;
struct caller_tag;
struct organisation_tag;
struct service_tag;
struct model_tag;
struct model_version_tag;
struct adapter_tag;
struct vm_tag;
struct data_centre_tag;
struct engine_tag;
struct server_tag;
struct grant_tag;
struct reservation_tag;
struct export_tag;
struct publication_tag;
struct idempotency_key_tag;
struct claim_tag;
struct body_hash_tag;
struct order_tag;
struct lease_attempt_tag;
struct key_hash_tag;
struct address_tag;
struct attempt_tag;
struct part_tag;
struct log_offset_tag;
struct log_era_tag;
struct configuration_version_tag;
struct fencing_tag;
struct incarnation_tag;
struct prefix_key_tag;
struct prompt_part_tag;
struct crash_tag;
}  // namespace detail

/// @brief A caller request; unique over all VMs.
using request_id = text_id<detail::request_tag>;
/// @brief A caller: the holder of one bearer key.
using caller_id = text_id<detail::caller_tag>;
/// @brief The organisation that a caller belongs to.
using organisation_id = text_id<detail::organisation_tag>;
/// @brief A service declared by operators.
using service_id = text_id<detail::service_tag>;
/// @brief The name of a model.
using model_id = text_id<detail::model_tag>;
/// @brief The version of a model.
using model_version = text_id<detail::model_version_tag>;
/// @brief An adapter that an engine loads on top of a model.
using adapter_id = text_id<detail::adapter_tag>;
/// @brief One run of an entry process; a restarted process has a new id.
using vm_id = text_id<detail::vm_tag>;
/// @brief A data centre.
using data_centre_id = text_id<detail::data_centre_tag>;
/// @brief An engine (backend server that runs models) in the VM list.
using engine_id = text_id<detail::engine_tag>;
/// @brief A backend server: a plain one in the VM list, or an engine or plain server in the platform's server list.
using server_id = text_id<detail::server_tag>;
/// @brief A grant of engine capacity, issued by the engine's owner.
using grant_id = text_id<detail::grant_tag>;
/// @brief A reservation of KV memory held by an engine.
using reservation_id = text_id<detail::reservation_tag>;
/// @brief An exported KV segment held by an engine.
using export_id = text_id<detail::export_tag>;
/// @brief One attempt to publish a configuration; used to resolve a lost acknowledgement.
using publication_id = text_id<detail::publication_tag>;
/// @brief The key with which a caller retries a non-idempotent call.
using idempotency_key = text_id<detail::idempotency_key_tag>;
/// @brief One claim to send a non-idempotent call; used to resolve a lost acknowledgement.
using claim_id = text_id<detail::claim_tag>;
/// @brief SHA-256 of a request body, 64 lower-case hexadecimal digits.
using body_hash = text_id<detail::body_hash_tag>;
/// @brief An order to an engine, such as loading a model.
using order_id = text_id<detail::order_tag>;
/// @brief SHA-256 of a bearer key, 64 lower-case hexadecimal digits.
using key_hash = text_id<detail::key_hash_tag>;
/// @brief An IP address and port, `ip:port`.
using socket_address = text_id<detail::address_tag>;

/// @brief The number of an attempt at one request, from 1.
using attempt_number = strong_number<detail::attempt_tag, std::uint32_t>;
/// @brief The number of a part of one answer, from 0.
using part_number = strong_number<detail::part_tag, std::uint64_t>;
/// @brief The position of a record in one stream of the own interface's log, from 1; 0 means none.
using log_offset = strong_number<detail::log_offset_tag, std::uint64_t>;
/// @brief The number of times that a log has come back from an older copy, as it counts them itself. Offsets of two
/// eras number different records.
using log_era = strong_number<detail::log_era_tag, std::uint64_t>;
/// @brief The log offset of the last accepted configuration change; 0 means none.
using configuration_version = strong_number<detail::configuration_version_tag, std::uint64_t>;
/// @brief The fencing number that orders of a lease holder carry; it only increases.
using fencing_number = strong_number<detail::fencing_tag, std::uint64_t>;
/// @brief The number of a lease record that one VM appends, from 1; used to resolve a lost acknowledgement.
using lease_attempt = strong_number<detail::lease_attempt_tag, std::uint64_t>;
/// @brief Orders the states of one VM: a higher value replaces a lower one. A member increases it to refute a
/// suspicion; in load reports it increases with each process start.
using incarnation = strong_number<detail::incarnation_tag, std::uint64_t>;
/// @brief Chained hash of the first blocks of a prompt.
using prefix_key = strong_number<detail::prefix_key_tag, std::uint64_t>;
/// @brief A part of a prompt, such as a document, that several requests may have in common.
using prompt_part_id = strong_number<detail::prompt_part_tag, std::uint64_t>;
/// @brief A crash of a backend server: a hash of its id and of the lifetime that ended.
using crash_id = strong_number<detail::crash_tag, std::uint32_t>;

}  // namespace cornelstall
