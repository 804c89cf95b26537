#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "cornelstall/decisions.hpp"

namespace cornelstall
{

/// @brief The fields of a caller's request that the gateway uses, without the body.
struct caller_request
{
    request_id id_;
    std::string host_;  ///< without port
    std::string path_;  ///< without query
    std::string key_;   ///< empty when the caller sent none
    std::optional<milliseconds> time_left_;
    std::optional<token_count> prompt_;  ///< length of the prompt; only in generation requests
    std::optional<token_count> max_output_tokens_;
    std::optional<token_count> expected_output_tokens_;
    /// Parts of the prompt that other requests may have in common with this one, and last the whole prompt, by which a
    /// request is recognised that is sent again under a new id. Without repetition.
    std::vector<prompt_part_id> prompt_parts_;
    std::optional<std::uint64_t> resume_after_;  ///< id of the last event that the caller received
};

/// @brief An engine that prefills a part of a prompt for the engine that generates the answer.
struct prefill_helper
{
    socket_address address_;
    std::string reservation_;  ///< id of the memory reservation for its part; empty without a reservation
};

/// @brief An order to a backend server to reserve or release KV memory.
struct memory_order
{
    server_id server_;  ///< the addressee; any other server must refuse the order
    std::string reservation_;
    token_count tokens_{0};
    milliseconds hold_{0};  ///< the reservation expires after this time unless it is renewed
    bool release_ = false;  ///< releases the reservation instead of making or renewing it
};

/// @brief Result of a memory order.
enum class memory_order_result
{
    done,
    refused,
    unknown  ///< the server may have carried out the order or may still do so
};

/// @brief What an engine says about a memory reservation.
enum class memory_use
{
    unknown,  ///< no usable answer, or the engine does not know the reservation
    unused,
    used  ///< by a request
};

/// @brief What the gateway adds to a request that it forwards to a backend server.
struct forward_details
{
    server_id server_;  ///< the addressee; any other server must refuse the request
    std::optional<organisation_id> organisation_;
    milliseconds time_left_{0};
    int urgency_ = 0;  ///< 0 is the most urgent
    std::optional<std::uint64_t> resume_after_;
    std::vector<prefill_helper> helpers_;
};

/// @brief What an answer says about the rate of requests that its server takes.
struct stated_limit
{
    bool stated_ = false;                ///< the answer names a limit
    std::optional<request_rate> limit_;  ///< for all VMs together; nothing when what it names is not a rate
};

/// @brief The fields of a backend server's answer that the gateway uses, without the body.
struct server_answer
{
    unsigned status_ = 0;
    request_id request_id_;                    ///< the request that the answer states; empty when it states none
    bool did_not_run_ = false;                 ///< the server states that it did not run the request
    bool wrong_server_ = false;                ///< the address now belongs to another server
    bool authentic_ = false;                   ///< carries the deployment's seal; an answer without it is rejected
    bool body_encoded_ = false;                ///< a content encoding is applied to the body
    bool leaving_ = false;                     ///< the server announces that it is shutting down
    std::optional<milliseconds> retry_after_;  ///< a refusing server wants no work from this VM for this time
    stated_limit limit_;
    std::string responsible_server_;  ///< id or address of the other server that caused the refusal, if stated
};

/// @brief Reads and writes the messages of one deployment.
struct gateway_protocol
{
    std::function<caller_request(const boost::beast::http::request<boost::beast::http::string_body>&)> read_request_;
    /// Rewrites the caller's fields to those of the forwarded request.
    std::function<void(const forward_details&, boost::beast::http::fields&)> write_forward_fields_;
    std::function<server_answer(const boost::beast::http::response_header<>&)> read_answer_;
    /// Removes the fields that concern only the connection to the server.
    std::function<void(boost::beast::http::fields&)> strip_answer_fields_;
    /// Adds the fields of an answer that the gateway itself generates.
    std::function<void(const caller_request&, boost::beast::http::fields&)> write_gateway_fields_;
    std::function<boost::beast::http::request<boost::beast::http::string_body>(const memory_order&)>
        write_memory_order_;
    /// Interprets the HTTP status of the answer to a memory order; 0 when there was no answer.
    std::function<memory_order_result(unsigned status)> read_order_result_;
    /// The request by which an engine is asked about its memory reservations.
    std::function<boost::beast::http::request<boost::beast::http::string_body>()> write_memory_query_;
    /// Interprets the answer to it; the HTTP status is 0 when there was no answer.
    std::function<memory_use(unsigned status, const std::string& body, const std::string& reservation)>
        read_memory_use_;
};

}  // namespace cornelstall
