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

/// @brief What a caller's message says, apart from its body.
struct caller_request
{
    request_id id_;
    std::string host_;  ///< without port
    std::string path_;  ///< without query
    std::string key_;   ///< empty when the caller sent none
    std::optional<milliseconds> time_left_;
    std::optional<token_count> prompt_;  ///< for generations
    std::optional<token_count> max_output_tokens_;
    std::optional<token_count> expected_output_tokens_;
    std::optional<std::uint64_t> resume_after_;  ///< id of the last event that the caller has
};

/// @brief An engine that reads a part of a prompt for the engine that the request is sent to.
struct prefill_helper
{
    socket_address address_;
    std::string reservation_;  ///< memory reserved there that holds a part of the prompt; empty when there is none
};

/// @brief An order to a backend server about its memory.
struct memory_order
{
    server_id server_;  ///< any other server must refuse the order
    std::string reservation_;
    token_count tokens_{0};
    milliseconds hold_{0};  ///< the reservation ends by itself after this time unless it is made again
    bool release_ = false;  ///< ends the reservation instead of making or renewing it
};

/// @brief What became of a memory order.
enum class memory_order_result
{
    done,
    refused,
    unknown  ///< the server may have carried it out, or may do so later
};

/// @brief What is sent to a backend server beside the caller's own message.
struct forward_details
{
    server_id server_;  ///< any other server must refuse the request
    std::optional<organisation_id> organisation_;
    milliseconds time_left_{0};
    int urgency_ = 0;  ///< 0 is the most urgent
    std::optional<std::uint64_t> resume_after_;
    std::vector<prefill_helper> helpers_;
};

/// @brief What the head of a backend server's answer says.
struct server_answer
{
    unsigned status_ = 0;
    request_id request_id_;           ///< the request that the answer belongs to; empty when it is not named
    bool did_not_run_ = false;        ///< the server states that it did not run the request
    bool wrong_server_ = false;       ///< another server has the address now
    bool authentic_ = false;          ///< carries the mark without which a success does not count
    bool body_encoded_ = false;       ///< the body is not the server's own bytes
    std::string responsible_server_;  ///< id or address of another server on whose account the request did not run
};

/// @brief How a deployment's messages are read and written.
struct gateway_protocol
{
    std::function<caller_request(const boost::beast::http::request<boost::beast::http::string_body>&)> read_request_;
    /// Turns the caller's fields into those of the message to the server.
    std::function<void(const forward_details&, boost::beast::http::fields&)> write_forward_fields_;
    std::function<server_answer(const boost::beast::http::response_header<>&)> read_answer_;
    /// Removes what concerns only the connection to the server.
    std::function<void(boost::beast::http::fields&)> strip_answer_fields_;
    /// Adds what every answer of this VM's own carries.
    std::function<void(const caller_request&, boost::beast::http::fields&)> write_gateway_fields_;
    std::function<boost::beast::http::request<boost::beast::http::string_body>(const memory_order&)>
        write_memory_order_;
    /// @param status 0 when there was no answer
    std::function<memory_order_result(unsigned status)> read_order_result_;
};

}  // namespace cornelstall
