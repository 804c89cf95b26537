#pragma once

#include <map>
#include <optional>

#include "cornelstall/value.hpp"

namespace cornelstall
{

namespace detail
{
struct body_tag;
}  // namespace detail

/// @brief Identifies a request body that is being read. Later bodies have larger ids.
using body_id = strong_number<detail::body_tag, std::uint64_t>;

/// @brief Bounds of the memory for request bodies that are being read.
struct body_reading_limits
{
    byte_count total_{67'108'864};       ///< of all bodies; reading pauses when it is used up
    byte_count small_{32'768};           ///< up to this size, bodies are read whatever the others hold
    byte_count least_progress_{16'384};  ///< within `progress_time_`; a body that gets less is stalled
    milliseconds progress_time_{2000};
};

/// @brief A request body that is being read.
struct body_in_progress
{
    byte_count held_;    ///< bytes that arrived, and those that the next read may bring
    byte_count recent_;  ///< bytes that arrived since `recent_begin_`
    time_point recent_begin_;
    bool paused_ = false;
};

/// @brief All request bodies that a listener is reading.
struct body_reading_table
{
    body_reading_limits limits_;
    byte_count held_;  ///< the sum over all bodies
    std::map<body_id, body_in_progress> bodies_;
    /// One body is read to its end although the total is used up. Otherwise bodies that are all paused would wait for
    /// each other, and a body with a higher limit than the total could never be read.
    std::optional<body_id> unlimited_;
    body_id next_{1};
};

/// @brief Adds a body that holds nothing yet.
[[nodiscard]] body_id begin_body(body_reading_table& table, time_point now);

/// @brief Reserves @a size bytes for the next read of @a body. When there is no room, the body is paused, which does
/// not count as a stall.
/// @return false when the body has to wait for others
[[nodiscard]] bool reserve_read(body_reading_table& table, body_id body, byte_count size, time_point now);

/// @brief Replaces a reservation of @a reserved bytes by the @a arrived bytes that the read brought.
void settle_read(body_reading_table& table, body_id body, byte_count reserved, byte_count arrived, time_point now);

/// @brief Removes @a body, which was read or given up.
void end_body(body_reading_table& table, body_id body);

/// @brief The body to give up while another one waits: of those that are not small and are stalled, the one that holds
/// the most. Linear in the bodies.
[[nodiscard]] std::optional<body_id> find_stalled_body(const body_reading_table& table, time_point now);

}  // namespace cornelstall
