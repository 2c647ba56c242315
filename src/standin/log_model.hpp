#ifndef EGRETLEDGE_STANDIN_LOG_MODEL_HPP
#define EGRETLEDGE_STANDIN_LOG_MODEL_HPP

// The platform's log and host list in memory, for tests and the demo.

#include "core/messages.hpp"
#include <deque>
#include <map>

namespace egretledge::standin
{

// Streams of records with offsets. A stream keeps its latest records only.
class log_model
{
public:
    explicit log_model(std::size_t kept = 100000) : m_kept(kept) {}

    std::uint64_t append(const std::string& stream, std::string data)
    {
        auto& s = m_streams[stream];
        const auto offset = s.first + s.records.size();
        s.records.push_back(std::move(data));
        if (s.records.size() > m_kept)
            drop(s, s.records.size() - m_kept);
        ++m_appends;
        return offset;
    }

    log_page read(const std::string& stream, std::uint64_t from, std::size_t most = 1000) const
    {
        log_page page;
        const auto found = m_streams.find(stream);
        if (found == m_streams.end())
            return page;
        const auto& s = found->second;
        page.first_kept = s.first;
        auto offset = std::max(from, s.first);
        for (; offset < s.first + s.records.size() && page.entries.size() < most; ++offset)
            page.entries.push_back({offset, s.records[offset - s.first]});
        page.next = offset;
        return page;
    }

    // Drops all but the latest `kept` records of a stream, as retention does.
    void age_out(const std::string& stream, std::size_t kept)
    {
        auto& s = m_streams[stream];
        if (s.records.size() > kept)
            drop(s, s.records.size() - kept);
    }

    std::uint64_t appends() const { return m_appends; }

private:
    struct stream
    {
        std::uint64_t first = 0;
        std::deque<std::string> records;
    };

    static void drop(stream& s, std::size_t count)
    {
        s.first += count;
        s.records.erase(s.records.begin(), s.records.begin() + static_cast<std::ptrdiff_t>(count));
    }

    std::size_t m_kept;
    std::map<std::string, stream> m_streams;
    std::uint64_t m_appends = 0;
};

} // namespace egretledge::standin

#endif
