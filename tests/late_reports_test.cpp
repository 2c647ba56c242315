// Workers' reports that the store carries out late, behind newer ones of the same worker
// (review/10).

#include "tests/worker_store.hpp"
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace egretledge::platform;

namespace
{

// The entry that a worker writes with its report `number`, in JSON.
std::string report_of(const std::string& state, std::uint64_t start_time_ms,
                      const std::string& number)
{
    return R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","capacity":{"cpu":16000,)"
           R"("mem_mb":32768},"state":")" +
           state + R"(","born":)" + std::to_string(start_time_ms) + R"(,"seq":)" + number + "}";
}

const std::string first_report = report_of("ready", 100, "7");
const std::string late_report = report_of("ready", 100, "8");
const std::string draining_report = report_of("draining", 100, "9");
// A later entry of another worker, which shows that what precedes it was read.
const std::string other_worker = report_of("ready", 100, "1");

bool has(const pool::worker_registry& registry, const std::string& id, bool leaving)
{
    const auto entry = registry.find(id);
    return entry != registry.end() && entry->second.leaving == leaving;
}

// Lets the worker i-1 report "ready" and then "draining". Once that is read, calls `disturb`, and
// returns the registry as of when the worker i-2 is listed.
pool::worker_registry follow_draining(worker_store& store, const std::function<void()>& disturb)
{
    store.page = page_of({item(R"("i-1")", first_report)});
    int stage = 0;
    return follow_registry(store,
                           [&](const pool::worker_registry& registry)
                           {
                               if (stage == 0 && has(registry, "i-1", false))
                               {
                                   store.batch = encode_record({"i-1", draining_report});
                                   stage = 1;
                               }
                               else if (stage == 1 && has(registry, "i-1", true))
                               {
                                   disturb();
                                   stage = 2;
                               }
                               return registry.contains("i-2");
                           });
}

} // namespace

// Guards against tasks that start on a draining worker: the store appended an older report of
// "ready" behind that of "draining", and the newest record was taken for the newest report.
BOOST_AUTO_TEST_CASE(a_worker_stays_draining_behind_a_late_report_of_ready)
{
    worker_store store;
    const auto registry = follow_draining(store,
                                          [&] {
                                              store.batch = encode_record({"i-1", late_report}) +
                                                            encode_record({"i-2", other_worker});
                                          });
    BOOST_TEST(registry.contains("i-2"));
    BOOST_TEST(has(registry, "i-1", true));
}

// Guards against the same where the store has deleted its history, so that the late report is the
// only one of the worker that it returns.
BOOST_AUTO_TEST_CASE(a_worker_stays_draining_when_the_pages_hold_only_a_late_report)
{
    worker_store store;
    const auto registry = follow_draining(
        store,
        [&]
        {
            store.page = page_of({item(R"("i-1")", late_report), item(R"("i-2")", other_worker)});
            store.history_lost = true;
        });
    BOOST_TEST(registry.contains("i-2"));
    BOOST_TEST(has(registry, "i-1", true));
}

// Guards against tasks for a worker that has left: a late report listed it again after its entry
// had been removed.
BOOST_AUTO_TEST_CASE(a_worker_that_has_left_is_not_listed_again_by_a_late_report)
{
    worker_store store;
    const auto registry = follow_draining(store,
                                          [&]
                                          {
                                              store.batch = encode_record({"i-1", std::nullopt}) +
                                                            encode_record({"i-1", late_report}) +
                                                            encode_record({"i-2", other_worker});
                                          });
    BOOST_TEST(registry.contains("i-2"));
    BOOST_TEST(!registry.contains("i-1"));
}

// Guards against tasks that start on a draining worker: the store carried out an older report of
// "ready" late, behind the report of "draining", and the worker counted as ready again.
BOOST_AUTO_TEST_CASE(a_report_that_the_store_writes_late_does_not_undo_draining)
{
    const auto entry = [](std::uint64_t start_time_ms, std::uint64_t report)
    {
        pool::worker_entry result;
        result.id = "i-1";
        result.start_time_ms = start_time_ms;
        result.report = report;
        return result;
    };
    const auto at = [](std::int64_t ms) { return microseconds{ms * 1000}; };
    report_order order;
    BOOST_TEST(order.accept(at(0), entry(100, 7)));
    BOOST_TEST(order.accept(at(100), entry(100, 9)));
    BOOST_TEST(!order.accept(at(4650), entry(100, 8)));
    BOOST_TEST(order.accept(at(5000), entry(100, 9))); // read again after a gap in the history
    BOOST_TEST(order.accept(at(5100), entry(200, 1))); // the worker has restarted
    BOOST_TEST(!order.accept(at(6000), entry(100, 10)));
    BOOST_TEST(order.accept(at(6100), entry(200, 2)));
    // Entries without a number, or of a restarted worker whose clock was set back.
    BOOST_TEST(order.accept(at(6200), entry(200, 0)));
    BOOST_TEST(!order.accept(at(6300), entry(50, 1)));
    BOOST_TEST(order.accept(at(17000), entry(50, 8)));
}

// Guards against an order of reports that is not applied to what the store returns.
BOOST_AUTO_TEST_CASE(an_entry_names_its_report)
{
    const auto entry = decode_worker("i-1", report_of("ready", 100, "12"));
    BOOST_REQUIRE(entry.has_value());
    BOOST_TEST(entry->report == 12U);
    BOOST_TEST(decode_worker("i-1", report_of("ready", 100, "\"x\""))->report == 0U);
}
