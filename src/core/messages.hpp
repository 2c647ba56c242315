#ifndef EGRETLEDGE_CORE_MESSAGES_HPP
#define EGRETLEDGE_CORE_MESSAGES_HPP

// The inputs and outputs of the decision logic. The logic does no I/O: a daemon, a scenario or a
// benchmark turns sockets, timers or a script into inputs, and carries out the actions.

#include "egretledge/worker_protocol.hpp"
#include "proto/egretledge.pb.h"
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace egretledge
{

// One record of the platform's log.
struct log_entry
{
    std::uint64_t offset = 0;
    std::string data;
};

// The answer to a read: the entries from the requested offset on, or from the first entry that the
// log still holds (`first_kept`) if that is later. `next` is the offset to read from next.
struct log_page
{
    std::uint64_t first_kept = 0;
    std::uint64_t next = 0;
    std::vector<log_entry> entries;
};

// One row of the platform's list of hosts. The list is eventually consistent: it may lag behind the
// actual state.
struct listed_host
{
    std::string name;
    std::string data_centre;
    std::string peer_address; // tcp://IP:PORT
    std::string http_address; // IP:PORT
    bool leaving = false;
};
BOOST_DESCRIBE_STRUCT(listed_host, (), (name, data_centre, peer_address, http_address, leaving))

struct host_listing
{
    std::vector<listed_host> hosts;
    std::vector<std::string> leaving_workers;
};
BOOST_DESCRIBE_STRUCT(host_listing, (), (hosts, leaving_workers))

namespace actions
{

struct reply_call
{
    std::uint64_t call = 0;
    wire::Answer answer;
};

struct send_peer
{
    std::string host;
    wire::PeerMessage message;
};

struct append_log
{
    std::string stream;
    std::string data;
};

// Requests one page from offset `from` on. If there is no entry yet, the read waits up to `wait`.
// The logic sends the next request for a stream only after the answer to the previous one.
struct read_log
{
    std::string stream;
    std::uint64_t from = 0;
    milliseconds wait{0};
};

// Requests the platform's list of hosts.
struct fetch_hosts
{
};

// Sends a request to a worker. The worker's answer is passed in with the same request number.
struct send_worker_request
{
    std::string worker;
    std::string address;
    std::uint64_t request = 0;
    worker_request body;
};

// One line for the program's log, in key=value form.
struct log_event
{
    std::string text;
};

} // namespace actions

using action =
    std::variant<actions::reply_call, actions::send_peer, actions::append_log, actions::read_log,
                 actions::fetch_hosts, actions::send_worker_request, actions::log_event>;
using action_list = std::vector<action>;

} // namespace egretledge

#endif
