#pragma once

#include "cornelstall/decisions/connection/body_reading.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief The default bound on connections with TLS. An idle one takes 73 KB: all together 150 MB of the 256 MB that an
/// entry process may take.
inline constexpr int default_tls_connections = 2048;

/// @brief Bounds on what callers' connections may take of an entry process. Docs: docs/configuration.md.
struct caller_bounds
{
    int connections_ = 5120;               ///< the default of `max_requests`, and 1,024 without a request
    byte_count head_{16'384};              ///< request line and headers together
    int head_lines_ = 128;                 ///< parsed short headers take far more memory than their bytes
    milliseconds head_time_{10'000};       ///< from the first byte to the end of the head, and for the TLS handshake
    milliseconds idle_time_{120'000};      ///< without the first byte of a request
    milliseconds unread_time_{120'000};    ///< for which a caller may take no byte of its answer
    byte_count unsent_total_{67'108'864};  ///< of all answers; beyond it, each stream may have `small_unsent_` unsent
    byte_count small_unsent_{16'384};
    body_reading_limits bodies_;
};

}  // namespace cornelstall
