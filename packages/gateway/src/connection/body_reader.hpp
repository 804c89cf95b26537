#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "cornelstall/gateway/connection/caller_socket.hpp"
#include "cornelstall/gateway/process/gateway_state.hpp"
#include "cornelstall/gateway/request/request_body.hpp"

namespace cornelstall
{

using caller_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// @brief A body that is arriving. Listed among those of the process for its own lifetime.
struct arriving_body
{
    arriving_body(gateway_state& state, std::shared_ptr<caller_socket> caller);
    arriving_body(const arriving_body&) = delete;
    arriving_body& operator=(const arriving_body&) = delete;
    arriving_body(arriving_body&&) = delete;
    arriving_body& operator=(arriving_body&&) = delete;
    ~arriving_body();

    gateway_state& state_;
    std::shared_ptr<caller_socket> caller_;
    std::shared_ptr<request_body> body_;
    bool refused_ = false;              ///< there is no memory for it
    boost::system::error_code failed_;  ///< why the body could not be read
};

/// @brief Reads the body that follows the head in @a parser. While the memory for bodies is used up, reading pauses.
/// @return false when the body was refused or could not be read
[[nodiscard]] task<bool> read_body(arriving_body& arriving, caller_parser& parser);

}  // namespace cornelstall
