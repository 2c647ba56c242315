// Uses Boost.JSON and Boost.Describe. The structs of internal protocols are converted by their
// description. Callers' jobs are parsed by hand, field by field, because people read the error
// messages, which must name the field and the remedy.

#include "io/codec.hpp"
#include "core/wire.hpp"
#include "io/base64.hpp"
#include <array>
#include <limits>
#include <openssl/sha.h>

namespace egretledge
{

namespace json = boost::json;

namespace
{

constexpr std::uint32_t max_duration_ms = 3'600'000;

tl::unexpected<error> bad_input_error(std::string message)
{
    return tl::make_unexpected(error{error_kind::bad_input, std::move(message)});
}

expected<std::uint32_t> parse_ms(const json::value& value, const std::string& field)
{
    if (!value.is_int64() || value.get_int64() < 0 || value.get_int64() > max_duration_ms)
        return bad_input_error("field '" + field +
                               "' is a whole number from 0 to 3600000 (milliseconds)");
    return static_cast<std::uint32_t>(value.get_int64());
}

expected<void> parse_task(const json::value& value, wire::Task& task)
{
    if (!value.is_object())
        return bad_input_error("each task is an object with a 'payload'");
    for (const auto& [name, field] : value.get_object())
    {
        if (name == "payload" && field.is_string())
            task.set_payload(std::string(field.get_string()));
        else if (name == "size_ms")
        {
            const auto size = parse_ms(field, "size_ms");
            if (!size)
                return tl::make_unexpected(size.error());
            task.set_size_ms(*size);
        }
        else
            return bad_input_error(
                "task field '" + std::string(name) +
                "' is not known or not a text; a task has 'payload' and 'size_ms'");
    }
    return {};
}

expected<void> parse_tasks(const json::value& value, std::uint32_t max_tasks, wire::Job& job)
{
    if (!value.is_array())
        return bad_input_error("field 'tasks' is a list of tasks");
    if (value.get_array().size() > max_tasks)
        return tl::make_unexpected(
            error{error_kind::refused,
                  "at most " + std::to_string(max_tasks) + " tasks a job; split the job"});
    for (const auto& item : value.get_array())
        if (auto result = parse_task(item, *job.add_tasks()); !result)
            return result;
    return {};
}

template <std::size_t I = 0>
worker_answer parse_answer(std::size_t index, std::string_view text)
{
    constexpr std::size_t kinds = std::variant_size_v<worker_request>;
    if constexpr (I >= kinds)
        return error{error_kind::internal, "no such kind of worker request"};
    else
    {
        if (index != I)
            return parse_answer<I + 1>(index, text);
        // The alternatives of worker_answer are the error, followed by the answers in the order of
        // the requests.
        auto parsed = from_json<std::variant_alternative_t<I + 1, worker_answer>>(text);
        // The answer is unreadable, but the request may have taken effect.
        if (!parsed)
            return error{error_kind::timed_out, "unreadable answer: " + parsed.error().message};
        return std::move(*parsed);
    }
}

// In the order of the alternatives of worker_request.
constexpr std::array<std::string_view, 5> request_paths{"/v1/leases", "/v1/starts", "/v1/results",
                                                        "/v1/history", "/v1/stops"};

template <std::size_t I = 0>
expected<worker_request> request_of_path(std::string_view path, std::string_view text)
{
    if constexpr (I >= request_paths.size())
        return tl::make_unexpected(error{error_kind::not_found, "no such path"});
    else
    {
        if (path != request_paths[I])
            return request_of_path<I + 1>(path, text);
        auto parsed = from_json<std::variant_alternative_t<I, worker_request>>(text);
        if (!parsed)
            return tl::make_unexpected(parsed.error());
        return worker_request{std::move(*parsed)};
    }
}

} // namespace

expected<wire::Job> parse_job(std::string_view text, std::uint32_t max_tasks)
{
    json::error_code code;
    json::parse_options options;
    options.max_depth = 8;
    const auto value = json::parse(text, code, {}, options);
    if (code)
        return bad_input_error("the body is not JSON: " + code.message());
    if (!value.is_object())
        return bad_input_error("the body is an object with 'service' and 'tasks'");
    wire::Job job;
    for (const auto& [name, field] : value.get_object())
    {
        if (name == "service" && field.is_string())
            job.set_service(std::string(field.get_string()));
        else if (name == "deadline_ms")
        {
            const auto deadline = parse_ms(field, "deadline_ms");
            if (!deadline)
                return tl::make_unexpected(deadline.error());
            job.set_deadline_ms(*deadline);
        }
        else if (name == "tasks")
        {
            if (auto result = parse_tasks(field, max_tasks, job); !result)
                return tl::make_unexpected(result.error());
        }
        else
            return bad_input_error("field '" + std::string(name) +
                                   "' is not known or has the wrong type; a job has 'service', "
                                   "'deadline_ms' and 'tasks'");
    }
    if (job.service().empty())
        return bad_input_error("field 'service' is missing; name a service of the configuration");
    if (job.tasks_size() == 0)
        return bad_input_error("field 'tasks' is missing or empty; a job has at least one task");
    return job;
}

std::string job_to_json(const wire::Job& job)
{
    json::array tasks;
    for (const auto& task : job.tasks())
        tasks.push_back({{"payload", task.payload()}, {"size_ms", task.size_ms()}});
    json::object out{{"service", job.service()}, {"tasks", std::move(tasks)}};
    if (job.deadline_ms() > 0)
        out["deadline_ms"] = job.deadline_ms();
    return json::serialize(out);
}

std::string answer_to_json(const std::string& key, const wire::Answer& answer)
{
    const auto kind = kind_of(answer);
    json::object out{{"key", key},
                     {"outcome", name_of(outcome_of(answer))},
                     {"kind", name_of(kind)},
                     {"remedy", row_of(kind).remedy}};
    if (!answer.detail().empty())
        out["detail"] = answer.detail();
    if (answer.retry_after_ms() > 0)
        out["retry_after_ms"] = answer.retry_after_ms();
    json::array tasks;
    const bool complete = outcome_of(answer) == outcome::complete;
    for (const auto& task : answer.tasks())
    {
        json::object line{{"state", name_of(static_cast<run_state>(task.run_state()))}};
        if (complete)
            line["output"] = task.output();
        tasks.push_back(std::move(line));
    }
    if (!tasks.empty())
        out["tasks"] = std::move(tasks);
    return json::serialize(out);
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (const auto byte : digest)
    {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 0xFU]);
    }
    return hex;
}

