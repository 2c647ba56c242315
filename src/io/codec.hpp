#ifndef EGRETLEDGE_IO_CODEC_HPP
#define EGRETLEDGE_IO_CODEC_HPP

// JSON forms of the data that is sent over HTTP: structs described with Boost.Describe, the
// callers' jobs and answers, and the platform's log pages. Input from outside the process is
// validated here; invalid input is returned as a typed error.

#include "core/messages.hpp"
#include <boost/json.hpp>

namespace egretledge
{

// Returns the JSON form of a struct that is described with Boost.Describe.
template <class T>
std::string to_json(const T& value)
{
    return boost::json::serialize(boost::json::value_from(value));
}

// Parses a struct that is described with Boost.Describe. Returns bad_input if the text is
// malformed, nested deeper than 32 levels, or does not match the struct.
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

// Parses a caller's job:
//     {"service": "stock-check", "deadline_ms": 2000,
//      "tasks": [{"payload": "...", "size_ms": 200}]}
// deadline_ms and size_ms are optional, at most 3600000. Returns `refused` for more than
// `max_tasks` tasks, and bad_input for unknown fields and everything else that is invalid.
expected<wire::Job> parse_job(std::string_view text, std::uint32_t max_tasks);

// Returns the JSON form of a job, as parse_job() reads it.
std::string job_to_json(const wire::Job& job);

// Returns an answer as the caller receives it, including the remedy for the answer's kind.
std::string answer_to_json(const std::string& key, const wire::Answer& answer);

// Returns the SHA-256 digest of a text in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

// A page of the platform's log; the data of its entries is base64 in JSON.
std::string page_to_json(const log_page& page);
expected<log_page> page_from_json(std::string_view text);

// The path of a request at the worker, and its JSON form.
std::string_view path_of(const worker_request& request);
std::string request_to_json(const worker_request& request);
expected<worker_request> request_from_json(std::string_view path, std::string_view text);
std::string answer_to_json(const worker_answer& answer);
// Parses the answer to a request whose index in worker_request is `request_index`. An unreadable
// answer becomes an error of kind timed_out, because the request may have taken effect.
worker_answer worker_answer_from_json(std::size_t request_index, std::string_view text);

} // namespace egretledge

#endif
