#pragma once

#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>

#include "cornelstall/decisions.hpp"

namespace cornelstall
{

/// @brief The body of a caller's request, held once in blocks. Draws on the memory for bodies until it is destroyed.
class request_body
{
  public:
    explicit request_body(body_memory& memory)
        : memory_(memory), id_(open_body(memory, std::chrono::steady_clock::now()))
    {}
    request_body(const request_body&) = delete;
    request_body& operator=(const request_body&) = delete;
    request_body(request_body&&) = delete;
    request_body& operator=(request_body&&) = delete;
    ~request_body()
    {
        close_body(memory_, id_);
    }

    [[nodiscard]] body_id id() const
    {
        return id_;
    }

    /// @brief Adds a block of @a bytes bytes, whose memory grow_body() has granted.
    [[nodiscard]] std::string& add_block(std::size_t bytes)
    {
        return blocks_.emplace_back(bytes, '\0');
    }

    [[nodiscard]] std::size_t size() const
    {
        return boost::asio::buffer_size(buffers());
    }

    /// @brief Valid for the lifetime of the body.
    [[nodiscard]] std::vector<boost::asio::const_buffer> buffers() const
    {
        std::vector<boost::asio::const_buffer> parts;
        std::ranges::transform(blocks_, std::back_inserter(parts),
                               [](const std::string& block) { return boost::asio::buffer(block); });
        return parts;
    }

  private:
    body_memory& memory_;
    body_id id_;
    std::vector<std::string> blocks_;
};

}  // namespace cornelstall