std::string page_to_json(const log_page& page)
{
    json::array entries;
    for (const auto& entry : page.entries)
        entries.push_back({{"offset", entry.offset}, {"data", to_base64(entry.data)}});
    return json::serialize(json::object{
        {"first_kept", page.first_kept}, {"next", page.next}, {"entries", std::move(entries)}});
}

namespace
{

// The JSON form of a log_page.
struct page_text
{
    struct line
    {
        std::uint64_t offset = 0;
        std::string data;
    };
    std::uint64_t first_kept = 0;
    std::uint64_t next = 0;
    std::vector<line> entries;
};
BOOST_DESCRIBE_STRUCT(page_text::line, (), (offset, data))
BOOST_DESCRIBE_STRUCT(page_text, (), (first_kept, next, entries))

} // namespace

expected<log_page> page_from_json(std::string_view text)
{
    const auto parsed = from_json<page_text>(text);
    if (!parsed)
        return tl::make_unexpected(parsed.error());
    log_page page{parsed->first_kept, parsed->next, {}};
    for (const auto& entry : parsed->entries)
    {
        auto data = from_base64(entry.data);
        if (!data)
            return tl::make_unexpected(data.error());
        page.entries.push_back({entry.offset, std::move(*data)});
    }
    return page;
}

std::string_view path_of(const worker_request& request)
{
    return request_paths.at(request.index());
}

std::string request_to_json(const worker_request& request)
{
    return std::visit([](const auto& value) { return to_json(value); }, request);
}

expected<worker_request> request_from_json(std::string_view path, std::string_view text)
{
    return request_of_path(path, text);
}

std::string answer_to_json(const worker_answer& answer)
{
    return std::visit([](const auto& value) { return to_json(value); }, answer);
}

worker_answer worker_answer_from_json(std::size_t request_index, std::string_view text)
{
    return parse_answer(request_index, text);
}

} // namespace egretledge
