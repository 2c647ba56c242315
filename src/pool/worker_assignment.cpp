// Workers without a holder are assigned in the order of their ids, each to a host of its data
// centre. Every host computes the same assignment:
//
// - A settled host is preferred to one that does not know yet which host holds which workers. If
//   only the latter exists, the worker is assigned to it and no other host acquires the worker.
// - A host below the maximum is preferred to a full one. If all are full, the one that holds the
//   fewest workers, relative to its maximum, is chosen.
// - Where both rules apply, a host that has room and is about to settle is preferred to a full one,
//   but a full one to a host that stays unsettled. After a restart of all hosts the first one to
//   settle therefore does not take all workers.
// - A host of a larger capacity class is preferred to one of a smaller class.
// - A host that already holds workers is preferred to one that holds none, so that few hosts have
//   large pools.
// - Remaining ties are resolved by a hash of data centre and host.
//
// A host that is short of processor time counts as full, whatever it holds: hosts differ in how
// many workers they can serve.
//
// In a data centre where a host announces how many workers it can serve, the hosts have quotas. The
// shortest list of hosts, by class, holding and hash, whose capacities add up to
// `capacity_surplus` times the workers shares them in proportion to capacity. The others get the
// quota 0. A worker without a holder goes to a settled host below its quota, then to one below its
// quota that is about to settle. The rules above apply if there is neither.
//
// A host that holds more than the maximum, since others were away, or that is short of processor
// time hands workers over while a settled host of their data centre has room. With quotas it does
// so if its excess over the quota is large, or if its quota is 0 and a host of a larger class has
// room. Otherwise the pools stay as they are: a move costs the worker's callers a heartbeat's
// delay.
//
// If a data centre has no host, the hosts of the other data centres serve it by the same rules,
// without quotas.

#include "pool/worker_assignment.hpp"
#include <algorithm>
#include <bit>
#include <xxhash.h>

namespace egretledge::pool
{

namespace
{

// Returns the position of a host in the order of preference of a data centre; lower is first.
std::uint64_t rank_of(const std::string& data_centre, const std::string& host)
{
    const std::string hash_input = data_centre + "/" + host;
    return XXH64(hash_input.data(), hash_input.size(), 0);
}

// The order of preference of hosts by whether they are settled and have room.
enum class preference : std::uint8_t
{
    settled_with_room,
    settling_with_room,
    settled_and_full,
    unsettled_with_room,
    unsettled_and_full
};

preference preference_of(const candidate_host& host, bool full)
{
    if (host.settled)
        return full ? preference::settled_and_full : preference::settled_with_room;
    if (full)
        return preference::unsettled_and_full;
    return host.settling ? preference::settling_with_room : preference::unsettled_with_room;
}

// A host with the values that the rules compare.
struct rated_host
{
    const candidate_host* host = nullptr;
    std::uint32_t held = 0;       // including the workers that this round has assigned to it
    std::uint32_t capacity = 1;   // number of workers at which it is full
    std::uint32_t size_class = 1; // the largest power of two that is not above `capacity`
    std::uint32_t quota = 0;      // in its own data centre, if that has quotas

    bool full() const { return host->overloaded || held >= capacity; }
    // Returns what it holds relative to its capacity.
    std::uint64_t load() const
    {
        constexpr std::uint64_t scale = 1ULL << 32;
        return held * scale / capacity;
    }
};

// The hosts as one data centre sees them.
struct data_centre_view
{
    std::vector<std::uint64_t> ranks; // of all hosts, in their order
    bool has_host = false;            // that is not leaving
    bool has_settled_host = false;    // that is not leaving
    bool has_quotas = false;          // a host announces how many workers it can serve
    // The hosts whose quota is not 0, in the order in which quotas are filled.
    std::vector<std::size_t> quota_order;
};

class assigner
{
public:
    assigner(const worker_assignment_settings& settings, const worker_registry& registry,
             const std::vector<candidate_host>& hosts)
        : m_settings(settings)
    {
        m_hosts.reserve(hosts.size());
        bool announced = false;
        for (const auto& host : hosts)
        {
            announced = announced || host.max_workers > 0;
            const auto capacity =
                std::max(host.max_workers > 0 ? host.max_workers : settings.max_workers, 1U);
            m_hosts.push_back({&host, host.held, capacity, std::bit_floor(capacity), 0});
        }
        if (announced)
            for (const auto& [id, entry] : registry)
                m_worker_counts[entry.data_centre] += entry.leaving ? 0 : 1;
    }

    const data_centre_view& view(const std::string& data_centre)
    {
        const auto [entry, added] = m_views.try_emplace(data_centre);
        auto& view = entry->second;
        if (!added)
            return view;
        view.ranks.reserve(m_hosts.size());
        for (const auto& item : m_hosts)
        {
            const auto& host = *item.host;
            view.ranks.push_back(rank_of(data_centre, host.name));
            if (host.leaving || host.data_centre != data_centre)
                continue;
            view.has_host = true;
            view.has_settled_host = view.has_settled_host || host.settled;
            view.has_quotas = view.has_quotas || host.max_workers > 0;
        }
        if (view.has_quotas)
            set_quotas(data_centre, view);
        return view;
    }

    // Returns the host that should acquire a worker of `data_centre`; null if there is none.
    rated_host* choose_host(const std::string& data_centre)
    {
        const auto& centre = view(data_centre);
        if (auto* host = choose_below_quota(centre); host != nullptr)
            return host;
        rated_host* best = nullptr;
        const auto key = [&](const rated_host& item)
        {
            const bool full = item.full();
            const auto position = static_cast<std::size_t>(&item - m_hosts.data());
            return std::make_tuple(preference_of(*item.host, full), full ? item.load() : 0,
                                   ~item.size_class, item.held == 0, centre.ranks[position]);
        };
        for (auto& item : m_hosts)
        {
            if (item.host->leaving || (centre.has_host && item.host->data_centre != data_centre))
                continue;
            if (best == nullptr || key(item) < key(*best))
                best = &item;
        }
        return best;
    }

