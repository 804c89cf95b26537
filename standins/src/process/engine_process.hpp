#pragma once

#include "process/host.hpp"

#include <deque>
#include <set>
#include <vector>

#include "cornelstall/standins/process/engine.hpp"
#include "process/prefix_cache.hpp"
#include "request/sequence.hpp"

namespace cornelstall::standins::detail
{

/// @brief KV memory set aside for a request, or exported by a prefill.
struct held_memory
{
    request_id request_;
    vm_id holder_;
    token_count tokens_;
    time_point since_;
};

struct loaded_release
{
    model_release release_;
    std::set<adapter_id> adapters_;
};

enum class order_state
{
    in_progress,
    done
};

struct load_report
{
    time_point at_;
    json body_;
};

/// @brief All state of one engine stand-in; its host's thread owns it.
struct engine_process
{
    engine_process(engine_settings settings, host& host);

    engine_settings settings_;
    host& host_;
    std::vector<std::shared_ptr<sequence>> sequences_;
    std::map<reservation_id, held_memory> reservations_;
    std::map<export_id, held_memory> exports_;
    prefix_cache cache_;
    std::vector<loaded_release> models_;
    std::string role_ = "mixed";
    fencing_number highest_fencing_;
    std::map<std::string, order_state> orders_;
    std::uint64_t next_id_ = 1;
    std::uint64_t arrivals_ = 0;
    std::uint64_t load_sequence_ = 0;
    std::deque<load_report> reports_;
    boost::asio::steady_timer work_;  ///< cancelled when work arrives
};

/// @brief Memory that is neither held by a sequence, a reservation nor an export.
[[nodiscard]] token_count free_memory(const engine_process& engine);

/// @brief The memory of reservation @a id, 0 when it does not exist.
[[nodiscard]] token_count reserved_memory(const engine_process& engine, const reservation_id& id);

/// @brief The sequence of @a kind for @a id with the newest attempt, or null.
[[nodiscard]] std::shared_ptr<sequence> find_sequence(const engine_process& engine, const request_id& id,
                                                      sequence_kind kind);

/// @brief True when @a model is loaded, with @a adapter unless that is empty.
[[nodiscard]] bool has_model(const engine_process& engine, const model_id& model, const adapter_id& adapter);

/// @brief Adds a sequence to the batch and wakes it.
void add_sequence(engine_process& engine, const std::shared_ptr<sequence>& added);

/// @brief Ends work on @a each, frees its memory and wakes its stream.
void cancel_sequence(sequence& each);

/// @brief One step of the batch: fills free slots, spends the prefill budget, decodes all running sequences.
void advance(engine_process& engine, std::chrono::duration<double> elapsed, time_point now);

/// @brief Runs the batch until the context stops; sleeps while there is no work.
awaitable<void> run_batch(engine_process& engine);

/// @brief Keeps load reports of the past, so that `GET /v1/load` can answer with an old one.
awaitable<void> record_reports(engine_process& engine);

/// @brief The answers to `GET /v1/load` and `GET /v1/requests`.
[[nodiscard]] json report_load(engine_process& engine, time_point now);
[[nodiscard]] json list_holdings(const engine_process& engine, time_point now);

awaitable<void> serve_completion(engine_process& engine, exchange& current, bool chat);
awaitable<void> serve_resume(engine_process& engine, exchange& current, request_id id);
awaitable<void> serve_cancel(engine_process& engine, exchange& current, request_id id);
awaitable<void> serve_prefill(engine_process& engine, exchange& current);
awaitable<void> serve_reserve(engine_process& engine, exchange& current);
awaitable<void> serve_order(engine_process& engine, exchange& current);

/// @brief Streams the parts of an answer from @a first on; ends an older stream of the same answer.
awaitable<void> stream_answer(engine_process& engine, std::shared_ptr<sequence> answer, exchange& current,
                              part_number first);

/// @brief Refuses when one of @a imports is not held by the engine that it names.
/// @return true when all are there
awaitable<bool> check_imports(engine_process& engine, exchange& current, const json& body);

/// @brief The text @a name of @a body as an identifier, empty when it is absent.
template <class Id>
[[nodiscard]] Id id_in(const json& body, const char* name)
{
    return Id{body.value(name, std::string())};
}

}  // namespace cornelstall::standins::detail
