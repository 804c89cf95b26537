#pragma once

#include <optional>
#include <vector>

#include "cornelstall/standins/process/running_standin.hpp"

namespace cornelstall::standins
{

/// @brief A model and its version.
struct model_release
{
    model_id name_;
    model_version version_;

    friend auto operator<=>(const model_release&, const model_release&) = default;
};

/// @brief The virtual hardware and the habits of a model engine.
struct engine_settings
{
    int slots_ = 8;           ///< sequences that are batched at once
    int waiting_limit_ = 64;  ///< sequences that wait for a slot; more are refused with 429
    token_count kv_tokens_{200'000};
    token_count cache_tokens_{100'000};  ///< memory of the prefix cache, beside the KV memory
    token_rate prefill_rate_{20'000.0};  ///< of the whole engine
    token_rate decode_rate_{50.0};       ///< of one sequence
    std::vector<model_release> models_{{model_id{"small"}, model_version{"1"}}};
    std::optional<token_count> answer_tokens_;    ///< answers stop here unless `max_tokens` ends them earlier
    bool checks_fencing_ = true;                  ///< refuses orders with an old fencing number
    double time_scale_ = 1.0;                     ///< the hardware is faster by this factor
    milliseconds step_{10};                       ///< of the batch
    milliseconds report_lag_{0};                  ///< age of the load report
    milliseconds cache_event_lag_{0};             ///< from a cache change to its event
    milliseconds load_duration_{2000};            ///< of an order that loads a model or an adapter, beside the download
    milliseconds keep_alive_{500};                ///< between comments on a quiet answer stream
    milliseconds kept_after_cut_{10'000};         ///< how long a cut stream can be resumed
    std::optional<socket_address> weight_store_;  ///< models are fetched from here before they are loaded
};

/// @brief Starts a model engine on @a address (`ip:port`).
/// @throws process_error (id 490) when the address cannot be used
[[nodiscard]] running_standin start_engine(const engine_settings& settings, const socket_address& address);

}  // namespace cornelstall::standins
