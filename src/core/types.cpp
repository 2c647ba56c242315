// Tables of names and remedies, and the parser of job keys.
//
// All remedies are in one table, so that the text of an answer always matches its outcome: an
// answer names only its kind; the outcome, HTTP status and remedy are those of the kind's row.

#include "egretledge/types.hpp"
#include "core/check.hpp"
#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <xxhash.h>

namespace egretledge
{

namespace
{

constexpr std::size_t max_key_bytes = 160;
constexpr std::size_t max_nonce_bytes = 64;
constexpr std::size_t max_made_digits = 15;

constexpr unsigned status_complete = 200;
constexpr unsigned status_failed = 502;
constexpr unsigned status_not_run = 503;
constexpr unsigned status_unknown = 504;

// In the order of the enumerators of answer_kind, which row_of() uses as index.
constexpr std::array answer_table{
    answer_row{answer_kind::ok, outcome::complete, status_complete, "none needed"},
    answer_row{answer_kind::task_failed, outcome::failed, status_failed,
               "read each task's run state; mend the failing task and submit under a new key"},
    answer_row{answer_kind::deadline_passed, outcome::failed, status_failed,
               "read each task's run state; submit what is missing under a new key"},
    answer_row{answer_kind::cancelled, outcome::failed, status_failed,
               "none needed: the job was cancelled; each task's run state follows"},
    answer_row{answer_kind::worker_lost, outcome::failed, status_failed,
               "a worker was lost with a task that may not be repeated; check that task's effect"},
    answer_row{answer_kind::cancelled_before_start, outcome::not_run, status_not_run,
               "none needed: the job was cancelled before any task started"},
    answer_row{answer_kind::expired_in_queue, outcome::not_run, status_not_run,
               "no task started before the deadline; submit under a new key after Retry-After"},
    answer_row{answer_kind::no_worker_fits, outcome::not_run, status_not_run,
               "no worker of the data centre can run the service; ask the operator for workers"},
    answer_row{answer_kind::over_capacity, outcome::not_run, status_not_run,
               "submit under a new key after the time given in Retry-After"},
    answer_row{answer_kind::over_quota, outcome::not_run, status_not_run,
               "the team's quota is in use; submit under a new key after Retry-After"},
    answer_row{answer_kind::before_takeover, outcome::not_run, status_not_run,
               "the key was made before its owner changed and never ran; submit under a new key"},
    answer_row{answer_kind::recovering, outcome::unknown, status_unknown,
               "the new owner is collecting the history; ask again with the same key"},
    answer_row{answer_kind::owner_unreachable, outcome::unknown, status_unknown,
               "the key's owner did not answer; ask again with the same key"},
    answer_row{answer_kind::no_owner, outcome::unknown, status_unknown,
               "the key has no owner at present; ask again with the same key"},
    answer_row{answer_kind::key_expired, outcome::unknown, status_unknown,
               "the key is older than the window, its history is gone; check the order's effect"},
    answer_row{answer_kind::bad_key, outcome::rejected, 400,
               "send an Idempotency-Key of the form DATA_CENTRE.UNIX_MS.NONCE"},
    answer_row{answer_kind::key_ahead_of_clock, outcome::rejected, 400,
               "the key's time lies in the future; set the caller's clock and make a new key"},
    answer_row{answer_kind::key_conflict, outcome::rejected, 409,
               "the key was used with another body; send the first body, or make a new key"},
    answer_row{answer_kind::unknown_service, outcome::rejected, 400,
               "name a service of the published configuration"},
    answer_row{answer_kind::unknown_team, outcome::rejected, 403,
               "ask the operator to publish the team"},
    answer_row{answer_kind::bad_request, outcome::rejected, 400, "mend the request as described"},
    answer_row{answer_kind::too_large, outcome::rejected, 413,
               "split the job, or ask the operator to raise the limit"},
    answer_row{answer_kind::not_seen, outcome::rejected, 404,
               "no job with this key was seen; submit it if it should run"},
    answer_row{answer_kind::still_running, outcome::unknown, 202,
               "the job is running; ask again with the same key"},
    answer_row{answer_kind::no_configuration, outcome::unknown, status_unknown,
               "this host has no configuration yet; ask another host with the same key"},
    answer_row{answer_kind::not_authorised, outcome::rejected, 401,
               "send the team's token as 'Authorization: Bearer TOKEN'"},
    answer_row{answer_kind::wrong_data_centre, outcome::rejected, 400,
               "the key names a data centre that is not configured; make a key for one that is"},
};

template <class Enum>
std::string_view described_name(Enum value)
{
    const char* name = boost::describe::enum_to_string(value, nullptr);
    EGRET_CHECK(name != nullptr, "the value must be a described enumerator");
    return name;
}

bool is_alphanumeric(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0;
}

bool is_name_char(char c)
{
    return is_alphanumeric(c) || c == '-' || c == '_';
}

tl::unexpected<error> key_error(std::string message)
{
    return tl::make_unexpected(error{error_kind::bad_input, std::move(message)});
}

} // namespace

const answer_row& row_of(answer_kind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    EGRET_CHECK(index < answer_table.size() && answer_table[index].kind == kind,
                "answer_table must have one row per answer_kind, in order");
    return answer_table[index];
}

std::string_view name_of(outcome value)
{
    return described_name(value);
}
std::string_view name_of(run_state value)
{
    return described_name(value);
}
std::string_view name_of(answer_kind value)
{
    return described_name(value);
}
std::string_view name_of(error_kind value)
{
    return described_name(value);
}

expected<job_key> parse_job_key(std::string_view key_text)
{
    if (key_text.empty() || key_text.size() > max_key_bytes)
        return key_error("a job key has 1 to 160 bytes; use DATA_CENTRE.UNIX_MS.NONCE");
    const auto first = key_text.find('.');
    const auto second = first == std::string_view::npos ? first : key_text.find('.', first + 1);
    if (second == std::string_view::npos)
        return key_error("a job key has three parts; use DATA_CENTRE.UNIX_MS.NONCE");
    const auto centre = key_text.substr(0, first);
    const auto made = key_text.substr(first + 1, second - first - 1);
    const auto nonce = key_text.substr(second + 1);
    if (centre.empty() || !std::all_of(centre.begin(), centre.end(), is_name_char))
        return key_error("the key's data centre has letters, digits, '-' and '_' only");
    if (nonce.empty() || nonce.size() > max_nonce_bytes ||
        !std::all_of(nonce.begin(), nonce.end(), is_alphanumeric))
        return key_error("the key's nonce has 1 to 64 letters and digits");
    std::int64_t made_ms = 0;
    const auto [end, code] = std::from_chars(made.data(), made.data() + made.size(), made_ms);
    if (made.empty() || made.size() > max_made_digits || made.front() == '-' ||
        code != std::errc{} || end != made.data() + made.size())
        return key_error("the key's second part is Unix time in milliseconds, 1 to 15 digits");
    return job_key{std::string(centre), milliseconds{made_ms}, std::string(key_text)};
}

job_id make_job_id(std::string_view team, std::string_view key)
{
    std::string hash_input;
    hash_input.reserve(team.size() + 1 + key.size());
    hash_input.append(team).append(1, '\0').append(key);
    const XXH128_hash_t hash = XXH3_128bits(hash_input.data(), hash_input.size());
    return {hash.high64, hash.low64};
}

std::uint32_t shard_of(const job_id& id, std::uint32_t shards)
{
    EGRET_CHECK(shards > 0, "a data centre must have at least one shard");
    return static_cast<std::uint32_t>(id.high % shards);
}

} // namespace egretledge
