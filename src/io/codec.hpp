#ifndef EGRETLEDGE_IO_CODEC_HPP
#define EGRETLEDGE_IO_CODEC_HPP

// Text forms of what crosses HTTP: JSON for described structs, the callers' jobs and answers, the
// platform's log pages. Input from outside is checked here; what is wrong becomes a typed error.

#include "core/messages.hpp"
#include <boost/json.hpp>

namespace egretledge
{

// The JSON text of a struct that is described with Boost.Describe.
template <class T>
std::string to_json(const T& value)
{
    return boost::json::serialize(boost::json::value_from(value));
}

// Parses such a struct. Nesting deeper than 32 and anything malformed is bad_input.
template <class T>
expected<T> from_json(std::string_view text)
{
    boost::json::error_code code;
    boost::json::parse_options options;
    options.max_depth = 32;
    const auto value = boost::json::parse(text, code, {}, options);
    if (code)
        return tl::make_unexpected(
            error{error_kind::bad_input, "not JSON: " + code.message() + "; send valid JSON"});
    auto result = boost::json::try_value_to<T>(value);
    if (!result)
        return tl::make_unexpected(
            error{error_kind::bad_input, "JSON of another shape: " + result.error().message()});
    return std::move(*result);
}

// A caller's job:
//     {"service": "stock-check", "deadline_ms": 2000,
//      "tasks": [{"payload": "...", "size_ms": 200}]}
// deadline_ms and size_ms may be left out. At most `max_tasks` tasks; unknown fields are refused.
expected<wire::Job> parse_job(std::string_view text, std::uint32_t max_tasks);

// The JSON form of a job, as parse_job() reads it.
std::string job_to_json(const wire::Job& job);

// An answer as a caller gets it, with the remedy of its kind.
std::string answer_to_json(const std::string& key, const wire::Answer& answer);

// The SHA-256 of a text in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

std::string page_to_json(const log_page& page);
expected<log_page> page_from_json(std::string_view text);

// The question's path at the worker, and its JSON.
std::string_view path_of(const worker_question& request);
std::string request_to_json(const worker_question& request);
expected<worker_question> request_from_json(std::string_view path, std::string_view text);
std::string answer_to_json(const worker_answer& answer);
// Reads the answer to a question of the same kind as `request`.
worker_answer worker_answer_from_json(std::size_t request_index, std::string_view text);

} // namespace egretledge

#endif