    // Returns how many workers of its own data centre this host should hand over. It holds `held`
    // workers, `local` of them of its own data centre.
    std::size_t count_handover(const rated_host& self, std::size_t held, std::size_t local)
    {
        const auto& own = *self.host;
        if (own.leaving)
            return 0;
        const bool quotas = view(own.data_centre).has_quotas;
        const std::size_t maximum = quotas ? self.quota : self.capacity;
        const std::size_t counted = quotas ? local : held;
        const std::size_t tolerance =
            quotas && maximum > 0
                ? maximum / m_settings.tolerated_fraction + m_settings.tolerated_workers
                : 0;
        if (!own.overloaded && counted <= maximum + tolerance)
            return 0;
        std::size_t room = 0;
        for (const auto& item : m_hosts)
        {
            const auto& host = *item.host;
            const auto limit = quotas ? item.quota : item.capacity;
            if (&item == &self || host.data_centre != own.data_centre || !host.settled ||
                host.leaving || item.full() || item.held >= limit)
                continue;
            // No host gives up its pool to an equal one.
            if (quotas && maximum == 0 && !own.overloaded && item.size_class <= self.size_class)
                continue;
            room += limit - item.held;
        }
        const std::size_t excess = own.overloaded ? held : counted - maximum;
        return std::min({excess, room, static_cast<std::size_t>(m_settings.max_handover)});
    }

    rated_host* find(const std::string& name)
    {
        const auto found =
            std::find_if(m_hosts.begin(), m_hosts.end(),
                         [&](const rated_host& item) { return item.host->name == name; });
        return found == m_hosts.end() ? nullptr : &*found;
    }

private:
    void set_quotas(const std::string& data_centre, data_centre_view& centre)
    {
        auto& order = centre.quota_order;
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
        {
            const auto& host = *m_hosts[i].host;
            if (!host.leaving && !host.overloaded && host.data_centre == data_centre)
                order.push_back(i);
        }
        const auto key = [&](std::size_t i)
        {
            const auto& item = m_hosts[i];
            return std::make_tuple(~item.size_class, item.held == 0, centre.ranks[i]);
        };
        std::sort(order.begin(), order.end(),
                  [&](std::size_t a, std::size_t b) { return key(a) < key(b); });
        const std::uint64_t workers = m_worker_counts[data_centre];
        const auto needed = static_cast<double>(workers) * m_settings.capacity_surplus;
        std::uint64_t capacity = 0;
        std::size_t count = 0;
        while (count < order.size() && static_cast<double>(capacity) < needed)
            capacity += m_hosts[order[count++]].capacity;
        order.resize(count);
        for (const auto i : order)
        {
            auto& item = m_hosts[i];
            // Rounded up, so that the quotas add up to at least the number of workers.
            const auto share = (workers * item.capacity + capacity - 1) / capacity;
            item.quota = static_cast<std::uint32_t>(std::min<std::uint64_t>(share, item.capacity));
        }
    }

    rated_host* choose_below_quota(const data_centre_view& centre)
    {
        rated_host* settling = nullptr;
        for (const auto i : centre.quota_order)
        {
            auto& item = m_hosts[i];
            if (item.held >= item.quota)
                continue;
            if (item.host->settled)
                return &item;
            if (settling == nullptr && item.host->settling)
                settling = &item;
        }
        return settling;
    }

    const worker_assignment_settings& m_settings;
    std::vector<rated_host> m_hosts;
    std::map<std::string, std::uint32_t> m_worker_counts; // by data centre, without leaving ones
    std::map<std::string, data_centre_view> m_views;
};

} // namespace

worker_assignment choose_workers(const worker_assignment_settings& settings,
                                 const std::string& self, const worker_registry& registry,
                                 const std::vector<candidate_host>& hosts,
                                 const std::set<std::string>& held_elsewhere,
                                 const std::set<std::string>& own)
{
    worker_assignment result;
    assigner round(settings, registry, hosts);
    const auto* this_host = round.find(self);
    if (this_host == nullptr)
        return result;
    const auto& own_host = *this_host->host;
    result.quota =
        round.view(own_host.data_centre).has_quotas ? this_host->quota : this_host->capacity;
    const auto local = static_cast<std::size_t>(
        std::count_if(own.begin(), own.end(),
                      [&](const std::string& id)
                      {
                          const auto entry = registry.find(id);
                          return entry != registry.end() && !entry->second.leaving &&
                                 entry->second.data_centre == own_host.data_centre;
                      }));
    auto left_to_hand_over = round.count_handover(*this_host, own.size(), local);
    for (const auto& [id, entry] : registry)
    {
        if (own.contains(id))
        {
            const bool remote = entry.data_centre != own_host.data_centre;
            if (own_host.leaving || (remote && round.view(entry.data_centre).has_settled_host))
                result.release.push_back(id);
            else if (left_to_hand_over > 0 && !remote && !entry.leaving)
            {
                --left_to_hand_over;
                result.hand_over.push_back(id);
            }
            continue;
        }
        if (held_elsewhere.contains(id) || entry.leaving)
            continue;
        auto* host = round.choose_host(entry.data_centre);
        if (host == nullptr)
            continue;
        ++host->held;
        if (host == this_host && own_host.settled)
            result.acquire.push_back(id);
    }
    return result;
}

} // namespace egretledge::pool
