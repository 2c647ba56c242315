#ifndef EGRETLEDGE_STANDIN_LOG_MODEL_HPP
#define EGRETLEDGE_STANDIN_LOG_MODEL_HPP

// An in-memory model of the platform's log, for tests and the demo.

#include "core/messages.hpp"
#include <deque>
#include <map>

namespace egretledge::standin
{

// Streams of records, numbered by offset from 0. A stream keeps its latest `max_records` records.
class log_model
{
public:
    explicit log_model(std::size_t max_records = 100000) : m_max_records(max_records) {}

    // Returns the offset of the new record.
    std::uint64_t append(const std::string& stream, std::string data)
    {
        auto& log_stream = m_streams[stream];
        const auto offset = log_stream.first + log_stream.records.size();
        log_stream.records.push_back(std::move(data));
        if (log_stream.records.size() > m_max_records)
            drop(log_stream, log_stream.records.size() - m_max_records);
        ++m_appends;
        return offset;
    }

    // Returns at most `max_entries` records from offset `from`, or from the oldest kept record if
    // that is later. An unknown stream gives an empty page.
    log_page read(const std::string& stream, std::uint64_t from,
                  std::size_t max_entries = 1000) const
    {
        log_page page;
        const auto found = m_streams.find(stream);
        if (found == m_streams.end())
            return page;
        const auto& log_stream = found->second;
        page.first_kept = log_stream.first;
        auto offset = std::max(from, log_stream.first);
        for (; offset < log_stream.first + log_stream.records.size() &&
               page.entries.size() < max_entries;
             ++offset)
            page.entries.push_back({offset, log_stream.records[offset - log_stream.first]});
        page.next = offset;
        return page;
    }

    // Drops all but the latest `max_records` records of a stream, as the log's retention does.
    void age_out(const std::string& stream, std::size_t max_records)
    {
        auto& log_stream = m_streams[stream];
        if (log_stream.records.size() > max_records)
            drop(log_stream, log_stream.records.size() - max_records);
    }

    // The number of appends to all streams.
    std::uint64_t appends() const { return m_appends; }

private:
    struct stream
    {
        std::uint64_t first = 0; // offset of the oldest kept record
        std::deque<std::string> records;
    };

    static void drop(stream& log_stream, std::size_t count)
    {
        log_stream.first += count;
        log_stream.records.erase(log_stream.records.begin(),
                                 log_stream.records.begin() + static_cast<std::ptrdiff_t>(count));
    }

    std::size_t m_max_records;
    std::map<std::string, stream> m_streams;
    std::uint64_t m_appends = 0;
};

} // namespace egretledge::standin

#endif
